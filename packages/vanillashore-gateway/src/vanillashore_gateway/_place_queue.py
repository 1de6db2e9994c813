"""Order in which generations get places, and when one is refused.

Answers bursts in which more generations arrive than the engines' memory holds. Those that can
still meet their target go first, in order of arrival. Those that are late already take what is
left, so that a burst does not make everybody late. A generation that would not get a place in time
is refused at once, with the time at which one is expected.
"""

from collections import deque
from typing import Generic, TypeVar

import attrs

PACE_SMOOTHING = 0.2  # Of the newest interval; some ten places decide the pace.
FIRST_PACE_S = 0.25  # Until two places were given: a few engines, some seconds for each answer.
MAX_PACE_S = 2.0
FIRST_ANSWER_S = 3.0  # Until answers have ended: a usual answer of some hundred tokens.
ANSWER_SMOOTHING = 0.05

T = TypeVar("T")


@attrs.define(eq=False)
class Waiting(Generic[T]):
    """One that waits; in seconds of the caller's clock.

    Until ``on_time_until`` a place is in time for the target; after ``give_up_at`` it is refused.
    """

    item: T
    arrived: float
    on_time_until: float
    give_up_at: float


class PlaceQueue(Generic[T]):
    """A queue for places; time is passed in.

    Example::

        queue = PlaceQueue()
        if queue.would_wait_s() > patience_s:
            ...  # refuse, to return in `queue.retry_after_s`
        queue.add(waiting)
        first = queue.first(now)
    """

    def __init__(self) -> None:
        self._waiting: deque[Waiting[T]] = deque()
        self._pace_s = FIRST_PACE_S
        self._given_at: float | None = None
        self._answer_s = FIRST_ANSWER_S

    @property
    def answer_s(self) -> float:
        """How long a usual answer holds its place."""
        return self._answer_s

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiting: Waiting[T], is_first: bool = False) -> None:
        """Let one wait, behind the others or before them."""
        if is_first:
            self._waiting.appendleft(waiting)
        else:
            self._waiting.append(waiting)

    def remove(self, waiting: Waiting[T]) -> None:
        """Take one out, wherever it stands."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def first(self, now: float) -> Waiting[T] | None:
        """Return the one whose turn it is: the first on time, else the first of the late."""
        for waiting in self._waiting:
            if now < waiting.on_time_until:
                return waiting
        return self._waiting[0] if self._waiting else None

    def overdue(self, now: float) -> list[Waiting[T]]:
        """Return those that have waited too long, and take them out."""
        due = [waiting for waiting in self._waiting if now >= waiting.give_up_at]
        for waiting in due:
            self._waiting.remove(waiting)
        return due

    def note_given(self, now: float) -> None:
        """Note that a place was given to one that had to wait."""
        if self._given_at is not None:
            interval_s = min(MAX_PACE_S, now - self._given_at)
            self._pace_s += PACE_SMOOTHING * (interval_s - self._pace_s)
        self._given_at = now

    def note_empty(self) -> None:
        """Note that nobody waits: the next interval says nothing of the pace."""
        self._given_at = None

    def would_wait_s(self) -> float:
        """Return how long one that comes now would wait."""
        return len(self._waiting) * self._pace_s

    def record_answer_time(self, seconds: float) -> None:
        """Note how long an answer held its place."""
        self._answer_s += ANSWER_SMOOTHING * (seconds - self._answer_s)

    def retry_after_s(self) -> float:
        """Return when a place is expected for one that is refused now.

        Those that arrive meanwhile can still be on time and go first, so that a place is free for
        one that is late when the answers under way now have ended.
        """
        return max(self._answer_s, (len(self._waiting) + 1) * self._pace_s)
