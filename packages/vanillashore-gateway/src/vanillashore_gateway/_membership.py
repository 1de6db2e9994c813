"""The list of endpoints as the platform tells it, over outages of the platform's store."""

from collections.abc import Iterable

from vanillashore_gateway._domain import Endpoint, EndpointRole

RETURN_GRACE_S = 1.9  # Entries that lapsed in an outage are back within about two seconds.


class Membership:
    """Keeps the newest word on each endpoint.

    While the store was away, entries of live endpoints may have lapsed. What is missing when it
    returns is kept for a grace time, and is gone if it is still missing then.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._missing_since: dict[str, float] = {}
        self._grace_until = 0.0

    def record_store_return(self, now: float) -> None:
        """Note that the store is back after an outage."""
        self._grace_until = now + RETURN_GRACE_S

    def replace_all(self, endpoints: Iterable[Endpoint], now: float) -> list[str]:
        """Take the whole list; return the names of endpoints that are gone."""
        listed = {endpoint.instance: endpoint for endpoint in endpoints}
        missing = [name for name in self._endpoints if name not in listed]
        self._endpoints.update(listed)
        for name in listed:
            self._missing_since.pop(name, None)
        return [name for name in missing if self._lose(name, now)]

    def put(self, endpoint: Endpoint) -> None:
        """Take one entry of the list."""
        self._missing_since.pop(endpoint.instance, None)
        self._endpoints[endpoint.instance] = endpoint

    def remove(self, instance: str, now: float) -> bool:
        """Take the removal of an entry; return whether the endpoint is gone now."""
        return instance in self._endpoints and self._lose(instance, now)

    def expire(self, now: float) -> list[str]:
        """Return the names of endpoints that are still missing after the grace time."""
        if now < self._grace_until:
            return []
        gone = list(self._missing_since)
        for name in gone:
            self._drop(name)
        return gone

    def usable(self, service: str, role: EndpointRole | None = None) -> list[Endpoint]:
        """Return the endpoints of a service that take new work."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.service == service
            and not endpoint.is_leaving
            and (role is None or endpoint.role is role)
        ]

    def all_usable(self) -> list[Endpoint]:
        """Return the endpoints of all services that take new work."""
        return [endpoint for endpoint in self._endpoints.values() if not endpoint.is_leaving]

    def get(self, instance: str) -> Endpoint | None:
        """Return an endpoint, or ``None`` if it is gone."""
        return self._endpoints.get(instance)

    def __len__(self) -> int:
        return len(self._endpoints)

    def _lose(self, name: str, now: float) -> bool:
        if now < self._grace_until:
            self._missing_since.setdefault(name, now)
            return False
        self._drop(name)
        return True

    def _drop(self, name: str) -> None:
        self._endpoints.pop(name, None)
        self._missing_since.pop(name, None)
