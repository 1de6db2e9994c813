"""Endpoints that are cold: slow for some seconds, and crashing if they get many requests.

The rate of a cold endpoint is a limit for all entries together. It is kept like the limits that
endpoints name in their answers, by `RequestLimits`; this module tells which rate holds when.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

from vanillashore_gateway._domain import Endpoint, EndpointStart, Service
from vanillashore_gateway._request_limits import MAX_TRACKED

# What the entries may send together when they disagree on an endpoint's home: the home, an
# unregistered one and two substitutes permit these multiples of the rate and requests at once.
MAX_SHARE = 1.5
MAX_BURST = 5.0


@attrs.frozen
class ColdBounds:
    """The tolerated requests in a second: ``overage`` times the rate, and ``slack`` more."""

    overage: float = MAX_SHARE
    slack: float = MAX_BURST

    @property
    def rate_share(self) -> float:
        """The part of a cold rate to permit, so that all homes together stay within bounds."""
        return min(1.0, self.overage / MAX_SHARE)


@attrs.define
class _ColdPeriod:
    """A cold period, by the endpoint's record and by its answers; ``since`` is when it was learnt.

    ``stated_s`` is what the newest record stated. The period ``is_live`` if the record was read
    as it was written; one in a snapshot may be old. ``peer_per_s`` is a rate stated by an entry.
    """

    service: str
    since: float
    until: float = 0.0
    answered_until: float = 0.0
    stated_s: float = 0.0
    is_live: bool = False
    peer_per_s: float | None = None

    @property
    def ends_at(self) -> float:
        return max(self.until, self.answered_until)


class ColdRates:
    """Tells which endpoints are cold, and how many requests a second they accept.

    Example::

        cold.update_services(config.services)
        cold.record_written(endpoint)
        cold.rate_per_s(endpoint.start)  # `cold_per_s` of the service, `None` once it is warm
    """

    def __init__(self, clock: Callable[[], float], bounds: ColdBounds) -> None:
        self._clock = clock
        self._bounds = bounds
        self._rates: dict[str, float] = {}
        self._start_s: dict[str, float] = {}
        self._periods: OrderedDict[EndpointStart, _ColdPeriod] = OrderedDict()

    @property
    def bounds(self) -> ColdBounds:
        """The bounds on what a cold endpoint gets."""
        return self._bounds

    def update_services(self, services: Iterable[Service]) -> None:
        """Set the cold rates; services without one have no cold endpoints."""
        limited = [service for service in services if service.cold_per_s > 0]
        self._rates = {service.name: service.cold_per_s for service in limited}
        self._start_s = {service.name: service.cold_start_s for service in limited}

    def record_written(self, endpoint: Endpoint) -> None:
        """Record an endpoint's record as it is written, which replaces what earlier ones state."""
        is_new = endpoint.start not in self._periods
        cold_s = endpoint.cold_s
        if cold_s is None:
            # A record that does not tell is of a new start, or was written for another reason.
            if not is_new:
                return
            cold_s = self._start_s.get(endpoint.service, 0.0)
        period = self._period(endpoint.start, endpoint.service)
        period.until = self._clock() + cold_s
        period.stated_s, period.is_live = cold_s, True

    def record_listed(self, endpoint: Endpoint) -> None:
        """Record an endpoint's record in a snapshot.

        It may be old, and of a restored store older than what is known, so it shortens no period,
        and one that states the same again does not renew it.
        """
        known = self._periods.get(endpoint.start)
        cold_s = endpoint.cold_s or 0.0
        if known is not None and known.stated_s == cold_s:
            return
        period = self._period(endpoint.start, endpoint.service)
        period.until = max(period.until, self._clock() + cold_s)
        period.stated_s = cold_s

    def record_answer(self, endpoint: Endpoint, cold_s: float) -> None:
        """Record what an endpoint states in an answer; answers may overtake one another."""
        period = self._period(endpoint.start, endpoint.service)
        period.answered_until = max(period.answered_until, self._clock() + cold_s)

    def record_peer(self, start: EndpointStart, cold_s: float, per_s: float) -> None:
        """Record what another entry has learnt of an endpoint, perhaps earlier than this one."""
        period = self._period(start, "")
        period.answered_until = max(period.answered_until, self._clock() + cold_s)
        period.peer_per_s = per_s

    def rate_per_s(self, start: EndpointStart) -> float | None:
        """Return how many requests a second all entries may send; ``None`` if it is not cold."""
        period = self._periods.get(start)
        if period is None or period.ends_at <= self._clock():
            return None
        rate = self._rates.get(period.service, period.peer_per_s)
        return None if rate is None else rate * self._bounds.rate_share

    def told(self, start: EndpointStart) -> tuple[float, float]:
        """Return for how long and at which rate an endpoint is cold, to tell its home.

        Zeros if it is not, or if that is known from a snapshot only: an entry that has just
        started would make endpoints cold again for all that have been warm for long.
        """
        period = self._periods.get(start)
        rate = None if period is None else self._rates.get(period.service)
        if rate is None:
            return 0.0, 0.0
        until = max(period.until if period.is_live else 0.0, period.answered_until)
        return max(0.0, until - self._clock()), rate

    def was_learnt_after(self, start: EndpointStart, at: float) -> bool:
        """Whether an endpoint is cold and this entry has learnt of it since ``at``."""
        return self.rate_per_s(start) is not None and self._periods[start].since > at

    @property
    def cold_endpoints(self) -> int:
        """How many endpoints are cold."""
        return sum(self.rate_per_s(start) is not None for start in self._periods)

    def forget(self, instance: str) -> None:
        """Drop what is known of an endpoint that has left."""
        for start in [start for start in self._periods if start.instance == instance]:
            del self._periods[start]

    def _period(self, start: EndpointStart, service: str) -> _ColdPeriod:
        """Return an endpoint's period, a new one if it has none that lasts."""
        now = self._clock()
        period = self._periods.setdefault(start, _ColdPeriod(service, now))
        if period.ends_at <= now:
            period.since = now
        period.service = service or period.service
        self._periods.move_to_end(start)
        while len(self._periods) > MAX_TRACKED:
            self._periods.popitem(last=False)
        return period
