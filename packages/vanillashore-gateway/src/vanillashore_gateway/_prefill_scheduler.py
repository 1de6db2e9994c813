"""Which prefill engine reads a prompt, agreed on between entries.

Answers many entries that each send few prompts and so know little of the engines' queues: chosen
blindly, engines that work at three quarters of their limit keep some prompts waiting for half a
second. One entry is the home of a service's prefill engines and knows of all prompts that it has
sent there; an entry that does not reach it chooses by what it knows itself.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Collection, Mapping, Sequence
from functools import lru_cache

import attrs
import orjson
from loguru import logger as log

from vanillashore_gateway._domain import Endpoint, Load
from vanillashore_gateway._homes import Address, homes_of
from vanillashore_gateway._peer_asks import PeerAsks
from vanillashore_gateway._prefill_estimator import PrefillEstimator, PrefillSend, Prompt

HOMES_ASKED = 2
ASK_TIMEOUT_S = 0.02  # Several round trips between data centres, a small part of any target.
MAX_GIVEN = 4_096  # Prompts under way that the home keeps; seconds of all entries.
RANKS_KEPT = 64


@attrs.frozen
class PrefillAsk:
    """Asks the home where a prompt should be read."""

    number: int
    service: str
    prompt: Prompt
    tried: tuple[str, ...]

    def encode(self) -> bytes:
        """Return the datagram."""
        row = ["prefill", self.number, self.service, attrs.astuple(self.prompt), self.tried]
        return orjson.dumps(row)

    def numbered(self, number: int) -> bytes:
        """Return the datagram with another number."""
        return attrs.evolve(self, number=number).encode()


@attrs.frozen
class PrefillPlace:
    """The home's answer; no ``instance`` leaves the prompt to the decode engine."""

    number: int
    instance: str
    expected_s: float

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["prefill place", self.number, self.instance, self.expected_s])


@attrs.frozen
class PrefillEnded:
    """Tells the home how a prompt ended; ``queued`` is the engine's own word on its queue."""

    number: int
    is_read: bool
    queued: int | None

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["prefill ended", self.number, self.is_read, self.queued])


PrefillMessage = PrefillAsk | PrefillPlace | PrefillEnded


def decode_prefill(data: bytes) -> PrefillMessage:
    """Decode a datagram; raise ValueError if it is none of these."""
    match orjson.loads(data):
        case ["prefill", int(number), str(service), [*prompt], [*tried]]:
            try:
                return PrefillAsk(number, service, Prompt(*prompt), tuple(map(str, tried)))
            except TypeError as exc:
                raise ValueError(f"this is no prompt: {exc}") from exc
        case ["prefill place", int(number), str(instance), float(expected_s) | int(expected_s)]:
            return PrefillPlace(number, instance, float(expected_s))
        case ["prefill ended", int(number), bool(is_read), int(queued) | (None as queued)]:
            return PrefillEnded(number, is_read, queued)
    raise ValueError("this is no message on prefills")


@attrs.frozen
class PrefillAssignment:
    """A prompt's turn at an engine; ``home`` and ``asked`` are where it was given, if elsewhere."""

    send: PrefillSend
    number: int
    home: str = ""
    asked: int = 0


Engines = Callable[[str], Sequence[Endpoint]]


class PrefillScheduler:
    """One entry's part in choosing prefill engines; ``engines`` returns those of a service."""

    PREFIX = b'["prefill'

    def __init__(
        self, node: str, reading: PrefillEstimator, engines: Engines, clock: Callable[[], float]
    ) -> None:
        self._node = node
        self._prefill_estimator = reading
        self._engines = engines
        self._clock = clock
        self._asks: PeerAsks[tuple[int, PrefillPlace]] = PeerAsks(clock, ASK_TIMEOUT_S)
        self._given: OrderedDict[tuple[Address, int], tuple[int, PrefillSend]] = OrderedDict()
        self._entries: Mapping[str, Address] = {}
        self._ranked = lru_cache(RANKS_KEPT)(homes_of)

    async def assign(
        self, service: str, prompt: Prompt, tried: Collection[str]
    ) -> PrefillAssignment | None:
        """Return a prompt's turn, ``None`` if the decode engine should read it."""
        for home in self._ranked(service, tuple(self._entries))[:HOMES_ASKED]:
            if home == self._node:
                break
            ask = PrefillAsk(0, service, prompt, tuple(tried))
            answered = await self._asks.ask(
                home, lambda n, a=ask: attrs.evolve(a, number=n).encode()
            )
            if answered is not None:
                return self._turn_of(home, service, prompt, answered)
        send = self._prefill_estimator.choose(self._engines(service), tried, prompt, self._clock())
        return (
            None if send is None else PrefillAssignment(send, self._prefill_estimator.begin(send))
        )

    def end(self, turn: PrefillAssignment, load: Load | None) -> None:
        """Count a prompt that was read, with what the engine told."""
        self._prefill_estimator.end(turn.number, turn.send, load, self._clock())
        queued = None if load is None else load.running + load.waiting
        self._tell_end(turn, PrefillEnded(turn.asked, True, queued))

    def give_up(self, turn: PrefillAssignment) -> None:
        """Count a prompt that was not read."""
        self._prefill_estimator.give_up(turn.number, turn.send, self._clock())
        self._tell_end(turn, PrefillEnded(turn.asked, False, None))

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Take the list of entries with their addresses."""
        self._entries = dict(entries)
        self._asks.update_entries(entries)
        self._ranked.cache_clear()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Take over the socket."""
        self._asks.transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Answer as the home, or settle an ask."""
        try:
            message = decode_prefill(data)
        except ValueError as exc:
            log.bind(sender=addr, reason=str(exc)).warning("a datagram cannot be read")
            return
        match message:
            case PrefillAsk():
                self._answer(message, tuple(addr))
            case PrefillPlace(number):
                self._asks.settle(number, (number, message))
            case PrefillEnded():
                self._note_ended(message, tuple(addr))

    def _turn_of(
        self, home: str, service: str, prompt: Prompt, answered: tuple[int, PrefillPlace]
    ) -> PrefillAssignment | None:
        asked, place = answered
        if not place.instance:
            return None
        engines = {engine.instance: engine for engine in self._engines(service)}
        engine = engines.get(place.instance)
        if engine is None:
            # The home does not know yet that this engine is gone or fails.
            self._asks.tell(home, PrefillEnded(asked, False, None).encode())
            return None
        send = self._prefill_estimator.send_to(engine, prompt, place.expected_s, self._clock())
        return PrefillAssignment(send, self._prefill_estimator.begin(send), home, asked)

    def _answer(self, ask: PrefillAsk, addr: Address) -> None:
        send = self._prefill_estimator.choose(
            self._engines(ask.service), ask.tried, ask.prompt, self._clock()
        )
        place = PrefillPlace(ask.number, "", 0.0)
        if send is not None:
            self._given[addr, ask.number] = (self._prefill_estimator.begin(send), send)
            while len(self._given) > MAX_GIVEN:
                self._given.popitem(last=False)
            place = PrefillPlace(ask.number, send.endpoint.instance, send.expected_s)
        self._asks.transport.sendto(place.encode(), addr)

    def _note_ended(self, ended: PrefillEnded, addr: Address) -> None:
        number, send = self._given.pop((addr, ended.number), (0, None))
        if send is None:
            return
        if ended.is_read:
            load = None if ended.queued is None else Load(ended.queued, 0, 0)
            self._prefill_estimator.end(number, send, load, self._clock())
        else:
            self._prefill_estimator.give_up(number, send, self._clock())

    def _tell_end(self, turn: PrefillAssignment, ended: PrefillEnded) -> None:
        if turn.home:
            self._asks.tell(turn.home, ended.encode())
