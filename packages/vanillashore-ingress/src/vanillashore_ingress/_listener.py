"""Accepts connections one by one, so that none takes a descriptor unless there is room for it."""

import asyncio
import socket
from collections.abc import Callable

from loguru import logger as log

from vanillashore_ingress._connection_table import ConnectionTable

# The kernel holds twice as much for a connection from which nothing is read. This is enough for
# 5 MB/s from a caller that is 50 ms away.
RECEIVE_BUFFER_BYTES = 262_144
PAUSE_S = 0.05  # After the kernel refused a descriptor.

ProtocolFactory = Callable[[], asyncio.BaseProtocol]


class Listener:
    """A listening socket whose connections are counted in a table.

    Example::

        listener = Listener(lambda: CallerConnection(state), table)
        listener.open("127.0.0.1", 8080, backlog=1024)
        listener.close()
    """

    def __init__(self, factory: ProtocolFactory, table: ConnectionTable) -> None:
        self._factory = factory
        self._table = table
        self._tasks: set[asyncio.Task[None]] = set()
        self._socket: socket.socket | None = None
        self._is_paused = False
        self._is_abandoned = False
        self.address: tuple[str, int] = ("", 0)

    def open(self, host: str, port: int, backlog: int) -> None:
        """Listen; needs a running event loop."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # Accepted connections inherit it.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setblocking(False)
            sock.bind((host, port))
            sock.listen(backlog)
        except OSError:
            sock.close()
            raise
        self._socket = sock
        self.address = sock.getsockname()[:2]
        asyncio.get_running_loop().add_reader(sock, self._accept)

    def close(self) -> None:
        """Accept no more connections; those that are open stay."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def abandon(self) -> None:
        """Close, and abort connections that were accepted and have no transport yet."""
        self._is_abandoned = True
        self.close()

    def _accept(self) -> None:
        for _ in range(self._table.batch):
            if self._table.is_settling or len(self._tasks) >= self._table.batch:
                return  # The loop calls again.
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as exc:
                self._pause(exc)
                return
            if not self._table.make_room(len(self._tasks)):
                sock.close()
                continue
            task = asyncio.get_running_loop().create_task(self._connect(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, sock: socket.socket) -> None:
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            loop = asyncio.get_running_loop()
            transport, _ = await loop.connect_accepted_socket(self._factory, sock)
            if self._is_abandoned:
                transport.abort()
        except OSError as exc:
            sock.close()
            log.bind(reason=repr(exc)).info("a connection ended as it was accepted")

    def _pause(self, exc: OSError) -> None:
        """Wait for descriptors, without being called again and again meanwhile."""
        if not self._is_paused:
            log.bind(error=repr(exc)).error("no connection can be accepted; pausing")
        self._is_paused = True
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        loop.call_later(PAUSE_S, self._resume)

    def _resume(self) -> None:
        self._is_paused = False
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(self._socket, self._accept)
