"""Holds on an endpoint: places reserved or in use, and exported KV caches."""

from collections.abc import Iterator
from enum import StrEnum

import attrs

from vanillashore_wire import ReservationKind, ReserveRequest, RouteClass


class HoldState(StrEnum):
    """RESERVED: granted, not used yet. IN_USE: running. EXPORTED: a cache is left to be fetched."""

    RESERVED = "reserved"
    IN_USE = "in_use"
    EXPORTED = "exported"


@attrs.define(eq=False)
class Hold:
    """A granted place or an exported cache; expires at the deadline, or earlier if not renewed."""

    reservation: str
    request: ReserveRequest
    sender: str
    granted_at: float
    expires_at: float
    deadline: float
    state: HoldState = HoldState.RESERVED
    used_at: float = 0.0

    @property
    def occupies_place(self) -> bool:
        """Whether the hold occupies a slot or one of the places for prefills."""
        return self.state is not HoldState.EXPORTED

    def is_expired(self, now: float) -> bool:
        """Whether the hold has expired."""
        return now >= min(self.expires_at, self.deadline)


class HoldTable:
    """The holds of one endpoint, by reservation."""

    def __init__(self) -> None:
        self._holds: dict[str, Hold] = {}

    def __iter__(self) -> Iterator[Hold]:
        return iter(self._holds.values())

    def __len__(self) -> int:
        return len(self._holds)

    def add(self, hold: Hold) -> None:
        """Add a hold."""
        self._holds[hold.reservation] = hold

    def get(self, reservation: str) -> Hold | None:
        """Return the hold of a reservation, or None."""
        return self._holds.get(reservation)

    def pop(self, reservation: str) -> Hold | None:
        """Remove and return the hold of a reservation, or return None."""
        return self._holds.pop(reservation, None)

    def of(self, request_id: str, attempt: int, kind: ReservationKind) -> Hold | None:
        """Return the hold of an attempt, or None."""
        for hold in self:
            if matches_attempt(hold.request, request_id, attempt, kind):
                return hold
        return None

    def pop_expired(self, now: float) -> list[Hold]:
        """Remove and return all expired holds."""
        expired = [hold for hold in self if hold.is_expired(now)]
        for hold in expired:
            del self._holds[hold.reservation]
        return expired

    def places_taken(self, route_class: RouteClass | None = None) -> int:
        """Count the occupied places, of all classes or of one."""
        return sum(
            hold.occupies_place and route_class in (None, hold.request.route_class) for hold in self
        )

    def in_use(self) -> int:
        """Count the places whose request is running."""
        return sum(hold.state is HoldState.IN_USE for hold in self)

    def pieces(self) -> int:
        """Return the total KV pieces reserved by all holds."""
        return sum(hold.request.pieces for hold in self)


def matches_attempt(
    request: ReserveRequest, request_id: str, attempt: int, kind: ReservationKind
) -> bool:
    """Return whether ``request`` belongs to this attempt and kind."""
    return (request.request_id, request.attempt, request.kind) == (request_id, attempt, kind)
