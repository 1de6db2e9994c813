"""A store that sends bytes without end: each call ends at a bound, and the next one is made."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager

import orjson
import pytest

from vanillashore_adapter import HttpStore
from vanillashore_adapter._store import (
    MAX_REPLY_BYTES,
    MAX_REPLY_VALUES,
    MAX_SNAPSHOT_ITEMS,
)
from vanillashore_gateway import AnswerTooLargeError, StoreUnavailableError

PART_BYTES = 16_384
IN_FLIGHT_BYTES = 16_000_000  # What the kernels may hold of what the client does not read.
GIVE_UP_BYTES = MAX_REPLY_BYTES + 2 * IN_FLIGHT_BYTES  # A client that never closes fails the test.

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "lines of the head": (HEAD, b"X-More: and more\r\n"),
    "a line of the head": (HEAD + b"X-More: ", b"and more "),
    "the reason": (b"HTTP/1.1 200 ", b"OK "),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "junk": (b"", b"\x00\xffno answer\r\n"),
    "a body without a length": (HEAD + b"\r\n", b"   "),
    "a body of a huge length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"   "),
    "chunks": (CHUNKED, b"10\r\n" + b" " * 16 + b"\r\n"),
    "the size of a chunk": (CHUNKED + b"1", b"0"),
    "an extension of a chunk": (CHUNKED + b"10;", b"extension"),
    "trailers": (CHUNKED + b"2\r\n{}\r\n0\r\n", b"X-More: and more\r\n"),
}
CALLS: dict[str, Callable[[HttpStore], Awaitable[object]]] = {
    "snapshot": lambda client: client.snapshot(),
    "changes": lambda client: client.changes(1, 0.0, 1_000_000),
    "renew": lambda client: client.renew(7),
    "grant_lease": lambda client: client.grant_lease(8.0),
    "register_entry": lambda client: client.register_entry("a", ("127.0.0.1", 1), 8),
    "acquire_duty": lambda client: client.acquire_duty("roles", "a", 7),
    "read_origin": lambda client: client.read_origin("id-1"),
    "read_revision": lambda client: client.read_revision(),
}


class _EndlessStore:
    """Answers each call with ``begin``, and then with ``part`` until the connection is closed."""

    def __init__(self, begin: bytes, part: bytes) -> None:
        self._begin = begin
        self._part = part * (PART_BYTES // len(part) + 1)
        self.sent = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._begin)
            while self.sent < GIVE_UP_BYTES:
                writer.write(self._part)
                self.sent += len(self._part)
                await writer.drain()
        writer.close()


class _PagedStore:
    """Answers each call with the next of ``pages``, and says that another one follows."""

    def __init__(self, pages: Iterator[list[dict[str, object]]]) -> None:
        self._pages = pages
        self.sent = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                body = orjson.dumps({"items": next(self._pages), "has_more": True, "at": 7})
                writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
                self.sent += 1
                await writer.drain()
        writer.close()


@asynccontextmanager
async def _client(store: _EndlessStore | _PagedStore) -> AsyncIterator[HttpStore]:
    server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
    try:
        yield HttpStore(server.sockets[0].getsockname()[:2], 1.0)
    finally:
        server.close()


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("kind", ENDLESS)
async def test_answer_without_end_is_given_up_at_a_bound(kind: str, call: str) -> None:
    """Guards against an entry that keeps such an answer until its memory is used up."""
    store = _EndlessStore(*ENDLESS[kind])
    async with _client(store) as client:
        with pytest.raises((StoreUnavailableError, AnswerTooLargeError)):
            await CALLS[call](client)
        assert store.sent < MAX_REPLY_BYTES + IN_FLIGHT_BYTES


def _entry(number: int) -> dict[str, object]:
    return {"key": f"vanillashore/entries/{number:09}", "value": "WyIxMC4wLjAuMSIsMV0=", "at": 1}


PAGES: dict[str, Callable[[], Iterator[list[dict[str, object]]]]] = {
    "other items each time": lambda: (
        [_entry(500 * page + row) for row in range(500)] for page in itertools.count()
    ),
    "the same items": lambda: itertools.repeat([_entry(1), _entry(2)]),
    "a page of too many values": lambda: itertools.repeat([{}] * (MAX_REPLY_VALUES + 2)),
    "items in turn": lambda: ([_entry(page % 2)] for page in itertools.count()),
}


@pytest.mark.parametrize("kind", PAGES)
async def test_snapshot_whose_pages_have_no_end_is_given_up_at_a_bound(kind: str) -> None:
    store = _PagedStore(PAGES[kind]())
    async with _client(store) as client:
        with pytest.raises(StoreUnavailableError, match="values|items|page"):
            await client.snapshot()
        assert store.sent <= MAX_SNAPSHOT_ITEMS + 1
