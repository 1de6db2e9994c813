"""HTTP server for callers: requests on a connection are answered one at a time, in order."""

import asyncio
import random
import select
from collections import deque
from collections.abc import Awaitable, Callable
from enum import Enum, auto

import attrs
from loguru import logger as log

from vanillashore_gateway._domain import CallerLimits, Header
from vanillashore_gateway._errors import ErrorCode, RefusalError, Refused
from vanillashore_gateway._http_messages import RequestHead
from vanillashore_gateway._request_reader import RequestReader
from vanillashore_gateway._responder import CallerDisconnectedError, Inbound, Responder
from vanillashore_ingress import (
    READ_BUFFER,
    RELAY_BYTES,
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

MAX_PIPELINED = 16  # Requests that may be queued on a connection.
LINGER_S = 2.0  # For a caller to read the last answer and close.
# At a stopping entry, for the next request of a caller whose answer did not announce the close.
MAX_IDLE_AT_STOP_S = 0.5
UNREAD_CHECK_S = (0.005, 0.25)  # First and longest interval at which an unread answer is checked.
MIN_LINGER_BYTES = 1_048_576  # Dropped of what a caller still sends after a refusal.
MAX_MEMORY_WAIT_S = 0.8  # Callers abandon a request that is not read within a second.
MEMORY_RETRY_AFTER_S = 1.0  # Bodies that take up the room are answered or timed out in seconds.
RECLAIM_S = 0.05  # Interval at which requests that are overdue give way to those that wait.
MAX_CONNECTIONS = 10_000  # Of a listener for which no bound is set.
Handler = Callable[[Inbound, Responder], Awaitable[None]]


@attrs.define
class ListenerState:
    """State shared by a listener's connections; limits may change while they are open."""

    handler: Handler
    clock: Callable[[], float]
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    held: HeldBytes = attrs.field(factory=HeldBytes)
    max_connections: int = MAX_CONNECTIONS
    turns: ReadTurns = attrs.field(factory=ReadTurns)
    is_closing: bool = False
    connections: set["CallerConnection"] = attrs.field(factory=set)
    table: ConnectionTable = attrs.field(init=False)
    _all_closed: "asyncio.Future[None] | None" = None

    def __attrs_post_init__(self) -> None:
        self.table = ConnectionTable(self.max_connections, self.clock)

    async def wait_closed(self) -> None:
        """Wait until no connection is open."""
        while self.connections:
            self._all_closed = asyncio.get_running_loop().create_future()
            await self._all_closed

    def forget_connection(self, conn: "CallerConnection") -> None:
        """Remove a closed connection."""
        self.connections.discard(conn)
        self.table.remove(conn)
        if not self.connections and self._all_closed is not None and not self._all_closed.done():
            self._all_closed.set_result(None)


class ReadPause(Enum):
    """Why nothing is read from a connection."""

    MEMORY = auto()  # Its request waits for room.
    TURN = auto()  # Its input takes long to parse.
    REFUSED = auto()  # It sends on after a refusal that waits for an earlier answer.


class CallerConnection(asyncio.BufferedProtocol):
    """One connection of a caller."""

    def __init__(self, settings: ListenerState) -> None:
        self._settings = settings
        self._reader = RequestReader(self, settings.limits)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._queue: deque[Inbound | Refused] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._drained: asyncio.Future[None] | None = None
        self._began_at: float | None = None
        self._is_failed = False
        self._is_lingering = False
        self._close_requested = False
        self._account = CallerAccount(settings.held, self._on_room, self._refuse_for_memory)
        self._pauses: ReadPauses
        self._dropped_bytes = 0
        self._wait_until = 0.0
        self.was_served = False
        self.answer_deadline = 0.0
        self.is_blocked = False
        self.has_announced_close = False

    @property
    def closes_after_answer(self) -> bool:
        """Whether the connection closes after the current answer, which is the last one."""
        closes = self._settings.is_closing or self._close_requested or self._is_failed
        return closes and not self._queue

    @property
    def is_idle(self) -> bool:
        """Whether no request is active, queued, partly read or to be read, nor an answer."""
        is_unused = self._task is None and not self._queue and self._began_at is None
        if not is_unused or self._is_lingering or self._transport is None:
            return False
        return not poll_socket(self._transport, select.POLLIN)

    def write(self, data: bytes) -> None:
        """Send bytes; raise CallerDisconnectedError if the connection is closed."""
        if self._transport is None or self._transport.is_closing():
            raise CallerDisconnectedError
        self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the transport accepts more data.

        With a bound on memory, an answer is read on into the transport's buffer while there is
        room, because an endpoint aborts an answer that stays unread.
        """
        if self._drained is None:
            return
        if self._settings.held.limits is None:
            await self._drained
            return
        until = self._unread_until()
        while self._drained is not None and not self._count_unread(RELAY_BYTES):
            self.is_blocked = True
            self._check_unread(until)
            await asyncio.wait([self._drained], timeout=UNREAD_CHECK_S[1])
        self.is_blocked = False

    async def _flush(self) -> None:
        """Wait until the answer has left the process; abort it if that takes too long."""
        if self._settings.held.limits is None:
            return
        until = self._unread_until()
        pause_s, max_pause_s = 0.0, UNREAD_CHECK_S[1]
        while self._transport is not None and self._transport.get_write_buffer_size():
            self._count_unread()
            self._check_unread(until)
            await asyncio.sleep(pause_s)
            pause_s = min(max_pause_s, max(UNREAD_CHECK_S[0], pause_s * 2))
        self._account.set_unread(0)

    def _unread_until(self) -> float:
        idle_s = self._settings.limits.idle_timeout_s
        return max(self.answer_deadline, self._settings.clock() + idle_s)

    def _count_unread(self, relay_bytes: int = 0) -> bool:
        size = 0 if self._transport is None else self._transport.get_write_buffer_size()
        return self._account.set_unread(size + relay_bytes)

    def _check_unread(self, until: float) -> None:
        if self._settings.clock() >= until:
            self.abort_unread()
            raise CallerDisconnectedError

    def abort_unread(self) -> None:
        """Abort an answer that its caller reads too slowly."""
        if self._transport is None or self._transport.is_closing():
            return
        self._account.record_unread_abort()
        unread = self._transport.get_write_buffer_size()
        log.bind(unread_bytes=unread, held_bytes=self._settings.held.held).warning(
            "aborted an answer that its caller did not read in time"
        )
        self.abort()

    def abort(self) -> None:
        """Close at once, discarding unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close after sending buffered data."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its timer."""
        self._transport = transport
        self._pauses = ReadPauses(transport)
        self._settings.connections.add(self)
        self._settings.table.add(self)
        limits = self._settings.limits
        self._set_timer(max(limits.idle_timeout_s, limits.header_timeout_s))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the active request: its caller has disconnected."""
        self._settings.forget_connection(self)
        self._transport = None
        self._account.close()
        self._queue.clear()
        if self._timer is not None:
            self._timer.cancel()
        self.resume_writing()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Block writers until the buffer drains."""
        self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Unblock writers."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to receive into, which all connections share."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes."""
        if self._is_failed or self._is_lingering:
            self._drop_input(nbytes)
            return
        self._reader.limits = self._settings.limits
        framing_bytes = self._reader.feed(READ_BUFFER[:nbytes])
        if self._is_failed:
            return
        if not self._account.grow(self._reader.held_bytes):
            self._refuse_for_memory()
        elif is_costly(framing_bytes):
            self._wait_for_turn()
        self._update_standing()

    def _drop_input(self, nbytes: int) -> None:
        """Drop what a caller sends after a refusal, so that it can read the answer."""
        self._dropped_bytes += nbytes
        if self._dropped_bytes <= max(MIN_LINGER_BYTES, self._settings.limits.body_bytes):
            return
        if self._is_lingering:
            self.abort()
        else:
            self._pauses.add(ReadPause.REFUSED)

    def _wait_for_turn(self) -> None:
        if self._settings.turns.wait(lambda: self._pauses.remove(ReadPause.TURN)):
            self._pauses.add(ReadPause.TURN)
        else:
            self._refuse_for_memory()

    def has_input(self) -> bool:
        """Whether bytes were received that have not been read."""
        return self._transport is not None and poll_socket(self._transport, select.POLLIN)

    def _update_standing(self) -> None:
        """Tell the listener what the connection is worth at present."""
        if self._task is not None or self._queue:
            standing = Standing.SERVED
        elif self._is_lingering:
            standing = Standing.SILENT
        elif self._began_at is not None:
            standing = Standing.ARRIVING
        else:
            standing = Standing.KEPT if self.was_served else Standing.SILENT
        self._settings.table.set_standing(self, standing)

    def begin_request(self) -> None:
        """Limit the time in which a request that has begun must arrive."""
        if self._began_at is not None:
            return
        self._began_at = self._settings.clock()
        if self._task is None:
            self._limit_arrival()

    def receive_head(self, headers: list[Header], length: int) -> None:
        """Ask for room for a request, and send the interim answer that its caller may expect.

        Reading pauses until there is room; without any to expect, the request is refused.
        """
        self._follow_admission(self._account.begin(length, self._reader.held_bytes))
        expects = [value.lower() for name, value in headers if name.lower() == b"expect"]
        if b"100-continue" in expects and not self._is_failed and self._task is None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _follow_admission(self, admission: Admission) -> None:
        """Refuse a request, or read nothing until there is room for it."""
        if admission is Admission.REFUSED:
            self._refuse_for_memory()
        elif admission is Admission.WAITS and ReadPause.MEMORY not in self._pauses:
            log.bind(held_bytes=self._settings.held.held).info(
                "reading from a caller pauses until there is memory for its request"
            )
            self._pauses.add(ReadPause.MEMORY)
            header_s = self._settings.limits.header_timeout_s
            self._wait_until = self._settings.clock() + min(MAX_MEMORY_WAIT_S, header_s)
            self._limit_arrival()

    def _limit_arrival(self) -> None:
        """Limit the time until the request that has begun is received, or has room."""
        if self._account.is_waiting:
            self._set_timer(min(RECLAIM_S, max(0.0, self._wait_until - self._settings.clock())))
        else:
            self._set_timer(self._settings.limits.header_timeout_s)

    def _on_room(self) -> None:
        """Go on with requests that waited for memory."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._has_caller_left():
            self.abort()
            return
        self._pauses.remove(ReadPause.MEMORY)
        if self._began_at is not None:
            self._limit_arrival()
        self._start_next()

    def _has_caller_left(self) -> bool:
        """Whether the caller has closed its connection, from which nothing is read at present."""
        return poll_socket(self._transport, select.POLLRDHUP)

    def _refuse_for_memory(self) -> None:
        after_s = MEMORY_RETRY_AFTER_S * (0.5 + random.random())
        text = "this entry has no memory left for the request"
        self._fail(ErrorCode.MEMORY_FULL, text, after_s)

    def receive_request(self, head: RequestHead, body: bytes, keeps_alive: bool) -> None:
        """Queue a complete request."""
        if self._is_failed:
            return
        received = self._settings.clock()
        inbound = Inbound(head, body, self._began_at or received, received)
        self._close_requested = not keeps_alive
        self._began_at = None
        self._cancel_timer()
        admission = self._account.complete(len(body))
        if admission is not Admission.REFUSED:
            self._queue.append(inbound)
        self._follow_admission(admission)
        if len(self._queue) > MAX_PIPELINED:
            self._fail(ErrorCode.BAD_REQUEST, "too many requests are pipelined")
        self._start_next()

    def reject_request(self, code: ErrorCode, text: str) -> None:
        """Refuse a request that is invalid or too large."""
        self._fail(code, text)

    def _fail(self, code: ErrorCode, text: str, retry_after_s: float | None = None) -> None:
        if self._is_failed:
            return
        self._is_failed = True
        self._reader.discard()
        for _ in range(self._account.drop_newest()):
            self._queue.pop()
        self._pauses.remove(ReadPause.MEMORY)
        self._queue.append(Refused(code, text, retry_after_s))
        self._start_next()

    def _can_serve(self) -> bool:
        """Whether the next request may be served: it is complete, and there is memory for it."""
        if not self._queue:
            return False
        return isinstance(self._queue[0], Refused) or self._account.can_serve

    def _start_next(self) -> None:
        if self._task is None and self._queue and not self._can_serve():
            self._limit_arrival()
        elif self._task is None and self._queue:
            self._cancel_timer()
            self._task = asyncio.get_running_loop().create_task(self._serve())
        self._update_standing()

    async def _serve(self) -> None:
        try:
            while self._transport is not None and self._can_serve():
                inbound = self._queue.popleft()
                try:
                    await self._serve_one(inbound)
                finally:
                    if isinstance(inbound, Inbound):
                        self._account.finish()
                    del inbound
                await self._flush()
        except (CallerDisconnectedError, asyncio.CancelledError):
            self.abort()
        finally:
            self._task = None
        if self._transport is None or self._transport.is_closing():
            return
        if self.has_announced_close:
            self._linger()
        elif self._began_at is not None or self._account.is_waiting:
            self._limit_arrival()
        else:
            idle_s = self._settings.limits.idle_timeout_s
            self._set_timer(
                min(idle_s, MAX_IDLE_AT_STOP_S) if self._settings.is_closing else idle_s
            )
        self._update_standing()

    def _linger(self) -> None:
        """Tell the caller that nothing follows, and close once it has closed or time is over.

        Closing a connection while its caller still sends resets it, and a reset can destroy an
        answer that the caller has not read yet.
        """
        self._is_lingering = True
        self._set_timer(LINGER_S)
        self._pauses.remove(ReadPause.REFUSED)
        try:
            self._transport.write_eof()
        except OSError as exc:
            log.bind(reason=repr(exc)).info("the caller has reset its connection")
            self.abort()

    async def _serve_one(self, inbound: "Inbound | Refused") -> None:
        responder = Responder(self)
        if isinstance(inbound, Refused):
            log.bind(code=inbound.code, reason=inbound.text).info(
                "refused a request that is invalid, too large or too slow"
            )
            responder.answer(inbound.status, inbound.headers(), inbound.body(""))
            return
        try:
            await self._settings.handler(inbound, responder)
        except RefusalError as exc:
            if responder.has_begun:
                responder.abort()
            else:
                responder.answer(exc.refused.status, exc.refused.headers(), exc.refused.body(""))
        except (CallerDisconnectedError, asyncio.CancelledError):
            raise
        except Exception as exc:
            log.bind(error=repr(exc)).exception("a request failed unexpectedly")
            responder.abort()
        if responder.has_begun and not responder.is_complete:
            responder.abort()

    def _set_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _end_wait(self) -> None:
        """Refuse requests that have waited for room in vain; until then, look for some."""
        if self._settings.clock() >= self._wait_until:
            self._account.record_refusal()
            self._refuse_for_memory()
            return
        self._settings.held.reclaim()
        if self._account.is_waiting:
            self._limit_arrival()

    def _on_timer(self) -> None:
        if self._task is not None:
            return
        if self._account.is_waiting:
            self._end_wait()
        elif self._is_lingering or self._began_at is None:
            self.close()
        else:
            self._fail(ErrorCode.SLOW_CALLER, "the request did not arrive in time")
