"""Messages that keep places on endpoints alive, and end them."""

import attrs

from vanillashore_wire._codec import compact, message
from vanillashore_wire._messages import Load, ReservationKind


@compact
@attrs.frozen
class ReserveRequestRef:
    """Names an ask that still waits in a keeper's queue."""

    request_id: str
    attempt: int
    kind: ReservationKind


@message("hold_renewal")
@compact
@attrs.frozen
class HoldRenewal:
    """All places and asks that one entry has at one endpoint; what is not named will lapse."""

    reservations: tuple[str, ...]
    asks: tuple[ReserveRequestRef, ...] = ()


@message("hold_renewed")
@compact
@attrs.frozen
class HoldRenewed:
    """Reply to a `HoldRenewal`: which of the reservations are not known, and the present load."""

    unknown: tuple[str, ...]
    load: Load


@message("hold_end")
@compact
@attrs.frozen
class HoldEnd:
    """The work on a reservation is over, or given up; all that it holds can be freed."""

    reservation: str
