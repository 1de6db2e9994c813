"""Entries of another build: their datagrams and their records in the store."""

import asyncio
from typing import Any

import pytest
from loguru import logger as log

from vanillashore_gateway._crashes import (
    CrashCleared,
    CrashReport,
    RefusalNotice,
    SuspectNotice,
    decode_crash,
)
from vanillashore_gateway._peers import PeerSocket
from vanillashore_gateway._prefill_estimator import Prompt
from vanillashore_gateway._prefill_scheduler import (
    PrefillAnswer,
    PrefillEnded,
    PrefillRequest,
    decode_prefill,
)
from vanillashore_gateway._quota import Grant
from vanillashore_gateway._quota_requests import QuotaAnswer, QuotaRequest, decode_datagram
from vanillashore_gateway._rotation import StoppingNotice, decode_notice
from vanillashore_standins import wait_until
from vanillashore_standins.platform_rig import PlatformRig

# As sent by the build of 2026-12-04 (f2d55a4); the last one by its successor.
RECORDED = [
    (b'["ask",7,"counter",300,4000]', decode_datagram, QuotaRequest(7, "counter", 300, 4000)),
    (b'["grant",7,4000,0.25]', decode_datagram, QuotaAnswer(7, Grant(4000, 0.25))),
    (
        b'["prefill",3,"llm",[3000,0.9,0.8,0.2,"dc-a"],["p1"]]',
        decode_prefill,
        PrefillRequest(3, "llm", Prompt(3000, 0.9, 0.8, 0.2, "dc-a"), ("p1",)),
    ),
    (b'["prefill place",3,"p1",0.15]', decode_prefill, PrefillAnswer(3, "p1", 0.15)),
    (b'["prefill ended",3,true,null]', decode_prefill, PrefillEnded(3, True, None)),
    (b'["crash","f00d","i-1"]', decode_crash, CrashReport("f00d", "i-1")),
    (b'["crash suspect","f00d"]', decode_crash, SuspectNotice("f00d")),
    (b'["crash over","f00d"]', decode_crash, CrashCleared("f00d")),
    (b'["crash refuse","f00d"]', decode_crash, RefusalNotice("f00d")),
    (b'["stopping","e1",2.5,6.7]', decode_notice, StoppingNotice("e1", 2.5, 6.7)),
]


@pytest.mark.parametrize(("data", "decode", "message"), RECORDED)
def test_messages_of_the_earlier_build_are_understood(
    data: bytes, decode: Any, message: Any
) -> None:
    assert decode(data) == message
    assert message.encode() == data


@pytest.mark.parametrize(("data", "decode", "message"), RECORDED)
def test_additional_fields_of_a_later_build_are_left_out(
    data: bytes, decode: Any, message: Any
) -> None:
    assert decode(data[:-1] + b',{"later":1}]') == message


def test_additional_fields_of_a_prompt_are_left_out() -> None:
    data = b'["prefill",3,"llm",[3000,0.9,0.8,0.2,"dc-a","later"],["p1"]]'
    assert decode_prefill(data).prompt == Prompt(3000, 0.9, 0.8, 0.2, "dc-a")


class _Handler:
    PREFIX = b'["known"'

    def __init__(self) -> None:
        self.received: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None: ...

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.received.append(data)


def test_message_of_an_unknown_kind_is_counted_and_logged_once() -> None:
    lines, ignored = [], []
    handler = _Handler()
    socket = PeerSocket([handler], lambda: ignored.append(1))
    sink = log.add(lambda line: lines.append(line.record["message"]), level="WARNING")
    for data in (b'["later",1]', b'["known",1]', b'["later",2]', b"\xff"):
        socket.datagram_received(data, ("127.0.0.1", 1))
    log.remove(sink)
    assert handler.received == [b'["known",1]']
    assert len(ignored) == 3
    assert lines == ["ignored a datagram of unknown kind"] * 2


async def test_record_of_a_later_build_is_understood() -> None:
    async with PlatformRig(services=1) as rig:
        rig.store.put("vanillashore/entries/later", b'["127.0.0.1",7500,{"build":"later"}]')
        await wait_until(lambda: "later" in rig.process.gateway._entries.addresses)
        assert rig.process.gateway._entries.addresses["later"] == ("127.0.0.1", 7500)
