"""Links between processes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import attrs
import pytest
from aiohttp import web

from vanillashore_node._link import LINK_PATH, LinkHub
from vanillashore_schema import (
    NodeRole,
    NodeSection,
    NodeSettings,
    PlatformSettings,
    TimingSettings,
)
from vanillashore_standins import ServedApp, wait_until
from vanillashore_wire import (
    Ack,
    ErrorCode,
    RefusalError,
    Refused,
    ReservationKind,
    ReserveWithdraw,
)

MESSAGE = ReserveWithdraw("req-1", 1, ReservationKind.DECODE)
SECTION = NodeSection("entry-1", NodeRole.ENTRY, "dc-1", "127.0.0.1", 0, "0123456789abcdef")
PLATFORM = PlatformSettings("http://x", "http://x")


@attrs.define
class Pair:
    """Two hubs, of which the client sends and the server records what it received."""

    client: LinkHub
    server: LinkHub
    address: str
    received: list[Any] = attrs.field(factory=list)


@asynccontextmanager
async def linked(coalesce_ms: float = 100.0) -> AsyncIterator[Pair]:
    timing = TimingSettings(link_coalesce_ms=coalesce_ms, link_idle_s=0.2)
    cfg = NodeSettings(SECTION, PLATFORM, timing=timing)
    async with aiohttp.ClientSession() as session:
        server = LinkHub(session, cfg, lambda: 7)
        client = LinkHub(session, cfg, lambda: 3)
        app = web.Application()
        app.router.add_get(LINK_PATH, server.accept)
        async with ServedApp(app) as served:
            pair = Pair(client, server, served.address)

            async def handle(message: Any, sender: str) -> Any:
                pair.received.append((message, sender))
                return Ack()

            server.on(ReserveWithdraw, handle)
            try:
                yield pair
            finally:
                await client.close()
                await server.close()


async def test_message_on_an_idle_link_is_sent_at_once() -> None:
    async with linked(coalesce_ms=60_000.0) as pair:
        assert await pair.client.ask(pair.address, MESSAGE, 5.0) == Ack()


async def test_messages_after_a_frame_are_coalesced() -> None:
    async with linked() as pair:
        await pair.client.ask(pair.address, MESSAGE, 2.0)
        for _ in range(5):
            pair.client.send(pair.address, MESSAGE)
            await asyncio.sleep(0)
        await wait_until(lambda: len(pair.received) == 6)
        assert (pair.client.stats.frames_sent, pair.client.stats.messages_sent) == (2, 6)
        assert pair.received[-1] == (MESSAGE, "entry-1")


async def test_idle_link_closes_and_opens_again() -> None:
    async with linked() as pair:
        await pair.client.ask(pair.address, MESSAGE, 2.0)
        await wait_until(lambda: pair.client.open_links == 0)
        assert await pair.client.ask(pair.address, MESSAGE, 2.0) == Ack()


async def test_message_during_the_close_of_an_idle_link_goes_over_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with linked() as pair:
        closing, may_close = asyncio.Event(), asyncio.Event()
        connect = pair.client.connect

        @asynccontextmanager
        async def connect_and_close_slowly(address: str) -> AsyncIterator[Any]:
            async with connect(address) as socket:
                yield socket
                closing.set()
                await may_close.wait()

        monkeypatch.setattr(pair.client, "connect", connect_and_close_slowly)
        await pair.client.ask(pair.address, MESSAGE, 2.0)
        await closing.wait()
        asked = asyncio.ensure_future(pair.client.ask(pair.address, MESSAGE, 2.0))
        await asyncio.sleep(0)
        may_close.set()
        assert await asked == Ack()


async def test_each_batch_carries_the_revision() -> None:
    seen: list[tuple[int, str]] = []
    async with linked() as pair:
        pair.server.on_revision(lambda revision, sender: seen.append((revision, sender)))
        await pair.client.ask(pair.address, MESSAGE, 2.0)
    assert seen == [(3, "entry-1")]


async def test_refusal_by_the_peer_is_raised() -> None:
    async def refuse(message: Any, sender: str) -> Any:
        raise RefusalError(Refused(ErrorCode.OVERLOADED, "full", retry_after_s=2.0))

    async with linked() as pair:
        pair.server.on(ReserveWithdraw, refuse)
        with pytest.raises(RefusalError) as raised:
            await pair.client.ask(pair.address, MESSAGE, 2.0)
        assert raised.value.refused == Refused(ErrorCode.OVERLOADED, "full", retry_after_s=2.0)


@pytest.mark.parametrize(
    ("fault", "code"),
    [
        ("no handler", ErrorCode.ROLE_MISMATCH),
        ("no reply", ErrorCode.PEER_UNREACHABLE),
        ("peer closes", ErrorCode.PEER_UNREACHABLE),
        ("nobody listens", ErrorCode.PEER_UNREACHABLE),
    ],
)
async def test_faults_of_the_peer_raise_refusals(fault: str, code: ErrorCode) -> None:
    async def hang(message: Any, sender: str) -> Any:
        if fault == "peer closes":
            asyncio.get_running_loop().call_soon(lambda: asyncio.ensure_future(closing()))
        await asyncio.sleep(30)

    async with linked() as pair:

        async def closing() -> None:
            await pair.server.close()

        pair.server.on(Ack if fault == "no handler" else ReserveWithdraw, hang)
        if fault == "no handler":
            pair.server._handlers.pop(ReserveWithdraw)
        address = "http://127.0.0.1:1" if fault == "nobody listens" else pair.address
        with pytest.raises(RefusalError) as raised:
            await pair.client.ask(address, MESSAGE, 0.3 if fault == "no reply" else 5.0)
        assert raised.value.code is code


async def test_malformed_frame_closes_the_link_but_not_the_hub() -> None:
    async with linked() as pair:
        async with pair.client.connect(pair.address) as socket:
            await socket.send_bytes(b"[1,")
            assert (await socket.receive()).type is aiohttp.WSMsgType.CLOSE
        assert await pair.client.ask(pair.address, MESSAGE, 2.0) == Ack()
