"""Callers of the soak: they keep connections while these last, and judge what they get."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import attrs

from vanillashore_standins.platform_endpoint import EVENT_TEXT_FORMAT
from vanillashore_standins.platform_rig import HOST

ANSWER_S = 6.0  # Callers wait as long; the deadline that they name is shorter.
DEADLINE_MS = 4_000
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


@attrs.frozen
class Asked:
    """A request and what became of it; status 0 is a connection that broke."""

    request_id: str
    path: str
    key: str
    sent_at: float
    ended_at: float
    status: int


@attrs.frozen
class RequestKind:
    """A kind of request; ``runs_once`` if it must not run twice."""

    method: str
    path: str
    runs_once: bool
    is_stream: bool


KINDS = (
    RequestKind("POST", "/pay/1", True, False),
    RequestKind("GET", "/stock/1", False, False),
    RequestKind("POST", "/quote/1", False, True),
    RequestKind("POST", "/idea/1", True, True),
)


class SoakCaller:
    """One caller that asks one thing after the other."""

    def __init__(
        self,
        name: str,
        rng: random.Random,
        addresses: Callable[[], list[tuple[str, int]]],
        key: Callable[[], str],
        events: int,
    ) -> None:
        self.asked: list[Asked] = []
        self.violations: list[str] = []
        self._name = name
        self._rng = rng
        self._addresses = addresses
        self._key = key
        self._whole = b"".join(
            f"id: {n}\ndata: {EVENT_TEXT_FORMAT % n}\n\n".encode() for n in range(1, events + 1)
        )
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self) -> None:
        """Ask until cancelled."""
        number = 0
        try:
            while True:
                number += 1
                await self._ask(f"{self._name}-{number}", self._rng.choice(KINDS))
                await asyncio.sleep(self._rng.random() * 0.05)
        finally:
            self._drop()

    async def _ask(self, request_id: str, kind: RequestKind) -> None:
        loop = asyncio.get_running_loop()
        key, sent_at = self._key(), loop.time()
        status = 0
        try:
            patience_s = ANSWER_S if self._rng.random() > 0.05 else self._rng.random() * 0.2
            async with asyncio.timeout(patience_s):
                status = await self._exchange(request_id, kind, key)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self._drop()
        self.asked.append(Asked(request_id, kind.path, key, sent_at, loop.time(), status))

    async def _exchange(self, request_id: str, kind: RequestKind, key: str) -> int:
        if self._streams is None or self._rng.random() < 0.1:
            self._drop()
            host, port = self._rng.choice(self._addresses())
            self._streams = await asyncio.open_connection(host, port)
        reader, writer = self._streams
        sizes = "X-Token-Count: 1000,500\r\nX-Length-Hint: 50\r\n" if kind.is_stream else ""
        writer.write(
            f"{kind.method} {kind.path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
            f"Authorization: Bearer {key}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n{sizes}"
            "Content-Length: 4\r\n\r\nbody".encode()
        )
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        status = int(head.split(" ")[1])
        if f"x-request-id: {request_id}" not in head and status == 200:
            self._complain(request_id, "an answer of another request")
        body, is_whole = await self._read_body(reader, head)
        if status == 200:
            self._judge(request_id, kind, body, is_whole)
        if not is_whole or "connection: close" in head:
            self._drop()
        return status if is_whole else 0

    async def _read_body(self, reader: asyncio.StreamReader, head: str) -> tuple[bytes, bool]:
        if "content-length: " in head:
            length = int(head.split("content-length: ")[1].split("\r\n")[0])
            return await reader.readexactly(length), True
        body = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
            return body, True
        return body, False

    def _judge(self, request_id: str, kind: RequestKind, body: bytes, is_whole: bool) -> None:
        expected = self._whole if kind.is_stream else b"answer to " + request_id.encode()
        if is_whole and body != expected:
            self._complain(request_id, f"a wrong answer: {body[:80]!r}")
        if not is_whole and not expected.startswith(body):
            self._complain(request_id, f"a wrong part of an answer: {body[:80]!r}")

    def _complain(self, request_id: str, text: str) -> None:
        self.violations.append(f"{request_id}: {text}")

    def _drop(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None
