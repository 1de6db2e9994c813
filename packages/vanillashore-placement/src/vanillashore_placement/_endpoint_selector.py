"""Selection of candidate endpoints at an entry, by the loads last reported to it."""

import random

from vanillashore_placement._affinity import fills_piece, first_below_bound, rank_by_affinity
from vanillashore_placement._loads import EndpointLoads
from vanillashore_resilience import Breaker


class EndpointSelector:
    """Selects by power of two choices or prefix affinity among endpoints with a closed breaker.

    ``rng`` is passed in so that tests can seed it.
    """

    def __init__(self, loads: EndpointLoads, rng: random.Random, breaker: Breaker) -> None:
        self._loads = loads
        self._rng = rng
        self._breaker = breaker

    def candidates(self, endpoints: list[str], now: float, count: int = 2) -> list[str]:
        """Return up to ``count`` random endpoints, the least loaded first."""
        usable = self._breaker.usable(endpoints, now)
        picked = self._rng.sample(usable, min(count, len(usable)))
        return self._record_selected(sorted(picked, key=self._loads.pressure), now)

    def prefill_candidates(
        self, endpoints: list[str], workspace: str, prompt: str, now: float
    ) -> list[str]:
        """Return a list of one: the endpoint that ranks first for the prefix and is not overloaded.

        A prompt too short to fill a KV piece goes to the less loaded of the two endpoints that rank
        first for it, so that copies sent through several entries reach the same two endpoints.
        """
        usable = self._breaker.usable(endpoints, now)
        if not fills_piece(prompt):
            pair = rank_by_affinity(workspace, prompt, usable)[:2]
            return self._record_selected([min(pair, key=self._loads.pressure)], now)
        chosen = first_below_bound(rank_by_affinity(workspace, prompt, usable), self._loads)
        return self._record_selected([chosen], now)

    def _record_selected(self, endpoints: list[str], now: float) -> list[str]:
        for endpoint in endpoints:
            self._breaker.record_selected(endpoint, now)
        return endpoints
