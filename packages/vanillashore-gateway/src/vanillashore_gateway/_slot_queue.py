"""Order in which generations get decode slots, and when one is refused.

Handles bursts in which more generations arrive than the engines' memory holds. Generations that can
still meet their target come first, in order of arrival. Late ones get the slots that are left, so
that a burst does not make every generation late. A generation that would not get a slot in time is
refused at once, with the time at which to retry.
"""

from collections import deque
from typing import Generic, TypeVar

import attrs

INTERVAL_SMOOTHING = 0.2  # Weight of the newest interval: about ten slots decide the mean.
INITIAL_INTERVAL_S = 0.25  # Between free slots, for a few engines and answers of some seconds.
MAX_INTERVAL_S = 2.0
INITIAL_ANSWER_S = 3.0  # An answer of some hundred tokens.
ANSWER_SMOOTHING = 0.05

T = TypeVar("T")


@attrs.define(eq=False)
class Waiter(Generic[T]):
    """An item in the queue; times are in seconds of the caller's clock.

    A slot assigned before ``on_time_until`` is early enough to meet the target latency. From
    ``give_up_at`` on, the item is refused. A lower ``rank`` is more urgent.
    """

    item: T
    arrived: float
    on_time_until: float
    give_up_at: float
    rank: int = 0


class SlotQueue(Generic[T]):
    """A queue for decode slots; callers pass in the current time.

    Example::

        queue = SlotQueue()
        if queue.expected_wait_s() > max_wait_s:
            ...  # refuse; the caller may retry after `queue.retry_after_s()`
        queue.add(waiter)
        first = queue.first(now)
    """

    def __init__(self) -> None:
        self._waiters: deque[Waiter[T]] = deque()
        self._interval_s = INITIAL_INTERVAL_S
        self._assigned_at: float | None = None
        self._answer_s = INITIAL_ANSWER_S

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter[T], is_first: bool = False) -> None:
        """Append a waiter, or put it at the front."""
        if is_first:
            self._waiters.appendleft(waiter)
        else:
            self._waiters.append(waiter)

    def remove(self, waiter: Waiter[T]) -> None:
        """Remove a waiter if it is in the queue."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def first(self, now: float) -> Waiter[T] | None:
        """Return the waiter to serve next.

        It is the first in its rank that is on time, else the first late one.
        """
        on_time = [waiter for waiter in self._waiters if now < waiter.on_time_until]
        return min(on_time or self._waiters, key=lambda waiter: waiter.rank, default=None)

    def remove_expired(self, now: float) -> list[Waiter[T]]:
        """Remove the waiters whose ``give_up_at`` has passed, and return them."""
        expired = [waiter for waiter in self._waiters if now >= waiter.give_up_at]
        for waiter in expired:
            self._waiters.remove(waiter)
        return expired

    def record_assigned(self, now: float) -> None:
        """Record that a queued generation got a slot."""
        if self._assigned_at is not None:
            interval_s = min(MAX_INTERVAL_S, now - self._assigned_at)
            self._interval_s += INTERVAL_SMOOTHING * (interval_s - self._interval_s)
        self._assigned_at = now

    def record_empty(self) -> None:
        """Record that the queue is empty, so that the idle time counts as no interval."""
        self._assigned_at = None

    def expected_wait_s(self) -> float:
        """Return how long a generation that is queued now would wait."""
        return len(self._waiters) * self._interval_s

    def record_answer_time(self, seconds: float) -> None:
        """Record how long an answer held its slot."""
        self._answer_s += ANSWER_SMOOTHING * (seconds - self._answer_s)

    def retry_after_s(self) -> float:
        """Return the delay after which a generation that is refused now can expect a slot.

        Generations that arrive in the meantime can still be on time and are served first, so a late
        one finds a free slot only when the answers in progress have ended.
        """
        return max(self._answer_s, (len(self._waiters) + 1) * self._interval_s)
