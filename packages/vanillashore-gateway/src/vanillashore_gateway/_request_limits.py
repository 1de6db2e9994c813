"""Request limits that endpoints name in their answers, kept by all entries together.

Handles overloaded endpoints that many entries send to. One entry is the home of an endpoint: the
others ask it for permission before each request, so that the limit holds for uneven traffic too,
and no entry has to save up a share that it seldom uses. When the home does not answer, substitutes
permit a small part of the limit.
"""

from collections import OrderedDict

import attrs

from vanillashore_gateway._domain import EndpointStart

# The platform tolerates half as much again as a limit. These parts of it are permitted at the same
# time when entries disagree on which of them is the home, or cannot reach it.
UNREGISTERED_SHARE = 0.3  # A home whose registration may have expired; it may have a successor.
SUBSTITUTE_SHARE = 0.1  # Each of up to two substitutes, while the home may still be permitting.
HOME_BURST = 2  # Requests that a home permits at once after a pause.
MIN_RATE_PER_S = 0.25  # Keeps some requests going, as only answers show that a limit has ended.
MAX_TRACKED = 4_096  # Endpoints, those that have left included.


@attrs.frozen
class NamedLimit:
    """The limit in an endpoint's newest answer; ``None`` is no limit.

    ``version`` rises with each change that an entry sees. Of two changes with the same version,
    that of the entry with the greater name holds.
    """

    limit_per_s: float | None = None
    version: int = 0
    seen_by: str = ""

    def is_newer_than(self, other: "NamedLimit") -> bool:
        """Whether this change replaces the other one."""
        return (self.version, self.seen_by) > (other.version, other.seen_by)


NO_LIMIT = NamedLimit()


class LimitTable:
    """The newest limits, as seen by this entry or by others."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._limits: OrderedDict[EndpointStart, NamedLimit] = OrderedDict()

    def get(self, start: EndpointStart) -> NamedLimit:
        """Return an endpoint's newest limit."""
        return self._limits.get(start, NO_LIMIT)

    def limited(self) -> list[tuple[EndpointStart, NamedLimit]]:
        """Return the endpoints that name a limit."""
        return [(s, limit) for s, limit in self._limits.items() if limit.limit_per_s is not None]

    def record_answer(
        self, start: EndpointStart, limit_per_s: float | None, known: NamedLimit
    ) -> bool:
        """Record the limit in an answer; return whether it is a change.

        ``known`` is what this entry knew when it sent the request. If it has learnt of another
        change since, the answer may be older than that change, and is left out.
        """
        current = self.get(start)
        if limit_per_s == current.limit_per_s or current != known:
            return False
        return self.adopt(start, NamedLimit(limit_per_s, current.version + 1, self._node))

    def adopt(self, start: EndpointStart, limit: NamedLimit) -> bool:
        """Take over a limit that another entry has seen, if it is newer; return whether it is."""
        if not limit.is_newer_than(self.get(start)):
            return False
        self._limits[start] = limit
        self._limits.move_to_end(start)
        while len(self._limits) > MAX_TRACKED:
            self._limits.popitem(last=False)
        return True

    def forget(self, instance: str) -> None:
        """Drop the limits of an endpoint that has left."""
        for start in [start for start in self._limits if start.instance == instance]:
            del self._limits[start]


@attrs.frozen
class Permit:
    """Permission to send a request after ``wait_s``; if refused, one is expected by then."""

    is_granted: bool
    wait_s: float


class RequestPacer:
    """Spaces the requests to each endpoint; callers pass in the current time.

    Example::

        pacer.take(start, 4.0, burst=1, max_wait_s=0.1, now=now)  # Permit(True, 0.0)
        pacer.take(start, 4.0, burst=1, max_wait_s=0.1, now=now)  # Permit(False, 0.25)
    """

    def __init__(self) -> None:
        self._next_at: OrderedDict[EndpointStart, float] = OrderedDict()

    def take(
        self, start: EndpointStart, rate_per_s: float, burst: int, max_wait_s: float, now: float
    ) -> Permit:
        """Permit one request within ``max_wait_s``, or none."""
        interval_s = 1 / rate_per_s
        # A new pacer permits one request at once: its predecessor may just have permitted others.
        next_at = max(self._next_at.get(start, now), now - (burst - 1) * interval_s)
        wait_s = max(0.0, next_at - now)
        if wait_s > max_wait_s:
            return Permit(False, wait_s)
        self._next_at[start] = next_at + interval_s
        self._next_at.move_to_end(start)
        while len(self._next_at) > MAX_TRACKED:
            self._next_at.popitem(last=False)
        return Permit(True, wait_s)
