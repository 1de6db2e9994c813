"""Decode slots of a service under a played burst: who is served, refused and when.

The load is that of docs/design/hard-load.md: engines with memory for 31,321 tokens, paid
generations of rank 0 and free ones, and a burst of 2.5 times the usual.
"""

import heapq
import itertools
import random
from collections import defaultdict

import attrs
import pytest

from vanillashore_gateway import Endpoint, EndpointRole
from vanillashore_gateway._slot_schedule import Grant, SlotAsk, SlotSchedule, Turndown

KV_TOKENS = 31_321
ENGINES = [
    Endpoint(f"d{n}", "llm", "10.0.0.1", 80, "abcd"[n % 4], 12, EndpointRole.DECODE)
    for n in range(21)
]
TOKEN_S = 0.004
START_S = 0.3
PAID, FREE = 0, 1
TARGET_S = {PAID: 0.8, FREE: 2.0}
LEFT_S = 14.0
ON_TIME_LEFT_S = 0.3  # Of the target, for prefill and first step.


@attrs.define(eq=False)
class Call:
    rank: int
    input_tokens: int
    output_tokens: int
    workspace: str
    arrived: float
    served_at: float | None = None
    refused_at: float | None = None
    retry_s: float | None = None

    @property
    def tokens(self) -> int:
        return self.input_tokens + self.output_tokens

    @property
    def is_on_time(self) -> bool:
        limit = self.arrived + TARGET_S[self.rank] - ON_TIME_LEFT_S
        return self.served_at is not None and self.served_at <= limit


def _load(rng: random.Random, seconds: float, burst: float) -> list[Call]:
    calls, now = [], 0.0
    while now < seconds:
        rate = 30.75 * (burst if 5.0 <= now < 12.0 else 1.0)
        now += rng.expovariate(rate)
        rank = PAID if rng.random() < 1.75 / 30.75 else FREE
        sizes = rng.lognormvariate(7.93, 0.4), rng.lognormvariate(6.2, 0.7)
        workspace = f"w{min(15, int(rng.paretovariate(1.0)) - 1)}"
        calls.append(Call(rank, int(sizes[0]), int(sizes[1]), workspace, now))
    return calls


def _ask(call: Call, wait_s: float = 4.2) -> SlotAsk:
    on_time_s = TARGET_S[call.rank] - ON_TIME_LEFT_S
    return SlotAsk(
        call.rank,
        call.tokens,
        call.output_tokens,
        on_time_s,
        min(wait_s, 3 * TARGET_S[call.rank]),
        LEFT_S,
        workspace=call.workspace,
    )


def _play(calls: list[Call], rng: random.Random, lost: float = 0.0) -> SlotSchedule:
    """Play the calls on a clock of their own; a share ``lost`` never states its end."""
    schedule = SlotSchedule(rng)
    schedule.update_engines(ENGINES, KV_TOKENS)
    events: list[tuple[float, int, str, Call | None]] = []
    numbers = itertools.count()
    for call in calls:
        heapq.heappush(events, (call.arrived, next(numbers), "ask", call))
    for tick in range(int((calls[-1].arrived + 30) / 0.05)):
        heapq.heappush(events, (tick * 0.05, next(numbers), "tick", None))
    clock = [0.0]

    def decide_for(call: Call):
        def decide(decision: Grant | Turndown) -> None:
            if isinstance(decision, Turndown):
                call.refused_at, call.retry_s = clock[0], decision.retry_s
                return
            call.served_at = clock[0]
            if rng.random() >= lost:
                ends_at = clock[0] + START_S + call.output_tokens * TOKEN_S
                heapq.heappush(events, (ends_at, next(numbers), "end", call))

        return decide

    while events:
        now, _, kind, call = heapq.heappop(events)
        clock[0] = now
        if kind == "ask":
            schedule.ask(id(call), _ask(call), decide_for(call), now)
        elif kind == "end":
            schedule.end(id(call), now)
            schedule.assign(now)
        else:
            schedule.assign(now)
    return schedule


def _share(calls: list[Call], condition=lambda call: call.served_at is not None) -> float:
    return sum(map(condition, calls)) / max(1, len(calls))


@pytest.fixture(scope="module", params=itertools.product((2.5, 4.0), (1, 2, 3)), ids=str)
def played(request: pytest.FixtureRequest) -> list[Call]:
    burst, seed = request.param
    rng = random.Random(seed)
    calls = _load(rng, 20.0, burst)
    _play(calls, rng)
    return calls


@pytest.fixture(scope="module", params=[1, 2, 3])
def overloaded(request: pytest.FixtureRequest) -> list[Call]:
    rng = random.Random(request.param)
    calls = _load(rng, 20.0, burst=4.0)
    _play(calls, rng)
    return calls


def test_paid_generations_are_served_before_free_ones(played: list[Call]) -> None:
    """Guards against the reverse, which the queues of single entries showed."""
    paid = [call for call in played if call.rank == PAID]
    free = [call for call in played if call.rank == FREE]
    assert _share(paid) >= _share(free)
    assert _share(paid, lambda call: call.is_on_time) >= 0.95


def test_large_generations_and_small_workspaces_are_not_starved(played: list[Call]) -> None:
    free = sorted((call for call in played if call.rank == FREE), key=lambda call: call.tokens)
    largest = free[int(len(free) * 0.9) :]
    assert _share(largest) >= 0.5 * _share(free)
    assert _share(free[int(len(free) * 0.7) : int(len(free) * 0.9)]) >= 0.5 * _share(free)
    of_workspace = defaultdict(list)
    for call in free:
        of_workspace[call.workspace].append(call)
    for calls in of_workspace.values():
        if len(calls) >= 20:
            assert _share(calls) >= 0.25 * _share(free)


def test_refused_callers_are_held_for_an_eighth_of_the_target_at_most(
    overloaded: list[Call],
) -> None:
    """Guards against callers that wait in vain behind better generations."""
    refused = [call for call in overloaded if call.refused_at is not None]
    held = sorted(call.refused_at - call.arrived for call in refused)
    assert held[len(held) // 2] <= 0.25


def test_refused_callers_are_told_times_at_which_they_can_return(overloaded: list[Call]) -> None:
    refused = [call for call in overloaded if call.refused_at is not None]
    assert refused
    assert all(call.retry_s <= LEFT_S / 3 for call in refused)
    # Spread over time, so that those refused together do not return together.
    assert len({round(call.retry_s, 2) for call in refused}) > len(refused) / 10


def test_generations_without_a_slot_to_expect_are_refused_at_once() -> None:
    """While as much waits as the engines serve in the time, another one would wait in vain."""
    rng = random.Random(8)
    schedule = SlotSchedule(rng)
    schedule.update_engines(ENGINES[:2], KV_TOKENS)
    decided: list[tuple[int, Grant | Turndown]] = []
    for number in range(200):
        call = Call(FREE, 3_000, 1_000, "w", 0.0)
        schedule.ask(number, _ask(call), lambda d, n=number: decided.append((n, d)), 0.0)
    refused = [number for number, decision in decided if isinstance(decision, Turndown)]
    # Two engines serve seven generations of 4.3 s each, and callers wait for 4.2 s at most.
    assert len(refused) >= 200 - 4 * 7


def test_most_is_gained_for_the_memory_that_there_is(played: list[Call]) -> None:
    """In order of arrival, the same memory serves fewer generations on time."""
    plain = [attrs.evolve(call, served_at=None, refused_at=None) for call in played]
    _play_in_order_of_arrival(plain)
    assert _gain(played) > _gain(plain)


def test_memory_is_never_granted_beyond_the_engines() -> None:
    rng = random.Random(4)
    calls = _load(rng, 10.0, burst=3.0)
    schedule = SlotSchedule(rng)
    schedule.update_engines(ENGINES, KV_TOKENS)
    used: dict[str, list[int]] = defaultdict(list)
    for call in calls:

        def decide(decision: Grant | Turndown, call: Call = call) -> None:
            if isinstance(decision, Grant):
                used[decision.instance].append(call.tokens)

        schedule.ask(id(call), _ask(call), decide, 0.0)
    assert all(sum(sizes) <= KV_TOKENS and len(sizes) <= 12 for sizes in used.values())
    assert len(used) == len(ENGINES)


def test_grants_whose_entry_is_gone_free_their_memory() -> None:
    """An entry that is killed states no end; its slots must not be lost for good."""
    rng = random.Random(5)
    calls = _load(rng, 30.0, burst=1.0)
    schedule = _play(calls, rng, lost=0.1)
    schedule.assign(calls[-1].arrived + 120.0)
    assert schedule.granted == 0
    late = [call for call in calls if call.arrived > 20.0]
    assert _share(late) >= 0.9 * _share(calls)


def test_caller_that_returns_as_told_is_served_before_new_ones() -> None:
    rng = random.Random(6)
    schedule = SlotSchedule(rng)
    schedule.update_engines(ENGINES[:1], KV_TOKENS)
    decided: dict[str, Grant | Turndown] = {}

    def ask(key: str, now: float, repeat_key: str = "", wait_s: float = 4.2) -> None:
        call = Call(FREE, 9_000, 1_000, "w", now)
        asked = attrs.evolve(_ask(call, wait_s), repeat_key=repeat_key)
        asked = attrs.evolve(asked, on_time_s=min(asked.on_time_s, wait_s))
        schedule.ask(key, asked, lambda decision: decided.__setitem__(key, decision), now)

    for number in range(3):
        ask(f"first-{number}", 0.0)
    ask("refused", 0.0, "same", wait_s=0.0)
    assert isinstance(decided["refused"], Turndown)
    ask("new", 1.0)
    ask("returned", 1.1, "same")
    schedule.end("first-0", 1.2)
    schedule.assign(1.2)
    assert isinstance(decided["returned"], Grant)
    assert not isinstance(decided.get("new"), Grant)


def test_lower_ranks_get_a_part_while_higher_ones_fill_all_engines() -> None:
    rng = random.Random(7)
    schedule = SlotSchedule(rng)
    schedule.update_engines(ENGINES[:2], KV_TOKENS)
    served: dict[int, int] = defaultdict(int)
    active: list[int] = []

    def ask(number: int, rank: int, now: float) -> None:
        call = Call(rank, 3_000, 500, "w", now)

        def decide(decision: Grant | Turndown) -> None:
            if isinstance(decision, Grant):
                served[rank] += 1
                active.append(number)

        schedule.ask(number, _ask(call), decide, now)

    for step in range(2_000):
        now = step * 0.01
        ask(2 * step, PAID, now)
        ask(2 * step + 1, FREE, now)
        if step % 10 == 9 and active:
            schedule.end(active.pop(0), now)
            schedule.assign(now)
    assert served[FREE] >= 0.05 * served[PAID]


def _gain(calls: list[Call]) -> float:
    """Return what callers gain: a part for any answer, the rest by size; less when late."""
    mean = sum(call.tokens for call in calls) / len(calls)
    worth = {PAID: (120.0, 9.7), FREE: (32.0, 9.6)}
    gained = 0.0
    for call in calls:
        if call.served_at is not None:
            on_time, late = worth[call.rank]
            size = 0.3 + 0.7 * call.tokens / mean
            gained += size * (on_time if call.is_on_time else late)
    return gained


def _play_in_order_of_arrival(calls: list[Call]) -> None:
    """Serve on-time generations in order of arrival, then late ones, as a plain queue does."""
    free = KV_TOKENS * len(ENGINES)
    ends: list[tuple[float, int]] = []
    waiting: list[Call] = []
    for now in (step * 0.01 for step in range(int((calls[-1].arrived + 10) * 100))):
        while ends and ends[0][0] <= now:
            free += heapq.heappop(ends)[1]
        waiting += [call for call in calls if now - 0.01 < call.arrived <= now]
        waiting = [call for call in waiting if now - call.arrived < 3 * TARGET_S[call.rank]]
        waiting.sort(
            key=lambda call: (
                now > call.arrived + TARGET_S[call.rank] - ON_TIME_LEFT_S,
                call.arrived,
            )
        )
        while waiting and waiting[0].tokens <= free:
            call = waiting.pop(0)
            call.served_at = now
            free -= call.tokens
            heapq.heappush(ends, (now + START_S + call.output_tokens * TOKEN_S, call.tokens))
