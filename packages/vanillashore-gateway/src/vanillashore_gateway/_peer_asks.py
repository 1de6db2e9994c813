"""Asks from one entry to another over datagrams: numbered, timed, and not sent to the silent."""

import asyncio
import itertools
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

from loguru import logger as log

from vanillashore_gateway._homes import Address

SUSPECT_S = 1.0  # An entry that did not answer is passed over for so long.

T = TypeVar("T")


class PeerAsks(Generic[T]):
    """Asks under way, each settled by the answer of the same number.

    Example::

        answer = await asks.ask("edge-a-2", lambda number: Ask(number, "w").encode())
        ...
        asks.settle(message.number, message.grant)  # when the answer has come
    """

    def __init__(self, clock: Callable[[], float], timeout_s: float) -> None:
        self._clock = clock
        self._timeout_s = timeout_s
        self._entries: Mapping[str, Address] = {}
        self._numbers = itertools.count(1)
        self._open: dict[int, asyncio.Future[T]] = {}
        self._suspect_until: dict[str, float] = {}
        self.transport: asyncio.DatagramTransport | None = None

    def __len__(self) -> int:
        return len(self._open)

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Take the list of entries with their addresses."""
        self._entries = dict(entries)

    async def ask(self, entry: str, encode: Callable[[int], bytes]) -> T | None:
        """Ask an entry; return ``None`` if it does not answer in time or did not just now.

        ``encode`` makes the datagram from the ask's number.
        """
        if self.transport is None or self._clock() < self._suspect_until.get(entry, 0.0):
            return None
        number = next(self._numbers)
        fut: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self._open[number] = fut
        self.transport.sendto(encode(number), self._entries[entry])
        try:
            async with asyncio.timeout(self._timeout_s):
                return await fut
        except TimeoutError:
            self._suspect_until[entry] = self._clock() + SUSPECT_S
            log.bind(entry=entry).info("an entry does not answer")
            return None
        finally:
            self._open.pop(number, None)

    def settle(self, number: int, answer: T) -> None:
        """Take the answer to an ask; one that comes too late is dropped."""
        fut = self._open.pop(number, None)
        if fut is not None and not fut.done():
            fut.set_result(answer)

    def tell(self, entry: str, data: bytes) -> None:
        """Send a datagram that wants no answer."""
        if self.transport is not None and entry in self._entries:
            self.transport.sendto(data, self._entries[entry])
