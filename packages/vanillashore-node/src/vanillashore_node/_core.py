"""The parts that entries and sidecars have in common, and their startup and shutdown."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import aiohttp
import attrs
from aiohttp import web

from vanillashore_node._burn_rate import BurnRateTracker
from vanillashore_node._caller_gate import CallerGate
from vanillashore_node._config_follower import ConfigFollower
from vanillashore_node._decisions import DecisionLog
from vanillashore_node._directory import Directory
from vanillashore_node._gated_connection import LINGER_S, PARSED_HEADERS_FACTOR
from vanillashore_node._http_helpers import json_response, require_fleet_secret
from vanillashore_node._lifecycle import Lifecycle, LifecycleEvent
from vanillashore_node._link import LINK_PATH, LinkHub
from vanillashore_node._metrics import METRICS_PATH, NodeMetrics
from vanillashore_node._tasks import TaskGroup
from vanillashore_schema import NodeSettings
from vanillashore_store import (
    EtcdStore,
    HttpVmList,
    KeyValueStore,
    VmListFollower,
)
from vanillashore_wire import unstructure

DRAIN_POLL_S = 0.05
LISTEN_BACKLOG = 1_024
READ_BUFFER_BYTES = 65_536  # Of a body, before reading from its caller pauses.
WebHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@attrs.define
class NodeState:
    """The lifecycle state of a process, and the number of requests that it serves."""

    ready: bool = False
    refusing: bool = False
    active: int = 0
    stop_signals: int = 0
    closed: bool = False


class NodeCore:
    """Session, store, directory, links and lifecycle of one process."""

    def __init__(self, cfg: NodeSettings) -> None:
        self.cfg = cfg
        self.state = NodeState()
        self.lifecycle = Lifecycle()
        self.directory = Directory()
        self.tasks = TaskGroup()
        self.readiness: list[Callable[[], bool]] = []
        self.decisions = DecisionLog(cfg.node.name)
        self.burn = BurnRateTracker(cfg.node.name)
        self.gate = CallerGate(cfg)
        self.session: aiohttp.ClientSession
        self.store: KeyValueStore
        self.hub: LinkHub
        self.metrics: NodeMetrics
        self.config_follower: ConfigFollower
        self._runner: web.AppRunner

    async def open(self) -> None:
        """Create the shared parts, such as session and store; needs a running event loop."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=self.cfg.timing.link_idle_s)
        self.session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        platform = self.cfg.platform
        self.store = EtcdStore(self.session, platform.store_address, platform.store_timeout_s)
        self.hub = LinkHub(self.session, self.cfg, lambda: self.directory.revision)
        self.metrics = NodeMetrics(self.cfg, self.hub.stats)
        self.config_follower = ConfigFollower(
            self.cfg, self.store, self.hub, self.directory, self.tasks
        )

    async def start(self, app: web.Application, fallback: WebHandler | None = None) -> None:
        """Listen and follow the platform; ``fallback`` serves every path that ``app`` lacks."""
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get(METRICS_PATH, self.metrics.handle)
        app.router.add_get(LINK_PATH, self._link)
        app.router.add_get("/internal/explain/{request_id}", self._explain)
        if fallback is not None:
            app.router.add_route("*", "/{path:.*}", fallback)
        app.middlewares.insert(0, self.gate.track)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=1.0,
            lingering_time=LINGER_S,
            read_bufsize=READ_BUFFER_BYTES,
            max_field_size=PARSED_HEADERS_FACTOR * self.cfg.limits.header_bytes,
            max_line_size=PARSED_HEADERS_FACTOR * self.cfg.limits.header_bytes,
        )
        await self._runner.setup()
        host, port = self.cfg.node.host, self.cfg.node.port
        self.gate.open(self._runner.server, host, port, LISTEN_BACKLOG)
        self.tasks.start(self.config_follower.run(), "configuration follower")
        platform = self.cfg.platform
        vm_list = HttpVmList(self.session, platform.vm_list_address, platform.store_timeout_s)
        vms = VmListFollower(vm_list, platform.vm_list_poll_s, self.directory.apply_vm_list)
        self.tasks.start(vms.run(), "VM list follower")
        await self.lifecycle.fire(LifecycleEvent.START)
        self.state.ready = True

    @property
    def address(self) -> str:
        """Address that this process listens on, with the port in use if 0 was configured."""
        host, port = self.gate.address
        return f"http://{host}:{port}"

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests to this process."""
        are_parts_ready = all(check() for check in self.readiness)
        has_configuration = self.directory.revision > 0 and bool(self.directory.vms)
        return self.state.ready and has_configuration and are_parts_ready

    @property
    def is_closed(self) -> bool:
        """Whether the process has stopped."""
        return self.state.closed

    def record_stop_signal(self) -> None:
        """Count a stop signal; a second one shortens the shutdown."""
        self.state.stop_signals += 1

    async def shut_down(self) -> None:
        """Fail readiness, wait for the balancer, refuse new work, finish running work, close."""
        await self.lifecycle.fire(LifecycleEvent.STOP_REQUESTED)
        self.state.ready = False
        await self._wait(self.cfg.timing.balancer_delay_s, lambda: False)
        self.state.refusing = True
        await self.lifecycle.fire(LifecycleEvent.REFUSE_NEW)
        await self._wait(self.cfg.timing.shutdown_wait_s, lambda: self.state.active == 0)
        await self.lifecycle.fire(LifecycleEvent.DRAINED)
        await self.close()

    async def close(self) -> None:
        """Stop immediately."""
        self.state.closed = True
        await self.lifecycle.fire(LifecycleEvent.STOP)
        await self.tasks.close()
        await self.hub.close()
        self.gate.close()
        await self._runner.cleanup()
        await self.session.close()
        self.metrics.close()

    async def _wait(self, seconds: float, is_over: Callable[[], bool]) -> None:
        signals = self.state.stop_signals
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline and not is_over():
            if self.state.stop_signals > signals:
                return
            await asyncio.sleep(DRAIN_POLL_S)

    async def _healthz(self, request: web.Request) -> web.Response:
        return json_response({"status": "ok"})

    async def _readyz(self, request: web.Request) -> web.Response:
        ready = self.is_ready
        return json_response({"ready": ready}, 200 if ready else 503)

    async def _link(self, request: web.Request) -> web.StreamResponse:
        require_fleet_secret(request, self.cfg.node.fleet_secret)
        self.gate.trust(request)
        return await self.hub.accept(request)

    async def _explain(self, request: web.Request) -> web.Response:
        require_fleet_secret(request, self.cfg.node.fleet_secret)
        decisions = self.decisions.explain(request.match_info["request_id"])
        return json_response({"decisions": unstructure(decisions)})
