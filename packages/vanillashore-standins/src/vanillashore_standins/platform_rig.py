"""Gateways on loopback in front of stand-ins of the platform, for tests."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Sequence
from contextlib import AsyncExitStack
from typing import Any, Self

import attrs

from vanillashore_adapter import HttpStore, PlatformDialect
from vanillashore_gateway import GatewayProcess, GatewaySettings, QuotaSettings
from vanillashore_standins._serving import ServedApp
from vanillashore_standins._waiting import wait_until
from vanillashore_standins.platform_endpoint import EndpointStandIn, EngineOptions, Fault
from vanillashore_standins.platform_store import PlatformStoreStandIn
from vanillashore_standins.store_link import StoreLink

HOST = "cakes.example"
KEY = "key-of-counter"
WORKSPACE = "counter"
ORDERS = "orders"
MODELS = "models"
LOOPBACK = ("127.0.0.1", 0)


def fail_first(endpoints: Sequence[EndpointStandIn], *faults: Fault) -> None:
    """Make the first requests fail, whichever of the endpoints they reach."""
    shared = deque(faults)
    for endpoint in endpoints:
        endpoint.faults = shared


def route(path: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the operators' configuration."""
    return {
        "name": f"r-{path.strip('/')}",
        "host": HOST,
        "path_prefix": path,
        "kind": kind,
        "service": service,
        "timeout_ms": 5_000,
        "target_latency_ms": 900,
        "priority": 1,
        "max_attempts": 1,
        "auth_exempt": False,
        "session_affinity": False,
        "resumable": False,
        "gap_target_ms": 300,
    } | changes


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with a route of each kind."""
    affinity = {"session_affinity": True}
    engine = {"slots": 8, "kv_capacity_tokens": 10_000, "kv_hold_s": 5.0, "hold_ms": 2_000}
    return {
        "version": version,
        "routes": [
            route("/pay/", "non_idempotent", ORDERS),
            route("/stock/", "idempotent", ORDERS, max_attempts=2),
            route("/open/", "idempotent", ORDERS, auth_exempt=True),
            route("/quote/", "streaming", MODELS, resumable=True, max_attempts=2, **affinity),
            route("/idea/", "streaming", MODELS, **affinity),
        ],
        "services": [
            {"name": ORDERS, "health_path": "/healthz", "max_connections": 100},
            {"name": MODELS, "health_path": "/healthz", "max_connections": 100, "engine": engine},
        ],
        "limits": {
            "max_header_bytes": 4_096,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": WORKSPACE, "api_keys": [KEY], "unit": "token_stream"}],
    } | changes


@attrs.frozen
class Answer:
    """A response as received; ``is_complete`` if the body ended as its framing states."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


class _PeerLink:
    """Passes on the datagrams that an entry sends, except those that cross a cut."""

    def __init__(self, transport: asyncio.DatagramTransport, cut: set[tuple[str, int]]) -> None:
        self._transport = transport
        self._cut = cut

    def is_closing(self) -> bool:
        """Whether the transport is closing."""
        return self._transport.is_closing()

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        if not self._cut & {peer_address(self._transport), tuple(address)}:
            self._transport.sendto(data, address)


def peer_address(transport: asyncio.DatagramTransport) -> tuple[str, int]:
    """Return the address at which an entry gets datagrams."""
    return transport.get_extra_info("sockname")[:2]


class PlatformRig:
    """A store, endpoints and one gateway, or several that know each other.

    The endpoints of each kind are spread over ``data_centres``, of which the first is dc-a. Set
    before the start, ``config_changes`` replace parts of the configuration. Entries with ``links``
    can be cut off from the store and from each other.

    Example::

        async with PlatformRig(services=2) as rig:
            answer = await rig.ask("GET", "/stock/1", "id-1")
    """

    def __init__(
        self,
        services: int = 0,
        prefills: int = 0,
        decodes: int = 0,
        engine: EngineOptions | None = None,
        quota: QuotaSettings | None = None,
        entries: int = 1,
        data_centres: int = 1,
        memory_mb: float = 0.0,
        links: bool = False,
    ) -> None:
        options = engine or EngineOptions()
        self.store = PlatformStoreStandIn()
        self.services = [EndpointStandIn(f"s{i}", ORDERS) for i in range(services)]
        self.prefills = [
            EndpointStandIn(f"p{i}", MODELS, attrs.evolve(options, stage="prefill"))
            for i in range(prefills)
        ]
        self.decodes = [
            EndpointStandIn(f"d{i}", MODELS, attrs.evolve(options)) for i in range(decodes)
        ]
        for endpoints in (self.services, self.prefills, self.decodes):
            for number, endpoint in enumerate(endpoints):
                endpoint.data_centre = f"dc-{'abcd'[number % data_centres]}"
        self.config_changes: dict[str, Any] = {}
        self.processes: list[GatewayProcess] = []
        self._entries = entries
        self._links: dict[str, StoreLink] | None = {} if links else None
        self._cut_peers: set[tuple[str, int]] = set()
        self._memory_mb = memory_mb
        self._quota = quota or QuotaSettings()
        self._stack = AsyncExitStack()

    @property
    def process(self) -> GatewayProcess:
        """The first gateway."""
        return self.processes[0]

    @property
    def endpoints(self) -> list[EndpointStandIn]:
        """All endpoints."""
        return [*self.services, *self.prefills, *self.decodes]

    async def __aenter__(self) -> Self:
        """Start the store, the endpoints and the gateways, and wait until these are ready."""
        self.store.put("op/config", configuration(**self.config_changes))
        for endpoint in self.endpoints:
            await self._stack.enter_async_context(endpoint)
            self.store.put(f"servers/{endpoint.instance}", endpoint.entry())
        self.served_store = await self._stack.enter_async_context(ServedApp(self.store.app()))
        for number in range(1, self._entries + 1):
            await self.start_entry(f"entry-{number}")
        await wait_until(self.entries_know_each_other)
        return self

    async def start_entry(self, name: str) -> GatewayProcess:
        """Start a gateway and wait until it is ready."""
        client = self.new_client()
        if self._links is not None:
            link = StoreLink(*self.store_address)
            self._links[name] = await self._stack.enter_async_context(link)
            client.set_address(link.address)
        process = GatewayProcess(self._settings(name), PlatformDialect(), client)
        await process.start()
        self.processes.append(process)
        gateway = process.gateway
        if self._links is not None:
            peers = _PeerLink(process._peers, self._cut_peers)
            for handler in gateway.peer_handlers:
                handler.connection_made(peers)
        await wait_until(lambda: gateway.is_ready)
        # The metrics libraries are loaded after the gateway starts to serve.
        await wait_until(lambda: gateway.metrics.render() is not None)
        return process

    async def evacuate(self, *data_centres: str) -> None:
        """Request the evacuation of these data centres only, and wait until all gateways know."""
        wanted = {f"op/evacuate/{name}" for name in data_centres}
        requested = {key for key in self.store.items if key.startswith("op/evacuate/")}
        for key in requested - wanted:
            self.store.remove(key)
        for key in wanted - requested:
            self.store.put(key, b"")
        await wait_until(lambda: self.evacuated == [frozenset(data_centres)] * len(self.processes))

    @property
    def evacuated(self) -> list[frozenset[str]]:
        """The evacuated data centres, as each gateway knows them."""
        return [process.gateway.membership.evacuated for process in self.processes]

    def cut_off(self, process: GatewayProcess) -> None:
        """Cut a gateway off from the store and the other gateways, without a sign."""
        self._links[process.gateway.cfg.node].cut()
        self._cut_peers.add(peer_address(process._peers))

    def reconnect(self, process: GatewayProcess) -> None:
        """End a cut."""
        self._links[process.gateway.cfg.node].heal()
        self._cut_peers.discard(peer_address(process._peers))

    def kill_entry(self, entry: int) -> None:
        """End a gateway and its connections at once; its registration stays in the store."""
        process = self.processes.pop(entry)
        process.close()
        for conn in list(process.gateway.front.connections):
            conn.abort()

    def entries_know_each_other(self) -> bool:
        """Whether each gateway knows all gateways."""
        return all(p.gateway.known_entries == len(self.processes) for p in self.processes)

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the gateways without draining them, then the store and the endpoints."""
        for process in self.processes:
            process.close()
        await self._stack.aclose()

    @property
    def store_address(self) -> tuple[str, int]:
        """The address of the store."""
        host, _, port = self.served_store.address.removeprefix("http://").partition(":")
        return host, int(port)

    def new_client(self) -> HttpStore:
        """Return a new client of the store."""
        return HttpStore(self.store_address, 1.0)

    async def ask(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes = b"",
        key: str = KEY,
        entry: int = 0,
        **headers: str,
    ) -> Answer:
        """Send one request on a new connection to a gateway and read the answer."""
        data = self.encode(method, path, request_id, body, key, **headers)
        return await self.send(data, entry)

    def encode(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes = b"",
        key: str = KEY,
        **headers: str,
    ) -> bytes:
        """Return the bytes of a request."""
        extra_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        all_headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "4000",
            "Authorization": f"Bearer {key}",
            "Content-Length": str(len(body)),
            "Connection": "close",
        } | extra_headers
        lines = [
            f"{method} {path} HTTP/1.1",
            *(f"{k}: {v}" for k, v in all_headers.items()),
            "",
            "",
        ]
        return "\r\n".join(lines).encode() + body

    async def send(self, data: bytes, entry: int = 0) -> Answer:
        """Send raw bytes on a new connection to a gateway and read one answer."""
        address = self.processes[entry].front_address
        reader, writer = await asyncio.open_connection(*address)
        writer.write(data)
        try:
            return await read_answer(reader)
        finally:
            writer.transport.abort()

    async def generate(self, path: str, request_id: str, entry: int = 0, **headers: str) -> Answer:
        """Request a generation of a typical size."""
        size_headers = {"X_Token_Count": "1000,500", "X_Length_Hint": "100"}
        all_headers = size_headers | headers
        return await self.ask("POST", path, request_id, b"prompt", entry=entry, **all_headers)

    def arrivals(self, request_id: str) -> list[str]:
        """Return the instances that started to work on a request, one for each start."""
        return [e.instance for e in self.endpoints for a in e.runs if a.request_id == request_id]

    def _settings(self, name: str) -> GatewaySettings:
        return GatewaySettings(
            node=name,
            data_centre="dc-a",
            front=LOOPBACK,
            ready=LOOPBACK,
            metrics=LOOPBACK,
            peers=LOOPBACK,
            grace_s=3.0,
            rotation_s=0.2,
            quota=self._quota,
            memory_mb=self._memory_mb,
        )


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer; raise IncompleteReadError if the connection ends before its head."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *header_lines = head.strip().split("\r\n")
    headers = {
        name.lower(): value for name, value in (line.split(": ", 1) for line in header_lines)
    }
    status = int(status_line.split(" ")[1])
    body = b""
    is_complete = False
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
            is_complete = True
        else:
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            is_complete = True
    return Answer(status, headers, body, is_complete)
