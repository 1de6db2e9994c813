"""Messages that renew and end holds on endpoints."""

import attrs

from vanillashore_wire._codec import compact, message
from vanillashore_wire._messages import Load, ReservationKind


@compact
@attrs.frozen
class ReserveRequestRef:
    """Identifies a reserve request that is still in a sidecar's queue."""

    request_id: str
    attempt: int
    kind: ReservationKind


@message("hold_renewal")
@compact
@attrs.frozen
class HoldRenewal:
    """All reservations and queued requests of an entry at one endpoint; those not listed expire."""

    reservations: tuple[str, ...]
    asks: tuple[ReserveRequestRef, ...] = ()


@message("hold_renewed")
@compact
@attrs.frozen
class HoldRenewed:
    """Reply to a `HoldRenewal`: the reservations that the sidecar does not have, and its load."""

    unknown: tuple[str, ...]
    load: Load


@message("hold_end")
@compact
@attrs.frozen
class HoldEnd:
    """The work of a reservation is finished or abandoned; everything that it holds can be freed."""

    reservation: str
