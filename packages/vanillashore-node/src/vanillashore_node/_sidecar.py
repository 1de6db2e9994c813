"""The sidecar, which is the only process that sends requests to its endpoint."""

import random
import secrets
import time
from typing import Any

from aiohttp import web

from vanillashore_node._config_revision import refuse_stale
from vanillashore_node._core import NodeCore
from vanillashore_node._engine import HttpEngine
from vanillashore_node._engine_orders import EngineOrders
from vanillashore_node._http_helpers import json_response, refusal_response, require_fleet_secret
from vanillashore_node._lifecycle import LifecycleEvent
from vanillashore_node._quarantine import WatchedEngine
from vanillashore_node._reconciliation import Reconciliation
from vanillashore_node._reservations import Reservations
from vanillashore_node._sidecar_calls import ReservedCalls
from vanillashore_node._sidecar_engine import EngineOrderHandlers
from vanillashore_node._sidecar_service import ServiceCallHandler
from vanillashore_node._weight_load_limiter import WeightLoadLimiter
from vanillashore_placement import ReservationScheduler, SchedulerSettings
from vanillashore_schema import BackEndKind, EndpointSettings, NodeSettings
from vanillashore_wire import (
    ErrorCode,
    HoldEnd,
    HoldRenewal,
    RefusalError,
    Refused,
    ReserveRequest,
    ReserveWithdraw,
    unstructure,
)

INCARNATION_ID_BYTES = 3
MAX_WEIGHT_LOADS = 2
MAX_ORDER_BODY_BYTES = 16_777_216
ORDER_PATHS = frozenset({"/internal/prefill", "/internal/decode", "/internal/call"})


class SidecarNode:
    """One sidecar.

    Example::

        node = SidecarNode(cfg)
        await node.start()
        await node.core.shut_down()
    """

    def __init__(self, cfg: NodeSettings) -> None:
        self.core = NodeCore(cfg)
        self._cfg = cfg

    async def start(self) -> None:
        """Start listening and serving."""
        await self.core.open()
        endpoint = self._cfg.endpoint
        self.reservations = Reservations(self.core, self._new_scheduler(endpoint))
        self.core.hub.on(ReserveRequest, self.reservations.reserve)
        self.core.hub.on(ReserveWithdraw, self.reservations.withdraw)
        self.core.hub.on(HoldRenewal, self.reservations.renew)
        self.core.hub.on(HoldEnd, self.reservations.end)
        self.core.tasks.start(self.reservations.run(), "reservations")
        self.core.lifecycle.on(LifecycleEvent.REFUSE_NEW, self.reservations.stop)
        app = web.Application(client_max_size=MAX_ORDER_BODY_BYTES, middlewares=[self._guard])
        if endpoint.kind is BackEndKind.ENGINE:
            plain_engine = HttpEngine(self.core.session, endpoint.address)
            engine = WatchedEngine(self.core, plain_engine, time.monotonic)
            self.core.lifecycle.on(LifecycleEvent.START, engine.start)
            handlers = EngineOrderHandlers(self.core, engine, self.reservations)
            reconciliation = Reconciliation(engine, handlers.known_ids)
            self.core.tasks.start(reconciliation.run(), "reconciliation")
            limiter = WeightLoadLimiter(self.core.store, MAX_WEIGHT_LOADS, random.Random())
            self.orders = EngineOrders(self.core, plain_engine, self.reservations, limiter)
            self.core.tasks.start(self.orders.run(), "orders")
            app.router.add_post("/internal/prefill", handlers.prefill)
            app.router.add_post("/internal/decode", handlers.decode)
        else:
            self.service = ServiceCallHandler(self.core, endpoint.address)
            calls = ReservedCalls(self.reservations, self.service.call)
            app.router.add_post("/internal/call", calls.call)
        app.router.add_get("/internal/status", self._status)
        await self.core.start(app)

    def _new_scheduler(self, endpoint: EndpointSettings) -> ReservationScheduler:
        timing = self._cfg.timing
        scheduler_cfg = SchedulerSettings(
            name=secrets.token_hex(INCARNATION_ID_BYTES),
            slots=endpoint.slots,
            prefill_turns=endpoint.prefill_turns,
            pieces=endpoint.kv_pieces,
            reservation_valid_s=timing.reservation_valid_s,
            hold_valid_s=timing.hold_valid_s,
        )
        return ReservationScheduler(scheduler_cfg, self._scheduling_weight)

    def _scheduling_weight(self, workspace: str) -> float:
        declared = self.core.directory.workspace(workspace)
        return declared.weight * declared.rate_tokens_per_s if declared is not None else 1.0

    @web.middleware
    async def _guard(self, request: web.Request, handler: Any) -> web.StreamResponse:
        try:
            if not request.path.startswith("/internal/"):
                return await handler(request)
            require_fleet_secret(request, self._cfg.node.fleet_secret)
            if request.path not in ORDER_PATHS:
                return await handler(request)
            if self.core.state.refusing:
                text = "the endpoint is shutting down"
                raise RefusalError(Refused(ErrorCode.SHUTTING_DOWN, text))
            # Checked before `check_contact`: the lost contact is temporary, the stale order is not.
            refuse_stale(request, self.core.directory.revision)
            self.core.config_follower.check_contact()
            return await self._run_counted(request, handler)
        except RefusalError as exc:
            return refusal_response(exc.refused)

    async def _run_counted(self, request: web.Request, handler: Any) -> web.StreamResponse:
        self.core.state.active += 1
        try:
            return await handler(request)
        finally:
            self.core.state.active -= 1

    async def _status(self, request: web.Request) -> web.Response:
        return json_response(
            {
                "node": self._cfg.node.name,
                "role": self._cfg.node.role.value,
                "data_centre": self._cfg.node.data_centre,
                "revision": self.core.directory.revision,
                "relay": self.core.config_follower.is_relay,
                "active": self.core.state.active,
                "load": unstructure(self.reservations.load),
                "links": unstructure(self.core.hub.stats),
            }
        )
