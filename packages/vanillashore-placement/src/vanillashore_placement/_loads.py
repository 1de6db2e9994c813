"""Loads of endpoints, as last reported to an entry."""

from vanillashore_wire import Load


class EndpointLoads:
    """The load of each endpoint, as last reported by its sidecar."""

    def __init__(self) -> None:
        self._loads: dict[str, Load] = {}

    def record_load(self, endpoint: str, load: Load) -> None:
        """Store the reported load of an endpoint."""
        self._loads[endpoint] = load

    def keep_only(self, endpoints: set[str]) -> None:
        """Remove the loads of all other endpoints."""
        self._loads = {name: load for name, load in self._loads.items() if name in endpoints}

    def work(self, endpoint: str) -> int:
        """Return running plus queued requests; an endpoint without a report counts as idle."""
        load = self._loads.get(endpoint)
        return 0 if load is None else load.running + load.waiting

    def pressure(self, endpoint: str) -> float:
        """Return running plus queued requests per slot; 0 for an endpoint without a report."""
        load = self._loads.get(endpoint)
        if load is None or load.slots == 0:
            return 0.0
        return (load.running + load.waiting) / load.slots
