"""The socket for datagrams between entries, and the dispatch of messages to their handlers."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from loguru import logger as log

from vanillashore_gateway._home_ranking import Address

KIND_BYTES = 24  # Of a datagram of unknown kind, for the log.
MAX_LOGGED_KINDS = 16
# Messages name requests, endpoints and services; the longest of this build have some 1,400 bytes.
MAX_DATAGRAM_BYTES = 4_096


class PeerHandler(Protocol):
    """Handles the datagrams that begin with its prefix."""

    PREFIX: bytes | tuple[bytes, ...]

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Set the list of entries with their addresses."""
        ...

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Set the socket to send on."""
        ...

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handle a datagram."""
        ...


class PeerSocket(asyncio.DatagramProtocol):
    """Dispatches datagrams of other entries by their prefix.

    Entries of another build may send messages of unknown kinds, and entries in trouble some that
    are too long for their names to be kept; ``record_ignored`` counts them, and each kind is logged
    once.
    """

    def __init__(self, handlers: Sequence[PeerHandler], record_ignored: Callable[[], None]) -> None:
        self._handlers = handlers
        self._record_ignored = record_ignored
        self._logged_kinds: set[bytes] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the socket to the components that send on it."""
        for handler in self._handlers:
            handler.connection_made(transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram to its handler."""
        if len(data) > MAX_DATAGRAM_BYTES:
            self._ignore(data, addr, "ignored a datagram that is too long")
            return
        for handler in self._handlers:
            if data.startswith(handler.PREFIX):
                handler.datagram_received(data, addr)
                return
        self._ignore(data, addr, "ignored a datagram of unknown kind")

    def _ignore(self, data: bytes, addr: Any, text: str) -> None:
        self._record_ignored()
        kind = data.partition(b",")[0][:KIND_BYTES]
        if kind not in self._logged_kinds and len(self._logged_kinds) < MAX_LOGGED_KINDS:
            self._logged_kinds.add(kind)
            log.bind(sender=addr, kind=repr(kind), bytes=len(data)).warning(text)
