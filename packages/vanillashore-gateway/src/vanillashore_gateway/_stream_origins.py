"""Which service and software version began a stream, known beyond the entry that forwards it.

A caller may take a stream up again at any entry, also when the one that began it was killed, and
the stream must go on at the version that began it. So the entry that begins a stream notifies two
others, chosen by the request's id, before the first event leaves; an entry at which a caller takes
a stream up asks those that may have been notified.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from functools import lru_cache
from typing import Any

import attrs
import orjson
from loguru import logger as log

from vanillashore_gateway._home_ranking import Address, rank_homes
from vanillashore_gateway._peer_requests import PeerRequests

# A notice travels while the prompt is prefilled, so a late answer seldom delays the first event.
TIMEOUT_S = 0.15
# A query whose answer is lost or late costs the caller its stream, and callers wait for seconds.
QUERY_TIMEOUT_S = 0.5
KEEPERS = 2
# Keepers are the first that respond of these; the list of entries may have changed in between.
MAX_KEEPERS_ASKED = 4
RETURN_MARGIN_S = 3.0  # Beyond the time that the caller has stated.
MAX_KEPT_S = 120.0
MAX_ORIGINS = 20_000  # Some hundred bytes each.
RANKING_CACHE_SIZE = 1_024


@attrs.frozen
class StreamOrigin:
    """The service, and the version of its software, that made the first event of a stream."""

    service: str
    software: str


@attrs.frozen
class OriginNotice:
    """Asks to keep the origin of a stream for ``left_s``."""

    number: int
    request_id: str
    origin: StreamOrigin
    left_s: float

    def encode(self) -> bytes:
        """Return the datagram."""
        origin = attrs.astuple(self.origin)
        return orjson.dumps(["origin", self.number, self.request_id, origin, self.left_s])


@attrs.frozen
class OriginQuery:
    """Asks for the origin of a stream."""

    number: int
    request_id: str

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["origin ask", self.number, self.request_id])


@attrs.frozen
class OriginAnswer:
    """The answer to the notice or query with the same number; ``None`` if it is not known."""

    number: int
    origin: StreamOrigin | None

    def encode(self) -> bytes:
        """Return the datagram."""
        origin = None if self.origin is None else attrs.astuple(self.origin)
        return orjson.dumps(["origin known", self.number, origin])


OriginMessage = OriginNotice | OriginQuery | OriginAnswer


def decode_origin(data: bytes) -> OriginMessage:
    """Decode a datagram; raise ValueError if it is none of these messages."""
    match orjson.loads(data):
        case ["origin", int(n), str(name), [str(service), str(software), *_], left, *_] if (
            isinstance(left, float | int)
        ):
            return OriginNotice(n, name, StreamOrigin(service, software), float(left))
        case ["origin ask", int(number), str(request_id), *_]:
            return OriginQuery(number, request_id)
        case ["origin known", int(number), None, *_]:
            return OriginAnswer(number, None)
        case ["origin known", int(number), [str(service), str(software), *_], *_]:
            return OriginAnswer(number, StreamOrigin(service, software))
    raise ValueError("not a message about the origin of a stream")


@attrs.frozen
class _Kept:
    """An origin that is kept; ``is_own`` if this entry began the stream."""

    origin: StreamOrigin
    expires_at: float
    is_own: bool


@attrs.frozen
class OriginLookup:
    """What is known of a stream; ``was_answered`` if any entry that was asked has answered."""

    origin: StreamOrigin | None
    was_answered: bool = True


class StreamOrigins(asyncio.DatagramProtocol):
    """One entry's part in keeping the origins of streams.

    Example::

        notified = origins.begin("id-1", StreamOrigin("llm", "v1.2"), left_s=14.0)
        ...
        await notified  # before the first event leaves
        ...
        lookup = await origins.find("id-1")  # at any entry
    """

    PREFIX = b'["origin'

    def __init__(self, node: str, clock: Callable[[], float]) -> None:
        self._node = node
        self._clock = clock
        self._requests: PeerRequests[OriginAnswer] = PeerRequests(clock, TIMEOUT_S)
        self._origins: OrderedDict[str, _Kept] = OrderedDict()
        self._entries: Mapping[str, Address] = {}
        self._ranked = lru_cache(RANKING_CACHE_SIZE)(rank_homes)
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._origins)

    def begin(self, request_id: str, origin: StreamOrigin, left_s: float) -> "asyncio.Future[None]":
        """Keep the origin of a stream, and notify its keepers.

        The future is done once one of them has confirmed the notice, or none has in time. The
        caller of the stream waits ``left_s`` at the most.
        """
        left_s = min(MAX_KEPT_S, max(0.0, left_s) + RETURN_MARGIN_S)
        self.keep(request_id, origin, left_s, is_own=True)
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        keepers = [e for e in self._homes(request_id) if not self._requests.is_unresponsive(e)]
        pending = len(keepers[:KEEPERS])
        if not pending:
            done.set_result(None)

        async def notify(keeper: str) -> None:
            nonlocal pending
            answer = await self._requests.ask(
                keeper, lambda number: OriginNotice(number, request_id, origin, left_s).encode()
            )
            pending -= 1
            if not done.done() and (answer is not None or not pending):
                done.set_result(None)

        for keeper in keepers[:KEEPERS]:
            task = asyncio.get_running_loop().create_task(notify(keeper))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return done

    async def find(self, request_id: str) -> OriginLookup:
        """Return which version began a stream, from this entry or from its keepers."""
        kept = self._get(request_id)
        if kept is not None:
            return OriginLookup(kept.origin)
        asked = [asyncio.ensure_future(self._ask(e, request_id)) for e in self._homes(request_id)]
        was_answered = False
        try:
            for next_answer in asyncio.as_completed(asked):
                answer = await next_answer
                was_answered = was_answered or answer is not None
                if answer is not None and answer.origin is not None:
                    return OriginLookup(answer.origin)
        finally:
            for task in asked:
                task.cancel()
        return OriginLookup(None, was_answered)

    def keep(
        self, request_id: str, origin: StreamOrigin, left_s: float, is_own: bool = False
    ) -> None:
        """Keep an origin for ``left_s``."""
        now = self._clock()
        self._origins[request_id] = _Kept(origin, now + left_s, is_own)
        self._origins.move_to_end(request_id)
        while self._origins:
            oldest = next(iter(self._origins.values()))
            if oldest.expires_at > now and len(self._origins) <= MAX_ORIGINS:
                break
            self._origins.popitem(last=False)

    def own(self) -> Iterator[tuple[str, StreamOrigin, float]]:
        """Return the streams at this entry that may be in progress, and until when."""
        now = self._clock()
        for request_id, kept in self._origins.items():
            if kept.is_own and kept.expires_at > now:
                yield request_id, kept.origin, kept.expires_at

    def get(self, request_id: str) -> StreamOrigin | None:
        """Return an origin that this entry keeps."""
        kept = self._get(request_id)
        return None if kept is None else kept.origin

    def greet(self, entry: str) -> None:
        """Notify an entry that has registered of the origins that it should keep."""
        now = self._clock()
        for request_id, kept in self._origins.items():
            left_s = kept.expires_at - now
            if kept.is_own and left_s > 0 and entry in self._homes(request_id):
                notice = OriginNotice(0, request_id, kept.origin, left_s)
                self._requests.send(entry, notice.encode())

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Set the list of entries with their addresses."""
        self._entries = dict(entries)
        self._requests.update_entries(entries)
        self._ranked.cache_clear()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket to send on."""
        self._requests.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handle another entry's notice or query, or its answer to one of ours."""
        try:
            message = decode_origin(data)
        except ValueError as exc:
            log.bind(sender=addr, reason=str(exc)).warning("ignored a malformed datagram")
            return
        match message:
            case OriginNotice(number, request_id, origin, left_s):
                self.keep(request_id, origin, min(MAX_KEPT_S, left_s))
                self._answer(number, origin, addr)
            case OriginQuery(number, request_id):
                kept = self._get(request_id)
                self._answer(number, None if kept is None else kept.origin, addr)
            case OriginAnswer(number):
                self._requests.resolve(number, message)

    def _answer(self, number: int, origin: StreamOrigin | None, addr: Any) -> None:
        self._requests.transport.sendto(OriginAnswer(number, origin).encode(), addr)

    async def _ask(self, entry: str, request_id: str) -> OriginAnswer | None:
        return await self._requests.ask(
            entry, lambda number: OriginQuery(number, request_id).encode(), QUERY_TIMEOUT_S
        )

    def _get(self, request_id: str) -> _Kept | None:
        kept = self._origins.get(request_id)
        return kept if kept is not None and kept.expires_at > self._clock() else None

    def _homes(self, request_id: str) -> list[str]:
        ranked = self._ranked(request_id, tuple(self._entries))
        return [entry for entry in ranked if entry != self._node][:MAX_KEEPERS_ASKED]
