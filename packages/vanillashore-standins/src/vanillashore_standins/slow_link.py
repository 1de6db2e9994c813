"""Stand-in for the connections to a store behind a slow link, without sockets."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import attrs

from vanillashore_gateway import HttpConnection, LinkError, LinkFailure

PIECE_BYTES = 4_096


@attrs.frozen
class StoreCall:
    """A call as the store receives it."""

    method: str
    path: str
    query: dict[str, str]


StoreAnswer = Callable[[StoreCall], Awaitable[bytes]]


class SlowLink:
    """Connections over one link that delivers ``bytes_per_s``.

    The body of each answer comes from ``answer``; ``stalls_after`` is the number of bytes after
    which an answer stops arriving. Use `open_connection` in place of the real one::

        link = SlowLink(answer, bytes_per_s=625_000)
        monkeypatch.setattr("vanillashore_adapter._store.open_connection", link.open_connection)
    """

    def __init__(
        self, answer: StoreAnswer, bytes_per_s: float, stalls_after: int | None = None
    ) -> None:
        self._answer = answer
        self._bytes_per_s = bytes_per_s
        self._stalls_after = stalls_after
        self._link = asyncio.Lock()
        self._is_up = True
        self._conns: list[HttpConnection] = []

    def go_down(self) -> None:
        """Break all connections and refuse new ones."""
        self._is_up = False
        for conn in self._conns:
            conn.abort()
            conn.connection_lost(None)
        self._conns.clear()

    def come_up(self) -> None:
        """Accept connections again."""
        self._is_up = True

    async def open_connection(self, host: str, port: int, timeout_s: float = 0.0) -> HttpConnection:
        """Return a connection to the store; raise LinkError while the link is down."""
        if not self._is_up:
            raise LinkError(LinkFailure.NOT_SENT, "the link is down")
        conn = HttpConnection()
        conn.connection_made(_SlowTransport(self, conn))
        self._conns.append(conn)
        return conn

    async def transfer(self, conn: HttpConnection, request: bytes) -> None:
        """Deliver the answer to a request, sharing the link with other transfers."""
        method, target, _ = request.split(b" ", 2)
        parts = urlsplit(target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        call = StoreCall(method.decode(), parts.path, query)
        body = await self._answer(call)
        data = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        for start in range(0, len(data), PIECE_BYTES):
            if self._stalls_after is not None and start >= self._stalls_after:
                return
            piece = data[start : start + PIECE_BYTES]
            async with self._link:
                await asyncio.sleep(len(piece) / self._bytes_per_s)
            conn.data_received(piece)


class _SlowTransport(asyncio.Transport):
    def __init__(self, link: SlowLink, conn: HttpConnection) -> None:
        super().__init__()
        self._link = link
        self._conn = conn
        self._transfer: asyncio.Task[None] | None = None
        self._is_closing = False

    def write(self, data: bytes) -> None:
        self._transfer = asyncio.ensure_future(self._link.transfer(self._conn, bytes(data)))

    def abort(self) -> None:
        self._is_closing = True
        if self._transfer is not None:
            self._transfer.cancel()

    def is_closing(self) -> bool:
        return self._is_closing

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return _NoSocket()


class _NoSocket:
    def setsockopt(self, *args: int) -> None: ...
