"""What a keeper learns from finished work: how long places are held, and how far to grant ahead."""

import math

_SMOOTHING = 0.05


class Average:
    """An exponentially weighted mean that starts at its first sample."""

    def __init__(self, smoothing: float = _SMOOTHING) -> None:
        self._smoothing = smoothing
        self.value: float | None = None

    def add(self, sample: float) -> None:
        """Take in a sample."""
        if self.value is None:
            self.value = sample
        else:
            self.value += self._smoothing * (sample - self.value)


class QueuePace:
    """How fast a queue drains: by places that are released and by asks that are withdrawn.

    An entry queues at two keepers and withdraws the loser, so about half of a queue leaves without
    taking a place; the share is learnt, as it differs with the load.
    """

    def __init__(self) -> None:
        self._hold_s = Average()
        self._granted_share = Average()

    def note_released(self, held_s: float) -> None:
        """Take in how long a place was held."""
        self._hold_s.add(held_s)

    def note_left(self, granted: bool) -> None:
        """Take in how an ask left the queue."""
        self._granted_share.add(1.0 if granted else 0.0)

    def wait_s(self, ahead: int, places: int) -> float:
        """Estimate the wait behind ``ahead`` asks; 0 while nothing is known."""
        if self._hold_s.value is None:
            return 0.0
        share = 1.0 if self._granted_share.value is None else self._granted_share.value
        return (ahead * share + 1) * self._hold_s.value / places

    @property
    def hold_s(self) -> float | None:
        """Mean time that a place is held once it is used."""
        return self._hold_s.value


class GrantAhead:
    """How many places more than there are may be granted, since some come free in time.

    The estimate is the number of places that are released while a prefill and a transfer run. The
    bound on it shrinks when a cache had to wait at the engine and grows slowly while none does.
    """

    MAX_SHARE = 0.25
    WAIT_TOLERATED_S = 0.15
    _GROWTH = 0.1
    _SHRINK_AFTER_WAIT = 0.9
    _SHRINK_AFTER_EVICTION = 0.5

    def __init__(self, slots: int) -> None:
        self._max = slots * self.MAX_SHARE
        self._bound = self._max / 2
        self._lead_s = Average()

    @property
    def lead_s(self) -> float:
        """Mean time between a grant and the arrival of its work; 0 while nothing is known."""
        return self._lead_s.value or 0.0

    def note_used(self, lead_s: float) -> None:
        """Take in the time between a grant and the arrival of its work."""
        self._lead_s.add(lead_s)

    def record_started(self, waited_s: float) -> None:
        """Take in how long a cache waited at the engine for its turn."""
        if waited_s > self.WAIT_TOLERATED_S:
            self._bound *= self._SHRINK_AFTER_WAIT
        else:
            self._bound = min(self._max, self._bound + self._GROWTH)

    def record_evicted(self) -> None:
        """Take in that a cache was evicted before it could be imported."""
        self._bound *= self._SHRINK_AFTER_EVICTION

    def places(self, in_use: int, hold_s: float | None) -> int:
        """Return how many places may be granted ahead now."""
        if hold_s is None or not hold_s or self._lead_s.value is None:
            return 0
        return math.ceil(min(self._bound, in_use * self._lead_s.value / hold_s))
