"""Choice of the endpoint for a request: where it ends first, among the healthy ones.

Handles endpoints of different speed, endpoints that crash or fail a part of their requests, and
bursts in which all endpoints are nearly full.
"""

import random
from collections import defaultdict
from collections.abc import Callable, Collection, Sequence

import attrs

from vanillashore_gateway._domain import Endpoint, Load
from vanillashore_gateway._endpoint_speeds import EndpointSpeeds
from vanillashore_resilience import Breaker

FULL_TTL_S = 0.1  # A full endpoint may have room again after this.
LOAD_TTL_S = 1.0  # A load that an endpoint reported is outdated after this.
FAILURE_WEIGHT = 2.0  # Load added to an endpoint that always fails; less for fewer failures.
# Longest exclusion. Endpoints fail for some seconds at a time, and exclusions double with each
# failed probe; at half a minute, an endpoint would stay unused long after it is sound again.
MAX_EXCLUSION_S = 4.0
MIN_CHOICES = 2  # Endpoints that are compared, at random, while speeds differ; else all are.
# Load added to a cold endpoint. How much slower it is nobody states; with half, it is chosen once
# the others are half full, within its rate.
COLD_WEIGHT = 0.5
REMOTE_WEIGHT = 0.2  # Load added to an idle endpoint in another data centre, as traffic costs.


@attrs.define
class _Work:
    """This entry's work on an endpoint; ``share`` is the part of the endpoint that it takes."""

    running: int = 0
    share: float = 0.0
    last_full_at: float = -1e9
    reported: Load | None = None
    reported_at: float = 0.0


class Balancer:
    """Chooses endpoints and counts this entry's work on them.

    Example::

        endpoint = balancer.choose(membership.usable("orders"), tried, now, share=1 / 6)
        balancer.begin(endpoint, share=1 / 6)
        ...
        balancer.end(endpoint, share=1 / 6)
    """

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._work: dict[str, _Work] = defaultdict(_Work)
        self.speeds = EndpointSpeeds()
        self.breaker = Breaker(MAX_EXCLUSION_S)
        self.is_cold: Callable[[Endpoint], bool] = lambda endpoint: False

    def choose(
        self, endpoints: Sequence[Endpoint], tried: Collection[str], now: float, share: float
    ) -> Endpoint | None:
        """Return the endpoint where the request ends first, or ``None`` if all were tried.

        ``share`` is the part of an endpoint that one such request takes.
        """
        untried = [e for e in endpoints if e.instance not in tried]
        if not untried:
            return None
        candidates = self.healthy(untried, now)
        self._rng.shuffle(candidates)
        if any(self.speeds.slowness(e, now) != 1.0 for e in candidates):
            # All entries read the same reports, and would all choose the same endpoint.
            candidates = candidates[: max(MIN_CHOICES, len(candidates) // 2)]
        chosen = min(candidates, key=lambda e: self._score(e, now, share))
        self.record_selected(chosen, now)
        return chosen

    def healthy(self, endpoints: Sequence[Endpoint], now: float) -> list[Endpoint]:
        """Return the healthy endpoints, or all of them if most are unhealthy."""
        usable = set(self.breaker.usable([e.instance for e in endpoints], now))
        return [e for e in endpoints if e.instance in usable]

    def record_selected(self, endpoint: Endpoint, now: float) -> None:
        """Record that an endpoint is chosen for a request."""
        self.breaker.record_selected(endpoint.instance, now)

    def pressure(self, endpoint: Endpoint, now: float, share: float) -> float:
        """Return the part of an endpoint that is in use; 1.0 is full."""
        work = self._work[endpoint.instance]
        if now - work.last_full_at < FULL_TTL_S:
            return max(1.0, work.share)
        if work.reported is None or now - work.reported_at > LOAD_TTL_S:
            return work.share
        return max(work.share, (work.reported.running + work.reported.waiting) * share)

    def has_room(self, endpoints: Sequence[Endpoint], now: float) -> bool:
        """Whether a healthy one of these endpoints has a free slot, as far as is known."""
        return any(
            self.pressure(e, now, 1 / max(1, e.slots)) < 1.0 for e in self.healthy(endpoints, now)
        )

    def begin(self, endpoint: Endpoint, share: float) -> None:
        """Count a request that is sent to an endpoint."""
        work = self._work[endpoint.instance]
        work.running += 1
        work.share += share

    def end(self, endpoint: Endpoint, share: float) -> None:
        """Count a request that has ended at an endpoint."""
        work = self._work[endpoint.instance]
        work.running -= 1
        work.share = max(0.0, work.share - share) if work.running else 0.0

    def record_full(self, endpoint: Endpoint, now: float) -> None:
        """Record that an endpoint had no room."""
        self._work[endpoint.instance].last_full_at = now

    def record_load(self, endpoint: Endpoint, load: Load | None, now: float) -> None:
        """Record the load that an endpoint reported, if any."""
        if load is not None:
            work = self._work[endpoint.instance]
            work.reported, work.reported_at = load, now
            self.speeds.record_pace(endpoint, load.pace, now)

    def record_time(self, endpoint: Endpoint, seconds: float, now: float) -> None:
        """Record the time that a successful answer, or a step of it, took."""
        self.speeds.record_time(endpoint, seconds, now)

    def record_result(self, endpoint: Endpoint, succeeded: bool, now: float) -> None:
        """Record whether a request succeeded at an endpoint."""
        self.breaker.record_result(endpoint.instance, succeeded, now)

    def record_unreachable(self, endpoint: Endpoint, now: float) -> None:
        """Exclude an endpoint that does not accept connections."""
        self.breaker.trip(endpoint.instance, now)

    def forget(self, instance: str) -> None:
        """Drop what is recorded of an endpoint that has left."""
        self._work.pop(instance, None)
        self.speeds.forget(instance)
        self.breaker.forget(instance)

    def _score(self, endpoint: Endpoint, now: float, share: float) -> float:
        pressure = self.pressure(endpoint, now, share)
        # The expected time to the end, in usual service times beyond the first: the endpoint's part
        # in use at usual speed, and that of an endpoint with as much delay at another speed.
        delay = self.speeds.slowness(endpoint, now) * (1.0 + pressure) - 1.0
        delay += FAILURE_WEIGHT * self.breaker.failure_share(endpoint.instance, now)
        if self.is_cold(endpoint):
            delay += COLD_WEIGHT
        if endpoint.data_centre == self._data_centre:
            return delay
        # Distance counts less on a fuller endpoint, so that near endpoints are not overloaded.
        return delay + REMOTE_WEIGHT * max(0.0, 1.0 - pressure)
