"""Stand-in for an endpoint on the operators' platform, with protocol faults."""

import asyncio
import contextlib
import itertools
import socket
import struct
from collections import deque
from collections.abc import Callable
from enum import StrEnum, auto
from typing import Any, Self

import attrs
import orjson

SEAL_PREFIX = "sealed-by-"
RESET_DELAY_S = 0.02  # For the other side to read what was sent before.
ENDLESS_PAUSE_S = 0.002  # Between parts, so that other endpoints of the process keep working.
CRASH_DELAY_S = 0.02  # From the head of the answer to the crash.
SLOW_RECEIVE_BYTES = 4_096  # Receive buffer of an endpoint that reads slowly.
VERSION = "v1"


def event_bytes(number: int, version: str = VERSION) -> bytes:
    """Return an event of a stream, which names the version that made it."""
    return f"id: {number}\ndata: piece {number} of {version}\n\n".encode()


def prompt_parts(headers: dict[str, str]) -> set[str]:
    """Return the parts of a prompt that requests may share: all but the last."""
    parts = headers.get("x-prompt-prefix", "").split(",")
    return {part.partition(":")[0].strip() for part in parts[:-1]}


class Fault(StrEnum):
    """Fault that an endpoint injects into one request.

    With ``ERROR`` an endpoint answers with its ``error_status`` although it ran the request. With
    ``NO_STREAM`` an engine answers with a success that is no stream, and with
    ``NO_STREAM_UNTYPED`` it does not even say so. Those named ``ENDLESS``
    send bytes until the caller closes the connection.
    """

    NONE = auto()
    ERROR = auto()
    SHED = auto()
    OTHER_INSTANCE = auto()
    RESET_UNREAD = auto()
    RESET_AFTER_RUN = auto()
    TRUNCATED = auto()
    GARBAGE = auto()
    EXTRA_ANSWER = auto()
    UNSEALED = auto()
    NO_STREAM = auto()
    NO_STREAM_UNTYPED = auto()
    UNFRAMED = auto()
    UNFRAMED_RESET = auto()
    SILENT = auto()
    BREAKS_MID_EVENT = auto()
    STALLS = auto()
    TRICKLES = auto()
    ENDLESS_HEAD = auto()
    ENDLESS_LINE = auto()
    ENDLESS_BODY = auto()
    ENDLESS_EVENT = auto()
    ENDLESS_CHUNK_SIZE = auto()
    ENDLESS_TRAILER = auto()


# With these an endpoint is full, silent, or answers as a whole.
UNBROKEN_FAULTS = frozenset(
    {
        Fault.NONE,
        Fault.SHED,
        Fault.EXTRA_ANSWER,
        Fault.SILENT,
        Fault.STALLS,
        Fault.TRICKLES,
    }
)


@attrs.frozen
class Arrival:
    """A request received at ``at`` on the loop's clock; ``ran`` if the endpoint worked on it.

    ``limit_per_s`` is the request limit that the endpoint named then, and ``retry_after`` the time
    with which it turned the request away, if it did. ``started_ms`` is the endpoint's start.
    """

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ran: bool
    at: float
    limit_per_s: float | None
    retry_after: str | None = None
    started_ms: int = 1


@attrs.frozen
class Crash:
    """A crash at ``at`` on the loop's clock; ``parts`` are the crash parts that caused it."""

    at: float
    parts: frozenset[str] = frozenset()


@attrs.define
class EngineOptions:
    """Stage, answers and capacity of an engine.

    ``room`` is the number of tokens that all holds together may reserve. The faults
    ``BREAKS_MID_EVENT``, ``STALLS`` and ``TRICKLES`` (a byte every ``trickle_s``) occur after
    ``break_after`` events, and crashes caused by a prompt after ``crash_after``. Streams that are
    not framed end with their connection, and those with an empty ``type_header`` state no type.
    """

    stage: str = "decode"
    events: int = 5
    pause_s: float = 0.0
    room: int = 1_000_000
    break_after: int = 2
    crash_after: int = 0
    stall_s: float = 3_600.0
    trickle_s: float = 0.2
    is_framed: bool = True
    type_header: str = "Content-Type: text/event-stream"


@attrs.frozen
class AnswerCut:
    """Where an endpoint ends its answers to some targets, and how it ends the connection then."""

    target: str
    after_bytes: int
    is_reset: bool = False

    def applies_to(self, target: str) -> bool:
        """Whether answers to a target are cut."""
        return target.startswith(self.target)


@attrs.frozen
class EarlyAnswer:
    """An answer to some targets that comes before the body of the request is read.

    It has a head as usual, a ``status`` and a ``body``. The connection is closed for writing then,
    unless ``is_framed``. The endpoint ``reads_on`` to the end of the request, or resets the
    connection ``reset_s`` later.
    """

    target: str
    body: bytes
    status: int = 200
    is_framed: bool = False
    reads_on: bool = False
    reset_s: float = 0.0


class _Recorder:
    """Passes on to a stream writer, and keeps the answer to the current request."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.target = ""
        self.answer = bytearray()
        self.cut: AnswerCut | None = None
        self.status_line = ""
        self.interim = b""

    def write(self, data: bytes) -> None:
        before = len(self.answer)
        if not before and self.status_line:
            data = self.status_line.encode() + data[data.index(b"\r\n") :]
        if not before:
            data = self.interim + data
        self.answer += data
        left = None if self.cut is None else self.cut.after_bytes - before
        if left is None or len(data) < left:
            self._writer.write(data)
        elif left > 0 or not before:
            self._writer.write(data[:left])
            if self.cut.is_reset:
                asyncio.get_running_loop().call_later(RESET_DELAY_S, _reset, self._writer)
            else:
                self._writer.close()

    def begin(self, target: str) -> None:
        """Note the target of the next request."""
        self.target, self.answer = target, bytearray()

    def write_unrecorded(self, data: bytes) -> None:
        self._writer.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._writer, name)


class EndpointStandIn:
    """Serves one instance on a loopback port.

    Each request consumes one of ``faults``; requests after the last one succeed, and each control
    call has the ``control_fault``. Plain answers have ``body``, or name the request; errors have
    ``error_status`` and ``error_body``. Answers name
    ``limit_per_s`` unless it is ``None``, and with ``says_leaving`` all answers say so; successes
    bear ``extra_headers``. ``version`` is that of the endpoint's software. While ``may_answer`` is
    not set, answers do not begin, and streams pause. While ``retry_after`` is set, requests are
    turned away with it, and holds too unless ``grants_holds``. A plain answer that stays unread for
    ``unread_s`` is aborted, which ``unread_aborts`` counts. The bodies of requests are read only
    after ``read_delay_s``.

    After an answer for which ``copies_late``, called with the request's target and the answer, is
    true, a copy of it arrives with the answer to the next request on the connection.

    Answers to some targets end as ``answer_cut`` says, or come early as ``early_answer`` does.
    Those to ``odd_targets`` have the ``status_line``, if there is one, in place of their own, and
    come after ``interim``. Control calls have targets, too.

    The record states ``cold_ms``, and answers state ``states_cold_ms`` if it is not 0.

    A generation with one of ``crash_parts`` in its prompt, the last part apart, crashes the
    endpoint as the answer begins; the endpoint is back ``down_s`` later and calls ``on_restart``.
    ``broken_requests`` are those that failed here, or ran when the endpoint ended.
    """

    def __init__(self, instance: str, service: str, engine: EngineOptions | None = None) -> None:
        self.instance = instance
        self.service = service
        self.data_centre = "dc-a"
        self.cold_ms = 0
        self.states_cold_ms = 0
        self.engine = engine
        self.faults: deque[Fault] = deque()
        self.control_fault = Fault.NONE
        self.highest_fence = 0
        self.body = b""
        self.error_status = 500
        self.error_body = b"failed"
        self.limit_per_s: float | None = None
        self.says_leaving = False
        self.extra_headers: dict[str, str] = {}
        self.retry_after: str | None = None
        self.grants_holds = False
        self.unread_s: float | None = None
        self.unread_aborts = 0
        self.read_delay_s = 0.0
        self.version = VERSION
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.started_ms = 1
        self.crash_parts: set[str] = set()
        self.down_s = 0.3
        self.on_restart: Callable[[EndpointStandIn], None] = lambda _: None
        self.crashes: list[Crash] = []
        self.arrivals: list[Arrival] = []
        self.calls: list[tuple[str, str]] = []
        self.holds: dict[str, int] = {}
        self.dropped_holds: list[str] = []
        self.disconnected_requests: list[str] = []
        self.broken_requests: set[str] = set()
        self.copies_late: Callable[[str, bytes], bool] | None = None
        self.late_copies = 0
        self.answer_cut: AnswerCut | None = None
        self.early_answer: EarlyAnswer | None = None
        self.odd_targets: tuple[str, ...] = ("/",)
        self.status_line = ""
        self.interim = b""
        self.connections = 0
        self.address = ""
        self._writers: set[asyncio.StreamWriter] = set()
        self._active: set[str] = set()
        self._ids = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._return: asyncio.Task[None] | None = None

    @property
    def crashed_at(self) -> list[float]:
        """When the endpoint crashed."""
        return [crash.at for crash in self.crashes]

    @property
    def runs(self) -> list[Arrival]:
        """Requests that the endpoint started to work on, without prefills."""
        return [arrival for arrival in self.arrivals if arrival.ran]

    @property
    def open_connections(self) -> int:
        """Number of connections that are open now."""
        return len(self._writers)

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the endpoint's entry in the platform's list."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": self.cold_ms,
            "sequence": 0,
            "born": self.started_ms,
        }
        if self.engine is not None:
            entry["stage"] = self.engine.stage
        return entry | changes

    async def __aenter__(self) -> Self:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        if self.read_delay_s:  # The kernel is not to read on behalf of the endpoint.
            sock = self._server.sockets[0]
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BYTES)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening."""
        if self._return is not None:
            self._return.cancel()
        self._server.close()

    def restart(self, version: str) -> None:
        """Start again under the same name: connections, holds and what it said are gone."""
        self.version = version
        self.started_ms += 1
        self.limit_per_s = None
        self.says_leaving = False
        self.retry_after = None
        self.holds.clear()
        self.broken_requests |= self._active
        for writer in list(self._writers):
            _reset(writer)

    def crash(self, parts: frozenset[str] = frozenset()) -> None:
        """Lose all connections and refuse new ones for ``down_s``; ``parts`` are the cause."""
        if self._return is not None and not self._return.done():
            return
        loop = asyncio.get_running_loop()
        self.crashes.append(Crash(loop.time(), parts))
        self._server.close()
        self.restart(self.version)
        self._return = loop.create_task(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(self.down_s)
        host, _, port = self.address.partition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.on_restart(self)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        # At the end of a test the loop cancels connections that are still open.
        expected_errors = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*expected_errors):
            recorder = _Recorder(writer)
            while await self._serve_one(reader, recorder):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: "_Recorder") -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        request_line, *header_lines = head.strip().split("\r\n")
        method, target, _ = request_line.split(" ")
        headers = {
            name.lower(): value for name, value in (line.split(": ", 1) for line in header_lines)
        }
        early = self.early_answer
        if early is not None and target.startswith(early.target):
            return await self._answer_early(reader, writer, (method, target), headers, early)
        if self.read_delay_s and not target.startswith("/-/"):
            writer.transport.pause_reading()
            await asyncio.sleep(self.read_delay_s)
            writer.transport.resume_reading()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        self._begin_answer(writer, target)
        if target.startswith("/-/"):
            return await self._handle_control(writer, method, target, body)
        fault = self.faults.popleft() if self.faults else Fault.NONE
        request_id = headers.get("x-request-id", "")
        if fault not in UNBROKEN_FAULTS:
            self.broken_requests.add(request_id)
        if fault is Fault.RESET_UNREAD:
            _reset(writer)
            return False
        arrival = Arrival(
            request_id,
            method,
            target,
            headers,
            body,
            self._starts_work(fault, headers),
            asyncio.get_running_loop().time(),
            self.limit_per_s,
            self.retry_after if self._is_meant(fault, headers) else None,
            self.started_ms,
        )
        self.arrivals.append(arrival)
        self._active.add(request_id)
        try:
            return await self._answer_or_leave(reader, writer, arrival, fault)
        finally:
            self._active.discard(request_id)

    async def _answer_early(
        self,
        reader: asyncio.StreamReader,
        writer: "_Recorder",
        request_line: tuple[str, str],
        headers: dict[str, str],
        early: EarlyAnswer,
    ) -> bool:
        request_id = headers.get("x-request-id", "")
        writer.transport.pause_reading()
        is_refusal = early.status == 503
        now = asyncio.get_running_loop().time()
        arrival = Arrival(request_id, *request_line, headers, b"", not is_refusal, now, None)
        self.arrivals.append(arrival)
        own = {"X-Request-Id": request_id, "X-Server-Seal": SEAL_PREFIX + self.instance}
        if is_refusal:
            own["X-Not-Executed"] = "1"
        length = len(early.body) if early.is_framed else None
        writer.write(_head(early.status, own, length) + early.body)
        if not early.is_framed:
            writer.write_eof()
        if early.reads_on:
            writer.transport.resume_reading()
            await reader.readexactly(int(headers.get("content-length", 0)))
            return early.is_framed
        await asyncio.sleep(early.reset_s)
        _reset(writer)
        return False

    def _begin_answer(self, writer: "_Recorder", target: str) -> None:
        """Send the answer before once more, if it is to be copied, and record the next one."""
        before, answer = writer.target, bytes(writer.answer)
        writer.begin(target)
        applies = self.answer_cut is not None and self.answer_cut.applies_to(target)
        writer.cut = self.answer_cut if applies else None
        is_odd = target.startswith(self.odd_targets)
        writer.status_line = self.status_line if is_odd else ""
        writer.interim = self.interim if is_odd else b""
        if self.copies_late is not None and answer and self.copies_late(before, answer):
            self.late_copies += 1
            writer.write_unrecorded(answer)

    async def _answer_or_leave(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        arrival: Arrival,
        fault: Fault,
    ) -> bool:
        client_read = asyncio.ensure_future(reader.read(1))
        answer_task = asyncio.ensure_future(self._answer(writer, arrival, fault))
        await asyncio.wait([client_read, answer_task], return_when=asyncio.FIRST_COMPLETED)
        if client_read.done() and not answer_task.done():
            answer_task.cancel()
            client_read.exception()
            self.disconnected_requests.append(arrival.request_id)
            return False
        client_read.cancel()
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await client_read
        return await answer_task

    def _starts_work(self, fault: Fault, headers: dict[str, str]) -> bool:
        if not self._is_meant(fault, headers) or "x-stage" in headers:
            return False
        return fault is not Fault.SHED and self.retry_after is None

    def _is_meant(self, fault: Fault, headers: dict[str, str]) -> bool:
        """Whether a request is for this instance; others are answered with 421."""
        is_same = headers.get("x-expect-instance") == self.instance
        return is_same and fault is not Fault.OTHER_INSTANCE

    def _statements(self) -> dict[str, str]:
        """Return the headers in which the endpoint says how it is."""
        limit = {} if self.limit_per_s is None else {"Server-Limit": f"{self.limit_per_s:g}"}
        cold = {"X-Cold-Ms": str(self.states_cold_ms)} if self.states_cold_ms else {}
        return limit | cold | self._leaving_headers()

    def _leaving_headers(self) -> dict[str, str]:
        return {"Server-Leaving": "1"} if self.says_leaving else {}

    async def _answer(self, writer: asyncio.StreamWriter, arrival: Arrival, fault: Fault) -> bool:
        await self.may_answer.wait()
        statements = self._statements() | {"X-Request-Id": arrival.request_id}
        if not self._is_meant(fault, arrival.headers):
            another = {"X-Instance-Id": "another", "X-Request-Id": arrival.request_id}
            return await _reply(writer, 421, another, b"")
        if arrival.retry_after is not None:
            headers = {"X-Not-Executed": "1", "Retry-After": arrival.retry_after}
            return await _reply(writer, 503, headers | statements, b"")
        if fault is Fault.SHED:
            return await _reply(writer, 503, {"X-Not-Executed": "1"} | statements, b"")
        if fault is Fault.SILENT:
            await asyncio.sleep(3_600)
        if fault is Fault.RESET_AFTER_RUN:
            _reset(writer)
            return False
        if fault is Fault.GARBAGE:
            writer.write(b"\x00\x01 this is no answer\r\n\r\n")
            return True
        server_headers = (
            statements
            | {
                "X-Server-Seal": SEAL_PREFIX + self.instance,
                "X-Server-Load": "1,0,8",
            }
            | self.extra_headers
        )
        if fault.name.startswith("ENDLESS"):
            return await self._send_endlessly(writer, fault, server_headers)
        if fault is Fault.UNSEALED:
            del server_headers["X-Server-Seal"]
        if fault is Fault.ERROR:
            return await _reply(writer, self.error_status, server_headers, self.error_body)
        if fault in (Fault.NO_STREAM, Fault.NO_STREAM_UNTYPED):
            is_typed = fault is Fault.NO_STREAM
            json_type = {"Content-Type": "application/json"} if is_typed else {}
            body = b'{"error":"overloaded"}\n\n'
            return await _reply(writer, 200, server_headers | json_type, body)
        if arrival.headers.get("x-stage") == "prefill":
            handle = {"kv_handle": f"kv{next(self._ids)}", "tokens": 1, "version": 1}
            return await _reply(writer, 200, server_headers, orjson.dumps(handle))
        if self.engine is not None:
            return await self._send_events(writer, arrival, fault, server_headers)
        return await self._send_body(writer, arrival, fault, server_headers)

    async def _send_endlessly(
        self, writer: asyncio.StreamWriter, fault: Fault, server_headers: dict[str, str]
    ) -> bool:
        head = _head(200, server_headers, None)[: -len(b"\r\n")]
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        begin, part = {
            Fault.ENDLESS_HEAD: (head, b"X-More: and more\r\n" * 800),
            Fault.ENDLESS_LINE: (head + b"X-More: ", b"and more" * 2_000),
            Fault.ENDLESS_BODY: (head + b"\r\n", b"no answer. " * 1_500),
            Fault.ENDLESS_EVENT: (chunked + b"8\r\nid: 1\nda\r\n", _chunk(b"x" * 16_000)),
            Fault.ENDLESS_CHUNK_SIZE: (chunked + b"8;", b"extension" * 1_800),
            Fault.ENDLESS_TRAILER: (chunked + b"0\r\n", b"X-More: and more\r\n" * 800),
        }[fault]
        writer.write(begin)
        while not writer.is_closing():
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(ENDLESS_PAUSE_S)
        return False

    async def _send_body(
        self,
        writer: asyncio.StreamWriter,
        arrival: Arrival,
        fault: Fault,
        server_headers: dict[str, str],
    ) -> bool:
        body = self.body or b"answer to " + arrival.request_id.encode()
        if fault is Fault.TRUNCATED:
            writer.write(_head(200, server_headers, len(body)) + body[: len(body) // 2])
            await writer.drain()
            _reset(writer)
            return False
        if fault in (Fault.UNFRAMED, Fault.UNFRAMED_RESET):
            writer.write(_head(200, server_headers | {"Connection": "close"}, None) + body)
            await writer.drain()
            if fault is Fault.UNFRAMED_RESET:
                await asyncio.sleep(0.02)
                _reset(writer)
            return False
        try:
            async with asyncio.timeout(self.unread_s):
                await _reply(writer, 200, server_headers, body)
        except TimeoutError:
            self.unread_aborts += 1
            _reset(writer)
            return False
        if fault is Fault.EXTRA_ANSWER:
            await _reply(writer, 200, server_headers, b"the answer once more")
        return True

    async def _send_events(
        self,
        writer: asyncio.StreamWriter,
        arrival: Arrival,
        fault: Fault,
        server_headers: dict[str, str],
    ) -> bool:
        framing = -1 if self.engine.is_framed else None
        frame = _chunk if self.engine.is_framed else bytes
        name, _, value = self.engine.type_header.partition(": ")
        writer.write(_head(200, server_headers | ({name: value} if name else {}), framing))
        first = int(arrival.headers.get("last-event-id", 0)) + 1
        parts = frozenset(self.crash_parts & prompt_parts(arrival.headers))
        for number in range(first, self.engine.events + 1):
            if parts and number >= first + self.engine.crash_after:
                await writer.drain()
                await asyncio.sleep(CRASH_DELAY_S)
                self.crash(parts)
                return False
            event = event_bytes(number, self.version)
            await self.may_answer.wait()
            if number > self.engine.break_after and fault is Fault.BREAKS_MID_EVENT:
                writer.write(frame(event[:7]))
                await writer.drain()
                await asyncio.sleep(0.01)
                _reset(writer)
                return False
            if number == self.engine.break_after + 1 and fault is Fault.STALLS:
                await asyncio.sleep(self.engine.stall_s)
            is_trickled = number > self.engine.break_after and fault is Fault.TRICKLES
            for part in [event[i : i + 1] for i in range(len(event))] if is_trickled else [event]:
                writer.write(frame(part))
                await writer.drain()
                await asyncio.sleep(self.engine.trickle_s if is_trickled else self.engine.pause_s)
        writer.write(b"0\r\n\r\n" if self.engine.is_framed else b"")
        await writer.drain()
        return self.engine.is_framed

    async def _handle_control(
        self, writer: asyncio.StreamWriter, method: str, target: str, body: bytes
    ) -> bool:
        self.calls.append((method, target))
        headers = self._leaving_headers()
        if self.control_fault is Fault.GARBAGE:
            return await _reply(writer, 200, headers, b"this is no JSON")
        if self.control_fault is not Fault.NONE:
            return await self._send_endlessly(writer, self.control_fault, {})
        if target == "/-/hold-take" and self.retry_after is not None and not self.grants_holds:
            turned_away = headers | {"Retry-After": self.retry_after}
            return await _reply(writer, 503, turned_away, b"")
        if target == "/-/hold-take":
            requested_tokens = orjson.loads(body)["tokens"]
            if sum(self.holds.values()) + requested_tokens > self.engine.room:
                return await _reply(writer, 503, headers, b"")
            name = f"h{next(self._ids)}"
            self.holds[name] = requested_tokens
            return await _reply(writer, 200, headers, orjson.dumps({"hold": name}))
        if target.startswith("/-/hold-drop/"):
            name = target.rpartition("/")[2]
            self.holds.pop(name, None)
            self.dropped_holds.append(name)
            return await _reply(writer, 200, headers, b"")
        if target == "/-/report":
            report = {"sequence": 0, "born": self.started_ms}
            return await _reply(writer, 200, headers, orjson.dumps(report))
        if target == "/-/order":
            order = orjson.loads(body)
            if order["fencing_token"] < self.highest_fence:
                return await _reply(writer, 412, headers, b"")
            self.highest_fence = order["fencing_token"]
            self.engine.stage = order["stage"]
            return await _reply(writer, 202, headers, b"")
        return await _reply(writer, 404, headers, b"")


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close the connection with RST instead of FIN."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):  # The connection is closed already.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _head(status: int, headers: dict[str, str], length: int | None) -> bytes:
    """Return a response head.

    A ``length`` of -1 stands for a chunked body, ``None`` for one that ends with the connection.
    """
    lines = [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        lines.append("Transfer-Encoding: chunked" if length < 0 else f"Content-Length: {length}")
    return "\r\n".join([f"HTTP/1.1 {status} Status", *lines, "", ""]).encode()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def _reply(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes
) -> bool:
    writer.write(_head(status, headers, len(body)) + body)
    await writer.drain()
    return True
