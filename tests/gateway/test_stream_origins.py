"""Origins of streams: known at other entries when the one that began a stream is gone."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

import attrs
import pytest

from vanillashore_gateway._stream_origins import (
    MAX_KEPT_S,
    MAX_ORIGINS,
    RETURN_MARGIN_S,
    OriginAnswer,
    OriginLookup,
    OriginNotice,
    OriginQuery,
    StreamOrigin,
    StreamOrigins,
    decode_origin,
)
from vanillashore_standins.virtual_time import run_in_virtual_time

ONE_WAY_S = 0.001
V1 = StreamOrigin("llm", "v1")
UNKNOWN = OriginLookup(None)


class Fleet:
    """Entries on a simulated network; datagrams to entries that have ended are lost."""

    def __init__(self, size: int, loss: float = 0.0) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(size)
        self.loss = loss
        self.one_way_s = ONE_WAY_S
        self.registered = {f"e{i}": ("10.0.0.1", i) for i in range(size)}
        self.origins: dict[str, StreamOrigins] = {}
        for name in self.registered:
            self.start(name)

    def start(self, name: str) -> None:
        origins = self.origins[name] = StreamOrigins(name, self.loop.time)
        origins.connection_made(_Transport(self, name))
        origins.update_entries(self.registered)

    def sendto(self, data: bytes, sender: str, address: tuple[str, int]) -> None:
        receiver = f"e{address[1]}"
        if self.rng.random() >= self.loss:
            self.loop.call_later(self.one_way_s, self._deliver, data, sender, receiver)

    def _deliver(self, data: bytes, sender: str, receiver: str) -> None:
        if receiver in self.origins:
            self.origins[receiver].datagram_received(data, self.registered[sender])


@attrs.frozen
class _Transport:
    fleet: Fleet
    name: str

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.fleet.sendto(data, self.name, address)


def _run(main: Coroutine[Any, Any, None]) -> None:
    run_in_virtual_time(main)


@pytest.mark.parametrize("size", [2, 3, 28])
def test_origin_is_known_at_each_entry_after_the_one_that_began_the_stream_was_killed(
    size: int,
) -> None:
    async def main() -> None:
        fleet = Fleet(size)
        for number in range(20):
            await fleet.origins["e0"].begin(f"id-{number}", V1, 14.0)
        await asyncio.sleep(2 * ONE_WAY_S)
        del fleet.origins["e0"]
        for origins in fleet.origins.values():
            found = [await origins.find(f"id-{number}") for number in range(20)]
            assert found == [OriginLookup(V1)] * 20

    _run(main())


@pytest.mark.parametrize("size", [3, 28])
def test_most_origins_are_known_although_datagrams_are_lost(size: int) -> None:
    async def main() -> None:
        fleet = Fleet(size, loss=0.05)
        for number in range(60):
            await fleet.origins["e0"].begin(f"id-{number}", V1, 600.0)
            await asyncio.sleep(0.3)
        del fleet.origins["e0"]
        found = []
        for number in range(60):
            found.append(await fleet.origins["e1"].find(f"id-{number}"))
            await asyncio.sleep(0.3)
        assert sum(lookup.origin == V1 for lookup in found) >= 45

    _run(main())


def test_origin_is_found_at_an_entry_that_has_just_timed_out_or_answers_late() -> None:
    async def main() -> None:
        fleet = Fleet(3)
        await fleet.origins["e0"].begin("id-1", V1, 14.0)
        await asyncio.sleep(0.01)
        del fleet.origins["e0"]
        fleet.loss = 1.0
        assert await fleet.origins["e1"].find("id-2") == OriginLookup(None, was_answered=False)
        fleet.loss, fleet.one_way_s = 0.0, 0.15
        fleet.start("e1")
        for _ in range(2):
            assert await fleet.origins["e1"].find("id-1") == OriginLookup(V1)
            fleet.loss = 1.0
            assert (await fleet.origins["e1"].find("id-2")).origin is None
            fleet.loss = 0.0

    _run(main())


def test_notice_is_confirmed_by_another_entry_before_the_first_event_leaves() -> None:
    async def main() -> None:
        fleet = Fleet(3)
        known = fleet.origins["e0"].begin("id-1", V1, 14.0)
        assert not known.done()
        await known
        assert any(len(fleet.origins[name]) for name in ("e1", "e2"))

    _run(main())


def test_stream_begins_although_no_other_entry_confirms() -> None:
    async def main() -> None:
        fleet = Fleet(3)
        del fleet.origins["e1"], fleet.origins["e2"]
        for number in range(3):
            await fleet.origins["e0"].begin(f"id-{number}", V1, 14.0)
        assert await fleet.origins["e0"].find("id-0") == OriginLookup(V1)

    _run(main())


def test_entry_that_starts_again_is_told_of_the_streams_that_others_began() -> None:
    async def main() -> None:
        fleet = Fleet(3)
        for number in range(20):
            await fleet.origins["e0"].begin(f"id-{number}", V1, 14.0)
        for name in ("e1", "e2"):
            fleet.start(name)
            fleet.origins["e0"].greet(name)
        await asyncio.sleep(0.01)
        del fleet.origins["e0"]
        found = [await fleet.origins["e1"].find(f"id-{number}") for number in range(20)]
        assert found == [OriginLookup(V1)] * 20

    _run(main())


def test_unknown_origin_is_told_from_entries_that_do_not_answer() -> None:
    async def main() -> None:
        fleet = Fleet(3)
        assert await fleet.origins["e0"].find("id-1") == UNKNOWN
        del fleet.origins["e1"], fleet.origins["e2"]
        assert await fleet.origins["e0"].find("id-1") == OriginLookup(None, was_answered=False)

    _run(main())


def test_origins_are_kept_as_long_as_their_callers_may_return_and_are_limited_in_number() -> None:
    async def main() -> None:
        fleet = Fleet(1)
        origins = fleet.origins["e0"]
        origins.begin("id-1", V1, 10.0)
        await asyncio.sleep(10.0 + RETURN_MARGIN_S - 0.1)
        assert (await origins.find("id-1")).origin == V1
        await asyncio.sleep(0.2)
        assert (await origins.find("id-1")).origin is None
        origins.begin("id-2", V1, 10_000.0)
        await asyncio.sleep(MAX_KEPT_S)
        origins.begin("id-3", V1, 10.0)
        assert len(origins) == 1
        for number in range(MAX_ORIGINS + 10):
            origins.keep(f"more-{number}", V1, 10.0)
        assert len(origins) == MAX_ORIGINS

    _run(main())


MESSAGES = [
    OriginNotice(7, "id-1", V1, 14.5),
    OriginQuery(7, "id-1"),
    OriginAnswer(7, V1),
    OriginAnswer(7, None),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_messages_survive_encoding_and_additional_fields(message: Any) -> None:
    assert decode_origin(message.encode()) == message
    assert decode_origin(message.encode()[:-1] + b',{"later":1}]') == message


@pytest.mark.parametrize("data", [b'["origin",1,"id",["llm"],1]', b'["origin ask"]', b"[]"])
def test_malformed_messages_are_rejected(data: bytes) -> None:
    with pytest.raises(ValueError, match="origin"):
        decode_origin(data)
