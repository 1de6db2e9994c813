"""Requests that crash the endpoints that run them: counted over all entries, then refused.

Answers a request that comes again and again, through any entry, and takes an endpoint with it each
time. A connection that breaks is no crash yet: an answer may be lost on its way, so the endpoint
has to be away too. Any request under way on a crashed endpoint looks alike, so it takes several
crashes, with no success of the same request in between.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping

import attrs
import orjson
import xxhash
from loguru import logger as log

from vanillashore_gateway._domain import Endpoint
from vanillashore_gateway._homes import Address, homes_of
from vanillashore_gateway._http_client import LinkError, open_connection

CRASHES_TO_REFUSE = 3
SAME_CRASH_S = 1.0  # Requests of one crash end within that time; an endpoint is away for longer.
SUSPECT_S = 120.0  # After its last crash; a caller sends a request again sooner.
KEPT_S = 600.0  # Far longer than a caller goes on sending one request.
MAX_KEPT = 10_000  # Fingerprints; some hundred bytes each.
HOMES_TOLD = 2  # The home and its substitute.
LOOK_AFTER_S = 0.05  # From a break to the look whether the endpoint is away; a crash takes less.


def fingerprint_of(workspace: str, target: bytes, body: bytes) -> str:
    """Return what is the same each time that a caller sends a request."""
    digest = xxhash.xxh3_128(workspace.encode())
    for part in (target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@attrs.define
class _Suspect:
    """Crashes under one request; the last time for each endpoint, and for all."""

    count: int = 0
    seen: dict[str, float] = attrs.field(factory=dict)
    last_at: float = 0.0


class CrashBook:
    """Crashes by request, and the requests that are refused; time is passed in."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._refused: OrderedDict[str, float] = OrderedDict()

    def note(self, fingerprint: str, instance: str, now: float) -> int:
        """Take in that an endpoint crashed under a request; return how many did."""
        suspect = self._suspect(fingerprint, now)
        if now - suspect.seen.get(instance, -1e9) >= SAME_CRASH_S:
            suspect.count += 1
        suspect.seen[instance] = now
        return suspect.count

    def watch_for(self, fingerprint: str, now: float) -> None:
        """Take in that a request is suspected elsewhere."""
        self._suspect(fingerprint, now)

    def note_success(self, fingerprint: str) -> None:
        """Take in that a request was answered."""
        self._suspects.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether an endpoint has crashed under a request, and none has answered it since."""
        return fingerprint in self._suspects

    def _suspect(self, fingerprint: str, now: float) -> _Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now - suspect.last_at > SUSPECT_S:
            suspect = self._suspects[fingerprint] = _Suspect()
        suspect.last_at = now
        self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > MAX_KEPT:
            self._suspects.popitem(last=False)
        return suspect

    def refuse(self, fingerprint: str, now: float) -> None:
        """Refuse a request from now on."""
        self._refused[fingerprint] = now + KEPT_S
        while len(self._refused) > MAX_KEPT:
            self._refused.popitem(last=False)

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Whether a request is refused."""
        return self._refused.get(fingerprint, now) > now


@attrs.frozen
class CrashSeen:
    """An endpoint broke off while it ran a request."""

    fingerprint: str
    instance: str

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["crash", self.fingerprint, self.instance])


@attrs.frozen
class CrashSuspect:
    """Several endpoints crashed under a request; whoever answers it should tell its homes."""

    fingerprint: str

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["crash suspect", self.fingerprint])


@attrs.frozen
class CrashOver:
    """A request that was under way in a crash was answered."""

    fingerprint: str

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["crash over", self.fingerprint])


@attrs.frozen
class RefuseRequest:
    """A request crashes endpoints, and is to be refused by all entries."""

    fingerprint: str

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["crash refuse", self.fingerprint])


CrashMessage = CrashSeen | CrashSuspect | CrashOver | RefuseRequest


def decode_crash(data: bytes) -> CrashMessage:
    """Decode a datagram; raise ValueError if it is none of these."""
    match orjson.loads(data):
        case ["crash", str(fingerprint), str(instance)]:
            return CrashSeen(fingerprint, instance)
        case ["crash suspect", str(fingerprint)]:
            return CrashSuspect(fingerprint)
        case ["crash over", str(fingerprint)]:
            return CrashOver(fingerprint)
        case ["crash refuse", str(fingerprint)]:
            return RefuseRequest(fingerprint)
    raise ValueError("this is no message on crashes")


class Crashes:
    """One entry's part in counting crashes by request.

    The home of a request's fingerprint counts for all entries. It tells them all when a request is
    suspected, so that a success anywhere clears it, and when it is to be refused.
    """

    PREFIX = b'["crash'

    def __init__(
        self,
        node: str,
        clock: Callable[[], float],
        is_away: "Callable[[Endpoint], Awaitable[bool]] | None" = None,
    ) -> None:
        self._node = node
        self._clock = clock
        self._is_away = is_away or _refuses_connections
        self._looks: set[asyncio.Task[None]] = set()
        self._book = CrashBook()
        self._entries: Mapping[str, Address] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def is_refused(self, fingerprint: str) -> bool:
        """Whether a request is refused."""
        return self._book.is_refused(fingerprint, self._clock())

    def record_disconnect(self, fingerprint: str, endpoint: Endpoint, request_id: str) -> None:
        """Look whether an endpoint that broke off while it ran a request has crashed."""
        look = self._look(fingerprint, endpoint, request_id)
        task = asyncio.get_running_loop().create_task(look)
        self._looks.add(task)
        task.add_done_callback(self._looks.discard)

    async def _look(self, fingerprint: str, endpoint: Endpoint, request_id: str) -> None:
        await asyncio.sleep(LOOK_AFTER_S)
        if await self._is_away(endpoint):
            bound = log.bind(request=request_id, endpoint=endpoint.instance)
            bound.bind(fingerprint=fingerprint).info("an endpoint crashed under a request")
            self.note_crash(fingerprint, endpoint.instance)

    def note_crash(self, fingerprint: str, instance: str) -> None:
        """Tell that an endpoint crashed while it ran a request."""
        self._take(CrashSeen(fingerprint, instance))
        self._tell_homes(CrashSeen(fingerprint, instance))

    def note_success(self, fingerprint: str) -> None:
        """Tell that a request was answered, if an endpoint has crashed under it before."""
        if self._book.is_suspect(fingerprint):
            self._book.note_success(fingerprint)
            self._tell_homes(CrashOver(fingerprint))

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Take the list of entries with their addresses."""
        self._entries = dict(entries)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Take over the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take in what another entry tells."""
        try:
            self._take(decode_crash(data))
        except ValueError as exc:
            log.bind(sender=addr, reason=str(exc)).warning("a datagram cannot be read")

    def _take(self, message: CrashMessage) -> None:
        now = self._clock()
        match message:
            case CrashSeen(fingerprint, instance):
                self._judge(fingerprint, self._book.note(fingerprint, instance, now))
            case CrashSuspect(fingerprint):
                self._book.watch_for(fingerprint, now)
            case CrashOver(fingerprint):
                self._book.note_success(fingerprint)
            case RefuseRequest(fingerprint):
                if not self._book.is_refused(fingerprint, now):
                    self._refuse(fingerprint)

    def _judge(self, fingerprint: str, crashes: int) -> None:
        if crashes >= CRASHES_TO_REFUSE:
            if not self.is_refused(fingerprint):
                self._refuse(fingerprint)
            self._send(RefuseRequest(fingerprint), self._entries)
        elif crashes == CRASHES_TO_REFUSE - 1:
            self._send(CrashSuspect(fingerprint), self._entries)

    def _refuse(self, fingerprint: str) -> None:
        self._book.refuse(fingerprint, self._clock())
        log.bind(fingerprint=fingerprint).warning("a request that crashes endpoints is refused")

    def _tell_homes(self, message: CrashMessage) -> None:
        homes = homes_of(message.fingerprint, tuple(self._entries))[:HOMES_TOLD]
        self._send(message, homes)

    def _send(self, message: CrashMessage, names: "Mapping[str, Address] | list[str]") -> None:
        for name in names:
            if name != self._node and self._transport is not None:
                self._transport.sendto(message.encode(), self._entries[name])


async def _refuses_connections(endpoint: Endpoint) -> bool:
    try:
        conn = await open_connection(endpoint.host, endpoint.port)
    except LinkError:
        return True
    conn.abort()
    return False
