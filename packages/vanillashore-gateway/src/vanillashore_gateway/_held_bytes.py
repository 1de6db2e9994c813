"""Counts the bytes that an entry holds for its callers, and bounds them for one and for all.

A request is admitted with the bytes that it may need, so that an admitted request can always be
received to its end, and requests that wait for room never block each other.
"""

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
# Counted for each request: its headers, task and the start of its answer. With 32 and 128 KiB, 150
# callers that read a byte a second took an entry of 128 MB to 138 and 155 MB.
REQUEST_BYTES = 327_680
# Counted for an answer that is held up: what was read of it and is not in the write buffer yet.
RELAY_BYTES = 262_144
LARGE_BODY_BYTES = 65_536  # Larger bodies are refused rather than delayed.
GROWTH_BYTES = 65_536  # Step by which a body of undeclared length is admitted.
MAX_WAITING = 64  # Callers that wait; each may have sent as much as one read from its socket.


class Admission(Enum):
    """What happens to a request whose head has arrived."""

    ADMITTED = auto()
    WAITS = auto()
    REFUSED = auto()


@attrs.frozen
class HeldLimits:
    """Most bytes held for one caller and for all callers together."""

    per_caller: int
    total: int


def limits_for_memory(memory_mb: float) -> HeldLimits | None:
    """Return the limits of a process that may use ``memory_mb``; 0 stands for no limit."""
    if memory_mb <= 0:
        return None
    free_mib = max(memory_mb - PROCESS_MIB, memory_mb * MIN_MEMORY_SHARE)
    total = int(free_mib * MIB / MEMORY_PER_HELD_BYTE)
    return HeldLimits(int(total * CALLER_SHARE), total)


class HeldBytes:
    """The bytes held for all callers, and the callers that wait for room, in order."""

    def __init__(self, limits: HeldLimits | None = None) -> None:
        self.limits = limits
        self.held = 0
        self.refused = 0
        self.unread_aborts = 0
        self._waiting: dict[CallerAccount, None] = {}

    @property
    def waiting(self) -> int:
        """How many callers wait for room."""
        return len(self._waiting)

    def has_room(self, size: int) -> bool:
        """Whether the bound over all callers leaves room for ``size`` more bytes."""
        return self.limits is None or self.held + size <= self.limits.total

    def add(self, size: int) -> None:
        """Count bytes, or fewer if ``size`` is negative, and admit callers that wait."""
        self.held += size
        if size < 0:
            self._admit_waiting()

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

    def _admit_waiting(self) -> None:
        for account in list(self._waiting):
            if account not in self._waiting or account.waits_for_itself:
                continue
            if not self.has_room(account.needed):
                return
            del self._waiting[account]
            account.admit()


class CallerAccount:
    """The bytes held for one connection of a caller: its requests and its unread answer.

    ``on_room`` is called when requests that waited are admitted. Example::

        account = CallerAccount(held, on_room)
        if account.begin(length) is Admission.ADMITTED:
            ...  # receive the body
            account.complete()
            ...  # answer the request
            account.finish()
    """

    def __init__(self, held: HeldBytes, on_room: Callable[[], None] = lambda: None) -> None:
        self._held = held
        self._on_room = on_room
        self._complete: deque[int] = deque()
        self._partial = 0
        self._unread = 0
        self._is_closed = False
        self._waiting_requests = 0
        self.needed = 0
        self.size = 0

    @property
    def is_waiting(self) -> bool:
        """Whether the newest requests wait for room."""
        return self._waiting_requests > 0

    @property
    def waits_for_itself(self) -> bool:
        """Whether the caller's own earlier requests or answers take the room that it needs."""
        limits = self._held.limits
        return limits is not None and self.size > 0 and self.size + self.needed > limits.per_caller

    @property
    def can_serve(self) -> bool:
        """Whether the oldest complete request is admitted."""
        partial = 1 if self._partial else 0
        return len(self._complete) + partial > self._waiting_requests

    def begin(self, length: int) -> Admission:
        """Ask for room for a request with a body of ``length``, 0 if that is not known."""
        size = REQUEST_BYTES + length
        self._partial = size
        if not self.is_waiting and self._fits(size) and not self._held.blocks_new():
            self._add(size)
            return Admission.ADMITTED
        is_large = length > LARGE_BODY_BYTES and not self.size and not self.is_waiting
        if is_large or not self._held.wait(self):
            self._partial = 0
            self._held.refused += 1
            return Admission.REFUSED
        self.needed += size
        self._waiting_requests += 1
        return Admission.WAITS

    def grow(self, body_bytes: int) -> bool:
        """Return whether there is room for the ``body_bytes`` received so far of a request."""
        if self.is_waiting or REQUEST_BYTES + body_bytes <= self._partial:
            return True
        size = REQUEST_BYTES + body_bytes + GROWTH_BYTES - self._partial
        if not self._fits(size):
            self._held.refused += 1
            return False
        self._add(size)
        self._partial += size
        return True

    def complete(self) -> None:
        """Note that the request that has begun was received to its end."""
        self._complete.append(self._partial)
        self._partial = 0

    def drop_newest(self) -> int:
        """Drop the request that has begun and those that wait; return how many were complete.

        While requests wait, one that has begun waits as well.
        """
        partial, self._partial = self._partial, 0
        if not self.is_waiting:
            if partial:
                self._add(-partial)
            return 0
        count, self._waiting_requests, self.needed = self._waiting_requests, 0, 0
        self._held.cancel_wait(self)
        if partial:
            count -= 1
        for _ in range(count):
            self._complete.pop()
        return count

    def finish(self) -> None:
        """Release the oldest complete request, which has been answered."""
        if self._complete:
            self._add(-self._complete.popleft())

    def set_unread(self, size: int) -> bool:
        """Count the unread part of an answer; return whether more may be read for the caller."""
        self._add(size - self._unread)
        self._unread = size
        limits = self._held.limits
        return limits is None or (self._held.has_room(0) and self.size <= limits.per_caller)

    def admit(self) -> None:
        """Count the requests that waited, for which there is room now."""
        size, self.needed, self._waiting_requests = self.needed, 0, 0
        self._add(size)
        self._on_room()

    def record_refusal(self) -> None:
        """Count a request that waited for room in vain."""
        self._held.refused += 1

    def record_unread_abort(self) -> None:
        """Count an answer that was aborted because its caller did not read it."""
        self._held.unread_aborts += 1

    def close(self) -> None:
        """Release everything; the connection is closed."""
        self._held.cancel_wait(self)
        self._is_closed, size = True, self.size
        self.size = 0
        self._held.add(-size)

    def _fits(self, size: int) -> bool:
        limits = self._held.limits
        if limits is None:
            return True
        is_within = not self.size or self.size + size <= limits.per_caller
        return is_within and self._held.has_room(size)

    def _add(self, size: int) -> None:
        if not self._is_closed and size:
            self.size += size
            self._held.add(size)
