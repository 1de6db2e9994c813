"""Requests from one entry to another over datagrams, with numbers and time-outs."""

import asyncio
import itertools
import random
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

from loguru import logger as log

from vanillashore_gateway._home_ranking import Address

NUMBER_BITS = 48  # JSON numbers are exact up to 53 bits.
UNRESPONSIVE_S = 1.0  # An entry that did not answer is skipped for this time.

T = TypeVar("T")


class PeerRequests(Generic[T]):
    """Pending requests, each resolved by the answer with the same number.

    Example::

        answer = await requests.ask("edge-a-2", lambda number: Request(number, "w").encode())
        ...
        requests.resolve(message.number, message.grant)  # when the answer arrives
    """

    def __init__(self, clock: Callable[[], float], timeout_s: float) -> None:
        self._clock = clock
        self._timeout_s = timeout_s
        self._entries: Mapping[str, Address] = {}
        # An answer to an earlier start of this process must not resolve a request of this one.
        self._numbers = itertools.count(random.getrandbits(NUMBER_BITS))
        self._pending: dict[int, asyncio.Future[T]] = {}
        self._unresponsive_until: dict[str, float] = {}
        self.transport: asyncio.DatagramTransport | None = None

    def __len__(self) -> int:
        return len(self._pending)

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Set the list of entries with their addresses."""
        self._entries = dict(entries)

    async def ask(
        self, entry: str, encode: Callable[[int], bytes], patience_s: float | None = None
    ) -> T | None:
        """Return an entry's answer, or ``None`` on a time-out or if the entry has left.

        ``encode`` makes the datagram from the request's number. An entry that has just timed out is
        not asked, unless ``patience_s`` is given, which replaces the usual time-out.
        """
        address = self._entries.get(entry)
        if self.transport is None or address is None:
            return None
        if patience_s is None and self.is_unresponsive(entry):
            return None
        number = next(self._numbers)
        fut: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self._pending[number] = fut
        self.transport.sendto(encode(number), address)
        try:
            async with asyncio.timeout(self._timeout_s if patience_s is None else patience_s):
                return await fut
        except TimeoutError:
            self._unresponsive_until[entry] = self._clock() + UNRESPONSIVE_S
            log.bind(entry=entry).info("an entry did not answer in time")
            return None
        finally:
            self._pending.pop(number, None)

    def is_unresponsive(self, entry: str) -> bool:
        """Whether an entry has just timed out."""
        return self._clock() < self._unresponsive_until.get(entry, 0.0)

    def resolve(self, number: int, answer: T) -> None:
        """Pass an answer to its request; one that arrives too late is dropped."""
        fut = self._pending.pop(number, None)
        if fut is not None and not fut.done():
            fut.set_result(answer)

    def send(self, entry: str, data: bytes) -> None:
        """Send a datagram that needs no answer, if the entry is known."""
        if self.transport is not None and entry in self._entries:
            self.transport.sendto(data, self._entries[entry])
