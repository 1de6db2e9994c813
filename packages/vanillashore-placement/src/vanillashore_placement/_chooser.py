"""Choice of candidates at an entry, from the loads it has last seen."""

import random

from vanillashore_placement._affinity import first_below_bound, has_whole_piece, rank_by_affinity
from vanillashore_placement._loads import EndpointLoads
from vanillashore_resilience import Breaker


class EndpointSelector:
    """Power of two choices and prefix affinity, among endpoints whose breaker is closed.

    ``rng`` is passed in so that tests can seed it.
    """

    def __init__(self, loads: EndpointLoads, rng: random.Random, breaker: Breaker) -> None:
        self._loads = loads
        self._rng = rng
        self._breaker = breaker

    def candidates(self, endpoints: list[str], now: float, count: int = 2) -> list[str]:
        """Return up to ``count`` random endpoints, least pressure first."""
        usable = self._breaker.usable(endpoints, now)
        picked = self._rng.sample(usable, min(count, len(usable)))
        return self._chosen(sorted(picked, key=self._loads.pressure), now)

    def prefill_candidates(
        self, endpoints: list[str], workspace: str, prompt: str, now: float
    ) -> list[str]:
        """Return the endpoint that most likely has the prompt's prefix and is not overloaded.

        A prompt too short to leave anything in a cache goes to the less loaded of the two
        endpoints that its hash picks, so that copies sent through several entries meet on one.
        """
        usable = self._breaker.usable(endpoints, now)
        if not has_whole_piece(prompt):
            pair = rank_by_affinity(workspace, prompt, usable)[:2]
            return self._chosen([min(pair, key=self._loads.pressure)], now)
        chosen = first_below_bound(rank_by_affinity(workspace, prompt, usable), self._loads)
        return self._chosen([chosen], now)

    def _chosen(self, endpoints: list[str], now: float) -> list[str]:
        for endpoint in endpoints:
            self._breaker.record_selected(endpoint, now)
        return endpoints
