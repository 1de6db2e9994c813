"""Lifecycle of a gateway process: listeners, signals and graceful shutdown."""

import asyncio
import contextlib
import random
import signal
from collections.abc import Awaitable, Callable

from loguru import logger as log

from vanillashore_gateway._clock import now
from vanillashore_gateway._dialect import Dialect
from vanillashore_gateway._domain import CallerLimits
from vanillashore_gateway._duty import RoleDuty
from vanillashore_gateway._following import EntryRegistration, Follower
from vanillashore_gateway._front import CallerConnection, Handler, ListenerState
from vanillashore_gateway._gateway import Gateway, GatewaySettings
from vanillashore_gateway._peers import PeerSocket
from vanillashore_gateway._platform_store import PlatformStore
from vanillashore_gateway._responder import Inbound, Responder
from vanillashore_ingress import MIB, HeldBytes, HeldLimits, Listener

BACKLOG = 1_024
READY_PATH = b"/-/readyz"
METRICS_PATH = b"/metrics"
# Part of the grace time reserved for closing connections. The platform excuses a broken answer only
# in the last sixth.
MAX_STOP_MARGIN_S = 0.8
STOP_MARGIN_SHARE = 0.1
# Of the listeners for probes and scrapes, each of which has a room of its own.
MAX_PROBE_CONNECTIONS = 16
PROBE_LIMITS = CallerLimits(header_bytes=8_192, body_bytes=1_024)
PROBE_ROOM = HeldLimits(per_caller=2 * MIB, total=8 * MIB)
TEXT_HEADERS = ((b"Content-Type", b"text/plain; charset=utf-8"),)


class GatewayProcess:
    """A gateway with its listeners and background tasks."""

    def __init__(
        self,
        cfg: GatewaySettings,
        dialect: Dialect,
        store: PlatformStore,
        reload: Callable[[], None] | None = None,
    ) -> None:
        """Prepare a process; ``reload`` is called on SIGHUP to reload the settings."""
        rng = random.Random()
        self._cfg = cfg
        self.gateway = Gateway(cfg, dialect, rng)
        self._follower = Follower(store, self.gateway, now, rng, cfg.watch_s)
        self._registration = EntryRegistration(store, cfg.node, cfg.peers, now, rng)
        gateway = self.gateway
        gateway.limits.is_registered = lambda: self._registration.is_held(now())
        gateway.budgets.is_registered = gateway.limits.is_registered
        gateway.registration_checks.is_held = gateway.limits.is_registered
        gateway.on_own_registration = self._registration.record_stored
        self._roles = RoleDuty(
            cfg.node,
            store,
            gateway.duty,
            gateway.membership,
            gateway.calls,
            gateway.role_changes,
            self._follower,
            self._registration,
            now,
            rng,
            cfg.order_handover_s,
        )
        gateway.origin_store.store = store
        gateway.resumption.catch_up = self._follower.catch_up
        gateway.restore_listeners += [
            gateway.origin_store.record_restore,
            self._registration.record_restore,
            self._roles.record_restore,
        ]
        self._reload = reload
        self._listeners: list[Listener] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._peers: asyncio.DatagramTransport | None = None
        self._stop = asyncio.Event()

    @property
    def front_address(self) -> tuple[str, int]:
        """Address that callers connect to, known once the process has started."""
        return self._listeners[0].address

    @property
    def ready_address(self) -> tuple[str, int]:
        """Address of the readiness check."""
        return self._listeners[1].address

    @property
    def metrics_address(self) -> tuple[str, int]:
        """Address that serves the metrics."""
        return self._listeners[2].address

    async def run(self) -> None:
        """Serve until a stop signal, then finish active requests."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        if self._reload is not None:
            loop.add_signal_handler(signal.SIGHUP, self._reload)
            # The launcher has blocked it; one that came meanwhile is handled now.
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        await self.start()
        await self._stop.wait()
        await self.shut_down()

    async def start(self) -> None:
        """Open the listeners and start the background tasks."""
        self._listen(self._cfg.front, self.gateway.front)
        self._listen(self._cfg.ready, _probe_state(self._answer_ready))
        self._listen(self._cfg.metrics, _probe_state(self._answer_metrics))
        loop, gateway = asyncio.get_running_loop(), self.gateway
        transport, _ = await loop.create_datagram_endpoint(
            lambda: PeerSocket(gateway.peer_handlers, gateway.metrics.record_ignored_datagram),
            local_addr=self._cfg.peers,
        )
        self._peers = transport
        self._registration.address = transport.get_extra_info("sockname")[:2]
        self._start_task(self._follower.run())
        self._start_task(self._registration.run())
        self._start_task(gateway.registration_checks.run())
        self._start_task(self._roles.run())
        self._start_task(self.gateway.origin_store.run())
        self._start_task(self.gateway.metrics.load())
        log.bind(front=self._cfg.front, data_centre=self._cfg.data_centre).info("started")

    def _start_task(self, coro: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coro)
        task.add_done_callback(self._on_task_done)
        self._tasks.append(task)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        if not task.cancelled() and task.exception() is not None:
            log.bind(error=repr(task.exception())).error(
                "a background task failed; stopping the process"
            )
            self._stop.set()

    def _listen(self, address: tuple[str, int], state: ListenerState) -> None:
        listener = Listener(lambda: CallerConnection(state), state.table)
        listener.open(*address, BACKLOG)
        self._listeners.append(listener)

    async def _answer_ready(self, inbound: Inbound, responder: Responder) -> None:
        if inbound.head.target.partition(b"?")[0] != READY_PATH:
            responder.answer(404, TEXT_HEADERS, b"not found\n")
        elif self.gateway.is_ready:
            responder.answer(200, TEXT_HEADERS, b"ready\n")
        else:
            responder.answer(503, TEXT_HEADERS, b"not ready\n")

    async def _answer_metrics(self, inbound: Inbound, responder: Responder) -> None:
        if inbound.head.target.partition(b"?")[0] != METRICS_PATH:
            responder.answer(404, TEXT_HEADERS, b"not found\n")
        elif (page := self.gateway.metrics.render()) is None:
            responder.answer(503, TEXT_HEADERS, b"the metrics are not loaded yet\n")
        else:
            responder.answer(200, TEXT_HEADERS, page)

    async def shut_down(self) -> None:
        """Leave the load balancer's rotation, finish active requests, and close.

        New requests are served until the end if they can finish in time: the load balancer sends
        callers here when no other entry is in rotation.
        """
        gateway = self.gateway
        began = now()
        ends_at = began + working_time_s(self._cfg.grace_s)
        out_of_rotation_at = min(began + self._cfg.rotation_s, ends_at)
        gateway.shutdown.begin(ends_at, out_of_rotation_at)
        self._start_task(gateway.rotation.announce_stop(out_of_rotation_at, ends_at))
        gateway.front.is_closing = True
        log.bind(active=gateway.active, connections=len(gateway.front.connections)).info("stopping")
        await asyncio.sleep(out_of_rotation_at - now())
        self._close_idle()
        await self._wait_until_idle(ends_at)
        # A caller who is accepted from here on would be cut.
        self._close_listeners()
        await self._withdraw(ends_at + (began + self._cfg.grace_s - ends_at) / 2)
        await self._wait_until_idle(ends_at)
        gateway.shutdown.has_ended = True
        self.close()
        took_s = round(now() - began, 3)
        log.bind(active=gateway.active, took_s=took_s).info("stopped")

    async def _withdraw(self, until: float) -> None:
        try:
            async with asyncio.timeout(until - now()):
                await self._registration.withdraw()
        except TimeoutError:
            log.info("the registration was not withdrawn in time; it expires with its lease")

    async def _wait_until_idle(self, until: float) -> None:
        """Wait until no caller is connected, or until the time is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(until - now()):
                await self.gateway.front.wait_closed()

    def close(self) -> None:
        """Close the listeners and idle connections, and cancel all tasks."""
        for listener in self._listeners:
            listener.abandon()
        self._close_idle()
        if self._peers is not None:
            self._peers.close()
        for task in self._tasks:
            task.cancel()

    def _close_listeners(self) -> None:
        for listener in self._listeners:
            listener.close()

    def _close_idle(self) -> None:
        """Close callers' connections that have no active request."""
        for conn in list(self.gateway.front.connections):
            if conn.is_idle:
                conn.close()


def working_time_s(grace_s: float) -> float:
    """Return how long after the signal a stopping process still works on requests."""
    return grace_s - min(MAX_STOP_MARGIN_S, grace_s * STOP_MARGIN_SHARE)


def _probe_state(handler: Handler) -> ListenerState:
    """Return the state of a listener for probes, which callers' connections cannot crowd out."""
    held = HeldBytes(PROBE_ROOM, now)
    return ListenerState(handler, now, PROBE_LIMITS, held, MAX_PROBE_CONNECTIONS)
