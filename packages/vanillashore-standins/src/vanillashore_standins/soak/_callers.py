"""Callers of the soak: they reuse connections while these last and check each response."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import attrs

from vanillashore_standins.platform_endpoint import SEAL_PREFIX, event_bytes
from vanillashore_standins.platform_rig import HOST

ANSWER_TIMEOUT_S = 6.0  # Longer than the deadline that callers send.
DEADLINE_MS = 4_000
SEAL_HEADER = f"x-server-seal: {SEAL_PREFIX}"
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@attrs.frozen
class RequestRecord:
    """A request and its outcome; status 0 means that the connection broke.

    ``limited_by`` is the endpoint that named a request limit in its answer, if any.
    """

    request_id: str
    path: str
    key: str
    sent_at: float
    ended_at: float
    status: int
    entry: tuple[str, int]
    limited_by: str = ""


@attrs.frozen
class RequestKind:
    """A kind of request; ``runs_once`` if it must not run twice."""

    method: str
    path: str
    runs_once: bool
    is_stream: bool


REQUEST_KINDS = (
    RequestKind("POST", "/pay/1", True, False),
    RequestKind("GET", "/stock/1", False, False),
    RequestKind("POST", "/quote/1", False, True),
    RequestKind("POST", "/idea/1", True, True),
)


class SoakCaller:
    """A caller that sends one request after the other."""

    def __init__(
        self,
        name: str,
        rng: random.Random,
        addresses: Callable[[], list[tuple[str, int]]],
        key: Callable[[], str],
        events: int,
    ) -> None:
        self.records: list[RequestRecord] = []
        self.violations: list[str] = []
        self._name = name
        self._rng = rng
        self._addresses = addresses
        self._key = key
        self._expected_stream = b"".join(event_bytes(n) for n in range(1, events + 1))
        self._limited_by = ""
        self._entry = ("", 0)
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        number = 0
        try:
            while True:
                number += 1
                await self._send_request(f"{self._name}-{number}", self._rng.choice(REQUEST_KINDS))
                await asyncio.sleep(self._rng.random() * 0.05)
        finally:
            self._close_connection()

    async def _send_request(self, request_id: str, kind: RequestKind) -> None:
        loop = asyncio.get_running_loop()
        key, sent_at = self._key(), loop.time()
        status = 0
        self._limited_by = ""
        try:
            timeout_s = ANSWER_TIMEOUT_S if self._rng.random() > 0.05 else self._rng.random() * 0.2
            async with asyncio.timeout(timeout_s):
                status = await self._exchange(request_id, kind, key)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self._close_connection()
        self.records.append(
            RequestRecord(
                request_id,
                kind.path,
                key,
                sent_at,
                loop.time(),
                status,
                self._entry,
                self._limited_by,
            )
        )

    async def _exchange(self, request_id: str, kind: RequestKind, key: str) -> int:
        if self._connection is None or self._rng.random() < 0.1:
            self._close_connection()
            self._entry = self._rng.choice(self._addresses())
            self._connection = await asyncio.open_connection(*self._entry)
        reader, writer = self._connection
        size_headers = "X-Token-Count: 1000,500\r\nX-Length-Hint: 50\r\n" if kind.is_stream else ""
        writer.write(
            f"{kind.method} {kind.path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
            f"Authorization: Bearer {key}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n{size_headers}"
            "Content-Length: 4\r\n\r\nbody".encode()
        )
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        status = int(head.split(" ")[1])
        if f"x-request-id: {request_id}" not in head and status == 200:
            self._add_violation(request_id, "got the response of another request")
        if "server-limit: " in head and SEAL_HEADER in head:
            self._limited_by = head.split(SEAL_HEADER)[1].split("\r\n")[0]
        body, is_complete = await self._read_body(reader, head)
        if status == 200:
            self._check_body(request_id, kind, body, is_complete)
        if not is_complete or "connection: close" in head:
            self._close_connection()
        return status if is_complete else 0

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

    def _check_body(
        self, request_id: str, kind: RequestKind, body: bytes, is_complete: bool
    ) -> None:
        expected = self._expected_stream if kind.is_stream else b"answer to " + request_id.encode()
        if is_complete and body != expected:
            self._add_violation(request_id, f"wrong response body: {body[:80]!r}")
        if not is_complete and not expected.startswith(body):
            self._add_violation(request_id, f"wrong partial response body: {body[:80]!r}")

    def _add_violation(self, request_id: str, text: str) -> None:
        self.violations.append(f"{request_id}: {text}")

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None
