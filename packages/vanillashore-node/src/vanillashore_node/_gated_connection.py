"""One connection of a caller, which is counted before the HTTP server gets what it sends."""

import asyncio
import contextlib
import random
import select
import time
from enum import Enum, auto
from typing import Any

import attrs
import orjson
from aiohttp import StreamReader, web
from loguru import logger as log

from vanillashore_ingress import (
    READ_BUFFER,
    READ_BYTES,
    Admission,
    CallerAccount,
    ConnectionTable,
    HeldBytes,
    ReadPauses,
    ReadTurns,
    Standing,
    is_costly,
    poll_socket,
)
from vanillashore_node._openai import error_body
from vanillashore_schema import LimitSettings
from vanillashore_wire import ErrorCode, RefusalError, Refused

# Headers of up to this many times the limit are parsed, so their refusal has an error code.
PARSED_HEADERS_FACTOR = 4
HEAD_END = b"\r\n\r\n"
LINGER_S = 2.0  # For a caller to read a refusal.
MAX_WAIT_S = 0.8  # For room; callers give up a request that is not read within a second.
RECLAIM_S = 0.05
ROOM_RETRY_S = 1.0


@attrs.frozen
class GateState:
    """What the connections of a process share."""

    limits: LimitSettings
    held: HeldBytes
    table: ConnectionTable
    turns: ReadTurns = attrs.field(factory=ReadTurns)


class ReadPause(Enum):
    """Why nothing is read from a connection."""

    SERVER = auto()  # The HTTP server's buffer for a body is full.
    MEMORY = auto()  # Its request waits for room.
    TURN = auto()  # Its input takes long to parse.
    PIPELINED = auto()  # It sends on while its request is served.


def no_room() -> RefusalError:
    """Build the refusal of a request for which there is no room."""
    text = "this process has no memory left for the request"
    after_s = ROOM_RETRY_S * (0.5 + random.random())
    return RefusalError(Refused(ErrorCode.MEMORY_FULL, text, retry_after_s=after_s))


class GatedTransport:
    """A transport from which nothing is read while there is any reason for that."""

    def __init__(self, transport: asyncio.Transport, conn: "GatedConnection") -> None:
        self.connection = conn
        self.pauses = ReadPauses(transport)
        self._transport = transport

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def pause_reading(self) -> None:
        """Pause on behalf of the HTTP server."""
        self.pauses.add(ReadPause.SERVER)

    def resume_reading(self) -> None:
        """Resume on behalf of the HTTP server."""
        self.pauses.remove(ReadPause.SERVER)


class GatedConnection(asyncio.BufferedProtocol):
    """Passes what a caller sends to ``handler``, the HTTP server's end of the connection.

    ``begin_request`` and ``end_request`` tell which request the server has in hand.
    """

    def __init__(self, handler: Any, state: GateState) -> None:
        self._handler = handler
        self._state = state
        self._transport: GatedTransport
        self._request: web.Request | None = None
        self._unread_body: StreamReader | None = None  # Of a request that was answered early.
        self._head_tail = b""
        self._has_head = False
        self._unparsed_bytes = 0
        self._dropped_bytes = 0
        self._was_served = False
        self._is_trusted = False
        self._is_refused = False
        self._gave_way = False
        self._timer: asyncio.TimerHandle | None = None
        self._read_scope: asyncio.Timeout | None = None  # While the server reads a body.
        self._has_room = asyncio.Event()
        self._account = CallerAccount(state.held, self._has_room.set, self._give_way)

    @property
    def _most_unparsed_bytes(self) -> int:
        """Most bytes that may come without an end of a head or anything of a body."""
        return PARSED_HEADERS_FACTOR * self._state.limits.header_bytes + READ_BYTES

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = GatedTransport(transport, self)
        self._state.table.add(self)
        self._handler.connection_made(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release all that was held."""
        self._state.table.remove(self)
        self._account.close()
        self._has_room.set()
        self._cancel_timer()
        self._handler.connection_lost(exc)

    def eof_received(self) -> bool | None:
        """Pass on that the caller sends nothing more."""
        return self._handler.eof_received()

    def pause_writing(self) -> None:
        """Pass on that the write buffer is full."""
        self._handler.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the write buffer has room."""
        self._handler.resume_writing()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to receive into, which all connections share."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on received bytes, within the limits."""
        data = bytes(READ_BUFFER[:nbytes])
        if self._is_trusted:
            self._handler.data_received(data)
            return
        if self._is_refused:
            self._count_dropped(nbytes)
        elif self._request is not None or self._has_head:
            self._receive_body(data)
        elif self._unread_body is not None and not self._unread_body.is_eof():
            self._count_dropped(nbytes)
            self._handler.data_received(data)
        else:
            self._receive_head(data)
        self._update_standing()

    def _receive_head(self, data: bytes) -> None:
        """Pass on a part of a head, or refuse one that is too large or finds no room."""
        if not self._unparsed_bytes:
            self._cancel_timer()
            timeout_s = self._state.limits.body_timeout_s
            self._timer = asyncio.get_running_loop().call_later(timeout_s, self._end_slow_head)
        self._unparsed_bytes += len(data)
        searched = self._head_tail + data
        if not self._head_tail:
            searched = searched.lstrip(b"\r\n")  # Empty lines before a request.
        self._has_head = HEAD_END in searched
        self._head_tail = searched[-len(HEAD_END) + 1 :]
        if self._has_head:
            self._cancel_timer()
        elif self._unparsed_bytes > self._most_unparsed_bytes:
            text = f"more than {self._state.limits.header_bytes} bytes of headers"
            self._refuse(Refused(ErrorCode.HEADERS_TOO_LARGE, text))
            return
        elif not self._account.grow(self._unparsed_bytes):
            self._refuse(no_room().refused)
            return
        self._handler.data_received(data)

    def _receive_body(self, data: bytes) -> None:
        """Pass on a part of a body, or end a connection that sends anything else without end."""
        content = None if self._request is None else self._request.content
        before = 0 if content is None else content.total_bytes
        self._handler.data_received(data)
        received = 0 if content is None else content.total_bytes - before
        if received:
            self._unparsed_bytes = 0
            if is_costly(len(data) - received):
                self._wait_for_turn()
            return
        self._unparsed_bytes += len(data)
        if self._unparsed_bytes <= self._most_unparsed_bytes:
            return
        if content is not None and not content.is_eof():
            log.info("closed a connection that sends trailers or extensions without end")
            self.abort()
        else:
            self._transport.pauses.add(ReadPause.PIPELINED)

    def begin_request(self, request: web.Request) -> None:
        """Note that the HTTP server has parsed a head."""
        self._cancel_timer()
        self._request = request
        self._unparsed_bytes = 0
        self._gave_way = False
        self._transport.pauses.remove(ReadPause.PIPELINED)
        self._update_standing()

    def end_request(self) -> None:
        """Note that the current request has been answered."""
        self._account.drop_newest()
        self._account.finish()
        self._was_served = True
        self._unread_body = self._request.content
        self._request = None
        self._unparsed_bytes = self._dropped_bytes = 0
        self._head_tail, self._has_head = b"", False
        self._transport.pauses.remove(ReadPause.PIPELINED)
        self._update_standing()

    def trust(self) -> None:
        """Pass on all that comes from now on."""
        self._is_trusted = True

    async def wait_for_room(self, length: int) -> None:
        """Ask for room for the request that has begun; raise RefusalError if there is none."""
        await self._follow(self._account.begin(length))

    async def read_body(self) -> bytes:
        """Read the body; raise RefusalError if it finds no room or gives way to other requests."""
        body = bytearray()
        while chunk := await self._read_chunk():
            body += chunk
            if len(body) > self._state.limits.body_bytes:
                raise web.HTTPRequestEntityTooLarge(self._state.limits.body_bytes, len(body))
            if not self._account.grow(len(body)):
                raise no_room()
        await self._follow(self._account.complete(len(body)))
        self._update_standing()
        return bytes(body)

    async def _read_chunk(self) -> bytes:
        if self._gave_way:
            raise no_room()
        try:
            async with asyncio.timeout(None) as self._read_scope:
                return await self._request.content.readany()
        except TimeoutError as exc:
            raise no_room() from exc
        finally:
            self._read_scope = None

    async def _follow(self, admission: Admission) -> None:
        if admission is Admission.REFUSED:
            raise no_room()
        until = time.monotonic() + MAX_WAIT_S
        while self._account.is_waiting:
            self._transport.pauses.add(ReadPause.MEMORY)
            try:
                await self._wait_once(until)
            finally:
                self._transport.pauses.remove(ReadPause.MEMORY)

    async def _wait_once(self, until: float) -> None:
        if time.monotonic() >= until:
            self._account.record_refusal()
            raise no_room()
        self._has_room.clear()
        self._state.held.reclaim()
        if self._account.is_waiting:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RECLAIM_S):
                    await self._has_room.wait()

    def has_input(self) -> bool:
        """Whether bytes were received that have not been read."""
        return poll_socket(self._transport, select.POLLIN)

    def abort(self) -> None:
        """Close at once."""
        self._transport.abort()

    def _give_way(self) -> None:
        """Refuse the request that arrives, in favour of another one."""
        if self._request is None:
            # The server serves a request whose head is whole, which asks for room again.
            if not self._has_head:
                self._refuse(no_room().refused)
            return
        self._gave_way = True
        if self._read_scope is not None:
            self._read_scope.reschedule(0.0)

    def _end_slow_head(self) -> None:
        text = f"the headers did not arrive within {self._state.limits.body_timeout_s:g} s"
        self._refuse(Refused(ErrorCode.BODY_TIMEOUT, text))

    def _refuse(self, refused: Refused) -> None:
        """Answer in place of the HTTP server, which has seen no whole head."""
        self._cancel_timer()
        if self._is_refused or self._transport.is_closing():
            return
        self._is_refused = True
        self._account.drop_newest()
        body = orjson.dumps(error_body(refused, ""))
        self._transport.write(_refusal_head(refused, len(body)) + body)
        self._transport.write_eof()
        log.bind(code=refused.code.value).info("request refused")
        self._timer = asyncio.get_running_loop().call_later(LINGER_S, self.abort)
        self._update_standing()

    def _count_dropped(self, nbytes: int) -> None:
        """Drop what a caller sends after a refusal, so that it can read the answer."""
        self._dropped_bytes += nbytes
        if self._dropped_bytes > self._state.limits.body_bytes + self._most_unparsed_bytes:
            self.abort()

    def _wait_for_turn(self) -> None:
        if self._state.turns.wait(lambda: self._transport.pauses.remove(ReadPause.TURN)):
            self._transport.pauses.add(ReadPause.TURN)
        else:
            self.abort()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _update_standing(self) -> None:
        request = self._request
        if self._is_refused:
            standing = Standing.SILENT
        elif request is not None:
            standing = Standing.SERVED if request.content.is_eof() else Standing.ARRIVING
        elif self._unparsed_bytes:
            standing = Standing.ARRIVING
        else:
            standing = Standing.KEPT if self._was_served else Standing.SILENT
        self._state.table.set_standing(self, standing)


def _refusal_head(refused: Refused, length: int) -> bytes:
    lines = [
        f"HTTP/1.1 {refused.code.status} Refused",
        "Content-Type: application/json",
        f"Content-Length: {length}",
        "Connection: close",
    ]
    if refused.retry_after_s is not None:
        lines.append(f"Retry-After: {max(1, round(refused.retry_after_s))}")
    return "\r\n".join([*lines, "", ""]).encode()
