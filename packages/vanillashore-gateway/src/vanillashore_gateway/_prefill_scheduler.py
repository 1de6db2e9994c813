"""Choice of the prefill engine for a prompt, coordinated between entries.

With many entries that each send few prompts, no entry sees the engines' queues. If each chose
alone, engines at three quarters of their capacity would keep some prompts waiting for half a
second. So one entry is the home of a service's prefill engines and tracks all prompts that it has
assigned to them; an entry that cannot reach the home chooses from what it has seen itself.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Collection, Mapping, Sequence
from functools import lru_cache

import attrs
import orjson
from loguru import logger as log

from vanillashore_gateway._domain import Endpoint, Load
from vanillashore_gateway._home_ranking import Address, rank_homes
from vanillashore_gateway._peer_requests import PeerRequests
from vanillashore_gateway._prefill_estimator import PrefillEstimator, PrefillSend, Prompt

MAX_HOMES_ASKED = 2
REQUEST_TIMEOUT_S = 0.02  # Several round trips between data centres, a small part of any target.
MAX_ASSIGNED = 4_096  # Prompts that the home tracks; all entries take seconds to send so many.
RANKING_CACHE_SIZE = 64


@attrs.frozen
class PrefillRequest:
    """Asks the home which engine should prefill a prompt.

    The engine must have the version ``software``, as the decode engine; an empty one allows any.
    """

    number: int
    service: str
    prompt: Prompt
    tried: tuple[str, ...]
    software: str = ""

    def encode(self) -> bytes:
        """Return the datagram."""
        row = ["prefill", self.number, self.service, attrs.astuple(self.prompt), self.tried]
        return orjson.dumps([*row, self.software] if self.software else row)

    def numbered(self, number: int) -> bytes:
        """Return the datagram with another number."""
        return attrs.evolve(self, number=number).encode()


@attrs.frozen
class PrefillAnswer:
    """The home's answer; an empty ``instance`` leaves the prompt to the decode engine."""

    number: int
    instance: str
    expected_s: float

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["prefill place", self.number, self.instance, self.expected_s])


@attrs.frozen
class PrefillEnded:
    """Notifies the home how a prefill ended; ``queued`` counts the engine's requests."""

    number: int
    succeeded: bool
    queued: int | None

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["prefill ended", self.number, self.succeeded, self.queued])


PrefillMessage = PrefillRequest | PrefillAnswer | PrefillEnded


def decode_prefill(data: bytes) -> PrefillMessage:
    """Decode a datagram; raise ValueError if it is none of these messages."""
    match orjson.loads(data):
        case ["prefill", int(number), str(service), [*prompt], [*tried], *rest]:
            software = rest[0] if rest and isinstance(rest[0], str) else ""
            try:
                known = Prompt(*prompt[: len(attrs.fields(Prompt))])
                return PrefillRequest(number, service, known, tuple(map(str, tried)), software)
            except TypeError as exc:
                raise ValueError(f"malformed prompt: {exc}") from exc
        case ["prefill place", int(number), str(instance), float(expected_s) | int(expected_s), *_]:
            return PrefillAnswer(number, instance, float(expected_s))
        case ["prefill ended", int(number), bool(succeeded), int(queued) | (None as queued), *_]:
            return PrefillEnded(number, succeeded, queued)
    raise ValueError("not a prefill message")


@attrs.frozen
class PrefillAssignment:
    """An engine for a prompt.

    ``home`` is the entry that chose the engine, in answer to request ``request_number``. It is
    empty if this entry chose the engine itself.
    """

    send: PrefillSend
    number: int
    home: str = ""
    request_number: int = 0


Engines = Callable[[str], Sequence[Endpoint]]


class PrefillScheduler:
    """One entry's part in choosing prefill engines.

    ``engines`` returns those of a service that this entry can use, and ``closed`` the names of the
    others, which it tells the home.
    """

    PREFIX = b'["prefill'

    def __init__(
        self,
        node: str,
        estimator: PrefillEstimator,
        engines: Engines,
        closed: Callable[[str], Collection[str]],
        clock: Callable[[], float],
    ) -> None:
        self._node = node
        self._estimator = estimator
        self._engines = engines
        self._closed = closed
        self._clock = clock
        self._requests: PeerRequests[tuple[int, PrefillAnswer]] = PeerRequests(
            clock, REQUEST_TIMEOUT_S
        )
        self._assigned: OrderedDict[tuple[Address, int], tuple[int, PrefillSend]] = OrderedDict()
        self._entries: Mapping[str, Address] = {}
        self._ranked = lru_cache(RANKING_CACHE_SIZE)(rank_homes)

    async def assign(
        self, service: str, prompt: Prompt, tried: Collection[str], software: str = ""
    ) -> PrefillAssignment | None:
        """Assign a prompt to a prefill engine; ``None`` leaves it to the decode engine.

        ``software`` is the version of the decode engine, which cannot use another version's cache.
        """
        for home in self._ranked(service, tuple(self._entries))[:MAX_HOMES_ASKED]:
            if home == self._node:
                break
            avoided = (*tried, *self._closed(service))
            request = PrefillRequest(0, service, prompt, avoided, software)
            answered = await self._requests.ask(
                home, lambda n, r=request: attrs.evolve(r, number=n).encode()
            )
            if answered is not None:
                return self._assignment_from(home, service, prompt, answered)
        engines = self._engines_of(service, software)
        send = self._estimator.choose(engines, tried, prompt, self._clock())
        return None if send is None else PrefillAssignment(send, self._estimator.begin(send))

    def end(self, assignment: PrefillAssignment, load: Load | None) -> None:
        """Record a completed prefill, with the load that the engine reported."""
        self._estimator.end(assignment.number, assignment.send, load, self._clock())
        queued = None if load is None else load.running + load.waiting
        self._notify_home(assignment, PrefillEnded(assignment.request_number, True, queued))

    def give_up(self, assignment: PrefillAssignment) -> None:
        """Record a prefill that failed or timed out."""
        self._estimator.give_up(assignment.number, assignment.send, self._clock())
        self._notify_home(assignment, PrefillEnded(assignment.request_number, False, None))

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Set the list of entries with their addresses."""
        self._entries = dict(entries)
        self._requests.update_entries(entries)
        self._ranked.cache_clear()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Set the socket to send on."""
        self._requests.transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle another entry's request, its answer to one of ours, or the end of a prefill."""
        try:
            message = decode_prefill(data)
        except ValueError as exc:
            log.bind(sender=addr, reason=str(exc)).warning("ignored a malformed datagram")
            return
        match message:
            case PrefillRequest():
                self._answer(message, tuple(addr))
            case PrefillAnswer(number):
                self._requests.resolve(number, (number, message))
            case PrefillEnded():
                self._handle_ended(message, tuple(addr))

    def _assignment_from(
        self, home: str, service: str, prompt: Prompt, answered: tuple[int, PrefillAnswer]
    ) -> PrefillAssignment | None:
        request_number, answer = answered
        if not answer.instance:
            return None
        engines = {engine.instance: engine for engine in self._engines(service)}
        engine = engines.get(answer.instance)
        if engine is None:
            # The home has not yet noticed that this engine has left or is failing.
            self._requests.send(home, PrefillEnded(request_number, False, None).encode())
            return None
        send = self._estimator.send_to(engine, prompt, answer.expected_s, self._clock())
        return PrefillAssignment(send, self._estimator.begin(send), home, request_number)

    def _answer(self, request: PrefillRequest, addr: Address) -> None:
        engines = self._engines_of(request.service, request.software)
        send = self._estimator.choose(engines, request.tried, request.prompt, self._clock())
        answer = PrefillAnswer(request.number, "", 0.0)
        if send is not None:
            self._assigned[addr, request.number] = (self._estimator.begin(send), send)
            while len(self._assigned) > MAX_ASSIGNED:
                self._assigned.popitem(last=False)
            answer = PrefillAnswer(request.number, send.endpoint.instance, send.expected_s)
        self._requests.transport.sendto(answer.encode(), addr)

    def _engines_of(self, service: str, software: str) -> list[Endpoint]:
        return [e for e in self._engines(service) if not software or e.software == software]

    def _handle_ended(self, ended: PrefillEnded, addr: Address) -> None:
        number, send = self._assigned.pop((addr, ended.number), (0, None))
        if send is None:
            return
        if ended.succeeded:
            load = None if ended.queued is None else Load(ended.queued, 0, 0)
            self._estimator.end(number, send, load, self._clock())
        else:
            self._estimator.give_up(number, send, self._clock())

    def _notify_home(self, assignment: PrefillAssignment, ended: PrefillEnded) -> None:
        if assignment.home:
            self._requests.send(assignment.home, ended.encode())
