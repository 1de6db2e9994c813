"""The platform's list of endpoints, kept through outages of the platform's store."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import TypeVar

from vanillashore_gateway._domain import Endpoint, EndpointRole, EndpointStart

# Endpoints whose records expired in an outage are listed again within about two seconds.
RETURN_GRACE_S = 1.9
# Longest time from an endpoint's start until its new record is read, without an outage. An answer
# in this time may be of either start.
RECORD_LAG_S = 3.0
MAX_ENDED = 4_096  # Starts that left, for when the store comes back from an older copy.


T = TypeVar("T")


class Membership:
    """Keeps the newest record of each endpoint.

    While the store was unavailable, records of live endpoints may have expired. Endpoints that are
    missing when it returns are kept for a grace time, and dropped if they are still missing then.
    A later return gives no more time to those that are missing already: an endpoint that is removed
    for good is not kept by a watch that is cut again and again.

    A record may be of an earlier start of its endpoint. It is unconfirmed if there is a sign of
    that, or if it comes from a snapshot, which a restored store may have had before the restart. An
    endpoint is unobserved if there was no connection to it, so that a sign may have been missed.

    An endpoint may also state in an answer that it is leaving. That holds for its start, whatever
    its records or other answers tell, as the list may be old and answers may overtake one another.
    A statement may also be of a start whose record is read a little later. It is then carried over
    to that start for a while, in which the list comes to tell it if it was.

    A data centre may be evacuated: its endpoints stay listed, but are not usable until then. That
    holds for endpoints that are listed later too, and through outages of the store.

    ``is_changing`` tells whether an engine is changing its role, and ``on_new_start`` is called
    with the earlier and the later start of an endpoint that has started again.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._missing_until: dict[str, float] = {}
        self._grace_until = 0.0
        self._unconfirmed: set[str] = set()
        self._unobserved: set[str] = set()
        self._outdated: set[str] = set()
        self._ended: OrderedDict[EndpointStart, None] = OrderedDict()
        self._stated_leaving: OrderedDict[EndpointStart, float] = OrderedDict()
        self._carried_leaving: set[EndpointStart] = set()
        self.is_changing: Callable[[Endpoint], bool] = lambda endpoint: False
        self.on_new_start: Callable[[EndpointStart, EndpointStart], None] = lambda old, new: None
        # The versions of endpoints that have left or changed theirs, and when they did.
        self._left_versions: dict[tuple[str, str], float] = {}
        self._evacuated: set[str] = set()

    def record_store_return(self, now: float) -> None:
        """Start the grace time: the store is back after an outage."""
        self._grace_until = now + RETURN_GRACE_S

    def replace_all(self, endpoints: Iterable[Endpoint], now: float) -> list[str]:
        """Replace the list; return the names of the endpoints that are dropped."""
        listed = {endpoint.instance: endpoint for endpoint in endpoints}
        missing = [name for name in self._endpoints if name not in listed]
        for endpoint in listed.values():
            self._put_listed(endpoint, now)
        return [name for name in missing if self._mark_missing(name, now)]

    def merge_restored(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Merge the list of a restored store, which may be older than this one or newer.

        An endpoint that is known to be leaving, gone or started later is not replaced. Those that
        the list lacks are dropped if they do not write themselves again in time.
        """
        listed = {endpoint.instance: endpoint for endpoint in endpoints}
        for endpoint in listed.values():
            known = self._endpoints.get(endpoint.instance)
            is_older = (
                known is not None
                and endpoint.started_ms < known.started_ms
                and not self.is_outdated(known)
            )
            if not is_older and endpoint.start not in self._ended:
                self._put_listed(endpoint, now)
        self.record_store_return(now)
        for name in self._endpoints:
            if name not in listed:
                self._missing_until.setdefault(name, self._grace_until)

    def put(self, endpoint: Endpoint, now: float) -> None:
        """Add or update an endpoint."""
        if endpoint.is_leaving:
            _remember(self._ended, endpoint.start, None)
        else:
            self._ended.pop(endpoint.start, None)
        known = self._endpoints.get(endpoint.instance)
        if known is not None and known.software != endpoint.software:
            self._left_versions[known.service, known.software] = now
        if known is not None and known.start != endpoint.start:
            self._unconfirmed.discard(endpoint.instance)
            self._outdated.discard(endpoint.instance)
            self._carried_leaving.discard(known.start)
            self.on_new_start(known.start, endpoint.start)
        if known is None or known.start != endpoint.start:
            self._unobserved.add(endpoint.instance)
        self._missing_until.pop(endpoint.instance, None)
        self._endpoints[endpoint.instance] = endpoint

    def remove(self, instance: str, now: float) -> bool:
        """Handle the removal of an endpoint's record; return whether it is dropped now."""
        return instance in self._endpoints and self._mark_missing(instance, now)

    def expire(self, now: float) -> list[str]:
        """Drop endpoints that are still missing after their grace times; return their names."""
        dropped = [name for name, until in self._missing_until.items() if now >= until]
        for name in dropped:
            self._drop(name, now)
        return dropped

    @property
    def next_expiry(self) -> float | None:
        """When the next missing endpoint is to be dropped, ``None`` if none is missing."""
        return min(self._missing_until.values(), default=None)

    def usable(self, service: str, role: EndpointRole | None = None) -> list[Endpoint]:
        """Return the endpoints of a service that accept new requests."""
        endpoints = self.listed(service, role)
        return [e for e in endpoints if self.accepts(e) and not self.is_changing(e)]

    def listed(self, service: str, role: EndpointRole | None = None) -> list[Endpoint]:
        """Return the endpoints of a service, those that are leaving included."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.service == service and (role is None or endpoint.role is role)
        ]

    def all_usable(self) -> list[Endpoint]:
        """Return the endpoints of all services that accept new requests."""
        return [endpoint for endpoint in self._endpoints.values() if self.accepts(endpoint)]

    def accepts(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is neither leaving nor in an evacuated data centre."""
        return not self.is_leaving(endpoint) and not self.is_evacuated(endpoint)

    def is_evacuated(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is in an evacuated data centre."""
        return endpoint.data_centre in self._evacuated

    @property
    def evacuated(self) -> frozenset[str]:
        """The names of the evacuated data centres, which need not have any endpoint."""
        return frozenset(self._evacuated)

    @property
    def evacuated_endpoints(self) -> int:
        """How many listed endpoints are in evacuated data centres."""
        return sum(self.is_evacuated(endpoint) for endpoint in self._endpoints.values())

    def set_evacuated(self, data_centres: Iterable[str]) -> None:
        """Replace the set of evacuated data centres."""
        self._evacuated = set(data_centres)

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint's record or one of its answers tells that it is leaving."""
        start = endpoint.start
        return (
            endpoint.is_leaving or start in self._stated_leaving or start in self._carried_leaving
        )

    def record_leaving(self, start: EndpointStart, now: float) -> bool:
        """Record an endpoint's statement that it is leaving; return whether it is the first."""
        if start in self._stated_leaving:
            return False
        _remember(self._stated_leaving, start, now)
        return True

    def carry_leaving(self, old: EndpointStart, new: EndpointStart, now: float) -> bool:
        """Let a recent statement hold for a later start too; return whether there is one.

        It has to be ended with `end_carried`.
        """
        stated_at = self._stated_leaving.get(old)
        if stated_at is None or now - stated_at > RECORD_LAG_S:
            return False
        self._carried_leaving.add(new)
        return True

    def end_carried(self, start: EndpointStart) -> None:
        """Use a start again that only its predecessor's statement kept out."""
        self._carried_leaving.discard(start)

    @property
    def stated_leaving(self) -> int:
        """How many listed endpoints have stated that they are leaving."""
        starts = [endpoint.start for endpoint in self._endpoints.values()]
        return sum(s in self._stated_leaving or s in self._carried_leaving for s in starts)

    def record_connection_lost(self, instance: str) -> None:
        """Record that an endpoint has ended a connection or does not accept one."""
        if instance in self._endpoints:
            self._unconfirmed.add(instance)

    def record_unobserved(self, instance: str) -> None:
        """Record that there is no connection to an endpoint."""
        if instance in self._endpoints:
            self._unobserved.add(instance)

    def was_unobserved(self, endpoint: Endpoint) -> bool:
        """Whether there was no connection to an endpoint for a while since it stated its start."""
        return endpoint.instance in self._unobserved

    def may_have_restarted(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint's record is unconfirmed, until it states its start."""
        return endpoint.instance in self._unconfirmed

    def record_start(self, endpoint: Endpoint, started_ms: int) -> None:
        """Record the start that an endpoint itself has stated."""
        self._unconfirmed.discard(endpoint.instance)
        self._unobserved.discard(endpoint.instance)
        listed = self._endpoints.get(endpoint.instance)
        if listed is not None and listed.started_ms != started_ms:
            self._outdated.add(endpoint.instance)

    def is_outdated(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint has started again, and its new record has not arrived yet."""
        return endpoint.instance in self._outdated

    def versions(self, service: str, since: float) -> set[str]:
        """Return the software versions of a service that have been listed since then."""
        listed = {e.software for e in self._endpoints.values() if e.service == service}
        left = {
            software
            for (name, software), at in self._left_versions.items()
            if name == service and at >= since
        }
        return listed | left

    def get(self, instance: str) -> Endpoint | None:
        """Return an endpoint, or ``None`` if it is not listed."""
        return self._endpoints.get(instance)

    def __len__(self) -> int:
        return len(self._endpoints)

    def _put_listed(self, endpoint: Endpoint, now: float) -> None:
        known = self._endpoints.get(endpoint.instance)
        self.put(endpoint, now)
        if known is None or known.start != endpoint.start:
            self._unconfirmed.add(endpoint.instance)

    def _mark_missing(self, name: str, now: float) -> bool:
        if now < self._grace_until:
            self._missing_until.setdefault(name, self._grace_until)
            return False
        self._drop(name, now)
        return True

    def _drop(self, name: str, now: float) -> None:
        endpoint = self._endpoints.pop(name, None)
        self._unconfirmed.discard(name)
        self._unobserved.discard(name)
        self._outdated.discard(name)
        if endpoint is not None:
            _remember(self._ended, endpoint.start, None)
            self._carried_leaving.discard(endpoint.start)
            self._left_versions[endpoint.service, endpoint.software] = now
        self._missing_until.pop(name, None)


def _remember(starts: OrderedDict[EndpointStart, T], start: EndpointStart, value: T) -> None:
    """Add a start, and drop the oldest ones if there are too many."""
    starts[start] = value
    starts.move_to_end(start)
    while len(starts) > MAX_ENDED:
        starts.popitem(last=False)
