"""Coordinated choice of prefill engines: homes, lost messages and a simulated burst."""

import asyncio
import random

import attrs
import pytest

from vanillashore_gateway import Endpoint, EndpointRole, Load
from vanillashore_gateway._home_ranking import rank_homes
from vanillashore_gateway._peers import PeerSocket
from vanillashore_gateway._prefill_estimator import PrefillEstimator, PrefillSend, Prompt
from vanillashore_gateway._prefill_scheduler import (
    PrefillAnswer,
    PrefillAssignment,
    PrefillEnded,
    PrefillRequest,
    PrefillScheduler,
    decode_prefill,
)
from vanillashore_gateway._role_plan import target_prefills
from vanillashore_standins import wait_until

TARGET_S = 0.9
PREFILL_S = 50e-6
CACHED_PREFILL_S = 2e-6
MEAN_PREFILL_S = 0.158  # Of a prompt of the simulation.
DECODE_S = 90e-6
ENGINES = [
    Endpoint(f"p{n}", "llm", "10.0.0.1", 80, "abc"[n % 3], 16, EndpointRole.PREFILL)
    for n in range(8)
]


class Fleet:
    """Entries whose datagrams arrive at once, except to and from unreachable entries."""

    def __init__(self, size: int) -> None:
        self.now = 100.0
        self.unreachable: set[str] = set()
        self.engines = list(ENGINES)
        self.entries = {f"e{n}": ("10.0.0.1", n) for n in range(size)}
        self.schedulers = {name: self._scheduler(name) for name in self.entries}
        self.home = rank_homes("llm", tuple(self.entries))[0]

    def _scheduler(self, name: str) -> PrefillScheduler:
        estimator = PrefillEstimator(random.Random(name))
        scheduler = PrefillScheduler(
            name, estimator, lambda service: self.engines, lambda service: (), lambda: self.now
        )
        scheduler.connection_made(_Transport(self, name))
        scheduler.update_entries(self.entries)
        return scheduler

    async def assign(self, entry: str, tokens: int = 3_000) -> PrefillAssignment | None:
        return await self.schedulers[entry].assign("llm", _prompt(tokens), ())


@attrs.frozen
class _Transport:
    fleet: Fleet
    name: str

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        receiver = f"e{address[1]}"
        if not {self.name, receiver} & self.fleet.unreachable:
            sender = self.fleet.entries[self.name]
            self.fleet.schedulers[receiver].datagram_received(data, sender)


def _prompt(tokens: int = 3_000, data_centre: str = "a") -> Prompt:
    return Prompt(tokens, TARGET_S, TARGET_S, tokens * DECODE_S, data_centre)


async def test_prompts_of_different_entries_are_sent_to_different_engines() -> None:
    fleet = Fleet(28)
    assignments = [await fleet.assign(entry) for entry in sorted(fleet.entries)[:8]]
    assert {assignment.send.endpoint.instance for assignment in assignments} == {
        e.instance for e in ENGINES
    }


async def test_ended_prompts_free_their_engine_for_all_entries() -> None:
    fleet = Fleet(4)
    fleet.engines = ENGINES[:1]
    others = [name for name in fleet.entries if name != fleet.home]
    first = await fleet.assign(others[0])
    assert (await fleet.assign(others[1])).send.expected_s == pytest.approx(0.3)
    fleet.now += 0.15
    fleet.schedulers[others[0]].end(first, Load(1, 0, 16))
    assert (await fleet.assign(others[2])).send.expected_s == pytest.approx(0.3)
    fleet.now += 5.0
    assert (await fleet.assign(others[2])).send.expected_s == pytest.approx(0.15)


async def test_entry_that_cannot_reach_the_homes_chooses_by_itself() -> None:
    fleet = Fleet(6)
    homes = rank_homes("llm", tuple(fleet.entries))
    fleet.unreachable = set(homes[:2])
    for _ in range(3):
        assignment = await fleet.assign(homes[5])
        assert assignment is not None
        assert assignment.home == ""


async def test_substitute_answers_for_an_unreachable_home() -> None:
    fleet = Fleet(6)
    homes = rank_homes("llm", tuple(fleet.entries))
    fleet.unreachable = {homes[0]}
    assert (await fleet.assign(homes[5])).home == homes[1]


async def test_engine_that_has_left_the_list_of_the_requester_is_not_used() -> None:
    fleet = Fleet(3)
    requester = next(name for name in fleet.entries if name != fleet.home)
    fleet.schedulers[requester]._engines = lambda service: []
    assert await fleet.assign(requester) is None
    assert not fleet.schedulers[fleet.home]._assigned


async def test_prompts_of_a_crashed_entry_are_dropped() -> None:
    fleet = Fleet(3)
    fleet.engines = ENGINES[:1]
    crashed, other = (name for name in fleet.entries if name != fleet.home)
    for _ in range(3):
        await fleet.assign(crashed)
    fleet.now += 10.0
    assignment = await fleet.assign(other)
    fleet.now += 0.15
    fleet.schedulers[other].end(assignment, None)
    assert (await fleet.assign(other)).send.expected_s == pytest.approx(0.15, rel=0.05)


async def test_engine_that_refuses_connections_does_not_attract_all_prompts() -> None:
    fleet = Fleet(10)
    pending: list[tuple[float, str, PrefillAssignment]] = []
    refused = 0
    for step in range(80):
        fleet.now += 0.025
        for row in [row for row in pending if row[0] <= fleet.now]:
            pending.remove(row)
            fleet.schedulers[row[1]].end(row[2], None)
        entry = f"e{step % 10}"
        assignment = await fleet.assign(entry)
        if assignment is None:
            continue
        if assignment.send.endpoint == ENGINES[0]:
            refused += 1
            fleet.now += 0.002
            fleet.schedulers[entry].give_up(assignment)
        else:
            pending.append((fleet.now + 0.15, entry, assignment))
    assert refused <= 3  # Once a second; the loop runs for a little more than two seconds.


@pytest.mark.parametrize(
    "message",
    [
        PrefillRequest(7, "llm", _prompt(), ("p1",)),
        PrefillAnswer(7, "p1", 0.25),
        PrefillEnded(7, True, 3),
        PrefillEnded(7, False, None),
    ],
)
def test_messages_are_decoded_as_they_were_encoded(message: object) -> None:
    assert message.encode().startswith(PrefillScheduler.PREFIX)
    assert decode_prefill(message.encode()) == message


@pytest.mark.parametrize("data", [b"", b'["prefill"]', b'["prefill", 1, "llm", [1], []]'])
def test_malformed_datagram_is_an_error(data: bytes) -> None:
    with pytest.raises(ValueError, match=r"."):
        decode_prefill(data)


async def test_two_entries_coordinate_over_real_datagrams() -> None:
    loop = asyncio.get_running_loop()
    schedulers, entries = {}, {}
    for name in ("a", "b"):
        estimator = PrefillEstimator(random.Random(name))
        scheduler = PrefillScheduler(
            name, estimator, lambda service: ENGINES[:2], lambda service: (), loop.time
        )
        transport, _ = await loop.create_datagram_endpoint(
            lambda scheduler=scheduler: PeerSocket([scheduler], lambda: None),
            local_addr=("127.0.0.1", 0),
        )
        entries[name] = transport.get_extra_info("sockname")[:2]
        schedulers[name] = scheduler
    for scheduler in schedulers.values():
        scheduler.update_entries(entries)
        scheduler._requests._timeout_s = 5.0
    home = rank_homes("llm", tuple(entries))[0]
    other = next(name for name in entries if name != home)
    first = await schedulers[home].assign("llm", _prompt(), ())
    second = await schedulers[other].assign("llm", _prompt(), ())
    assert second.home == home
    assert first.send.endpoint != second.send.endpoint
    schedulers[other].end(second, None)
    await wait_until(lambda: not schedulers[home]._assigned)


@attrs.frozen
class _Shares:
    """Shares of the prompts that were late, read in vain, or left to the decode engines."""

    late: float
    given_up: float
    left: float


@attrs.define
class _SimulatedEngine:
    """An engine that prefills one prompt after the other."""

    free_at: float = 0.0


async def _simulate(
    rate_per_s: float,
    is_coordinated: bool,
    seed: int,
    size: int = 28,
    cached_share: float = 0.0,
    prefills: int = len(ENGINES),
) -> "_Shares":
    """Simulate ten seconds of prompts over all entries.

    An engine has most of a cached prompt already, as of one that was sent before.
    """
    rng = random.Random(seed)
    fleet = Fleet(size)
    fleet.engines = ENGINES[:prefills]
    if not is_coordinated:
        fleet.unreachable = set(fleet.entries)
        for scheduler in fleet.schedulers.values():
            scheduler._requests._timeout_s = 0.0
    engines = {engine.instance: _SimulatedEngine() for engine in ENGINES}
    pending: list[tuple[float, bool, str, PrefillAssignment]] = []
    late = given_up = left = count = 0
    end_at = fleet.now + 10.0
    while fleet.now < end_at:
        now = fleet.now + rng.expovariate(rate_per_s)
        for row in sorted((r for r in pending if r[0] <= now), key=lambda r: r[0]):
            pending.remove(row)
            fleet.now, is_prefilled, entry, assignment = row
            if is_prefilled:
                fleet.schedulers[entry].end(assignment, None)
            else:
                given_up += 1
                fleet.schedulers[entry].give_up(assignment)
        fleet.now = now
        tokens = min(6_600, int(rng.lognormvariate(7.9, 0.5)) + 200)
        entry = rng.choice(sorted(fleet.entries))
        assignment = await fleet.schedulers[entry].assign(
            "llm", _prompt(tokens, rng.choice("abc")), ()
        )
        done_at = now + tokens * DECODE_S
        left += assignment is None
        if assignment is not None:
            done_at = _send_prompt(
                engines[assignment.send.endpoint.instance],
                assignment.send,
                entry,
                assignment,
                pending,
                CACHED_PREFILL_S if rng.random() < cached_share else PREFILL_S,
            )
        count += 1
        late += done_at - now > TARGET_S - 0.1 + 1e-6
    return _Shares(late / count, given_up / count, left / count)


def _send_prompt(
    engine: _SimulatedEngine,
    send: PrefillSend,
    entry: str,
    assignment: PrefillAssignment,
    pending: list[tuple[float, bool, str, PrefillAssignment]],
    per_token_s: float,
) -> float:
    completed_at = max(engine.free_at, send.sent_at) + send.tokens * per_token_s
    if completed_at - send.sent_at <= send.timeout_s:
        engine.free_at = completed_at
        pending.append((completed_at, True, entry, assignment))
        return completed_at
    ends_at = send.sent_at + send.timeout_s
    pending.append((ends_at, False, entry, assignment))
    return ends_at + send.tokens * DECODE_S


@pytest.mark.parametrize("rate_per_s", [30.0, 45.0])
async def test_burst_over_many_entries_is_prefilled_in_time(rate_per_s: float) -> None:
    """Eight engines prefill 49 prompts a second at most."""
    coordinated = [(await _simulate(rate_per_s, True, seed)).late for seed in range(3)]
    uncoordinated = [(await _simulate(rate_per_s, False, seed)).late for seed in range(3)]
    assert sum(coordinated) < sum(uncoordinated) / 4


@pytest.mark.parametrize(("entries", "engines"), [(3, 9), (30, 23), (68, 37)])
async def test_planned_prefill_engines_keep_up_with_a_burst(entries: int, engines: int) -> None:
    """Prompts take 0.085 of the engines' time at the usual load, and twice that in a burst."""
    rate_per_s = 2 * 0.085 * engines / MEAN_PREFILL_S
    prefills = target_prefills(engines)
    burst = [
        await _simulate(rate_per_s, True, seed, entries, prefills=prefills) for seed in range(3)
    ]
    assert sum(shares.late for shares in burst) / 3 < 0.02
    assert sum(shares.left for shares in burst) / 3 < 0.05


@pytest.mark.parametrize("size", [3, 30, 68])
async def test_cached_prompts_do_not_attract_others_to_an_engine(size: int) -> None:
    plain = [await _simulate(40.0, True, seed, size) for seed in range(3)]
    cached = [await _simulate(40.0, True, seed, size, cached_share=0.03) for seed in range(3)]
    assert sum(s.late for s in cached) <= sum(s.late for s in plain) + 0.03
    assert sum(s.given_up for s in cached) <= sum(s.given_up for s in plain) + 0.03
