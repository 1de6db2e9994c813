"""Calls to a plain service, each under its reservation."""

from collections.abc import Awaitable, Callable

from aiohttp import web

from vanillashore_node._reservations import Reservations
from vanillashore_node._sidecar_engine import read_order
from vanillashore_wire import CallOrder

CallHandler = Callable[[web.Request], Awaitable[web.Response]]


class ReservedCalls:
    """Marks a call's reservation as used while ``handler`` runs, and releases it afterwards."""

    def __init__(self, reservations: Reservations, handler: CallHandler) -> None:
        self._reservations = reservations
        self._handler = handler

    async def call(self, request: web.Request) -> web.Response:
        """Handle ``POST /internal/call``."""
        order = await read_order(request, CallOrder)
        self._reservations.use(order.reservation)
        try:
            return await self._handler(request)
        finally:
            self._reservations.release(order.reservation)
