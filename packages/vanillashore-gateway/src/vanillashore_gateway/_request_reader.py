"""Reads HTTP/1.1 requests from a connection, and holds no more of one than its limits allow."""

from typing import Protocol

import httptools

from vanillashore_gateway._domain import CallerLimits, Header
from vanillashore_gateway._errors import ErrorCode
from vanillashore_gateway._http_messages import RequestHead, render_request_head, without_upgrade

HEADER_LINE_OVERHEAD_BYTES = 4  # Colon, space, CR and LF.
HEAD_PART_BYTES = 4_096  # Parsed at once of a head, and so by how much one can exceed its limit.
# A request line has a limit of its own, as large as that of the headers.
MAX_HEAD_FACTOR = 2
HEADER_OBJECT_BYTES = 160  # Memory that a parsed header takes besides its bytes.


class RequestSink(Protocol):
    """What a reader tells of the requests that it reads."""

    def begin_request(self) -> None:
        """Note that the first byte of a request was received."""

    def receive_head(self, headers: list[Header], length: int) -> None:
        """Note that a head is complete; ``length`` is its body's, 0 if that is not stated."""

    def receive_request(self, head: RequestHead, body: bytes, keeps_alive: bool) -> None:
        """Take a complete request."""

    def reject_request(self, code: ErrorCode, text: str) -> None:
        """Take note that a request is invalid or too large; the reader reads nothing more."""


class RequestReader:
    """Reads the requests of one connection, in order.

    Trailer fields are checked and dropped: none may act as a header (RFC 9110, section 6.5.1).
    Example::

        reader = RequestReader(sink, limits)
        reader.feed(memoryview(data))
        reader.held_bytes  # Memory taken by the request that has not been received whole.
    """

    def __init__(self, sink: RequestSink, limits: CallerLimits) -> None:
        self.limits = limits
        self._sink = sink
        self._target = b""
        self._headers: list[Header] = []
        self._header_bytes = 0
        self._body = bytearray()
        self._is_head_complete = False
        self._unparsed_bytes = 0
        self._progress = 0
        self._has_failed = False
        # Called for each chunk, so it is kept cheap: `feed` checks the size.
        self.on_body = self._body.extend
        self._parser = httptools.HttpRequestParser(self)

    @property
    def held_bytes(self) -> int:
        """Memory that the current request takes, without objects of a fixed size."""
        headers = self._header_bytes + HEADER_OBJECT_BYTES * len(self._headers)
        return self._unparsed_bytes + len(self._target) + headers + len(self._body)

    def feed(self, data: memoryview) -> int:
        """Parse received bytes; return how many of them frame the chunks of a body."""
        framing_bytes = 0
        while data and not self._has_failed:
            part = data if self._is_head_complete else data[:HEAD_PART_BYTES]
            progress, body_bytes = self._progress, len(self._body)
            try:
                self._parser.feed_data(part)
            except httptools.HttpParserUpgrade as exc:
                rest_at = exc.args[0]
                data = self._decline_upgrade(bytes(data[rest_at:]))
                continue
            except httptools.HttpParserError as exc:
                self._fail(ErrorCode.BAD_REQUEST, f"the request is not valid HTTP/1.1: {exc}")
                return framing_bytes
            data = data[len(part) :]
            if self._progress != progress:
                self._unparsed_bytes = 0
            else:
                received = len(self._body) - body_bytes
                self._unparsed_bytes = 0 if received else self._unparsed_bytes + len(part)
                framing_bytes += len(part) - received if received else 0
            self._check_size()
        if self._has_failed:
            self.discard()  # The parser may have gone on to the end of its part.
        return framing_bytes

    def discard(self) -> None:
        """Release what was received of the current request; nothing more is read."""
        self._has_failed = True
        self._target, self._headers = b"", []
        self._header_bytes = self._unparsed_bytes = 0
        self._body.clear()

    def _check_size(self) -> None:
        limits = self.limits
        if len(self._body) > limits.body_bytes:
            self._fail(ErrorCode.BODY_TOO_LARGE, "the body is too large")
        elif self._unparsed_bytes > MAX_HEAD_FACTOR * limits.header_bytes + HEAD_PART_BYTES:
            self._fail(ErrorCode.HEADERS_TOO_LARGE, "the request line or headers are too large")

    def _fail(self, code: ErrorCode, text: str) -> None:
        if not self._has_failed:
            self.discard()
            self._sink.reject_request(code, text)

    def _decline_upgrade(self, rest: bytes) -> memoryview:
        """Return what is to be parsed in place of a head that offers another protocol."""
        method = self._parser.get_method()
        if method == b"CONNECT":
            self._fail(ErrorCode.BAD_REQUEST, "tunnels are not supported")
            return memoryview(b"")
        # The parser ends such a request with its head; it gets a head without the offer.
        head = without_upgrade(RequestHead(method, self._target, tuple(self._headers)))
        self._target, self._headers, self._header_bytes = b"", [], 0
        self._parser = httptools.HttpRequestParser(self)
        return memoryview(render_request_head(head) + rest)

    def on_message_begin(self) -> None:
        """Note that a request begins; empty lines before it are not a part of it."""
        self._sink.begin_request()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header, or drop a trailer field."""
        self._header_bytes += len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES
        if self._header_bytes > self.limits.header_bytes:
            self._fail(ErrorCode.HEADERS_TOO_LARGE, "the headers are too large")
        elif not self._is_head_complete and not self._has_failed:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Announce a complete head."""
        if self._has_failed or self._parser.should_upgrade():
            return
        self._is_head_complete = True
        self._progress += 1
        lengths = [value for name, value in self._headers if name.lower() == b"content-length"]
        length = int(lengths[0]) if lengths else 0  # The parser has checked it.
        if length > self.limits.body_bytes:
            self._fail(ErrorCode.BODY_TOO_LARGE, "the body is too large")
        else:
            self._sink.receive_head(self._headers, length)

    def on_message_complete(self) -> None:
        """Pass on a complete request."""
        if self._has_failed or self._parser.should_upgrade():
            return
        if len(self._body) > self.limits.body_bytes:
            self._fail(ErrorCode.BODY_TOO_LARGE, "the body is too large")
            return
        head = RequestHead(self._parser.get_method(), self._target, tuple(self._headers))
        body = bytes(self._body)
        self._target, self._headers, self._header_bytes = b"", [], 0
        self._body.clear()
        self._is_head_complete = False
        self._progress += 1
        self._sink.receive_request(head, body, self._parser.should_keep_alive())
