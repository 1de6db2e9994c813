"""Retry budgets of services over all entries, by datagrams between entries."""

import asyncio
from collections.abc import Callable, Mapping
from functools import lru_cache
from typing import Any

import attrs
import orjson
from loguru import logger as log

from vanillashore_gateway._fleet_size import FleetSize
from vanillashore_gateway._home_ranking import Address, rank_homes
from vanillashore_gateway._peer_requests import PeerRequests
from vanillashore_gateway._retry_budget import (
    HOME_SHARE,
    MAX_UNCERTAIN,
    SUBSTITUTE_SHARE,
    OwnShare,
    RetryLimits,
    RetryPool,
)

ASK_TIMEOUT_S = 0.04  # Some round trips between data centres, and a fraction of any target.
HOMES = 2  # The home and a substitute; each pool beyond these would need a share of its own.
ENTRIES_GREETING = 3  # Each tells a new entry the size of the fleet; datagrams may be lost.
SURPLUS_EVERY_S = 0.5  # Bounds the number of messages to two per second, entry and service.
MAX_SERVICES = 256
MAX_ENTRIES = 65_536  # A larger number in a datagram is an error.


@attrs.frozen
class SurplusNotice:
    """Passes what an entry has earned and does not keep to the home of a service."""

    service: str
    amount: float

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["retry surplus", self.service, self.amount])


@attrs.frozen
class LoanRequest:
    """Asks the home for part of a retry, at most one; the answer has the same number."""

    number: int
    service: str
    amount: float

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["retry ask", self.number, self.service, self.amount])

    def numbered(self, number: int) -> bytes:
        """Return the datagram with another number."""
        return attrs.evolve(self, number=number).encode()


@attrs.frozen
class LoanAnswer:
    """The answer to the request with the same number."""

    number: int
    is_granted: bool

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["retry loan", self.number, self.is_granted])


@attrs.frozen
class FleetNotice:
    """Tells an entry that has registered how many entries there are."""

    count: int

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["retry fleet", self.count])


RetryMessage = SurplusNotice | LoanRequest | LoanAnswer | FleetNotice


def decode_retry(data: bytes) -> RetryMessage:
    """Decode a datagram; raise ValueError if it is none of these messages."""
    match orjson.loads(data):
        case ["retry surplus", str(service), float(amount) | int(amount), *_]:
            return SurplusNotice(service, float(amount))
        case ["retry ask", int(number), str(service), float(amount) | int(amount), *_]:
            return LoanRequest(number, service, float(amount))
        case ["retry loan", int(number), bool(is_granted), *_]:
            return LoanAnswer(number, is_granted)
        case ["retry fleet", int(count), *_] if 0 < count <= MAX_ENTRIES:
            return FleetNotice(count)
    raise ValueError("not a message about retries")


class ServiceRetries:
    """The retry budget of one service at this entry.

    Example::

        retries = budgets.of("models")
        retries.earn()
        if await retries.spend("request-1"):
            ...  # retry
    """

    def __init__(self, service: str, budgets: "RetryBudgets") -> None:
        limits = budgets.limits
        self.own = OwnShare(min(limits.initial, limits.own_cap) if budgets.fleet.is_known else 0.0)
        self._service = service
        self._budgets = budgets
        self._report_at = 0.0

    def earn(self) -> None:
        """Add the fraction of a retry that a new request earns."""
        self.own.earn(self._budgets.limits)
        now = self._budgets.clock()
        if self.own.surplus > 0 and now >= self._report_at:
            self._report_at = now + SURPLUS_EVERY_S
            self._budgets.pass_on(self._service, self.own.take_surplus())

    async def spend(self, request: str) -> bool:
        """Spend one retry, of the own share first; return False if the home lends none either.

        ``request`` is the id in the log of the request that is to be retried.
        """
        budgets = self._budgets
        reserved = self.own.reserve()
        is_spent = reserved >= 1.0
        lender: str | None = None
        try:
            if not is_spent:
                lender = await budgets.borrow(self._service, 1.0 - reserved)
                is_spent = lender is not None
        finally:
            if not is_spent:
                self.own.give_back(reserved, budgets.limits)
        bound = log.bind(request=request, service=self._service, entries=budgets.limits.entries)
        if is_spent:
            budgets.granted += 1
            bound.bind(own=round(reserved, 3), lender=lender).info("a retry was granted")
        else:
            bound.bind(denied=budgets.denied).info("the retry budget is used up")
        return is_spent


class RetryBudgets(asyncio.DatagramProtocol):
    """The retry budgets of this entry, one for each service, and the pools that it is home of.

    ``is_registered`` tells whether this entry's registration is certainly valid, so that no other
    entry has taken its place as a home. ``min_entries`` is how many entries to expect while the
    list is shorter. ``fleet_limits`` are divided by the size of the ``fleet``, not by the length of
    the list.
    """

    PREFIX = b'["retry '

    def __init__(
        self, node: str, limits: RetryLimits, min_entries: int, clock: Callable[[], float]
    ) -> None:
        self.fleet = FleetSize(min_entries, clock)
        self.fleet_limits = limits
        self.clock = clock
        self.is_registered: Callable[[], bool] = lambda: True
        self.granted = 0
        self.borrowed = 0
        self.denied = 0
        self._node = node
        self._requests: PeerRequests[bool] = PeerRequests(clock, ASK_TIMEOUT_S)
        self._pool = RetryPool(MAX_SERVICES)
        self._retries: dict[str, ServiceRetries] = {}
        self._entries: Mapping[str, Address] = {}
        self._ranked = lru_cache(MAX_SERVICES)(rank_homes)

    @property
    def limits(self) -> RetryLimits:
        """The limits for this entry, by what it knows of the others."""
        is_certain = self.fleet.is_known or self.fleet.is_young
        max_kept = self.fleet_limits.max_kept if is_certain else MAX_UNCERTAIN
        return attrs.evolve(self.fleet_limits, entries=self.fleet.count, max_kept=max_kept)

    @property
    def saved(self) -> float:
        """How many retries of all services are saved up here, for this entry and as a home."""
        own = sum(retries.own.saved + retries.own.surplus for retries in self._retries.values())
        return own + sum(self._pool.level(service) for service in self._pool.services())

    def of(self, service: str) -> ServiceRetries:
        """Return a service's budget."""
        found = self._retries.get(service)
        if found is None:
            found = self._retries[service] = ServiceRetries(service, self)
        return found

    def pass_on(self, service: str, amount: float) -> None:
        """Pass a surplus on to the home, or to its substitute while the home does not answer."""
        for home in self._homes(service):
            if home == self._node:
                self._pool.add(service, amount, self._cap(service))
                return
            if not self._requests.is_unresponsive(home):
                self._requests.send(home, SurplusNotice(service, amount).encode())
                return

    async def borrow(self, service: str, amount: float) -> str | None:
        """Borrow part of a retry; return the lender, or ``None`` if there is none.

        An entry that does not answer costs one time-out.
        """
        for home in self._homes(service):
            if home != self._node and self._requests.is_unresponsive(home):
                continue
            if await self._borrow_from(home, service, amount):
                self.borrowed += 1
                return home
            break
        self.denied += 1
        return None

    async def _borrow_from(self, home: str, service: str, amount: float) -> bool:
        if home == self._node:
            return self._pool.lend(service, amount, self._cap(service))
        request = LoanRequest(0, service, amount)
        return bool(await self._requests.ask(home, request.numbered))

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Set the list of entries with their addresses."""
        self._entries = dict(entries)
        self._requests.update_entries(entries)
        self._ranked.cache_clear()
        self.fleet.update(len(entries))
        limits = self.limits
        for retries in self._retries.values():
            retries.own.resize(limits)
        for service in self._pool.services():
            if self._node not in self._homes(service):
                self._pool.clear(service)

    def greet(self, entry: str) -> None:
        """Tell an entry that has registered how many there are, as its own list may be short."""
        if not self.fleet.is_known:
            return
        others = [name for name in self._entries if name != entry]
        if self._node in rank_homes(entry, others)[:ENTRIES_GREETING]:
            self._requests.send(entry, FleetNotice(self.fleet.count).encode())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket to send on."""
        self._requests.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handle another entry's surplus or request, or its answer to one of ours."""
        try:
            message = decode_retry(data)
        except ValueError as exc:
            log.bind(sender=addr, reason=str(exc)).warning("ignored a malformed datagram")
            return
        match message:
            case LoanAnswer(number, is_granted):
                self._requests.resolve(number, is_granted)
            case SurplusNotice(service, amount):
                self._pool.add(service, amount, self._cap(service))
            case LoanRequest(number, service, amount):
                is_granted = self._pool.lend(service, amount, self._cap(service))
                self._requests.transport.sendto(LoanAnswer(number, is_granted).encode(), addr)
            case FleetNotice(count):
                self.fleet.learn(count)

    def _cap(self, service: str) -> float:
        """Return how much this entry's pool of a service may hold."""
        homes = self._homes(service)
        if self._node not in homes:
            return 0.0
        is_home = homes[0] == self._node and self.is_registered()
        share = HOME_SHARE if is_home else SUBSTITUTE_SHARE
        return self.limits.pool_cap(share, self.fleet.part_listed)

    def _homes(self, service: str) -> list[str]:
        return self._ranked(service, tuple(self._entries))[:HOMES] or [self._node]
