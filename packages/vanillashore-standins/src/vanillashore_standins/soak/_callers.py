"""Callers of the soak: they reuse connections while these last and check each response."""

import asyncio
import contextlib
import random
import re
from collections.abc import Callable
from enum import StrEnum, auto

import attrs

from vanillashore_standins.platform_endpoint import SEAL_PREFIX, event_bytes
from vanillashore_standins.platform_rig import HOST

ANSWER_TIMEOUT_S = 6.0  # Longer than the deadline that callers send.
PATIENCE_S = 12.0  # Longer than an entry takes to stop.
DEADLINE_MS = 4_000
TOKENS_IN = 1_000
SEAL_HEADER = f"x-server-seal: {SEAL_PREFIX}"
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


Address = tuple[str, int]
# Whether an entry was disrupted between two times.
WasDisrupted = Callable[[Address, float, float], bool]


class Ending(StrEnum):
    """How an exchange ended: ``CUT`` by the entry, or ``LEFT`` by the caller."""

    COMPLETE = auto()
    CUT = auto()
    LEFT = auto()
    NO_LISTENER = auto()


@attrs.frozen
class Prompt:
    """Parts of a prompt; a unique one has a path and a body that no other request has."""

    parts: tuple[str, ...] = ()
    is_unique: bool = False


@attrs.frozen
class RequestRecord:
    """A request and its outcome; status 0 means that the connection broke.

    ``limited_by`` is the endpoint that named a request limit in its answer, if any, and
    ``leaving_by`` the one that said it was leaving. ``resumes`` is the request that began the
    stream, if this one took it up again, and ``versions`` are those that made the events of its
    answer. ``code`` is that of the refusal, if it was refused, and ``limit_s`` the time after which
    the entry may give up.
    """

    request_id: str
    path: str
    key: str
    sent_at: float
    ended_at: float
    status: int
    entry: tuple[str, int]
    limited_by: str = ""
    resumes: str = ""
    versions: frozenset[str] = frozenset()
    ending: Ending = Ending.COMPLETE
    code: str = ""
    limit_s: float = DEADLINE_MS / 1_000
    leaving_by: str = ""


@attrs.frozen
class RequestKind:
    """A kind of request; ``runs_once`` if it must not run twice."""

    method: str
    path: str
    runs_once: bool
    is_stream: bool


@attrs.define
class _Stream:
    """A stream over all tries of its caller."""

    first_id: str = ""
    events: int = 0

    @property
    def resume_headers(self) -> str:
        """The headers to take the stream up again, empty before its first event."""
        if not self.events:
            return ""
        return f"Resumes: {self.first_id}\r\nLast-Event-Id: {self.events}\r\n"


CODE = re.compile(rb'"code": ?"(\w+)"')
EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+ of (\S+)\n\n")
MAX_RETURNS = 2
LEAVE_SHARE = 0.3  # Of resumable streams whose callers leave in the middle and come back.
RESUMABLE_PATH = "/quote/1"
REQUEST_KINDS = (
    RequestKind("POST", "/pay/1", True, False),
    RequestKind("GET", "/stock/1", False, False),
    RequestKind("POST", "/quote/1", False, True),
    RequestKind("POST", "/idea/1", True, True),
)


@attrs.frozen
class CallerOptions:
    """What a caller sends, and how it uses connections.

    A patient one waits for the end of each answer and for the time that a refusal names, and keeps
    a connection until the entry ends it.
    """

    deadline_ms: int = DEADLINE_MS
    pause_s: float = 0.05
    is_patient: bool = False
    kinds: tuple[RequestKind, ...] = REQUEST_KINDS
    prompt: Callable[[str], Prompt] | None = None


class SoakCaller:
    """A caller that sends one request after the other."""

    def __init__(
        self,
        name: str,
        rng: random.Random,
        addresses: Callable[[], list[tuple[str, int]]],
        key: Callable[[], str],
        events: int,
        options: CallerOptions | None = None,
    ) -> None:
        self.records: list[RequestRecord] = []
        self.violations: list[str] = []
        self._name = name
        self._rng = rng
        self._addresses = addresses
        self._key = key
        self._events = events
        self._options = options or CallerOptions()
        self._stream = _Stream()
        self._body = b""
        self._limited_by = ""
        self._leaving_by = ""
        self._ending = Ending.NO_LISTENER
        self._retry_after_s = 0.0
        self._entry = ("", 0)
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        number = 0
        try:
            while True:
                number += 1
                kind = self._rng.choice(self._options.kinds)
                self._stream = _Stream()
                await self._send_request(f"{self._name}-{number}", kind)
                for again in range(MAX_RETURNS if kind.path == RESUMABLE_PATH else 0):
                    if not 0 < self._stream.events < self._events:
                        break
                    await self._send_request(f"{self._name}-{number}-{again}", kind)
                pause_s = self._rng.random() * self._options.pause_s
                if self._options.is_patient:
                    pause_s = max(pause_s, self._retry_after_s)
                await asyncio.sleep(pause_s)
        finally:
            self._close_connection()

    async def _send_request(self, request_id: str, kind: RequestKind) -> None:
        loop = asyncio.get_running_loop()
        key, sent_at = self._key(), loop.time()
        status = 0
        stream, resumes = self._stream, self._stream.first_id
        self._limited_by = self._leaving_by = ""
        self._body, self._retry_after_s = b"", 0.0
        self._ending = Ending.NO_LISTENER
        try:
            async with asyncio.timeout(self._timeout_s()):
                status = await self._exchange(request_id, kind, key)
        except TimeoutError:
            self._ending = Ending.LEFT
            self._close_connection()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self._close_connection()
        versions = self._check_events(request_id, kind) if kind.is_stream else frozenset()
        if versions and not stream.first_id:
            stream.first_id = request_id
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
                resumes,
                versions,
                self._ending,
                self._refusal_code(status),
                self._options.deadline_ms / 1_000,
                self._leaving_by,
            )
        )

    def _timeout_s(self) -> float:
        if self._options.is_patient:
            return PATIENCE_S
        return ANSWER_TIMEOUT_S if self._rng.random() > 0.05 else self._rng.random() * 0.2

    def _refusal_code(self, status: int) -> str:
        found = CODE.search(self._body) if status >= 400 else None
        return found[1].decode() if found else ""

    async def _exchange(self, request_id: str, kind: RequestKind, key: str) -> int:
        headers = self._stream.resume_headers
        if (
            self._connection is None
            or headers
            or (not self._options.is_patient and self._rng.random() < 0.1)
            or self._connection[0].at_eof()
        ):
            self._close_connection()
            self._entry = self._rng.choice(self._addresses())
            self._connection = await asyncio.open_connection(*self._entry)
        reader, writer = self._connection
        if kind.is_stream:
            headers += f"X-Token-Count: {TOKENS_IN},500\r\nX-Length-Hint: 50\r\n"
        prompt = self._options.prompt(request_id) if self._options.prompt else Prompt()
        if kind.is_stream and prompt.parts:
            tokens = TOKENS_IN // len(prompt.parts)
            headers += f"X-Prompt-Prefix: {','.join(f'{p}:{tokens}' for p in prompt.parts)}\r\n"
        path, body = kind.path, b"body"
        if prompt.is_unique:
            path, body = f"{path}-{request_id}", request_id.encode()
        self._ending = Ending.CUT
        writer.write(
            f"{kind.method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
            f"Authorization: Bearer {key}\r\nX-Deadline-Ms: {self._options.deadline_ms}\r\n"
            f"{headers}Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        status = int(head.split(" ")[1])
        if f"x-request-id: {request_id}" not in head and status == 200:
            self._add_violation(request_id, "got the response of another request")
        if SEAL_HEADER in head:
            endpoint = head.split(SEAL_HEADER)[1].split("\r\n")[0]
            self._limited_by = endpoint if "server-limit: " in head else ""
            self._leaving_by = endpoint if "server-leaving: 1" in head else ""
        if "retry-after: " in head:
            self._retry_after_s = float(head.split("retry-after: ")[1].split("\r\n")[0])
        leaves_after = self._rng.randrange(1, 300) if self._leaves(kind, status) else None
        is_complete = await self._read_body(reader, head, leaves_after)
        if status == 200 and not kind.is_stream:
            self._check_body(request_id, is_complete)
        if status == 200 and kind.is_stream and is_complete:
            self._check_end(request_id)
        if not is_complete or "connection: close" in head:
            self._close_connection()
        if is_complete:
            self._ending = Ending.COMPLETE
        return status if is_complete else 0

    def _leaves(self, kind: RequestKind, status: int) -> bool:
        if self._options.is_patient:
            return False
        is_resumable = kind.path == RESUMABLE_PATH and status == 200
        return is_resumable and self._rng.random() < LEAVE_SHARE

    async def _read_body(
        self, reader: asyncio.StreamReader, head: str, leaves_after: int | None
    ) -> bool:
        """Read up to the end of the body; return whether it was reached.

        With ``leaves_after`` the caller leaves once it has received that many bytes.
        """
        if "content-length: " in head:
            length = int(head.split("content-length: ")[1].split("\r\n")[0])
            self._body = await reader.readexactly(length)
            return True
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                self._body += await reader.readexactly(size)
                await reader.readexactly(2)
                if leaves_after is not None and len(self._body) > leaves_after:
                    self._ending = Ending.LEFT
                    return False
            await reader.readexactly(2)
            return True
        return False

    def _check_body(self, request_id: str, is_complete: bool) -> None:
        expected = b"answer to " + request_id.encode()
        if is_complete and self._body != expected:
            self._add_violation(request_id, f"wrong response body: {self._body[:80]!r}")
        if not is_complete and not expected.startswith(self._body):
            self._add_violation(request_id, f"wrong partial response body: {self._body[:80]!r}")

    def _check_events(self, request_id: str, kind: RequestKind) -> frozenset[str]:
        """Check that the events go on without a gap; return the versions that made them."""
        events = [(int(number), version.decode()) for number, version in EVENT.findall(self._body)]
        begun = self._stream.events
        expected = b"".join(event_bytes(begun + n, v) for n, (_, v) in enumerate(events, start=1))
        if not self._body.startswith(expected):
            self._add_violation(request_id, f"wrong events after {begun}: {self._body[:80]!r}")
        self._stream.events += len(events)
        return frozenset(version for _, version in events)

    def _check_end(self, request_id: str) -> None:
        count = self._stream.events + len(EVENT.findall(self._body))
        if count != self._events:
            self._add_violation(request_id, f"the stream ended as complete after {count} events")

    def _add_violation(self, request_id: str, text: str) -> None:
        self.violations.append(f"{request_id}: {text}")

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None
