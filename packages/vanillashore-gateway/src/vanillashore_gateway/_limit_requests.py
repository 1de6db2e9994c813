"""Permission to send to endpoints that name a request limit or want a pause.

A request limit is for all entries together, so they coordinate by datagrams. A pause is for the
entry that was turned away.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import lru_cache
from typing import Any

import attrs
import orjson
from loguru import logger as log

from vanillashore_gateway._cold_rates import MAX_BURST, ColdBounds, ColdRates
from vanillashore_gateway._domain import Endpoint, EndpointStart
from vanillashore_gateway._home_ranking import Address, rank_homes
from vanillashore_gateway._membership import RECORD_LAG_S
from vanillashore_gateway._peer_requests import PeerRequests
from vanillashore_gateway._request_limits import (
    HOME_BURST,
    MAX_TRACKED,
    MIN_RATE_PER_S,
    SUBSTITUTE_SHARE,
    UNREGISTERED_SHARE,
    LimitTable,
    NamedLimit,
    Permit,
    RequestPacer,
)

MAX_HOMES_ASKED = 3  # The home and two substitutes.
ASK_TIMEOUT_S = 0.04  # Some round trips between data centres, and a fraction of any target.
MAX_WAIT_S = 1.0  # Longest time ahead for which a home permits a request.
NO_HOME_RETRY_S = 0.5  # Before an entry that has reached no home asks again.
# Added to each wait for a permit: without a pause, the home would be asked in a tight loop.
RETRY_PAUSE_S = 0.005

_Row = tuple[str, int, float | None, int, str]


def _row(start: EndpointStart, limit: NamedLimit) -> _Row:
    return (*attrs.astuple(start), *attrs.astuple(limit))


def _decode_row(row: Sequence[Any]) -> tuple[EndpointStart, NamedLimit]:
    match row:
        case [str(name), int(started), int() | float() | None as limit, int(version), str(by), *_]:
            return EndpointStart(name, started), NamedLimit(limit, version, by)
    raise ValueError("malformed limit")


@attrs.frozen
class LimitNotice:
    """Notifies of a change of an endpoint's limit."""

    start: EndpointStart
    limit: NamedLimit

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["limit", _row(self.start, self.limit)])


@attrs.frozen
class PermitRequest:
    """Asks for permission to send one request; the answer has the same number.

    A home that has not yet learnt that the endpoint is cold learns it from ``cold_s``, and the rate
    from ``cold_per_s``.
    """

    number: int
    start: EndpointStart
    limit: NamedLimit
    max_wait_s: float
    cold_s: float = 0.0
    cold_per_s: float = 0.0

    def encode(self) -> bytes:
        """Return the datagram."""
        row = _row(self.start, self.limit)
        cold = (self.cold_s, self.cold_per_s) if self.cold_s else ()
        return orjson.dumps(["limit ask", self.number, row, self.max_wait_s, *cold])

    def numbered(self, number: int) -> bytes:
        """Return the datagram with another number."""
        return attrs.evolve(self, number=number).encode()


@attrs.frozen
class PermitAnswer:
    """The answer to the request with the same number, with the limit that the home knows."""

    number: int
    start: EndpointStart
    limit: NamedLimit
    permit: Permit

    def encode(self) -> bytes:
        """Return the datagram."""
        row = _row(self.start, self.limit)
        return orjson.dumps(["limit permit", self.number, row, *attrs.astuple(self.permit)])


LimitMessage = LimitNotice | PermitRequest | PermitAnswer


def decode_limit(data: bytes) -> LimitMessage:
    """Decode a datagram; raise ValueError if it is none of these messages."""
    match orjson.loads(data):
        case ["limit", [*row], *_]:
            return LimitNotice(*_decode_row(row))
        case ["limit ask", int(number), [*row], float(max_wait_s) | int(max_wait_s), *rest]:
            cold = rest[:2] if len(rest) > 1 else [0.0, 0.0]
            if not all(isinstance(value, int | float) for value in cold):
                raise ValueError("malformed cold period in a request for a limit")
            return PermitRequest(number, *_decode_row(row), float(max_wait_s), *map(float, cold))
        case ["limit permit", int(n), [*row], bool(granted), float(wait_s) | int(wait_s), *_]:
            return PermitAnswer(n, *_decode_row(row), Permit(granted, float(wait_s)))
    raise ValueError("not a message about a limit")


@attrs.frozen
class _Pause:
    """A time in which an endpoint wants nothing from this entry."""

    began_at: float
    until: float


class RequestLimits(asyncio.DatagramProtocol):
    """One entry's part in keeping the limits of endpoints.

    ``is_registered`` tells whether this entry's registration is certainly valid, so that no other
    entry has taken its place as a home.

    Example::

        wait_s = await limits.acquire(endpoint)
        if wait_s is None:
            ...  # send one request
    """

    PREFIX = b'["limit'

    def __init__(
        self,
        node: str,
        clock: Callable[[], float],
        cold_bounds: ColdBounds | None = None,
    ) -> None:
        self._node = node
        self.cold = ColdRates(clock, cold_bounds or ColdBounds())
        self._clock = clock
        self._requests: PeerRequests[PermitAnswer] = PeerRequests(clock, ASK_TIMEOUT_S)
        self._table = LimitTable(node)
        self._pacer = RequestPacer()
        self._closed_until: dict[EndpointStart, float] = {}
        self._pauses: dict[EndpointStart, _Pause] = {}
        self._entries: Mapping[str, Address] = {}
        self._ranked = lru_cache(MAX_TRACKED)(rank_homes)
        self.is_registered: Callable[[], bool] = lambda: True

    @property
    def limited_endpoints(self) -> int:
        """How many endpoints name a limit."""
        return len(self._table.limited())

    def known_limit(self, endpoint: Endpoint) -> NamedLimit:
        """Return the newest limit of an endpoint, for `record_answer`."""
        return self._table.get(endpoint.start)

    def record_answer(
        self, endpoint: Endpoint, limit_per_s: float | None, known: NamedLimit, request_id: str
    ) -> None:
        """Record the limit in an answer; ``known`` is the limit known when it was requested."""
        start = endpoint.start
        if self._table.record_answer(start, limit_per_s, known):
            self._log_change(start, known, request_id)
            self._announce(start)

    @property
    def paused_endpoints(self) -> int:
        """How many endpoints want nothing from this entry for a time."""
        return sum(self.pause_s(start) > 0 for start in list(self._pauses))

    def record_pause(self, endpoint: Endpoint, pause_s: float, request_id: str) -> None:
        """Record that an endpoint wants nothing from this entry for ``pause_s``."""
        start, now = endpoint.start, self._clock()
        known = self._pauses.get(start)
        if known is not None and known.until >= now + pause_s:
            return
        if not self.pause_s(start):
            bound = log.bind(request=request_id, endpoint=start.instance)
            bound.bind(pause_s=round(pause_s, 3)).info("an endpoint wants no requests for a time")
        self._pauses[start] = _Pause(now, now + pause_s)

    def carry_pause(self, old: EndpointStart, new: EndpointStart) -> None:
        """Let a recent pause hold for a later start, whose record is read after its answers."""
        pause = self._pauses.pop(old, None)
        if pause is not None and self._clock() - pause.began_at <= RECORD_LAG_S:
            self._pauses[new] = pause

    def pause_s(self, start: EndpointStart) -> float:
        """Return the seconds for which an endpoint still wants nothing from this entry."""
        pause = self._pauses.get(start)
        if pause is None:
            return 0.0
        left_s = pause.until - self._clock()
        if left_s <= 0:
            del self._pauses[start]
            return 0.0
        return left_s

    async def acquire(self, endpoint: Endpoint, max_wait_s: float = 0.0) -> float | None:
        """Wait up to ``max_wait_s`` for permission to send one request.

        Return ``None`` with the permission, else the seconds after which one is expected.
        """
        start = endpoint.start
        while pause_s := self.pause_s(start):
            if pause_s > max_wait_s:
                return pause_s
            await asyncio.sleep(pause_s)
            max_wait_s -= pause_s
        if self._rate_per_s(start) is None:
            return None
        closed_s = self._closed_s(start)
        if closed_s > max_wait_s:
            return closed_s
        permit = await self._request_permit(start, max_wait_s)
        if self._rate_per_s(start) is None:
            return None
        if not permit.is_granted:
            wait_s = permit.wait_s + RETRY_PAUSE_S
            self._closed_until[start] = self._clock() + wait_s
            return wait_s
        if permit.wait_s > 0:
            await asyncio.sleep(permit.wait_s)
        return None

    def open_endpoints(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that want requests and are not known to be at their limits."""
        return [endpoint for endpoint in endpoints if not self._closed_s(endpoint.start)]

    def first_open(self, endpoints: Sequence[Endpoint]) -> tuple[Endpoint, float]:
        """Return the endpoint that first accepts another request, and in how many seconds."""
        waits = [(self._closed_s(endpoint.start), i) for i, endpoint in enumerate(endpoints)]
        wait_s, index = min(waits)
        return endpoints[index], wait_s

    def queue_wait_s(self, endpoints: Sequence[Endpoint], waiting: int) -> float:
        """Return how long a request would wait behind ``waiting`` others of this entry.

        Assumes that as many wait at each other entry. Returns 0 if an endpoint accepts requests.
        """
        if not endpoints or self.open_endpoints(endpoints):
            return 0.0
        _, first_s = self.first_open(endpoints)
        limits = [self._rate_per_s(endpoint.start) for endpoint in endpoints]
        if None in limits:
            return first_s
        rate_per_s = max(MIN_RATE_PER_S, sum(limits))
        return first_s + waiting * max(1, len(self._entries)) / rate_per_s

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Set the list of entries with their addresses."""
        self._entries = dict(entries)
        self._requests.update_entries(entries)
        self._ranked.cache_clear()

    def greet(self, entry: str) -> None:
        """Notify an entry that has registered of the limits whose home is here."""
        for start, limit in self._table.limited():
            if self._node in self._announcers(start):
                self._requests.send(entry, LimitNotice(start, limit).encode())

    def forget(self, instance: str) -> None:
        """Drop the limit and the pause of an endpoint that has left."""
        self._table.forget(instance)
        self.cold.forget(instance)
        for known in (self._closed_until, self._pauses):
            for start in [start for start in known if start.instance == instance]:
                del known[start]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket to send on."""
        self._requests.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handle another entry's notice or request, or its answer to one of ours."""
        try:
            message = decode_limit(data)
        except ValueError as exc:
            log.bind(sender=addr, reason=str(exc)).warning("ignored a malformed datagram")
            return
        before = self._table.get(message.start)
        if self._table.adopt(message.start, message.limit):
            self._log_change(message.start, before)
            if self._node in self._announcers(message.start):
                self._announce(message.start)
        if isinstance(message, PermitAnswer):
            self._requests.resolve(message.number, message)
        elif isinstance(message, PermitRequest):
            if message.cold_s > 0 and message.cold_per_s > 0:
                self.cold.record_peer(message.start, message.cold_s, message.cold_per_s)
            permit = self._permit(message.start, min(message.max_wait_s, MAX_WAIT_S))
            limit = self._table.get(message.start)
            answer = PermitAnswer(message.number, message.start, limit, permit)
            self._requests.transport.sendto(answer.encode(), addr)

    async def _request_permit(self, start: EndpointStart, max_wait_s: float) -> Permit:
        for home in self._homes(start):
            if home == self._node:
                return self._permit(start, max_wait_s)
            told = self.cold.told(start)
            request = PermitRequest(0, start, self._table.get(start), max_wait_s, *told)
            answer = await self._requests.ask(home, request.numbered)
            if answer is not None:
                return answer.permit
        if not self._entries:
            return self._permit(start, max_wait_s)
        return Permit(False, NO_HOME_RETRY_S)

    def _permit(self, start: EndpointStart, max_wait_s: float) -> Permit:
        """Permit a request as the endpoint's home or, at a smaller rate, as a substitute."""
        limit_per_s = self._rate_per_s(start)
        if limit_per_s is None:
            return Permit(True, 0.0)
        share, burst = 1.0, HOME_BURST
        first = self._homes(start)[:1]
        if first and first[0] != self._node:
            share, burst = SUBSTITUTE_SHARE, 1
        elif not self.is_registered():
            share, burst = UNREGISTERED_SHARE, 1
        if self.cold.rate_per_s(start) is not None and self.cold.bounds.slack < MAX_BURST:
            burst = 1
        rate_per_s = max(limit_per_s, MIN_RATE_PER_S) * share
        return self._pacer.take(start, rate_per_s, burst, max_wait_s, self._clock())

    def _rate_per_s(self, start: EndpointStart) -> float | None:
        """Return the smaller of an endpoint's named limit and its cold rate, if it has any."""
        rates = (self._table.get(start).limit_per_s, self.cold.rate_per_s(start))
        return min((rate for rate in rates if rate is not None), default=None)

    def _closed_s(self, start: EndpointStart) -> float:
        """Return the seconds until an endpoint may accept another request."""
        pause_s = self.pause_s(start)
        until = self._closed_until.get(start)
        if until is None:
            return pause_s
        left_s = until - self._clock()
        if left_s <= 0 or self._rate_per_s(start) is None:
            del self._closed_until[start]
            return pause_s
        return max(left_s, pause_s)

    def _announce(self, start: EndpointStart) -> None:
        """Notify all entries of a change, through the endpoint's home and first substitute."""
        announcers = self._announcers(start)
        receivers = self._entries if self._node in announcers else announcers
        data = LimitNotice(start, self._table.get(start)).encode()
        for entry in receivers:
            if entry != self._node:
                self._requests.send(entry, data)

    def _log_change(self, start: EndpointStart, before: NamedLimit, request_id: str = "") -> None:
        limit = self._table.get(start)
        log.bind(
            request=request_id,
            endpoint=start.instance,
            limit_per_s=limit.limit_per_s,
            before=before.limit_per_s,
            seen_by=limit.seen_by,
            version=limit.version,
        ).info("an endpoint changed its request limit")

    def _announcers(self, start: EndpointStart) -> list[str]:
        return self._homes(start)[:2]

    def _homes(self, start: EndpointStart) -> list[str]:
        return self._ranked(start.instance, tuple(self._entries))[:MAX_HOMES_ASKED]
