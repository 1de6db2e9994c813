"""Loads of endpoints, as an entry has last seen them."""

from vanillashore_wire import Load


class EndpointLoads:
    """The load of each endpoint as the last message from its side process gave it."""

    def __init__(self) -> None:
        self._loads: dict[str, Load] = {}

    def note(self, endpoint: str, load: Load) -> None:
        """Remember the load of an endpoint."""
        self._loads[endpoint] = load

    def keep_only(self, endpoints: set[str]) -> None:
        """Forget endpoints that are no longer there."""
        self._loads = {name: load for name, load in self._loads.items() if name in endpoints}

    def work(self, endpoint: str) -> int:
        """Return running and waiting work; an endpoint never seen counts as idle."""
        load = self._loads.get(endpoint)
        return 0 if load is None else load.running + load.waiting

    def pressure(self, endpoint: str) -> float:
        """Return running and waiting work per slot; an endpoint never seen counts as idle."""
        load = self._loads.get(endpoint)
        if load is None or load.slots == 0:
            return 0.0
        return (load.running + load.waiting) / load.slots
