"""Stands between the sockets of callers and the HTTP server, and bounds what callers make it hold.

The HTTP server parses and buffers whatever a connection sends. The gate counts it from the first
byte on, and lets a request begin only if there is room.
"""

import time
from typing import Any

from aiohttp import web

from vanillashore_ingress import (
    CALLERS_SHARE,
    PEERS_SHARE,
    ConnectionTable,
    HeldBytes,
    Listener,
    limits_for_memory,
    most_connections,
    socket_budget,
    usable_memory_mb,
)
from vanillashore_node._gated_connection import GatedConnection, GatedTransport, GateState
from vanillashore_schema import NodeRole, NodeSettings

PROCESS_MIB = 96  # An entry of a small fleet takes about 55 MB; the rest is for larger tables.
REQUEST_BYTES = 65_536  # Counted for each request that is served, besides its body.


class CallerGate:
    """The connections of one process, and the bytes held for them.

    Example::

        gate = CallerGate(cfg)
        app.middlewares.insert(0, gate.track)
        gate.open(runner.server, "10.0.0.11", 8080, backlog=1024)
    """

    def __init__(self, cfg: NodeSettings) -> None:
        memory_mb = cfg.limits.memory_mb or usable_memory_mb()
        share = PEERS_SHARE if cfg.node.role is NodeRole.SIDECAR else CALLERS_SHARE
        most = most_connections(socket_budget(callers_share=share), memory_mb)
        held = HeldBytes(limits_for_memory(memory_mb, PROCESS_MIB, REQUEST_BYTES))
        self.state = GateState(cfg.limits, held, ConnectionTable(most, time.monotonic))
        self._listener: Listener | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Host and port, with the port in use if 0 was configured."""
        return self._listener.address

    def open(self, server: Any, host: str, port: int, backlog: int) -> None:
        """Listen; ``server`` is aiohttp's factory of connection handlers."""
        state = self.state
        self._listener = Listener(lambda: GatedConnection(server(), state), state.table)
        self._listener.open(host, port, backlog)

    def close(self) -> None:
        """Accept no more connections; the HTTP server closes those that are open."""
        if self._listener is not None:
            self._listener.abandon()

    @web.middleware
    async def track(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Note when a connection's request begins and ends."""
        conn = _connection_of(request)
        if conn is None:
            return await handler(request)
        conn.begin_request(request)
        try:
            return await handler(request)
        finally:
            conn.end_request()

    def trust(self, request: web.Request) -> None:
        """Bound a connection no longer, as that of a process of the fleet."""
        conn = _connection_of(request)
        if conn is not None:
            conn.trust()

    async def admit(self, request: web.Request) -> None:
        """Wait until there is room for a request; raise RefusalError if there is none in time."""
        conn = _connection_of(request)
        if conn is not None:
            await conn.wait_for_room(request.content_length or 0)

    async def read_body(self, request: web.Request) -> bytes:
        """Read a body; raise RefusalError if it finds no room or gives way to other requests."""
        conn = _connection_of(request)
        return await request.read() if conn is None else await conn.read_body()


def _connection_of(request: web.Request) -> GatedConnection | None:
    """Return the connection of a request, or ``None`` if its caller has disconnected."""
    transport = request.transport
    return transport.connection if isinstance(transport, GatedTransport) else None
