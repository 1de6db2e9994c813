"""Which endpoint gets a request: the one with most room, among those that do not fail.

Answers uneven load between endpoints of different speed, endpoints that crash or fail a part of
their requests, and bursts in which all are nearly full.
"""

import random
from collections import defaultdict
from collections.abc import Collection, Sequence

import attrs

from vanillashore_gateway._domain import Endpoint, Load
from vanillashore_resilience import Breaker

FULL_KEPT_S = 0.1  # A place may have become free since.
LOAD_KEPT_S = 1.0  # A load that an endpoint told of is outdated by then.
FAILURE_WEIGHT = 2.0  # Loads that an endpoint which always fails seems to have on top.
FAR_WEIGHT = 0.2  # Of an endpoint, for another data centre: bytes there have their price.


@attrs.define
class _Work:
    """Work of this entry on an endpoint; ``share`` is the part of the endpoint that it takes."""

    running: int = 0
    share: float = 0.0
    full_at: float = -1e9
    told: Load | None = None
    told_at: float = 0.0


class Balancer:
    """Chooses endpoints and keeps count of what runs on them.

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
        self.breaker = Breaker()

    def choose(
        self, endpoints: Sequence[Endpoint], tried: Collection[str], now: float, share: float
    ) -> Endpoint | None:
        """Return the endpoint with most room, or ``None`` if all were tried.

        ``share`` is the part of an endpoint that one such request takes.
        """
        untried = [e for e in endpoints if e.instance not in tried]
        if not untried:
            return None
        candidates = self.healthy(untried, now)
        self._rng.shuffle(candidates)
        chosen = min(candidates, key=lambda e: self._score(e, now, share))
        self.record_selected(chosen, now)
        return chosen

    def healthy(self, endpoints: Sequence[Endpoint], now: float) -> list[Endpoint]:
        """Return the endpoints that do not fail; all of them if most do."""
        usable = set(self.breaker.usable([e.instance for e in endpoints], now))
        return [e for e in endpoints if e.instance in usable]

    def record_selected(self, endpoint: Endpoint, now: float) -> None:
        """Note that an endpoint gets work."""
        self.breaker.record_selected(endpoint.instance, now)

    def pressure(self, endpoint: Endpoint, now: float, share: float) -> float:
        """Return how much of an endpoint is taken; 1.0 is a full one."""
        work = self._work[endpoint.instance]
        if now - work.full_at < FULL_KEPT_S:
            return max(1.0, work.share)
        if work.told is None or now - work.told_at > LOAD_KEPT_S:
            return work.share
        return max(work.share, (work.told.running + work.told.waiting) * share)

    def begin(self, endpoint: Endpoint, share: float) -> None:
        """Count work that goes to an endpoint."""
        work = self._work[endpoint.instance]
        work.running += 1
        work.share += share

    def end(self, endpoint: Endpoint, share: float) -> None:
        """Count work that has ended there."""
        work = self._work[endpoint.instance]
        work.running -= 1
        work.share = max(0.0, work.share - share) if work.running else 0.0

    def note_full(self, endpoint: Endpoint, now: float) -> None:
        """Note that an endpoint had no room just now."""
        self._work[endpoint.instance].full_at = now

    def note_load(self, endpoint: Endpoint, load: Load | None, now: float) -> None:
        """Take in what an endpoint says of its load."""
        if load is not None:
            work = self._work[endpoint.instance]
            work.told, work.told_at = load, now

    def note_result(self, endpoint: Endpoint, succeeded: bool, now: float) -> None:
        """Take in how a request ended there."""
        self.breaker.record_result(endpoint.instance, succeeded, now)

    def note_dead(self, endpoint: Endpoint, now: float) -> None:
        """Leave out an endpoint that does not accept connections."""
        self.breaker.trip(endpoint.instance, now)

    def forget(self, instance: str) -> None:
        """Forget an endpoint that is gone."""
        self._work.pop(instance, None)
        self.breaker.forget(instance)

    def _score(self, endpoint: Endpoint, now: float, share: float) -> float:
        pressure = self.pressure(endpoint, now, share)
        failing = FAILURE_WEIGHT * self.breaker.failure_share(endpoint.instance)
        if endpoint.data_centre == self._data_centre:
            return pressure + failing
        # The nearer endpoints fill up, the less distance counts, so that none is overfull.
        return pressure + failing + FAR_WEIGHT * max(0.0, 1.0 - pressure)
