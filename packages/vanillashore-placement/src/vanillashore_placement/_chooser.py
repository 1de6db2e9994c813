"""Choice of candidates at an entry, from the loads it has last seen."""

import random

from vanillashore_wire import Load


class SeenLoads:
    """The load of each endpoint as the last message from its side process gave it."""

    def __init__(self) -> None:
        self._loads: dict[str, Load] = {}

    def note(self, endpoint: str, load: Load) -> None:
        """Remember the load of an endpoint."""
        self._loads[endpoint] = load

    def pressure(self, endpoint: str) -> float:
        """Return running and waiting work per slot; an endpoint never seen counts as idle."""
        load = self._loads.get(endpoint)
        if load is None or load.slots == 0:
            return 0.0
        return (load.running + load.waiting) / load.slots


class Chooser:
    """Power of two choices; ``rng`` is passed in so that tests can seed it."""

    def __init__(self, loads: SeenLoads, rng: random.Random) -> None:
        self._loads = loads
        self._rng = rng

    def candidates(self, endpoints: list[str], count: int = 2) -> list[str]:
        """Return up to ``count`` random endpoints, least pressure first."""
        picked = self._rng.sample(endpoints, min(count, len(endpoints)))
        return sorted(picked, key=self._loads.pressure)
