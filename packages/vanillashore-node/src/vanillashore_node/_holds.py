"""The places that an entry has on endpoints, kept alive by one renewal per endpoint."""

import asyncio

import attrs
from loguru import logger as log

from vanillashore_node._core import NodeCore
from vanillashore_node._directory import Endpoint
from vanillashore_placement import EndpointLoads
from vanillashore_wire import (
    AskRef,
    HoldEnd,
    HoldRenewal,
    HoldRenewed,
    RefusalError,
    ReserveAsk,
)


@attrs.define
class _AtEndpoint:
    vm: str
    reservations: set[str] = attrs.field(factory=set)
    asks: set[AskRef] = attrs.field(factory=set)

    @property
    def is_empty(self) -> bool:
        return not self.reservations and not self.asks


class HoldBook:
    """All reservations and waiting asks of this entry, by endpoint.

    What is not in the book is not renewed, so its keeper frees it even if the message that ends it
    is lost::

        book.add(endpoint, grant.reservation)
        book.end(endpoint, grant.reservation)
    """

    def __init__(self, core: NodeCore, loads: EndpointLoads) -> None:
        self._core = core
        self._loads = loads
        self._endpoints: dict[str, _AtEndpoint] = {}

    def __len__(self) -> int:
        return sum(len(e.reservations) + len(e.asks) for e in self._endpoints.values())

    def add_ask(self, endpoint: Endpoint, ask: ReserveAsk) -> None:
        """Renew an ask while it waits."""
        self._at(endpoint).asks.add(_ref(ask))

    def drop_ask(self, endpoint: Endpoint, ask: ReserveAsk) -> None:
        """Stop to renew an ask."""
        self._at(endpoint).asks.discard(_ref(ask))

    def add(self, endpoint: Endpoint, reservation: str) -> None:
        """Renew a reservation until it ends."""
        self._at(endpoint).reservations.add(reservation)

    def drop(self, endpoint: Endpoint, reservation: str) -> None:
        """Stop to renew a reservation that its keeper has ended itself."""
        self._at(endpoint).reservations.discard(reservation)

    def end(self, endpoint: Endpoint, reservation: str) -> None:
        """Stop to renew a reservation and tell its keeper."""
        self.drop(endpoint, reservation)
        self._core.hub.send(endpoint.address, HoldEnd(reservation))

    async def run(self) -> None:
        """Renew until cancelled."""
        while True:
            await asyncio.sleep(self._core.cfg.timing.hold_renewal_s)
            self._endpoints = {a: e for a, e in self._endpoints.items() if not e.is_empty}
            for address in self._endpoints:
                self._core.tasks.start(self._renew(address), "hold renewal")

    async def _renew(self, address: str) -> None:
        held = self._endpoints[address]
        renewal = HoldRenewal(tuple(held.reservations), tuple(held.asks))
        try:
            timeout_s = self._core.cfg.timing.ask_timeout_s
            renewed: HoldRenewed = await self._core.hub.ask(address, renewal, timeout_s)
        except RefusalError as exc:
            log.bind(endpoint=held.vm, error=str(exc)).debug("a renewal failed")
            return
        self._loads.record_load(held.vm, renewed.load)
        held.reservations.difference_update(renewed.unknown)

    def _at(self, endpoint: Endpoint) -> _AtEndpoint:
        return self._endpoints.setdefault(endpoint.address, _AtEndpoint(endpoint.vm))


def _ref(ask: ReserveAsk) -> AskRef:
    return AskRef(ask.request_id, ask.attempt, ask.kind)
