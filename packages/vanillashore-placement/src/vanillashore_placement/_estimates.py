"""Estimates of a scheduler: hold times, queue waits and how many places to overcommit."""

import math

_SMOOTHING = 0.05


class Average:
    """An exponentially weighted mean that starts at its first sample."""

    def __init__(self, smoothing: float = _SMOOTHING) -> None:
        self._smoothing = smoothing
        self.value: float | None = None

    def add(self, sample: float) -> None:
        """Add a sample."""
        if self.value is None:
            self.value = sample
        else:
            self.value += self._smoothing * (sample - self.value)


class QueueDrainEstimator:
    """Estimates how fast a queue drains, by released places and withdrawn requests.

    An entry queues a request at two schedulers and withdraws it from the slower one, so about half
    of the requests leave a queue without a place. The share depends on the load, so it is estimated
    from past requests.
    """

    def __init__(self) -> None:
        self._hold_s = Average()
        self._granted_share = Average()

    def record_release(self, held_s: float) -> None:
        """Record how long a place was held."""
        self._hold_s.add(held_s)

    def record_departure(self, granted: bool) -> None:
        """Record whether a request left the queue with a place or was withdrawn."""
        self._granted_share.add(1.0 if granted else 0.0)

    def wait_s(self, ahead: int, places: int) -> float:
        """Estimate the wait in the queue after ``ahead`` requests; 0 until a place was released."""
        if self._hold_s.value is None:
            return 0.0
        share = 1.0 if self._granted_share.value is None else self._granted_share.value
        return (ahead * share + 1) * self._hold_s.value / places

    @property
    def hold_s(self) -> float | None:
        """Mean time for which a place in use is held; None before the first sample."""
        return self._hold_s.value


class OvercommitLimit:
    """Limits how many places are granted in advance, while they are still in use.

    A prefill and a transfer pass between a grant and the arrival of its request. The limit is the
    number of places expected to be released in that time, up to a bound. The bound shrinks when a
    cache had to wait at the engine or was evicted, and grows slowly otherwise.
    """

    MAX_FRACTION = 0.25
    TOLERATED_WAIT_S = 0.15
    _GROWTH = 0.1
    _SHRINK_AFTER_WAIT = 0.9
    _SHRINK_AFTER_EVICTION = 0.5

    def __init__(self, slots: int) -> None:
        self._max = slots * self.MAX_FRACTION
        self._bound = self._max / 2
        self._lead_s = Average()

    @property
    def lead_s(self) -> float:
        """Mean time from a grant to the arrival of its request; 0 before the first sample."""
        return self._lead_s.value or 0.0

    def record_use(self, lead_s: float) -> None:
        """Record the time from a grant to the arrival of its request."""
        self._lead_s.add(lead_s)

    def record_started(self, waited_s: float) -> None:
        """Record how long an imported cache waited at the engine for its first token."""
        if waited_s > self.TOLERATED_WAIT_S:
            self._bound *= self._SHRINK_AFTER_WAIT
        else:
            self._bound = min(self._max, self._bound + self._GROWTH)

    def record_evicted(self) -> None:
        """Record that a cache was evicted before it could be imported."""
        self._bound *= self._SHRINK_AFTER_EVICTION

    def places(self, in_use: int, hold_s: float | None) -> int:
        """Return how many places may be overcommitted now."""
        if hold_s is None or not hold_s or self._lead_s.value is None:
            return 0
        return math.ceil(min(self._bound, in_use * self._lead_s.value / hold_s))
