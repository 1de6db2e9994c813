"""Orders to the endpoint: what it is declared as in the configuration, numbered by revision."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from loguru import logger as log

from vanillashore_node._core import NodeCore
from vanillashore_node._engine import Engine, EngineOrder
from vanillashore_node._reservations import Reservations
from vanillashore_node._weight_turns import WeightTurns
from vanillashore_store import ConfigStore
from vanillashore_wire import ErrorCode, RefusalError, Refused, VanillashoreError

POLL_S = 0.1
RETRY_S = 1.0
CHECK_VALID_S = 1.0


class Orders:
    """Gives the endpoint its orders, one after the other.

    A change refuses new work, waits until the endpoint holds nothing, and only then orders. An
    order whose revision is no longer the newest in the store is not sent, so an endpoint that
    ignores the number is not put back by a process that was paused.
    """

    def __init__(
        self, core: NodeCore, engine: Engine, reservations: Reservations, turns: WeightTurns
    ) -> None:
        self._core = core
        self._engine = engine
        self._reservations = reservations
        self._turns = turns
        self._store = ConfigStore(core.store)
        self._done: EngineOrder | None = None

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            wanted = self._wanted()
            if wanted is None or (self._done is not None and wanted.same_as(self._done)):
                self._reservations.set_changing(False)
                continue
            try:
                await self._change(wanted)
            except VanillashoreError as exc:
                log.bind(error=str(exc), number=wanted.number).warning("an order was not given")
                await asyncio.sleep(RETRY_S)

    async def _change(self, wanted: EngineOrder) -> None:
        """Drain and order, once it is this endpoint's turn if there is something to load."""
        if self._done is not None and wanted.loads_same_as(self._done):
            await self._drain_and_give(wanted)
            return
        async with self._turns.turn():
            await self._drain_and_give(wanted)

    async def _drain_and_give(self, wanted: EngineOrder) -> None:
        """Order once the endpoint holds nothing; the first order of a process does not wait."""
        if self._done is not None:
            self._reservations.set_changing(True)
            while len(self._reservations.scheduler.holds):
                await asyncio.sleep(POLL_S)
                if not self._still_wants(wanted):
                    return
        await self.give(wanted)
        self._reservations.set_changing(False)

    async def give(self, order: EngineOrder) -> None:
        """Send an order; raise VanillashoreError if it is stale, or that cannot be known."""
        await self._checked(order, lambda: self._engine.order(order))
        self._done = order
        log.bind(number=order.number, role=order.role, model=order.model).info("an order was given")

    async def _checked(self, order: EngineOrder, send: Callable[[], Awaitable[None]]) -> None:
        while True:
            asked_at = time.monotonic()
            head = await self._store.read_head()
            if head is None or head.revision > order.number:
                newest = head.revision if head is not None else 0
                text = f"order {order.number} is not of the newest revision, {newest}"
                raise RefusalError(Refused(ErrorCode.ORDER_STALE, text))
            if time.monotonic() - asked_at <= CHECK_VALID_S:
                return await send()

    def _still_wants(self, order: EngineOrder) -> bool:
        wanted = self._wanted()
        return wanted is not None and wanted.same_as(order)

    def _wanted(self) -> EngineOrder | None:
        directory = self._core.directory
        declared = directory.endpoint_config(self._core.cfg.node.name)
        if declared is None or not declared.model:
            return None
        model = directory.model(declared.model)
        number = directory.revision
        return EngineOrder(
            number, declared.role.value, model.name, model.version, tuple(model.adapters)
        )
