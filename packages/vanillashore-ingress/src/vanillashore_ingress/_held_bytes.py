"""Counts the bytes that a process holds for its callers, and bounds them for one and for all.

A request is counted from its first byte on. While it arrives it is counted as what it takes, and it
gives way to others if its caller doesn't send in time; once it has arrived, as what serving it may
take, and nothing takes that room away.
"""

import time
from collections import deque
from collections.abc import Callable
from enum import Enum, auto

import attrs

MIB = 1_048_576
# An entry with its metrics loaded takes about 40 MB; the rest is for its tables and connections.
PROCESS_MIB = 56
MIN_MEMORY_SHARE = 0.25  # Of a limit that is too small for the above.
# A body is held once as received and once as sent to an endpoint; the rest is for read buffers of
# connections and fragmentation.
MEMORY_PER_HELD_BYTE = 3
CALLER_SHARE = 0.25  # Of the bound over all callers; above the largest body on 128 MB.
MAX_CALLER_BYTES = 64 * MIB  # A larger body is held if its caller has nothing else held.
BULK_SHARE = 0.5  # Of the bound over all callers, for large bodies that arrive.
UNREAD_SHARE = 0.5  # Of the bound over all callers, for answers that callers don't read.
# Counted for each request that is served: its headers, task and the start of its answer. With 32
# and 128 KiB, 150 callers that read a byte a second took an entry of 128 MB to 138 and 155 MB.
REQUEST_BYTES = 327_680
SPARE_PARTS = 8  # A buffer that grows has an eighth to spare.
ARRIVAL_BYTES = 4_096  # Counted for each request that arrives, besides what was received of it.
# Counted for an answer that is held up: what was read of it and is not in the write buffer yet.
RELAY_BYTES = 262_144
LARGE_BODY_BYTES = 65_536  # Larger bodies are refused rather than delayed by requests in service.
BULK_BYTES = 131_072  # What a request takes beyond this as it arrives is counted as bulk.
MAX_WAITING = 64  # Callers that wait; each may have sent as much as its receive buffer holds.
# A request that arrives may give way once its caller has fallen behind this rate for this long.
MIN_ARRIVAL_RATE = MIB  # Bytes a second.
ARRIVAL_GRACE_S = 0.25  # A lost packet is sent again within this time.


class Admission(Enum):
    """What happens to a request whose head has arrived."""

    ADMITTED = auto()
    WAITS = auto()
    REFUSED = auto()


@attrs.frozen
class HeldLimits:
    """Most bytes held for one caller and for all callers together.

    A request that is served counts as ``request_bytes``, and its body.
    """

    per_caller: int
    total: int
    request_bytes: int = REQUEST_BYTES

    @property
    def bulk(self) -> int:
        """Most bytes of large bodies that have not been received whole."""
        return int(self.total * BULK_SHARE)

    @property
    def unread(self) -> int:
        """Most bytes of answers that are read on although their callers don't read them."""
        return int(self.total * UNREAD_SHARE)


def limits_for_memory(
    memory_mb: float, process_mib: float = PROCESS_MIB, request_bytes: int = REQUEST_BYTES
) -> HeldLimits | None:
    """Return the limits of a process that may use ``memory_mb``; 0 stands for no limit.

    ``process_mib`` is what the process takes without callers.
    """
    if memory_mb <= 0:
        return None
    free_mib = max(memory_mb - process_mib, memory_mb * MIN_MEMORY_SHARE)
    total = int(free_mib * MIB / MEMORY_PER_HELD_BYTE)
    per_caller = min(MAX_CALLER_BYTES, int(total * CALLER_SHARE))
    return HeldLimits(per_caller, total, request_bytes)


def _bulk_of(size: int) -> int:
    return max(0, size - BULK_BYTES)


class HeldBytes:
    """The bytes held for all callers, and the callers that wait for room, in order."""

    def __init__(
        self, limits: HeldLimits | None = None, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.limits = limits
        self.clock = clock
        self.request_bytes = REQUEST_BYTES if limits is None else limits.request_bytes
        self.held = 0
        self.bulk = 0
        self.unread = 0
        self.refused = 0
        self.gave_way = 0
        self.unread_aborts = 0
        self._arriving: dict[CallerAccount, None] = {}
        self._waiting: dict[CallerAccount, None] = {}

    @property
    def waiting(self) -> int:
        """How many callers wait for room."""
        return len(self._waiting)

    def has_room(self, size: int) -> bool:
        """Whether the bound over all callers leaves room for ``size`` more bytes."""
        return self.limits is None or self.held + size <= self.limits.total

    def make_room(self, account: "CallerAccount", size: int, bulk: int = 0) -> bool:
        """Return whether there is room, once requests that are overdue have given way.

        ``bulk`` is the part of ``size`` that is counted as bulk.
        """
        while not self.has_room(size):
            if not self._end_overdue(account, 0):
                return False
        while not self._has_bulk_room(account, bulk):
            if not self._end_overdue(account, 1):
                return False
        return True

    def would_fit_alone(self, size: int) -> bool:
        """Whether there would be room if all requests that arrive gave way."""
        arriving = sum(account.arriving_bytes for account in self._arriving)
        return self.has_room(size - arriving)

    def reclaim(self) -> None:
        """Let requests that are overdue give way to the callers that wait."""
        self._admit_waiting()
        for account in list(self._waiting):
            while account in self._waiting and not account.waits_for_itself:
                lacks_bulk_only = self.has_room(account.needed)
                if not self._end_overdue(account, int(lacks_bulk_only)):
                    return

    def add(self, size: int) -> None:
        """Count bytes, or fewer if ``size`` is negative, and admit callers that wait."""
        self.held += size
        if size < 0:
            self._admit_waiting()

    def add_arriving(self, account: "CallerAccount") -> None:
        """Note that a request of a caller arrives; it is the newest."""
        self._arriving[account] = None

    def remove_arriving(self, account: "CallerAccount") -> None:
        """Note that no request of a caller arrives any more."""
        self._arriving.pop(account, None)

    def wait(self, account: "CallerAccount") -> bool:
        """Let a caller wait for room; return whether it may."""
        if account not in self._waiting and len(self._waiting) >= MAX_WAITING:
            return False
        self._waiting[account] = None
        return True

    def cancel_wait(self, account: "CallerAccount") -> None:
        """Forget a caller that waits."""
        self._waiting.pop(account, None)

    def blocks_new(self) -> bool:
        """Whether a caller waits for the bound over all callers, so that none may overtake it."""
        return any(not account.waits_for_itself for account in self._waiting)

    def _has_bulk_room(self, account: "CallerAccount", bulk: int) -> bool:
        """Whether large bodies leave room; one that arrives alone may take all there is."""
        if self.limits is None or not bulk:
            return True
        return self.bulk + bulk <= self.limits.bulk or self.bulk == account.bulk

    def _end_overdue(self, account: "CallerAccount", min_bulk: int) -> bool:
        """Let the oldest request that is overdue give way to ``account``, if there is one."""
        now = self.clock()
        for other in self._arriving:
            if other.arrives_since + ARRIVAL_GRACE_S > now:
                return False
            if other is not account and other.bulk >= min_bulk and other.due_at <= now:
                self.gave_way += 1
                other.give_way()
                return True
        return False

    def _admit_waiting(self) -> None:
        for account in list(self._waiting):
            if account not in self._waiting or account.waits_for_itself:
                continue
            if not self.has_room(account.needed):
                return
            if self._has_bulk_room(account, account.needed_bulk):
                del self._waiting[account]
                account.admit()


@attrs.define(eq=False)
class _HeldRequest:
    """A request: the bytes counted for it, and those that it still waits for.

    If its head states the length of its body, that is ``reserved`` from the head on.
    """

    size: int = 0
    needed: int = 0
    reserved: int = 0
    is_complete: bool = False


class CallerAccount:
    """The bytes held for one connection of a caller: its requests and its unread answer.

    ``on_room`` is called when requests that waited are admitted, ``on_give_way`` when the request
    that arrives has to be dropped. Example::

        account = CallerAccount(held, on_room, on_give_way)
        if account.begin(length) is Admission.ADMITTED:
            ...  # receive the body
            if account.complete(len(body)) is Admission.ADMITTED:
                ...  # answer the request
                account.finish()
    """

    def __init__(
        self,
        held: HeldBytes,
        on_room: Callable[[], None] = lambda: None,
        on_give_way: Callable[[], None] = lambda: None,
    ) -> None:
        self._held = held
        self._on_room = on_room
        self._on_give_way = on_give_way
        self._requests: deque[_HeldRequest] = deque()
        self._received = 0
        self._unread = 0
        self._is_closed = False
        self.arrives_since = 0.0
        self.due_at = 0.0
        self.bulk = 0
        self.needed = 0
        self.size = 0

    @property
    def is_waiting(self) -> bool:
        """Whether the newest requests wait for room."""
        return self.needed > 0

    @property
    def needed_bulk(self) -> int:
        """Part of the needed bytes that will be counted as bulk."""
        req = self._arriving
        return 0 if req is None else _bulk_of(req.size + req.needed) - self.bulk

    @property
    def waits_for_itself(self) -> bool:
        """Whether the caller's own earlier requests or answers take the room that it needs."""
        limits = self._held.limits
        return limits is not None and self.size > 0 and self.size + self.needed > limits.per_caller

    @property
    def can_serve(self) -> bool:
        """Whether the oldest request is admitted."""
        return bool(self._requests) and not self._requests[0].needed

    @property
    def arriving_bytes(self) -> int:
        """Bytes counted for the request that arrives."""
        return self._arriving.size if self._arriving is not None else 0

    @property
    def _arriving(self) -> _HeldRequest | None:
        is_whole = not self._requests or self._requests[-1].is_complete
        return None if is_whole else self._requests[-1]

    def begin(self, length: int, head_bytes: int = 0) -> Admission:
        """Ask for room for a request with a body of ``length``, 0 if that is not known."""
        req = self._arriving or self._arrive()
        req.reserved = length
        size = ARRIVAL_BYTES + head_bytes + length
        request_bytes = self._held.request_bytes
        may_overtake = not self.is_waiting and not self._held.blocks_new()
        # Nothing begins to arrive that could not be served at present.
        if may_overtake and self._fits(req, request_bytes + length, _bulk_of(size)):
            self._take(req, size)
            return Admission.ADMITTED
        is_alone = len(self._requests) == 1 and not self._unread and not self.is_waiting
        is_large = length > LARGE_BODY_BYTES and is_alone
        if is_large and (_bulk_of(size) or not self._held.would_fit_alone(request_bytes + length)):
            return self._refuse_newest(req)
        return self._wait(req, max(1, size - req.size))

    def grow(self, received: int) -> bool:
        """Return whether there is room for the bytes received so far of the newest request."""
        req = self._arriving
        if self.is_waiting or (req is None and not received):
            return True
        req = req or self._arrive()
        if received > self._received:
            now = self._held.clock()
            sent_s = (received - self._received) / MIN_ARRIVAL_RATE
            self.due_at = min(now + ARRIVAL_GRACE_S, self.due_at + sent_s)
            self._received = received
        if req.reserved or self._take(req, ARRIVAL_BYTES + received + received // SPARE_PARTS):
            return True
        self._held.refused += 1
        return False

    def complete(self, received: int = 0) -> Admission:
        """Ask for room to serve the request that has begun, of which all was ``received``."""
        req = self._arriving or self._arrive()
        self._end_arrival()
        req.is_complete = True
        size = self._held.request_bytes + max(received, req.reserved)
        if not self.is_waiting and (size <= req.size or self._fits(req, size)):
            self._add(size - req.size)
            req.size = size
            return Admission.ADMITTED
        return self._wait(req, max(0, size - req.size - req.needed))

    def drop_newest(self) -> int:
        """Drop the request that has begun and those that wait; return how many were complete.

        While requests wait, one that has begun waits as well.
        """
        self._end_arrival()
        self._held.cancel_wait(self)
        self.needed = 0
        complete = size = 0
        while self._requests and (self._requests[-1].needed or not self._requests[-1].is_complete):
            req = self._requests.pop()
            complete += req.is_complete
            size += req.size
        self._add(-size)
        return complete

    def finish(self) -> None:
        """Release the oldest complete request, which has been answered."""
        if self._requests and self._requests[0].is_complete:
            self._add(-self._requests.popleft().size)

    def set_unread(self, size: int) -> bool:
        """Count the unread part of an answer; return whether more may be read for the caller."""
        if not self._is_closed:
            self._held.unread += size - self._unread
        self._add(size - self._unread)
        self._unread = size
        limits = self._held.limits
        if limits is None:
            return True
        is_within = self.size <= limits.per_caller and self._held.unread <= limits.unread
        return is_within and self._held.has_room(0)

    def admit(self) -> None:
        """Count the requests that waited, for which there is room now."""
        needed, self.needed = self.needed, 0
        for req in self._requests:
            req.size += req.needed
            req.needed = 0
        if self._arriving is not None:
            self._begin_arrival()
            self._set_bulk(_bulk_of(self._arriving.size))
        self._add(needed)
        self._on_room()

    def give_way(self) -> None:
        """Drop the request that arrives, in favour of another one."""
        self._on_give_way()
        self.drop_newest()

    def record_refusal(self) -> None:
        """Count a request that waited for room in vain."""
        self._held.refused += 1

    def record_unread_abort(self) -> None:
        """Count an answer that was aborted because its caller did not read it."""
        self._held.unread_aborts += 1

    def close(self) -> None:
        """Release everything; the connection is closed."""
        self._held.cancel_wait(self)
        self._end_arrival()
        self._held.unread -= self._unread
        self._is_closed, size = True, self.size
        self.size = self.needed = 0
        self._held.add(-size)

    def _arrive(self) -> _HeldRequest:
        req = _HeldRequest()
        self._requests.append(req)
        self._received = 0
        if not self.is_waiting:
            self._begin_arrival()
        return req

    def _begin_arrival(self) -> None:
        self.arrives_since = self._held.clock()
        self.due_at = self.arrives_since + ARRIVAL_GRACE_S
        if not self._is_closed:
            self._held.add_arriving(self)

    def _end_arrival(self) -> None:
        self._set_bulk(0)
        self._held.remove_arriving(self)

    def _set_bulk(self, bulk: int) -> None:
        self._held.bulk += bulk - self.bulk
        self.bulk = bulk

    def _take(self, req: _HeldRequest, size: int) -> bool:
        """Count the request that arrives as ``size`` bytes, if there is room."""
        if size <= req.size:
            return True
        if not self._fits(req, size, _bulk_of(size)):
            return False
        more, req.size = size - req.size, size
        self._set_bulk(_bulk_of(size))
        self._add(more)
        return True

    def _fits(self, req: _HeldRequest, size: int, bulk: int = 0) -> bool:
        """Whether a request may take ``size`` bytes, once those that are overdue have given way.

        ``bulk`` is the part that is counted as bulk.
        """
        more = size - req.size
        limits = self._held.limits
        others = self.size - req.size
        if limits is not None and others and self.size + more > limits.per_caller:
            return False
        return self._held.make_room(self, more, max(0, bulk - self.bulk))

    def _wait(self, req: _HeldRequest, needed: int) -> Admission:
        if not self._held.wait(self):
            return self._refuse_newest(req)
        if not req.is_complete:
            self._end_arrival()  # It is not its caller that holds it up.
        req.needed += needed
        self.needed += needed
        return Admission.WAITS

    def _refuse_newest(self, req: _HeldRequest) -> Admission:
        req.is_complete = False  # To be dropped with those that wait.
        self._held.refused += 1
        return Admission.REFUSED

    def _add(self, size: int) -> None:
        if not self._is_closed and size:
            self.size += size
            self._held.add(size)
