"""HTTP client connections to endpoints and stores, one request at a time."""

import asyncio
import contextlib
import fcntl
import itertools
import re
import socket
import struct
import termios
from collections import deque
from collections.abc import Callable
from enum import StrEnum

import attrs
import httptools
from loguru import logger as log

from vanillashore_gateway._http_messages import ResponseHead

CONNECT_TIMEOUT_S = 0.25  # Many round trips between data centres, but well below any target.
UNACKNOWLEDGED_TIMEOUT_MS = 2_000  # A live peer's kernel acknowledges in milliseconds.
# The kernel applies the above also to a full receive buffer. Shorter requests fit in one.
LONG_REQUEST_BYTES = 4_096
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
DEFAULT_IDLE_LIMIT_S = 2.0  # For peers that do not state how long they keep idle connections.
IDLE_SECONDS = re.compile(rb"\s*\d{1,9}\s*")
IDLE_SHARE = 0.5  # Of the peer's idle time-out, so that no request is sent as the peer closes.
MAX_BUFFERED_BYTES = 65_536  # Of an answer whose caller reads slowly.
MAX_HEAD_BYTES = 32_768  # Header lines of an answer; far more than any endpoint sends.
# Received in a row without a byte of the awaited body: a head, chunk sizes, trailers, or answers to
# other requests. Larger than one read from the socket, which may contain a whole answer.
MAX_OVERHEAD_BYTES = 524_288

HTTP_VERSIONS = ("1.0", "1.1")
SWITCHING_PROTOCOLS = 101  # No request offers another protocol.
INTERIM_STATUSES = range(100, 200)
STATUSES = range(100, 600)

NO_ID = b""  # Id of an exchange whose answer bears none.
CALL_REST_S = 0.3  # Far longer than an engine takes to answer a call.
MAX_EXCHANGES = 256  # On one connection, which keeps their ids.
# A peer that has left a part of the request unread resets the connection within this time after it
# has ended its answer.
RESET_DELAY_S = 0.2
RESET_CHECK_S = 0.01
TCP_CLOSED = 7  # State in the kernel's `tcp_info` after a reset.
UNSOLICITED = "closing a connection on which a peer sent more than its answer"

AnswerIdReader = Callable[[ResponseHead], bytes | None]


class LinkFailure(StrEnum):
    """How an exchange failed."""

    NOT_SENT = "not_sent"
    BROKEN = "broken"
    GARBLED = "garbled"


class LinkError(Exception):
    """A failed exchange; with ``NOT_SENT``, no byte of the request was sent.

    The peer ``was_silent`` if the kernel gave the connection up for want of acknowledgements.
    """

    def __init__(self, failure: LinkFailure, text: str, was_silent: bool = False) -> None:
        super().__init__(f"{failure.value}: {text}")
        self.failure = failure
        self.was_silent = was_silent


@attrs.define(eq=False)
class _Answer:
    """The current answer; ``ends_with_connection`` if no header states its length.

    Its request ``is_long`` if the peer may end the answer without having read all of it.
    """

    exchange_id: bytes
    is_long: bool
    head: "asyncio.Future[ResponseHead]"
    chunks: deque[bytes] = attrs.field(factory=deque)
    buffered: int = 0
    wake: "asyncio.Future[None] | None" = None
    is_complete: bool = False
    is_skipped: bool = False
    ends_with_connection: bool = False
    error: LinkError | None = None


class HttpConnection(asyncio.Protocol):
    """One client connection.

    With a reader of ``answer_id``, an answer that bears the id of another exchange is skipped, and
    so is one without an id if an earlier answer may have had none. A copy of an earlier answer may
    arrive with any later one, so an id identifies an answer only while ``can_carry`` was true as it
    was sent. A connection on which unsolicited data arrives is closed::

        conn = await open_connection("127.0.0.1", 8080)
        conn.answer_id = lambda head: head.first(b"x-request-id")
        conn.send(data, b"request-1")
        head = await conn.head()
        while chunk := await conn.read():
            ...

    Without a length, the end of the connection marks that of the answer, but only if the peer has
    received all of the request, and does not reset the connection: for `RESET_DELAY_S`, if the
    request is long. A peer may answer early, before it has read all of the request. Such an answer
    is complete by its length or its last chunk, and without them if the peer reads on.

    ``number`` identifies the connection in the logs, and ``uses`` counts its exchanges.
    ``call_answers`` are the successful answers to calls, which have no id, for who makes the calls.
    """

    _numbers = itertools.count(1)

    def __init__(self) -> None:
        self.number = next(self._numbers)
        self.uses = 0
        self._carried: set[bytes] = set()
        self._had_unnamed = False
        self.call_answers: set[bytes] = set()
        self.answer_id: AnswerIdReader | None = None
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._answer: _Answer | None = None
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._overhead_bytes = 0
        self._is_open = False
        self._may_reuse = True
        self._is_paused = False
        self._is_patient = False
        self.on_extra_answer: Callable[[], None] | None = None
        self.on_lost: Callable[[], None] | None = None
        self.on_closed: Callable[[], None] | None = None
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self.idle_since = 0.0
        self.idle_until = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the connection can take another request."""
        return self._is_open and self._may_reuse

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may be reused after the last answer."""
        answer = self._answer
        if answer is None or not answer.is_complete or answer.ends_with_connection:
            return False
        if self.uses >= MAX_EXCHANGES:
            return False
        # An endpoint may answer before it has read all of a long request body.
        return self.is_open and self._transport.get_write_buffer_size() == 0

    @property
    def ends_with_answer(self) -> bool:
        """Whether only the end of the connection marks that of the answer."""
        return self._answer is not None and self._answer.ends_with_connection

    def can_carry(self, exchange_id: bytes) -> bool:
        """Whether no answer of an earlier exchange can be taken for the answer to this one."""
        return exchange_id not in self._carried

    def can_repeat_call(self, time: float) -> bool:
        """Whether only a copy of an earlier call's answer can be taken for that of another call.

        After a copy was, the call's own answer is still to come; it is awaited for `CALL_REST_S`.
        The answer to a request that was sent meanwhile comes after it.
        """
        was_call = self._answer is not None and self._answer.exchange_id == NO_ID
        return not was_call or time >= self.idle_since + CALL_REST_S

    def send(
        self,
        data: bytes,
        exchange_id: bytes = NO_ID,
        max_read_s: float | None = None,
    ) -> None:
        """Send a request; raise LinkError (not sent) if the connection is already closed.

        The answer bears ``exchange_id``, or no id. The peer may take ``max_read_s`` to read a long
        request, and the usual time if it is not given.
        """
        if not self.is_open or self._transport.is_closing():
            raise LinkError(LinkFailure.NOT_SENT, "the connection is closed")
        self.uses += 1
        self._had_unnamed = NO_ID in self._carried
        self._carried.add(exchange_id)
        is_long = len(data) > LONG_REQUEST_BYTES
        self._answer = _Answer(exchange_id, is_long, asyncio.get_running_loop().create_future())
        self._parser = httptools.HttpResponseParser(self)
        self._overhead_bytes = 0
        if max_read_s is not None and is_long:
            self._is_patient = True
            self._set_unacknowledged_timeout(max(UNACKNOWLEDGED_TIMEOUT_MS, int(max_read_s * 1e3)))
        self._transport.write(data)

    async def head(self) -> ResponseHead:
        """Wait for the head of the answer."""
        head = await self._answer.head
        if self._is_patient and self._is_open:
            self._is_patient = False
            self._set_unacknowledged_timeout(UNACKNOWLEDGED_TIMEOUT_MS)
        return head

    def _set_unacknowledged_timeout(self, timeout_ms: int) -> None:
        sock = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):  # Request time-outs still apply.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    async def read(self) -> bytes:
        """Return the next body bytes, ``b""`` at the end; raise LinkError if it is cut off."""
        answer = self._answer
        while not answer.chunks:
            if answer.is_complete:
                return b""
            if answer.error is not None:
                raise answer.error
            answer.wake = asyncio.get_running_loop().create_future()
            await answer.wake
        data = b"".join(answer.chunks)
        answer.chunks.clear()
        answer.buffered = 0
        if self._is_paused and self._is_open:
            self._is_paused = False
            self._transport.resume_reading()
        return data

    async def read_to_end(self, max_bytes: int) -> bytes:
        """Return the whole body; raise LinkError if it is cut off or larger than ``max_bytes``."""
        body, is_complete = await self.read_start(max_bytes)
        if not is_complete:
            self.abort()
            text = f"the body has more than {max_bytes} bytes"
            raise LinkError(LinkFailure.GARBLED, text)
        return body

    async def read_start(self, max_bytes: int) -> tuple[bytes, bool]:
        """Return the body and true, or its beginning and false if it exceeds ``max_bytes``."""
        parts = []
        size = 0
        while part := await self.read():
            parts.append(part)
            size += len(part)
            if size > max_bytes:
                return b"".join(parts), False
        return b"".join(parts), True

    def abort(self) -> None:
        """Close at once, which makes the peer cancel the current request."""
        self._may_reuse = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket."""
        self._transport = transport
        self._is_open = True
        _set_socket_options(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the current answer; call ``on_lost`` if the peer ended a reusable connection."""
        self._is_open = False
        if self._may_reuse and self.on_lost is not None:
            self.on_lost()
        if self.on_closed is not None:
            self.on_closed()
        text = f"the connection was lost: {exc or 'closed'}"
        self._fail(LinkError(LinkFailure.BROKEN, text, isinstance(exc, TimeoutError)))

    def eof_received(self) -> bool:
        """Complete an answer whose end is marked by the close of the connection."""
        answer = self._answer
        if answer is None or not answer.ends_with_connection:
            return False
        if answer.is_complete or answer.error is not None:
            return False
        self._may_reuse = False
        if self._was_reset():
            self._fail(LinkError(LinkFailure.BROKEN, "the connection was reset after its end"))
            return False
        if answer.is_long or not self._is_request_received():
            # Keeps the connection open for the rest of the request.
            self._confirm_end(answer, None)
            return True
        answer.is_complete = True
        _wake(answer)
        return False

    def _confirm_end(self, answer: _Answer, received_at: float | None) -> None:
        """Complete an answer once all of its request is received and no reset has followed."""
        if not self._is_open or answer.error is not None:
            return
        if self._was_reset():
            text = "the connection was reset some time after its end"
            self._fail(LinkError(LinkFailure.BROKEN, text))
            self.abort()
            return
        loop = asyncio.get_running_loop()
        if received_at is None and self._is_request_received():
            received_at = loop.time()
        if received_at is not None and loop.time() >= received_at + RESET_DELAY_S:
            answer.is_complete = True
            _wake(answer)
            return
        loop.call_later(RESET_CHECK_S, self._confirm_end, answer, received_at)

    def _is_request_received(self) -> bool:
        """Whether the peer's kernel has acknowledged all bytes of the request."""
        if self._transport.get_write_buffer_size():
            return False
        sock = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
            return struct.unpack("i", queued) == (0,)
        return True

    def _was_reset(self) -> bool:
        """Whether the peer has reset the connection, which reading does not tell after its end."""
        sock = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSED
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._answer is None or self._answer.is_complete or self._answer.error is not None:
            self._record_extra(UNSOLICITED)
            self.abort()
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            if not self._answer.is_complete:
                self._fail(LinkError(LinkFailure.GARBLED, str(exc.__context__ or exc)))
            self.abort()
            return
        if self._overhead_bytes > MAX_OVERHEAD_BYTES and not self._answer.is_complete:
            text = f"{self._overhead_bytes} bytes without a byte of the body"
            self._fail(LinkError(LinkFailure.GARBLED, text))
            self.abort()

    def on_message_begin(self) -> None:
        """Start an answer; one that follows a complete answer is unsolicited."""
        self._headers = []
        self._head_bytes = 0
        self._reason = b""
        if self._answer.is_complete:
            self._record_extra(UNSOLICITED)
            self._may_reuse = False

    def on_status(self, status: bytes) -> None:
        """Collect the reason phrase."""
        self._count_head_bytes(len(status))
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._count_head_bytes(len(name) + len(value))
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Deliver the head, unless the answer is informational or belongs to another request."""
        answer = self._answer
        status, version = self._parser.get_status_code(), self._parser.get_http_version()
        if status not in STATUSES or status == SWITCHING_PROTOCOLS or version not in HTTP_VERSIONS:
            raise ValueError(f"no answer in the protocol: HTTP/{version} with status {status:03}")
        head = ResponseHead(status, self._reason, tuple(self._headers))
        answer.is_skipped = status in INTERIM_STATUSES or not self._belongs(head)
        if answer.is_complete or answer.is_skipped:
            return
        if not self._parser.should_keep_alive():
            self._may_reuse = False
        answer.ends_with_connection = (
            status not in (204, 304)
            and head.first(b"content-length") is None
            and head.first(b"transfer-encoding") is None
        )
        self._update_idle_limit(head)
        if not answer.head.done():
            answer.head.set_result(head)

    def _belongs(self, head: ResponseHead) -> bool:
        """Whether an answer may belong to the current exchange."""
        if self.answer_id is None:
            return True
        answer_id = self.answer_id(head) or NO_ID
        if answer_id == self._answer.exchange_id:
            return True
        if answer_id == NO_ID and not self._had_unnamed:
            # The endpoint names no ids, so no later answer could be told from a copy of this one.
            self._may_reuse = False
            return True
        self._record_extra("skipped an answer to another request", head.status, answer_id)
        return False

    def _record_extra(self, text: str, status: int = 0, answer_id: bytes = NO_ID) -> None:
        """Record what belongs to no request in progress; a ``status`` of 0 is unknown."""
        exchange_id = NO_ID if self._answer is None else self._answer.exchange_id
        log.bind(
            link=self.number,
            use=self.uses,
            request=exchange_id.decode("latin-1"),
            status=status,
            answer_id=answer_id.decode("latin-1"),
        ).warning(text)
        if self.on_extra_answer is not None:
            self.on_extra_answer()

    def on_body(self, body: bytes) -> None:
        """Queue bytes of the body."""
        answer = self._answer
        if answer.is_complete or answer.is_skipped:
            return
        self._overhead_bytes = 0
        answer.chunks.append(body)
        answer.buffered += len(body)
        if answer.buffered > MAX_BUFFERED_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
        _wake(answer)

    def on_message_complete(self) -> None:
        """Complete the answer."""
        answer = self._answer
        if answer.is_skipped or answer.is_complete:
            answer.is_skipped = False
            return
        if answer.head.done() and not answer.head.cancelled():
            answer.is_complete = True
            _wake(answer)

    def _count_head_bytes(self, count: int) -> None:
        self._head_bytes += count
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError(f"the head has more than {MAX_HEAD_BYTES} bytes")

    def _update_idle_limit(self, head: ResponseHead) -> None:
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        value = head.first(b"keep-alive") or b""
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and IDLE_SECONDS.fullmatch(seconds) is not None:
                self.idle_limit_s = min(DEFAULT_IDLE_LIMIT_S, int(seconds) * IDLE_SHARE)

    def _fail(self, error: LinkError) -> None:
        answer = self._answer
        if answer is None or answer.is_complete or answer.error is not None:
            return
        answer.error = error
        if not answer.head.done():
            answer.head.set_exception(error)
            answer.head.exception()  # Mark as retrieved: the waiter may be cancelled already.
        _wake(answer)


def _wake(answer: _Answer) -> None:
    if answer.wake is not None and not answer.wake.done():
        answer.wake.set_result(None)


def _set_socket_options(sock: socket.socket) -> None:
    """Let the kernel close connections to peers that are down or unreachable."""
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    ):
        with contextlib.suppress(OSError):  # Request time-outs still detect such peers.
            sock.setsockopt(level, option, value)


async def open_connection(
    host: str, port: int, timeout_s: float = CONNECT_TIMEOUT_S
) -> HttpConnection:
    """Connect; raise LinkError (not sent) if that fails or takes too long."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(HttpConnection, host, port)
    except TimeoutError as exc:
        text = f"{host}:{port} did not accept the connection within {timeout_s:g} s"
        raise LinkError(LinkFailure.NOT_SENT, text) from exc
    except OSError as exc:
        raise LinkError(LinkFailure.NOT_SENT, f"{host}:{port}: {exc}") from exc
    return conn
