"""What all entries together send to a limited endpoint, over a simulated network."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import attrs
import pytest

from vanillashore_gateway._home_ranking import rank_homes
from vanillashore_gateway._limit_requests import (
    LimitNotice,
    PermitAnswer,
    PermitRequest,
    decode_limit,
)
from vanillashore_gateway._request_limits import EndpointStart, NamedLimit, Permit
from vanillashore_standins.limit_check import allowed_requests, most_requests
from vanillashore_standins.limited_fleet import ENDPOINT, FAULTS, Fleet
from vanillashore_standins.virtual_time import run_in_virtual_time


def _run(main: Coroutine[Any, Any, None]) -> None:
    run_in_virtual_time(main)


@pytest.mark.parametrize("size", [1, 3, 28])
@pytest.mark.parametrize("limit_per_s", [0.3, 2.2, 12.0])
@pytest.mark.parametrize("fault", FAULTS)
def test_all_entries_together_keep_a_limit_under_faults(
    size: int, limit_per_s: float, fault: Any
) -> None:
    async def main() -> None:
        fleet = Fleet(size, limit_per_s)
        load = asyncio.ensure_future(fleet.load(16.0, per_s=80.0))
        await asyncio.sleep(4.0)
        await fault(fleet)
        await load
        assert most_requests(fleet.counted) <= allowed_requests(limit_per_s)

    _run(main())


@pytest.mark.parametrize("size", [1, 3, 28])
@pytest.mark.parametrize("limit_per_s", [0.3, 2.2])
def test_requests_after_a_pause_do_not_exceed_a_limit(size: int, limit_per_s: float) -> None:
    async def main() -> None:
        fleet = Fleet(size, limit_per_s)
        for _ in range(3):
            await fleet.load(4.0)
            await asyncio.sleep(40.0)
        assert most_requests(fleet.counted) <= allowed_requests(limit_per_s)

    _run(main())


@pytest.mark.parametrize("size", [1, 3, 28])
@pytest.mark.parametrize("used", [1, 28])
def test_limit_is_used_in_full_by_one_entry_or_by_all(size: int, used: int) -> None:
    async def main() -> None:
        fleet = Fleet(size, 4.0)
        for name in sorted(fleet.entries)[used:]:
            fleet.entries[name].limits.record_answer(
                ENDPOINT, 4.0, fleet.entries[name].limits.known_limit(ENDPOINT), "r"
            )
        senders = sorted(fleet.entries)[:used]
        fleet.entries = {n: e for n, e in fleet.entries.items() if n in senders or n == fleet.home}
        await fleet.load(20.0, max_wait_s=0.2)
        assert len(fleet.arrivals) >= 0.8 * 4.0 * 20.0

    _run(main())


@pytest.mark.parametrize("size", [3, 28])
def test_news_of_a_limit_and_of_its_end_reaches_entries_that_send_nothing(size: int) -> None:
    async def main() -> None:
        fleet = Fleet(size, 4.0)
        await fleet.send("e0")
        await asyncio.sleep(0.1)
        assert {e.limits.known_limit(ENDPOINT).limit_per_s for e in fleet.entries.values()} == {4.0}
        fleet.limit_per_s = None
        await fleet.send("e1", 1.0)
        await asyncio.sleep(0.1)
        assert {e.limits.limited_endpoints for e in fleet.entries.values()} == {0}

    _run(main())


def test_entry_that_has_lost_the_news_learns_of_the_end_of_a_limit_from_the_home() -> None:
    async def main() -> None:
        fleet = Fleet(3, 4.0)
        late = next(name for name in fleet.entries if name != fleet.home)
        others = [name for name in fleet.entries if name != late]
        await fleet.send(late)
        await asyncio.sleep(0.1)
        fleet.cut, fleet.limit_per_s = {late}, None
        await fleet.send(others[0], 1.0)
        await asyncio.sleep(1.2)
        fleet.cut = set()
        assert fleet.entries[late].limits.limited_endpoints == 1
        assert await fleet.send(late) is None
        assert fleet.entries[late].limits.limited_endpoints == 0

    _run(main())


def test_answer_that_is_older_than_a_change_does_not_undo_it() -> None:
    async def main() -> None:
        fleet = Fleet(3, None)
        fleet.answer_s = 0.5
        slow = asyncio.ensure_future(fleet.send("e0"))
        await asyncio.sleep(0.1)
        fleet.answer_s, fleet.limit_per_s = 0.01, 4.0
        await fleet.send("e1")
        await slow
        await asyncio.sleep(0.1)
        assert {e.limits.known_limit(ENDPOINT).limit_per_s for e in fleet.entries.values()} == {4.0}

    _run(main())


def test_new_start_of_an_endpoint_has_no_limit() -> None:
    async def main() -> None:
        fleet = Fleet(3, 4.0)
        await fleet.send("e0")
        await asyncio.sleep(0.1)
        fleet.endpoint = attrs.evolve(ENDPOINT, started_ms=2)
        assert [await fleet.entries["e1"].limits.acquire(fleet.endpoint) for _ in range(9)] == (
            [None] * 9
        )

    _run(main())


def test_entry_that_registers_is_told_of_the_limits() -> None:
    async def main() -> None:
        fleet = Fleet(3, 4.0)
        await fleet.send("e0")
        await asyncio.sleep(0.1)
        newcomer = next(name for name in fleet.entries if name != fleet.home)
        fleet.start(newcomer)
        for entry in fleet.entries.values():
            entry.limits.greet(newcomer)
        await asyncio.sleep(0.1)
        assert fleet.entries[newcomer].limits.known_limit(ENDPOINT).limit_per_s == 4.0

    _run(main())


def test_entry_that_reaches_no_home_sends_nothing_to_a_limited_endpoint() -> None:
    async def main() -> None:
        fleet = Fleet(28, 4.0)
        isolated = rank_homes(ENDPOINT.instance, sorted(fleet.registered))[-1]
        await fleet.send(isolated)
        await asyncio.sleep(0.1)
        fleet.cut = {isolated}
        assert await fleet.send(isolated) > 0

    _run(main())


START = EndpointStart("i-1", 7)
MESSAGES = [
    LimitNotice(START, NamedLimit(4.2, 3, "e1")),
    LimitNotice(START, NamedLimit(None, 4, "e1")),
    PermitRequest(9, START, NamedLimit(4.2, 3, "e1"), 0.25),
    PermitAnswer(9, START, NamedLimit(4.2, 3, "e1"), Permit(False, 0.5)),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_messages_survive_encoding(message: Any) -> None:
    assert decode_limit(message.encode()) == message


@pytest.mark.parametrize(
    "data", [b'["limit",["i",1,"4",1,"e"]]', b'["limit ask",1,[],0]', b'["limit"]', b"{}"]
)
def test_malformed_messages_are_rejected(data: bytes) -> None:
    with pytest.raises(ValueError, match="limit"):
        decode_limit(data)
