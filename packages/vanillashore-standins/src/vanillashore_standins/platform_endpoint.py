"""A stand-in for an endpoint on the operators' platform, with faults on the wire."""

import asyncio
import contextlib
import itertools
import socket
import struct
from collections import deque
from enum import StrEnum, auto
from typing import Any, Self

import attrs
import orjson

SEAL_PREFIX = "sealed-by-"
EVENT_TEXT_FORMAT = "piece %d"


class Fault(StrEnum):
    """What an endpoint does wrong with one request."""

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
    UNFRAMED = auto()
    UNFRAMED_RESET = auto()
    SILENT = auto()
    BREAKS_MID_EVENT = auto()
    STALLS = auto()


@attrs.frozen
class Arrival:
    """A request that arrived; ``ran`` if the endpoint began to work on it."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ran: bool


@attrs.define
class EngineOptions:
    """An engine: its stage, its answers, and how many holds it has room for."""

    stage: str = "decode"
    events: int = 5
    pause_s: float = 0.0
    room: int = 1_000_000
    break_after: int = 2
    stall_s: float = 3_600.0
    stall_s: float = 3_600.0


class EndpointStandIn:
    """Serves one instance on a loopback port.

    ``faults`` are used up one a request, after that all goes well.
    """

    def __init__(self, instance: str, service: str, engine: EngineOptions | None = None) -> None:
        self.instance = instance
        self.service = service
        self.engine = engine
        self.faults: deque[Fault] = deque()
        self.arrivals: list[Arrival] = []
        self.calls: list[tuple[str, str]] = []
        self.holds: dict[str, int] = {}
        self.dropped_holds: list[str] = []
        self.disconnected_requests: list[str] = []
        self.connections = 0
        self.address = ""
        self._numbers = itertools.count(1)
        self._server: asyncio.Server | None = None

    @property
    def runs(self) -> list[Arrival]:
        """Requests that the endpoint began to work on, prefills left out."""
        return [arrival for arrival in self.arrivals if arrival.ran]

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the endpoint's entry in the platform's list."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": "dc-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 0,
        }
        if self.engine is not None:
            entry["stage"] = self.engine.stage
        return entry | changes

    async def __aenter__(self) -> Self:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        # At the end of a test the loop cancels connections that are still open.
        ends = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while await self._serve_one(reader, writer):
                pass
        writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rows = head.strip().split("\r\n")
        method, target, _ = line.split(" ")
        headers = {name.lower(): value for name, value in (row.split(": ", 1) for row in rows)}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if target.startswith("/-/"):
            return await self._call(writer, method, target, body)
        fault = self.faults.popleft() if self.faults else Fault.NONE
        if fault is Fault.RESET_UNREAD:
            _reset(writer)
            return False
        arrival = Arrival(
            headers.get("x-request-id", ""),
            method,
            target,
            headers,
            body,
            self._runs(fault, headers),
        )
        self.arrivals.append(arrival)
        watch = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self._answer(writer, arrival, fault))
        await asyncio.wait([watch, work], return_when=asyncio.FIRST_COMPLETED)
        if watch.done() and not work.done():
            work.cancel()
            watch.exception()
            self.disconnected_requests.append(arrival.request_id)
            return False
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await watch
        return await work

    def _runs(self, fault: Fault, headers: dict[str, str]) -> bool:
        if headers.get("x-expect-instance") != self.instance or "x-stage" in headers:
            return False
        return fault not in (Fault.SHED, Fault.OTHER_INSTANCE)

    async def _answer(self, writer: asyncio.StreamWriter, arrival: Arrival, fault: Fault) -> bool:
        if (
            fault is Fault.OTHER_INSTANCE
            or arrival.headers.get("x-expect-instance") != self.instance
        ):
            return await _reply(writer, 421, {"X-Instance-Id": "another"}, b"")
        if fault is Fault.SHED:
            return await _reply(writer, 503, {"X-Not-Executed": "1"}, b"")
        if fault is Fault.SILENT:
            await asyncio.sleep(3_600)
        if fault is Fault.RESET_AFTER_RUN:
            _reset(writer)
            return False
        if fault is Fault.GARBAGE:
            writer.write(b"\x00\x01 this is no answer\r\n\r\n")
            return True
        own = {
            "X-Request-Id": arrival.request_id,
            "X-Server-Seal": SEAL_PREFIX + self.instance,
            "X-Server-Load": "1,0,8",
        }
        if fault is Fault.UNSEALED:
            del own["X-Server-Seal"]
        if fault is Fault.ERROR:
            return await _reply(writer, 500, own, b"failed")
        if arrival.headers.get("x-stage") == "prefill":
            handle = {"kv_handle": f"kv{next(self._numbers)}", "tokens": 1, "version": 1}
            return await _reply(writer, 200, own, orjson.dumps(handle))
        if self.engine is not None:
            return await self._stream(writer, arrival, fault, own)
        return await self._plain(writer, arrival, fault, own)

    async def _plain(
        self, writer: asyncio.StreamWriter, arrival: Arrival, fault: Fault, own: dict[str, str]
    ) -> bool:
        body = b"answer to " + arrival.request_id.encode()
        if fault is Fault.TRUNCATED:
            writer.write(_head(200, own, len(body)) + body[:4])
            await writer.drain()
            _reset(writer)
            return False
        if fault in (Fault.UNFRAMED, Fault.UNFRAMED_RESET):
            writer.write(_head(200, own | {"Connection": "close"}, None) + body)
            await writer.drain()
            if fault is Fault.UNFRAMED_RESET:
                await asyncio.sleep(0.02)
                _reset(writer)
            return False
        await _reply(writer, 200, own, body)
        if fault is Fault.EXTRA_ANSWER:
            await _reply(writer, 200, own, b"the answer once more")
        return True

    async def _stream(
        self, writer: asyncio.StreamWriter, arrival: Arrival, fault: Fault, own: dict[str, str]
    ) -> bool:
        writer.write(_head(200, own | {"Content-Type": "text/event-stream"}, -1))
        first = int(arrival.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.engine.events + 1):
            event = f"id: {number}\ndata: {EVENT_TEXT_FORMAT % number}\n\n".encode()
            if number > self.engine.break_after and fault is Fault.BREAKS_MID_EVENT:
                writer.write(_chunk(event[:7]))
                await writer.drain()
                await asyncio.sleep(0.01)
                _reset(writer)
                return False
            if number == self.engine.break_after + 1 and fault is Fault.STALLS:
                await asyncio.sleep(self.engine.stall_s)
            writer.write(_chunk(event))
            await writer.drain()
            await asyncio.sleep(self.engine.pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def _call(
        self, writer: asyncio.StreamWriter, method: str, target: str, body: bytes
    ) -> bool:
        self.calls.append((method, target))
        if target == "/-/hold-take":
            asked = orjson.loads(body)["tokens"]
            if sum(self.holds.values()) + asked > self.engine.room:
                return await _reply(writer, 503, {}, b"")
            name = f"h{next(self._numbers)}"
            self.holds[name] = asked
            return await _reply(writer, 200, {}, orjson.dumps({"hold": name}))
        if target.startswith("/-/hold-drop/"):
            name = target.rpartition("/")[2]
            self.holds.pop(name, None)
            self.dropped_holds.append(name)
            return await _reply(writer, 200, {}, b"")
        if target == "/-/report":
            return await _reply(writer, 200, {}, orjson.dumps({"sequence": 0}))
        if target == "/-/order":
            self.engine.stage = orjson.loads(body)["stage"]
            return await _reply(writer, 202, {}, b"")
        return await _reply(writer, 404, {}, b"")


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close so that the peer sees a reset and not an end."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _head(status: int, headers: dict[str, str], length: int | None) -> bytes:
    """Return a head; a length of -1 is chunked, ``None`` ends with the connection."""
    rows = [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        rows.append("Transfer-Encoding: chunked" if length < 0 else f"Content-Length: {length}")
    return "\r\n".join([f"HTTP/1.1 {status} Status", *rows, "", ""]).encode()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def _reply(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes
) -> bool:
    writer.write(_head(status, headers, len(body)) + body)
    await writer.drain()
    return True
