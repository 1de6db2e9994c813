"""Asks other entries for their view while this one's registration is uncertain.

An entry that is cut off from the store keeps its old list, in which it may be the home of a
workspace, while the others have dropped it and made another entry the home. If the store is away
for all entries, though, their lists stay as they are, and with them the homes.
"""

import asyncio
import itertools
import random
from collections.abc import Callable, Mapping

import attrs
import orjson
from loguru import logger as log

from vanillashore_gateway._home_ranking import Address

CHECK_EVERY_S = 0.25
ENTRIES_ASKED = 5
ANSWER_TIMEOUT_S = 0.1  # Several round trips between data centres.
VALID_S = 1.2  # Of what the last answers said, as datagrams may be lost.
NUMBER_BITS = 48


@attrs.frozen
class _View:
    """An entry's answer: whether it lists the asking one, and whether its list is up to date."""

    is_listed: bool
    is_fresh: bool


class RegistrationChecks:
    """Whether this entry is listed at the others.

    ``is_held`` tells whether this entry's own registration is certainly valid, and ``is_fresh``
    whether its list is up to date, which others are told. Example::

        checks.is_listed  # True as long as the lease is held
        await checks.check()  # asks some other entries
        checks.is_listed  # by their answers
    """

    PREFIX = b'["listed'

    def __init__(self, node: str, clock: Callable[[], float], rng: random.Random) -> None:
        self._node = node
        self._clock = clock
        self._rng = rng
        self._numbers = itertools.count(rng.getrandbits(NUMBER_BITS))
        self._current = 0
        self._answers: list[_View] = []
        self._listed_until = float("-inf")
        self._entries: Mapping[str, Address] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self.is_held: Callable[[], bool] = lambda: True
        self.is_fresh: Callable[[], bool] = lambda: True

    @property
    def is_listed(self) -> bool:
        """Whether this entry is listed at the others, as far as is known."""
        return self.is_held() or self._clock() < self._listed_until

    async def run(self) -> None:
        """Check repeatedly while the registration or the list is uncertain, until cancelled.

        A list that is out of date comes first, so the answers are there when the lease gets
        uncertain, and no other entry takes over as a home for the time of a check.
        """
        while True:
            if not self.is_held() or not self.is_fresh():
                await self.check()
            await asyncio.sleep(CHECK_EVERY_S)

    async def check(self) -> None:
        """Ask some entries, and believe those with an up-to-date list before others."""
        others = [name for name in self._entries if name != self._node]
        self._current, self._answers = next(self._numbers), []
        for name in self._rng.sample(others, min(ENTRIES_ASKED, len(others))):
            self._send(["listed?", self._current, self._node], self._entries[name])
        await asyncio.sleep(ANSWER_TIMEOUT_S)
        fresh = [view.is_listed for view in self._answers if view.is_fresh]
        # Without any other entry, none can have taken this one's place.
        views = fresh or [view.is_listed for view in self._answers] or [not others]
        was_listed = self.is_listed
        self._listed_until = self._clock() + VALID_S if all(views) else float("-inf")
        if was_listed != self.is_listed:
            log.bind(asked=min(ENTRIES_ASKED, len(others)), answers=len(self._answers)).bind(
                fresh=len(fresh), is_listed=self.is_listed
            ).warning("asked other entries whether they list this one")

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Set the list of entries with their addresses."""
        self._entries = dict(entries)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Set the socket to send on."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Answer another entry's question, or note the answer to an own one."""
        try:
            row = orjson.loads(data)
        except orjson.JSONDecodeError as exc:
            log.bind(sender=addr, reason=str(exc)).warning("ignored a malformed datagram")
            return
        match row:
            case ["listed?", int(number), str(name), *_]:
                self._send(["listed", number, name in self._entries, self.is_fresh()], addr)
            case ["listed", int(number), bool(is_listed), bool(is_fresh), *_]:
                if number == self._current:
                    self._answers.append(_View(is_listed, is_fresh))
            case _:
                log.bind(sender=addr).warning("ignored a malformed datagram")

    def _send(self, row: list[object], address: Address) -> None:
        if self._transport is not None:
            self._transport.sendto(orjson.dumps(row), address)
