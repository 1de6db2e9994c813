"""A minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

MAX_HEAD = 1 << 20


@dataclass
class Message:
    """A request or an answer; header names are in lower case."""

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def path(self) -> str:
        """Path of a request."""
        return urlsplit(self.first[1]).path

    @property
    def query(self) -> dict[str, str]:
        """Query of a request."""
        return dict(parse_qsl(urlsplit(self.first[1]).query, keep_blank_values=True))

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first[1])


@dataclass
class Answer:
    """What a handler answers."""

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


def json_answer(value: object, status: int = 200) -> Answer:
    """Return an answer with a JSON body."""
    return Answer(status, {"Content-Type": "application/json"}, json.dumps(value).encode())


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; ``None`` at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read a body with a length or in chunks; raise IncompleteReadError if it is cut off."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).partition(b";")[0] or b"x", 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readexactly(2)
        return b"".join(parts)
    return await reader.readexactly(int(message.headers.get("content-length", 0)))


def render(status: int, headers: dict[str, str], length: int | None) -> bytes:
    """Return the head of an answer; without a length it is chunked."""
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    lines = [f"HTTP/1.1 {status} Status", *(f"{n}: {v}" for n, v in headers.items()), framing]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[Answer | None]]


class Server:
    """Serves requests one at a time on each connection.

    A handler that returns ``None`` has written its answer itself. The handler is cancelled when the
    other side closes the connection.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, port: int = 0) -> str:
        """Listen on a loopback port; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=MAX_HEAD)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def stop(self) -> None:
        """Refuse new connections, and close those that are open."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                message.body = await read_body(reader, message)
                if not await self._answer(message, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(
        self, message: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        task = asyncio.ensure_future(self._handler(message, writer))
        while not task.done():
            # The parser of streams tells the end of the connection without reading from it.
            await asyncio.wait([task], timeout=0.02)
            if not task.done() and (reader.at_eof() or writer.is_closing()):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
                return False
        answer = task.result()
        if answer is not None:
            writer.write(render(answer.status, answer.headers, len(answer.body)) + answer.body)
        await writer.drain()
        return not writer.is_closing()


@dataclass
class Outcome:
    """What a client got; ``status`` is 0 if the connection ended without a complete answer."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""
    sent_at: float = 0.0
    ended_at: float = 0.0


async def call(
    address: str, method: str, target: str, headers: dict[str, str], body: bytes, timeout_s: float
) -> Outcome:
    """Send one request on a new connection, and read its answer."""
    loop = asyncio.get_running_loop()
    outcome = Outcome(sent_at=loop.time())
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_HEAD)
            lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            outcome.sent_at = loop.time()
            message = await read_head(reader)
            if message is None:
                outcome.error = "closed without an answer"
            else:
                outcome.headers = message.headers
                outcome.body = await read_body(reader, message)
                outcome.status = message.status
    except TimeoutError:
        outcome.error = f"no complete answer in {timeout_s:g} s"
    except (OSError, asyncio.IncompleteReadError) as exc:
        outcome.error = repr(exc)
    finally:
        outcome.ended_at = loop.time()
        if writer is not None:
            writer.transport.abort()
    return outcome
