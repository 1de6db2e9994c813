"""Requests for decode slots, from the entries to the home that schedules them.

The home confirms a request at once: with a slot, a refusal, or a place in its queue. A waiting
entry asks again now and then, so that neither a lost answer nor a home that is gone keeps it
waiting. Without a home, it reserves a slot by itself, from what it knows of the engines.
"""

import asyncio
import itertools
import random
from collections.abc import Callable, Mapping, Sequence
from functools import lru_cache
from typing import Any

import attrs
import orjson
from loguru import logger as log

from vanillashore_gateway._domain import Endpoint, Service, SlotTicket
from vanillashore_gateway._home_ranking import Address, rank_homes
from vanillashore_gateway._slot_schedule import Decision, Grant, SlotAsk, SlotSchedule, Turndown

CONFIRM_TIMEOUT_S = 0.04  # Some round trips between data centres, a small part of any target.
MAX_UNCONFIRMED = 2
ASK_AGAIN_S = 0.3  # While waiting; a lost grant costs this much at most.
UNRESPONSIVE_S = 1.0  # A home that did not answer is not asked for this time.
ASSIGN_EVERY_S = 0.05  # While generations wait; ends of others are handled as they arrive.
RANKING_CACHE_SIZE = 64

Engines = Callable[[str], Sequence[Endpoint]]


@attrs.define(eq=False)
class _Pending:
    """A request of this entry; ``is_confirmed`` once the home has answered anything."""

    decided: "asyncio.Future[Decision]"
    confirmed: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.define(eq=False)
class _Home:
    """A service's schedule at this entry."""

    schedule: SlotSchedule
    service: Service
    timer: asyncio.TimerHandle | None = None


class SlotRequests:
    """One entry's part in scheduling decode slots: as one that asks, and as a home.

    ``engines`` returns the decode engines of a service that this entry can use.

    Example::

        decision = await requests.ask(service, slot_ask)
        if isinstance(decision, SlotTicket):
            ...
            requests.end(decision)
    """

    PREFIX = b'["slot'

    def __init__(
        self, node: str, engines: Engines, clock: Callable[[], float], rng: random.Random
    ) -> None:
        self._node = node
        self._engines = engines
        self._clock = clock
        self._rng = rng
        # Numbers of an earlier start of this entry must not be taken for those of this one.
        self._numbers = itertools.count(rng.getrandbits(40))
        self._pending: dict[int, _Pending] = {}
        self._homes: dict[str, _Home] = {}
        self._entries: Mapping[str, Address] = {}
        self._unresponsive_until: dict[str, float] = {}
        self._ranked = lru_cache(RANKING_CACHE_SIZE)(rank_homes)
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def waiting(self) -> int:
        """How many generations wait in the queues of this home."""
        return sum(home.schedule.waiting for home in self._homes.values())

    @property
    def granted(self) -> int:
        """How many slots this home has granted that have not ended."""
        return sum(home.schedule.granted for home in self._homes.values())

    async def ask(self, service: Service, ask: SlotAsk) -> SlotTicket | Turndown | None:
        """Return the home's decision, ``None`` if it does not answer."""
        home = self._home_of(service.name)
        number = next(self._numbers)
        if home is None or self._clock() < self._unresponsive_until.get(home, 0.0):
            return None
        pending = _Pending(asyncio.get_running_loop().create_future())
        self._pending[number] = pending
        decision: Decision | None = None
        try:
            decision = await self._await_decision(home, number, service, ask, pending)
        finally:
            del self._pending[number]
            if decision is None:
                self._notify_end(home, service.name, number)
        if decision is None:
            self._unresponsive_until[home] = self._clock() + UNRESPONSIVE_S
            log.bind(home=home, service=service.name).info("the home of the slots did not answer")
            return None
        if isinstance(decision, Turndown):
            return decision
        return SlotTicket(service.name, home, number, decision.instance)

    def end(self, ticket: SlotTicket) -> None:
        """Notify the home that a generation has ended."""
        self._notify_end(ticket.home, ticket.service, ticket.number)

    def fail(self, ticket: SlotTicket, is_full: bool) -> None:
        """Notify the home that a slot could not be used."""
        if ticket.home == self._node:
            self._fail(ticket.service, (self._node, ticket.number), is_full)
        else:
            self._send(ticket.home, ["slot fail", ticket.service, ticket.number, is_full])

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Set the list of entries with their addresses."""
        self._entries = dict(entries)
        self._ranked.cache_clear()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Set the socket to send on."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handle a request of another entry, or the answer to one of ours."""
        address = tuple(addr)
        try:
            row = orjson.loads(data)
        except orjson.JSONDecodeError as exc:
            log.bind(sender=addr, reason=str(exc)).warning("ignored a malformed datagram")
            return
        match row:
            case ["slot ask", str(service), int(number), int(kv_tokens), [*fields], *_]:
                self._answer(address, Service(service, kv_tokens), number, fields)
            case ["slot end", str(service), int(number), *_]:
                self._end(service, (address, number))
            case ["slot fail", str(service), int(number), bool(is_full), *_]:
                self._fail(service, (address, number), is_full)
            case ["slot queued", int(number), *_]:
                if number in self._pending:
                    self._pending[number].confirmed.set()
            case ["slot grant", int(number), str(instance), *_]:
                self._resolve(number, Grant(instance))
            case ["slot none", int(number), float(retry_s) | int(retry_s), *_]:
                self._resolve(number, Turndown(float(retry_s)))
            case _:
                log.bind(sender=addr).warning("ignored a malformed datagram")

    async def _await_decision(
        self, home: str, number: int, service: Service, ask: SlotAsk, pending: _Pending
    ) -> Decision | None:
        unconfirmed = 0
        began = self._clock()
        while unconfirmed < MAX_UNCONFIRMED:
            pending.confirmed.clear()
            self._send_ask(home, number, service, ask, pending)
            confirmed = asyncio.ensure_future(pending.confirmed.wait())
            try:
                await asyncio.wait(
                    (pending.decided, confirmed),
                    timeout=CONFIRM_TIMEOUT_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                confirmed.cancel()
            if pending.decided.done():
                return pending.decided.result()
            if not pending.confirmed.is_set():
                unconfirmed += 1
                continue
            unconfirmed = 0
            await asyncio.wait((pending.decided,), timeout=ASK_AGAIN_S)
            if pending.decided.done():
                return pending.decided.result()
            if self._clock() - began > ask.wait_s + ASK_AGAIN_S:
                return None
        return None

    def _send_ask(
        self, home: str, number: int, service: Service, ask: SlotAsk, pending: _Pending
    ) -> None:
        if home == self._node:
            pending.confirmed.set()
            decide = self._decider(pending)
            self._schedule(service, (self._node, number), ask, decide)
            return
        row = attrs.astuple(ask)
        self._send(home, ["slot ask", service.name, number, service.kv_tokens, row])

    def _decider(self, pending: _Pending) -> Callable[[Decision], None]:
        def decide(decision: Decision) -> None:
            if not pending.decided.done():
                pending.decided.set_result(decision)

        return decide

    def _answer(self, address: Address, service: Service, number: int, fields: list[Any]) -> None:
        try:
            ask = _decode_ask(fields)
        except (TypeError, ValueError) as exc:
            log.bind(sender=address, reason=str(exc)).warning("ignored a malformed datagram")
            return
        decided = False

        def decide(decision: Decision) -> None:
            nonlocal decided
            decided = True
            row = (
                ["slot grant", number, decision.instance]
                if isinstance(decision, Grant)
                else ["slot none", number, decision.retry_s]
            )
            self._send_to(address, row)

        self._schedule(service, (address, number), ask, decide)
        if not decided:
            self._send_to(address, ["slot queued", number])

    def _schedule(
        self, service: Service, key: Any, ask: SlotAsk, decide: Callable[[Decision], None]
    ) -> None:
        now = self._clock()
        home = self._homes.get(service.name)
        if home is None:
            home = _Home(SlotSchedule(self._rng), service)
            # Without an engine to use, a new schedule turns the generation down at once.
            if self._engines(service.name):
                self._homes[service.name] = home
        home.service = service
        self._update(home)
        home.schedule.ask(key, ask, decide, now)
        self._assign_later(home)

    def _update(self, home: _Home) -> None:
        home.schedule.update_engines(self._engines(home.service.name), home.service.kv_tokens)

    def _assign_later(self, home: _Home) -> None:
        if home.timer is None and home.schedule.waiting:
            loop = asyncio.get_running_loop()
            home.timer = loop.call_later(ASSIGN_EVERY_S, self._assign, home)

    def _assign(self, home: _Home) -> None:
        home.timer = None
        self._update(home)
        home.schedule.assign(self._clock())
        self._assign_later(home)

    def _end(self, service: str, key: Any) -> None:
        home = self._homes.get(service)
        if home is not None:
            now = self._clock()
            home.schedule.end(key, now)
            home.schedule.assign(now)

    def _fail(self, service: str, key: Any, is_full: bool) -> None:
        home = self._homes.get(service)
        if home is not None:
            home.schedule.fail(key, is_full, self._clock())

    def _resolve(self, number: int, decision: Decision) -> None:
        pending = self._pending.get(number)
        if pending is not None and not pending.decided.done():
            pending.decided.set_result(decision)

    def _notify_end(self, home: str, service: str, number: int) -> None:
        if home == self._node:
            self._end(service, (self._node, number))
        else:
            self._send(home, ["slot end", service, number])

    def _home_of(self, service: str) -> str | None:
        ranked = self._ranked(f"slots of {service}", tuple(self._entries))
        return ranked[0] if ranked else None

    def _send(self, entry: str, row: list[Any]) -> None:
        if entry in self._entries:
            self._send_to(self._entries[entry], row)

    def _send_to(self, address: Address, row: list[Any]) -> None:
        if self._transport is not None:
            self._transport.sendto(orjson.dumps(row), address)


def _decode_ask(fields: list[Any]) -> SlotAsk:
    """Decode the fields of a request; raise TypeError or ValueError if they are malformed."""
    known = fields[: len(attrs.fields(SlotAsk))]
    rank, tokens, output_tokens, *times, data_centre, workspace, repeat_key, avoided, again = known
    on_time_s, wait_s, left_s = map(float, times)
    return SlotAsk(
        int(rank),
        max(1, int(tokens)),
        max(0, int(output_tokens)),
        on_time_s,
        wait_s,
        left_s,
        str(data_centre),
        str(workspace),
        str(repeat_key),
        tuple(map(str, avoided)),
        bool(again),
    )
