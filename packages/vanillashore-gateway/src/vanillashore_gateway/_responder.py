"""One answer to a caller: its head, its body, and what its framing promises."""

from collections.abc import Callable, Iterable
from typing import Protocol

import attrs

from vanillashore_gateway._domain import Header
from vanillashore_gateway._http_messages import RequestHead, render_headers

FIRST_ERROR_STATUS = 400
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@attrs.frozen
class Inbound:
    """A complete request; its first byte ``arrived``, and its last was ``received``, at a time."""

    head: RequestHead
    body: bytes
    arrived: float
    received: float


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the answer was complete."""


class AnswerFramingError(Exception):
    """A second answer to one request, or a body of another length than its head states."""


class AnsweredConnection(Protocol):
    """The connection that an answer is written to."""

    answer_deadline: float
    has_announced_close: bool
    is_blocked: bool
    was_served: bool

    @property
    def closes_after_answer(self) -> bool:
        """Whether the connection closes after the current answer, which is the last one."""

    def write(self, data: bytes) -> None:
        """Send bytes; raise CallerDisconnectedError if the connection is closed."""

    async def drain(self) -> None:
        """Wait until the connection accepts more data."""

    def abort(self) -> None:
        """Close at once, discarding unsent data."""

    def abort_unread(self) -> None:
        """Abort an answer that its caller reads too slowly."""


class Responder:
    """Writes one answer to a caller."""

    def __init__(self, conn: AnsweredConnection) -> None:
        self._conn = conn
        self.has_begun = False
        self.is_complete = False
        self.on_begin: Callable[[], None] = lambda: None
        self._is_chunked = False
        self._left = 0

    @property
    def is_blocked(self) -> bool:
        """Whether the answer is held up by a caller who does not read it."""
        return self._conn.is_blocked

    def set_deadline(self, deadline: float) -> None:
        """Set the time until which an unread answer is kept at least."""
        self._conn.answer_deadline = deadline

    def begin(
        self, status: int, reason: bytes, headers: Iterable[Header], length: int | None
    ) -> None:
        """Send the head; a body without a ``length`` is sent chunked.

        Raises AnswerFramingError if an answer has begun already.
        """
        if self.has_begun:
            raise AnswerFramingError("an answer to this request has begun already")
        framing = b"Transfer-Encoding: chunked\r\n"
        self._is_chunked = length is None
        if length is not None:
            self._left = length
            framing = b"Content-Length: %d\r\n" % length
        closing = b""
        if self._conn.closes_after_answer:
            self._conn.has_announced_close = True
            closing = b"Connection: close\r\n"
        line = b"HTTP/1.1 %d %b\r\n" % (status, reason or REASON_PHRASES.get(status, b"Status"))
        self.has_begun = True
        self._conn.was_served |= status < FIRST_ERROR_STATUS
        self.on_begin()
        self._conn.write(line + render_headers(headers) + framing + closing + b"\r\n")

    async def write(self, data: bytes) -> None:
        """Send bytes of the body, and wait while the write buffer is full."""
        if data:
            self._count(data)
            self._conn.write(b"%x\r\n%b\r\n" % (len(data), data) if self._is_chunked else data)
            await self._conn.drain()

    def finish(self) -> None:
        """End the body; raise AnswerFramingError if a part of its stated length is missing."""
        if self._is_chunked:
            self._conn.write(b"0\r\n\r\n")
        elif self._left:
            raise AnswerFramingError(f"{self._left} bytes of the body are missing")
        self.is_complete = True

    def answer(self, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Send a complete answer."""
        self.begin(status, REASON_PHRASES.get(status, b""), headers, len(body))
        self._count(body)
        self._conn.write(body)
        self.is_complete = True

    def _count(self, data: bytes) -> None:
        if self._is_chunked:
            return
        if len(data) > self._left:
            raise AnswerFramingError("the body is longer than its head states")
        self._left -= len(data)

    def abort(self) -> None:
        """Abort the connection, so that a partial answer does not look complete."""
        if self._conn.is_blocked:
            self._conn.abort_unread()
        else:
            self._conn.abort()
