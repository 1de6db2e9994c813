"""Orders that make the engine load and serve what the configuration declares for it."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from loguru import logger as log

from vanillashore_node._core import NodeCore
from vanillashore_node._engine import Engine, EngineOrder
from vanillashore_node._reservations import Reservations
from vanillashore_node._weight_load_limiter import WeightLoadLimiter
from vanillashore_store import ConfigStore
from vanillashore_wire import ErrorCode, RefusalError, Refused, VanillashoreError

POLL_S = 0.1
RETRY_S = 1.0
REVISION_CHECK_VALID_S = 1.0


class EngineOrders:
    """Sends the engine its orders, one after the other.

    For a change it refuses new work, waits until the endpoint holds nothing, and only then sends
    the order. An order whose revision is no longer the newest in the store is not sent, so a
    process that was paused doesn't revert an engine that ignores the order's number.
    """

    def __init__(
        self, core: NodeCore, engine: Engine, reservations: Reservations, limiter: WeightLoadLimiter
    ) -> None:
        self._core = core
        self._engine = engine
        self._reservations = reservations
        self._load_limiter = limiter
        self._store = ConfigStore(core.store)
        self._last_order: EngineOrder | None = None

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            target = self._target_order()
            if target is None or (
                self._last_order is not None and target.same_as(self._last_order)
            ):
                self._reservations.set_changing(False)
                continue
            try:
                await self._change(target)
            except VanillashoreError as exc:
                log.bind(error=str(exc), number=target.number).warning("an order could not be sent")
                await asyncio.sleep(RETRY_S)

    async def _change(self, target: EngineOrder) -> None:
        """Drain the endpoint and send the order; if weights change, first wait for a slot."""
        if self._last_order is not None and target.loads_same_as(self._last_order):
            await self._drain_and_send(target)
            return
        async with self._load_limiter.slot():
            await self._drain_and_send(target)

    async def _drain_and_send(self, target: EngineOrder) -> None:
        """Send the order once the endpoint holds nothing; a process's first order does not wait."""
        if self._last_order is not None:
            self._reservations.set_changing(True)
            while len(self._reservations.scheduler.holds):
                await asyncio.sleep(POLL_S)
                if not self._is_still_target(target):
                    return
        await self.send(target)
        self._reservations.set_changing(False)

    async def send(self, order: EngineOrder) -> None:
        """Send an order; raise VanillashoreError if it is stale or the store can't confirm it."""
        await self._send_if_current(order, lambda: self._engine.order(order))
        self._last_order = order
        log.bind(number=order.number, role=order.role, model=order.model).info(
            "an order was completed"
        )

    async def _send_if_current(
        self, order: EngineOrder, send: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            read_started_at = time.monotonic()
            head = await self._store.read_head()
            if head is None or head.revision > order.number:
                newest = head.revision if head is not None else 0
                text = f"order {order.number} is not of the newest revision, {newest}"
                raise RefusalError(Refused(ErrorCode.ORDER_STALE, text))
            if time.monotonic() - read_started_at <= REVISION_CHECK_VALID_S:
                return await send()

    def _is_still_target(self, order: EngineOrder) -> bool:
        target = self._target_order()
        return target is not None and target.same_as(order)

    def _target_order(self) -> EngineOrder | None:
        directory = self._core.directory
        declared = directory.endpoint_config(self._core.cfg.node.name)
        if declared is None or not declared.model:
            return None
        model = directory.model(declared.model)
        number = directory.revision
        return EngineOrder(
            number, declared.role.value, model.name, model.version, tuple(model.adapters)
        )
