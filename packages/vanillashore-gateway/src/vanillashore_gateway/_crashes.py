"""Detects requests that crash endpoints, counting over all entries, and refuses them.

Handles a request that is sent again and again, through any entry, and crashes an endpoint each
time. A broken connection alone does not count as a crash, as only the answer may have been lost:
the endpoint must also refuse connections. All requests that had brought no event on a crashed
endpoint, or the first one just before, are suspect, so one is refused only after several crashes
between which none of the same requests was answered for longer.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping

import attrs
import orjson
import xxhash
from loguru import logger as log

from vanillashore_gateway._crashing_parts import CrashingParts
from vanillashore_gateway._domain import Endpoint
from vanillashore_gateway._home_ranking import Address, rank_homes
from vanillashore_gateway._http_client import LinkError, open_connection

CRASHES_TO_REFUSE = 3
CRASH_DEDUP_S = 1.0  # All reports of one crash arrive in this time; the endpoint stays down longer.
SUSPECT_TTL_S = 120.0  # After the last crash; callers retry sooner.
REFUSAL_TTL_S = 600.0  # Far longer than a caller keeps retrying one request.
MAX_FINGERPRINTS = 10_000  # Some hundred bytes each.
HOMES_NOTIFIED = 2  # The home and its substitute.
HOMES_GREETING = 4  # Of which some may have just started themselves.
DOWN_CHECK_DELAY_S = 0.05  # After a broken connection; a crashing process is down sooner.


def fingerprint_of(
    workspace: str, target: bytes, body: bytes, prompt_parts: tuple[str, ...] = ()
) -> str:
    """Return a digest that is the same each time that a caller sends a request."""
    digest = xxhash.xxh3_128(workspace.encode())
    for part in (target, body, *(part.encode() for part in prompt_parts)):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@attrs.frozen
class LostRun:
    """A run of a request whose connection broke after ``events`` events.

    One that ``is_early``, with no event or with its first one just before, may have been the cause.
    """

    request_id: str
    fingerprint: str
    endpoint: Endpoint
    events: int = 0
    is_early: bool = True
    prompt_parts: tuple[str, ...] = ()
    traits: tuple[str, ...] = ()


@attrs.define
class _Suspect:
    """The crashes during one request, with the last time at each endpoint and overall."""

    count: int = 0
    crashed_at: dict[str, float] = attrs.field(factory=dict)
    last_at: float = 0.0


class CrashTracker:
    """The crashes by request, and refused requests; callers pass in the current time."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._refused: OrderedDict[str, float] = OrderedDict()

    def record(self, fingerprint: str, instance: str, now: float) -> int:
        """Record a crash during a request; return the number of crashes so far."""
        suspect = self._touch_suspect(fingerprint, now)
        if now - suspect.crashed_at.get(instance, -1e9) >= CRASH_DEDUP_S:
            suspect.count += 1
        suspect.crashed_at[instance] = now
        return suspect.count

    def mark_suspect(self, fingerprint: str, now: float) -> None:
        """Mark a request as suspect, as its home has reported."""
        self._touch_suspect(fingerprint, now)

    def record_success(self, fingerprint: str) -> None:
        """Clear a request that was answered."""
        self._suspects.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether a request is suspect: an endpoint crashed, and none has answered it since."""
        return fingerprint in self._suspects

    def _touch_suspect(self, fingerprint: str, now: float) -> _Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now - suspect.last_at > SUSPECT_TTL_S:
            suspect = self._suspects[fingerprint] = _Suspect()
        suspect.last_at = now
        self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > MAX_FINGERPRINTS:
            self._suspects.popitem(last=False)
        return suspect

    def refuse(self, fingerprint: str, now: float, ttl_s: float = REFUSAL_TTL_S) -> None:
        """Refuse a request for ``ttl_s``."""
        self._refused[fingerprint] = now + ttl_s
        while len(self._refused) > MAX_FINGERPRINTS:
            self._refused.popitem(last=False)

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Whether a request is refused."""
        return self._refused.get(fingerprint, now) > now

    def refusals(self, now: float) -> list[tuple[str, float]]:
        """Return the refused requests, and for how much longer each is refused."""
        return [(name, until - now) for name, until in self._refused.items() if until > now]


@attrs.frozen
class CrashReport:
    """Reports that an endpoint crashed while it ran a request."""

    fingerprint: str
    instance: str

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["crash", self.fingerprint, self.instance])


@attrs.frozen
class SuspectNotice:
    """Marks a request as suspect; an entry at which it succeeds then notifies its homes."""

    fingerprint: str

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["crash suspect", self.fingerprint])


@attrs.frozen
class CrashCleared:
    """Reports that a suspect request was answered."""

    fingerprint: str

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["crash over", self.fingerprint])


@attrs.frozen
class RefusalNotice:
    """Notifies entries to refuse a request that crashes endpoints.

    It is refused for ``left_s``, or as long as any other if that is ``None``.
    """

    fingerprint: str
    left_s: float | None = None

    def encode(self) -> bytes:
        """Return the datagram."""
        left = () if self.left_s is None else (self.left_s,)
        return orjson.dumps(["crash refuse", self.fingerprint, *left])


CrashMessage = CrashReport | SuspectNotice | CrashCleared | RefusalNotice


def decode_crash(data: bytes) -> CrashMessage:
    """Decode a datagram; raise ValueError if it is none of these messages."""
    match orjson.loads(data):
        case ["crash", str(fingerprint), str(instance), *_]:
            return CrashReport(fingerprint, instance)
        case ["crash suspect", str(fingerprint), *_]:
            return SuspectNotice(fingerprint)
        case ["crash over", str(fingerprint), *_]:
            return CrashCleared(fingerprint)
        case ["crash refuse", str(fingerprint), float(left_s) | int(left_s), *_]:
            return RefusalNotice(fingerprint, min(float(left_s), REFUSAL_TTL_S))
        case ["crash refuse", str(fingerprint), *_]:
            return RefusalNotice(fingerprint)
    raise ValueError("not a crash message")


class CrashMonitor:
    """One entry's part in counting crashes by request.

    The home of a request's fingerprint counts for all entries. It notifies them all when one more
    crash would get the request refused, so that a success at any entry clears it, and again when
    the request is to be refused.
    """

    PREFIX = b'["crash'

    def __init__(
        self,
        node: str,
        clock: Callable[[], float],
        is_down: "Callable[[Endpoint], Awaitable[bool]] | None" = None,
        parts: CrashingParts | None = None,
    ) -> None:
        self._node = node
        self._clock = clock
        self._is_down = is_down or _refuses_connections
        self._parts = parts
        self._checks: set[asyncio.Task[None]] = set()
        self._tracker = CrashTracker()
        self._entries: Mapping[str, Address] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def is_refused(self, fingerprint: str) -> bool:
        """Whether a request is refused."""
        return self._tracker.is_refused(fingerprint, self._clock())

    def record_disconnect(self, run: LostRun) -> None:
        """Check in the background whether an endpoint that lost a request has crashed."""
        task = asyncio.get_running_loop().create_task(self._check(run))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _check(self, run: LostRun) -> None:
        await asyncio.sleep(DOWN_CHECK_DELAY_S)
        if await self._is_down(run.endpoint):
            bound = log.bind(request=run.request_id, endpoint=run.endpoint.instance)
            bound.bind(
                fingerprint=run.fingerprint,
                events=run.events,
                parts=run.prompt_parts,
                traits=run.traits,
            ).info("an endpoint crashed while it ran a request")
            if not run.is_early:
                return
            endpoint = run.endpoint
            self.record_crash(run.fingerprint, endpoint.instance)
            # What requests share is found among those that had not begun.
            if self._parts is not None and run.traits and not run.events:
                self._parts.record_crash(endpoint.service, endpoint.instance, run.traits)

    def record_crash(self, fingerprint: str, instance: str) -> None:
        """Report to the homes that an endpoint crashed while it ran a request."""
        self._handle(CrashReport(fingerprint, instance))
        self._notify_homes(CrashReport(fingerprint, instance))

    def record_success(self, fingerprint: str) -> None:
        """Clear a request that was answered, and notify the homes, if it is suspect."""
        if self._tracker.is_suspect(fingerprint):
            self._tracker.record_success(fingerprint)
            self._notify_homes(CrashCleared(fingerprint))

    def greet(self, entry: str) -> None:
        """Notify an entry that has registered of the requests whose homes are here."""
        others = tuple(name for name in self._entries if name != entry)
        for fingerprint, left_s in self._tracker.refusals(self._clock()):
            if self._node in rank_homes(fingerprint, others)[:HOMES_GREETING]:
                self._send(RefusalNotice(fingerprint, left_s), [entry])

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Set the list of entries with their addresses."""
        self._entries = dict(entries)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Set the socket to send on."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle a message from another entry."""
        try:
            self._handle(decode_crash(data))
        except ValueError as exc:
            log.bind(sender=addr, reason=str(exc)).warning("ignored a malformed datagram")

    def _handle(self, message: CrashMessage) -> None:
        now = self._clock()
        match message:
            case CrashReport(fingerprint, instance):
                self._apply_crash_count(
                    fingerprint, self._tracker.record(fingerprint, instance, now)
                )
            case SuspectNotice(fingerprint):
                self._tracker.mark_suspect(fingerprint, now)
            case CrashCleared(fingerprint):
                self._tracker.record_success(fingerprint)
            case RefusalNotice(fingerprint, left_s):
                if not self._tracker.is_refused(fingerprint, now):
                    self._refuse(fingerprint, REFUSAL_TTL_S if left_s is None else left_s)

    def _apply_crash_count(self, fingerprint: str, crashes: int) -> None:
        if crashes >= CRASHES_TO_REFUSE:
            if not self.is_refused(fingerprint):
                self._refuse(fingerprint)
            self._send(RefusalNotice(fingerprint), self._entries)
        elif crashes == CRASHES_TO_REFUSE - 1:
            self._send(SuspectNotice(fingerprint), self._entries)

    def _refuse(self, fingerprint: str, ttl_s: float = REFUSAL_TTL_S) -> None:
        self._tracker.refuse(fingerprint, self._clock(), ttl_s)
        log.bind(fingerprint=fingerprint).warning("refusing a request that crashes endpoints")

    def _notify_homes(self, message: CrashMessage) -> None:
        homes = rank_homes(message.fingerprint, tuple(self._entries))[:HOMES_NOTIFIED]
        self._send(message, homes)

    def _send(self, message: CrashMessage, names: "Mapping[str, Address] | list[str]") -> None:
        for name in names:
            is_other = name != self._node and name in self._entries
            if is_other and self._transport is not None:
                self._transport.sendto(message.encode(), self._entries[name])


async def _refuses_connections(endpoint: Endpoint) -> bool:
    try:
        conn = await open_connection(endpoint.host, endpoint.port)
    except LinkError:
        return True
    conn.abort()
    return False
