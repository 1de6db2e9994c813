"""A played load on uneven endpoints, without a network: what callers get from the placement."""

import heapq
import random
from collections.abc import Callable

import attrs
import pytest

from vanillashore_gateway import Endpoint, Load
from vanillashore_gateway._balancing import Balancer


class _EvenBalancer(Balancer):
    """The placement without speeds, for comparison."""

    def record_load(self, endpoint: Endpoint, load: Load | None, now: float) -> None:
        plain = Load(load.running, load.waiting, load.slots) if load is not None else None
        super().record_load(endpoint, plain, now)

    def record_time(self, endpoint: Endpoint, seconds: float, now: float) -> None:
        pass


@attrs.frozen
class _Play:
    """Endpoints of ``slots`` with ``work_s`` per request, before entries that share the load."""

    endpoints: int
    slots: int
    work_s: float
    target_s: float
    rate: Callable[[float], float]
    pace: Callable[[int, float], float]
    reports_pace: bool = True
    entries: int = 23
    length_s: float = 40.0


@attrs.define
class _Machine:
    ends: list[float] = attrs.field(factory=list)  # When each request here ends, as a heap.
    free_at: list[float] = attrs.field(factory=list)


def _run(play: _Play, kind: type[Balancer], seed: int) -> tuple[float, float]:
    """Return the share of requests that were late, and the mean time to the answer."""
    rng = random.Random(seed)
    listed = [
        Endpoint(f"e{i}", "s", "10.0.0.1", 80, f"dc-{i % 4}", play.slots)
        for i in range(play.endpoints)
    ]
    machines = [_Machine(free_at=[0.0] * play.slots) for _ in listed]
    balancers = [kind(f"dc-{i % 4}", random.Random(seed * 100 + i)) for i in range(play.entries)]
    share = 1 / play.slots
    pending: list[tuple[float, int, Balancer, int, float]] = []
    now, number, times = 0.0, 0, []
    while now < play.length_s:
        now += rng.expovariate(play.rate(now))
        while pending and pending[0][0] <= now:
            at, _, balancer, index, took_s = heapq.heappop(pending)
            machine, endpoint = machines[index], listed[index]
            balancer.end(endpoint, share)
            while machine.ends and machine.ends[0] <= at:
                heapq.heappop(machine.ends)
            held = len(machine.ends)
            pace = play.pace(index, at) if play.reports_pace else 1.0
            running = min(held, play.slots)
            balancer.record_load(endpoint, Load(running, held - running, play.slots, pace), at)
            balancer.record_result(endpoint, True, at)
            balancer.record_time(endpoint, took_s, at)
        balancer = rng.choice(balancers)
        endpoint = balancer.choose(listed, (), now, share)
        balancer.begin(endpoint, share)
        index = listed.index(endpoint)
        machine = machines[index]
        start = max(now, heapq.heappop(machine.free_at))
        end = start + play.work_s * rng.uniform(0.8, 1.2) * play.pace(index, start)
        heapq.heappush(machine.free_at, end)
        heapq.heappush(machine.ends, end)
        number += 1
        times.append(end - now)
        heapq.heappush(pending, (end, number, balancer, index, end - now))
    late = sum(seconds > play.target_s for seconds in times) / len(times)
    return late, sum(times) / len(times)


def _jumps(index: int, now: float) -> float:
    """Return a pace up to 2.5 for some hundred ms at a time, by machine and time."""
    rng = random.Random(index * 100_003 + int(now / 0.4))
    return rng.uniform(1.5, 2.5) if rng.random() < 0.3 else 1.0


def _bursts(normal: float, high: float) -> Callable[[float], float]:
    return lambda now: high if now % 13 > 8 else normal


PLAIN = _Play(4, 6, 0.045, 0.258, _bursts(74, 185), _jumps)
PLAIN_FULL = attrs.evolve(PLAIN, rate=_bursts(74, 380))
ENGINES = _Play(22, 12, 1.4, 2.8, _bursts(75, 150), lambda i, _: 2.0 if i % 4 == 0 else 1.0)
SILENT_ENGINES = attrs.evolve(ENGINES, reports_pace=False, length_s=100.0)
EVEN = attrs.evolve(PLAIN_FULL, pace=lambda _, __: 1.0)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "play",
    [PLAIN, PLAIN_FULL, ENGINES, SILENT_ENGINES, EVEN],
    ids=["plain", "plain_full", "engines", "silent_engines", "even"],
)
def test_callers_get_no_less_than_from_a_placement_without_speeds(play: _Play, seed: int) -> None:
    """Guards against entries that herd onto an endpoint, or that use slow ones as fast ones."""
    late, mean_s = _run(play, Balancer, seed)
    late_before, mean_before_s = _run(play, _EvenBalancer, seed)
    print(f"late {late_before:.4f} -> {late:.4f}, mean {mean_before_s:.4f} -> {mean_s:.4f} s")
    assert late <= late_before
    assert mean_s <= mean_before_s
