"""Reservations that an entry has on endpoints, renewed by one message per endpoint."""

import asyncio

import attrs
from loguru import logger as log

from vanillashore_node._core import NodeCore
from vanillashore_node._directory import Endpoint
from vanillashore_placement import EndpointLoads
from vanillashore_wire import (
    HoldEnd,
    HoldRenewal,
    HoldRenewed,
    RefusalError,
    ReserveRequest,
    ReserveRequestRef,
)


@attrs.define
class _EndpointHolds:
    vm: str
    reservations: set[str] = attrs.field(factory=set)
    requests: set[ReserveRequestRef] = attrs.field(factory=set)

    @property
    def is_empty(self) -> bool:
        return not self.reservations and not self.requests


class HoldRegistry:
    """All reservations and queued requests of this entry, by endpoint.

    Only what is registered is renewed, so the endpoint's scheduler frees a released reservation
    even if the message that ends it is lost::

        holds.add(endpoint, grant.reservation)
        holds.release(endpoint, grant.reservation)
    """

    def __init__(self, core: NodeCore, loads: EndpointLoads) -> None:
        self._core = core
        self._loads = loads
        self._endpoints: dict[str, _EndpointHolds] = {}

    def __len__(self) -> int:
        return sum(len(e.reservations) + len(e.requests) for e in self._endpoints.values())

    def add_request(self, endpoint: Endpoint, request: ReserveRequest) -> None:
        """Renew a request while it is queued."""
        self._at(endpoint).requests.add(_ref(request))

    def remove_request(self, endpoint: Endpoint, request: ReserveRequest) -> None:
        """Stop renewing a request."""
        self._at(endpoint).requests.discard(_ref(request))

    def add(self, endpoint: Endpoint, reservation: str) -> None:
        """Renew a reservation until it ends."""
        self._at(endpoint).reservations.add(reservation)

    def remove(self, endpoint: Endpoint, reservation: str) -> None:
        """Stop renewing a reservation that its scheduler has already ended."""
        self._at(endpoint).reservations.discard(reservation)

    def release(self, endpoint: Endpoint, reservation: str) -> None:
        """Stop renewing a reservation and notify its scheduler."""
        self.remove(endpoint, reservation)
        self._core.hub.send(endpoint.address, HoldEnd(reservation))

    async def run(self) -> None:
        """Send renewals until cancelled."""
        while True:
            await asyncio.sleep(self._core.cfg.timing.hold_renewal_s)
            self._endpoints = {a: e for a, e in self._endpoints.items() if not e.is_empty}
            for address in self._endpoints:
                self._core.tasks.start(self._renew(address), "hold renewal")

    async def _renew(self, address: str) -> None:
        held = self._endpoints[address]
        renewal = HoldRenewal(tuple(held.reservations), tuple(held.requests))
        try:
            timeout_s = self._core.cfg.timing.ask_timeout_s
            renewed: HoldRenewed = await self._core.hub.ask(address, renewal, timeout_s)
        except RefusalError as exc:
            log.bind(endpoint=held.vm, error=str(exc)).debug("hold renewal failed")
            return
        self._loads.record_load(held.vm, renewed.load)
        held.reservations.difference_update(renewed.unknown)

    def _at(self, endpoint: Endpoint) -> _EndpointHolds:
        return self._endpoints.setdefault(endpoint.address, _EndpointHolds(endpoint.vm))


def _ref(request: ReserveRequest) -> ReserveRequestRef:
    return ReserveRequestRef(request.request_id, request.attempt, request.kind)
