"""Order of queued generations, and a simulated burst against plain arrival order."""

import attrs
import pytest

from vanillashore_gateway._slot_queue import SlotQueue, Waiter


def _waiter(name: str, arrived: float, on_time_s: float = 0.5, max_wait_s: float = 2.7) -> Waiter:
    return Waiter(name, arrived, arrived + on_time_s, arrived + max_wait_s)


def test_waiters_on_time_precede_late_ones_each_in_order_of_arrival() -> None:
    queue: SlotQueue[str] = SlotQueue()
    for name, arrived in (("late-1", 0.0), ("late-2", 0.1), ("new-1", 0.7), ("new-2", 0.8)):
        queue.add(_waiter(name, arrived))
    order = []
    while len(queue):
        first = queue.first(0.9)
        order.append(first.item)
        queue.remove(first)
    assert order == ["new-1", "new-2", "late-1", "late-2"]


def test_waiters_that_waited_too_long_are_removed() -> None:
    queue: SlotQueue[str] = SlotQueue()
    queue.add(_waiter("a", 0.0))
    queue.add(_waiter("b", 1.0))
    assert [w.item for w in queue.remove_expired(2.7)] == ["a"]
    assert len(queue) == 1


def test_wait_is_estimated_from_the_intervals_between_slots() -> None:
    queue: SlotQueue[str] = SlotQueue()
    for number in range(60):
        queue.record_assigned(number * 0.1)
    for number in range(10):
        queue.add(_waiter(str(number), 6.0))
    assert queue.expected_wait_s() == pytest.approx(1.0, rel=0.1)


def test_time_with_an_empty_queue_does_not_count_as_an_interval() -> None:
    queue: SlotQueue[str] = SlotQueue()
    for number in range(60):
        queue.record_assigned(number * 0.1)
    queue.record_empty()
    queue.record_assigned(100.0)
    queue.add(_waiter("a", 100.0))
    assert queue.expected_wait_s() == pytest.approx(0.1, rel=0.1)


def test_retry_time_is_the_time_of_an_answer() -> None:
    queue: SlotQueue[str] = SlotQueue()
    for _ in range(200):
        queue.record_answer_time(4.0)
    assert queue.retry_after_s() == pytest.approx(4.0, rel=0.05)


@attrs.frozen
class SimulationResult:
    """Counts of generations: served in time for the target, served late, refused."""

    on_time: int
    late: int
    refused: int


def _simulate(rate_per_s: float, slots: int, answer_s: float, is_fifo: bool) -> SimulationResult:
    """Simulate ten seconds of arrivals; each answer holds its slot for ``answer_s``."""
    queue: SlotQueue[float] = SlotQueue()
    free_at = [0.0] * slots
    counts = {"on_time": 0, "late": 0, "refused": 0}
    for step in range(2_000):
        now = step * 0.01
        if now < 10.0 and int(now * rate_per_s) > int((now - 0.01) * rate_per_s):
            on_time_s = 100.0 if is_fifo else 0.5
            queue.add(_waiter(str(now), now, on_time_s))
        counts["refused"] += len(queue.remove_expired(now))
        for slot, at in enumerate(free_at):
            first = queue.first(now) if at <= now else None
            if first is not None:
                queue.remove(first)
                free_at[slot] = now + answer_s
                counts["on_time" if now - first.arrived <= 0.5 else "late"] += 1
    return SimulationResult(**counts)


def test_burst_at_twice_the_capacity_serves_many_more_on_time_than_arrival_order() -> None:
    fifo = _simulate(20.0, slots=35, answer_s=3.5, is_fifo=True)
    result = _simulate(20.0, slots=35, answer_s=3.5, is_fifo=False)
    assert result.on_time > 1.5 * fifo.on_time
    assert result.on_time + result.late >= 0.95 * (fifo.on_time + fifo.late)


def test_below_capacity_no_generation_is_late_or_refused() -> None:
    result = _simulate(8.0, slots=35, answer_s=3.5, is_fifo=False)
    assert (result.late, result.refused) == (0, 0)
