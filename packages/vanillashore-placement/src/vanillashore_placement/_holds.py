"""Places on an endpoint that are granted, in use, or occupied by an exported cache."""

from collections.abc import Iterator
from enum import StrEnum

import attrs

from vanillashore_wire import ReservationKind, ReserveAsk, RouteClass


class HoldState(StrEnum):
    """RESERVED waits for its work, IN_USE runs, EXPORTED keeps only a cache to be fetched."""

    RESERVED = "reserved"
    IN_USE = "in_use"
    EXPORTED = "exported"


@attrs.define(eq=False)
class Hold:
    """One place; it lapses unless its entry renews it, and never outlives the deadline."""

    reservation: str
    request: ReserveAsk
    sender: str
    granted_at: float
    lapses_at: float
    deadline: float
    state: HoldState = HoldState.RESERVED
    used_at: float = 0.0

    @property
    def takes_place(self) -> bool:
        """Whether it takes a slot or prefill turn."""
        return self.state is not HoldState.EXPORTED

    def is_over(self, now: float) -> bool:
        """Whether it has lapsed."""
        return now >= min(self.lapses_at, self.deadline)


class HoldTable:
    """The holds of one endpoint, by reservation."""

    def __init__(self) -> None:
        self._holds: dict[str, Hold] = {}

    def __iter__(self) -> Iterator[Hold]:
        return iter(self._holds.values())

    def __len__(self) -> int:
        return len(self._holds)

    def add(self, hold: Hold) -> None:
        """Take in a hold."""
        self._holds[hold.reservation] = hold

    def get(self, reservation: str) -> Hold | None:
        """Return a hold."""
        return self._holds.get(reservation)

    def pop(self, reservation: str) -> Hold | None:
        """Remove a hold and return it."""
        return self._holds.pop(reservation, None)

    def of(self, request_id: str, attempt: int, kind: ReservationKind) -> Hold | None:
        """Return the hold of an attempt."""
        for hold in self:
            if is_of(hold.request, request_id, attempt, kind):
                return hold
        return None

    def pop_over(self, now: float) -> list[Hold]:
        """Remove all that have lapsed and return them."""
        over = [hold for hold in self if hold.is_over(now)]
        for hold in over:
            del self._holds[hold.reservation]
        return over

    def places_taken(self, route_class: RouteClass | None = None) -> int:
        """Count the places that are taken, by all classes or by one."""
        return sum(
            hold.takes_place and route_class in (None, hold.request.route_class) for hold in self
        )

    def in_use(self) -> int:
        """Count the places whose work runs."""
        return sum(hold.state is HoldState.IN_USE for hold in self)

    def pieces(self) -> int:
        """Sum up the KV pieces that may be held."""
        return sum(hold.request.pieces for hold in self)


def is_of(ask: ReserveAsk, request_id: str, attempt: int, kind: ReservationKind) -> bool:
    """Return whether an ask is the one of this attempt and kind."""
    return (ask.request_id, ask.attempt, ask.kind) == (request_id, attempt, kind)
