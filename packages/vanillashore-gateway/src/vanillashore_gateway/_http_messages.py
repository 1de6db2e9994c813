"""Heads of HTTP/1.1 messages, and hop-by-hop headers."""

from collections.abc import Iterable

import attrs

from vanillashore_gateway._domain import Header

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@attrs.frozen
class RequestHead:
    """Request line and headers, as received."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]

    def all_of(self, name: bytes) -> list[bytes]:
        """Return the values of a header; ``name`` is in lower case."""
        return [value for key, value in self.headers if key.lower() == name]


@attrs.frozen
class ResponseHead:
    """Status line and headers, as received."""

    status: int
    reason: bytes
    headers: tuple[Header, ...]

    def first(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None``; ``name`` is in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


def end_to_end(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers to forward, without hop-by-hop headers and ``Content-Length``.

    Some servers treat an underscore in a header's name as a hyphen, so both spellings are dropped.
    """
    kept = list(headers)
    dropped = HOP_BY_HOP | {b"content-length"}
    for name, value in kept:
        if name.lower() == b"connection":
            dropped |= {token.strip().lower() for token in value.split(b",")}
    return tuple((name, value) for name, value in kept if hyphenated(name) not in dropped)


def hyphenated(name: bytes) -> bytes:
    """Return a header's name in lower case, with hyphens."""
    return name.lower().replace(b"_", b"-")


def render_headers(headers: Iterable[Header]) -> bytes:
    """Return the header lines, without the final empty line."""
    return b"".join(b"%b: %b\r\n" % header for header in headers)


def render_request_head(head: RequestHead) -> bytes:
    """Return the head of an HTTP/1.1 request."""
    return b"%b %b HTTP/1.1\r\n%b\r\n" % (head.method, head.target, render_headers(head.headers))


def without_upgrade(head: RequestHead) -> RequestHead:
    """Return a head without the offer of another protocol, which a server may ignore."""
    headers: list[Header] = []
    for name, value in head.headers:
        if name.lower() == b"upgrade":
            continue
        if name.lower() == b"connection":
            tokens = [token.strip() for token in value.split(b",")]
            value = b", ".join(token for token in tokens if token.lower() != b"upgrade")
        headers.append((name, value))
    return attrs.evolve(head, headers=tuple(headers))
