"""The places that the attempts of one call to a plain service get, one after the other."""

import time

from vanillashore_node._placer import ENDPOINT_FAULTS, Place, Placer, patience_s
from vanillashore_wire import (
    CallOrder,
    RefusalError,
    Refused,
    ReservationKind,
    ReserveAsk,
)


class CallSearch:
    """Finds a place for each attempt, never twice on the same endpoint.

    ``cause`` is why the last attempt that had a place failed; it tells a caller more than that no
    further place was found.
    """

    def __init__(self, placer: Placer, order: CallOrder, target_ms: float, deadline: float) -> None:
        self._placer = placer
        self._order = order
        self._target_ms = target_ms
        self._deadline = deadline
        self._tried: set[str] = set()
        self.cause: Refused | None = None

    @property
    def is_over(self) -> bool:
        """Whether every live endpoint has been tried."""
        return self._tried >= self._placer.call_endpoints(self._order.service)

    async def next_place(self, attempt: int) -> Place:
        """Return a place; raise RefusalError if there is none."""
        left_s = max(0.0, self._deadline - time.monotonic())
        ask = ReserveAsk(
            self._order.request_id,
            attempt,
            ReservationKind.CALL,
            self._order.workspace,
            self._order.service,
            0,
            self._order.route_class,
            patience_s(self._order.route_class, self._target_ms, left_s),
            left_s,
        )
        place = await self._placer.call_place(ask, self._tried)
        self._tried.add(place.endpoint.vm)
        return place

    def note_failed(self, place: Place, exc: RefusalError) -> None:
        """Note that an attempt failed."""
        self.cause = exc.refused
        if exc.code in ENDPOINT_FAULTS:
            self._placer.note_call(place, failed=True)

    def note_answered(self, place: Place) -> None:
        """Note that an endpoint answered."""
        self._placer.note_call(place, failed=False)
