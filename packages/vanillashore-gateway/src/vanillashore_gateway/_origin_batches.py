"""Which origins of streams an entry writes to the store next, and when."""

from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

from vanillashore_gateway._stream_origins import MAX_ORIGINS, StreamOrigin

BATCH_SIZE = 32  # The store's limit for one transaction.
WRITES_PER_S = 150.0  # Of all entries together; an eighth of what the store accepts.
LEASE_S = 30.0
NEW_LEASE_EVERY_S = 10.0
# A lease has 20 s left when an origin is written under it, and a stream may take longer than that.
# Streams of the usual 14 s, with the margin for their callers' return, are over by then.
REWRITE_AFTER_S = 17.5
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8


@attrs.frozen
class UnwrittenOrigin:
    """An origin to write; its caller may return until ``until``.

    ``on_written`` is called once the store has it.
    """

    request_id: str
    origin: StreamOrigin
    until: float
    on_written: Callable[[], None] = lambda: None


@attrs.frozen
class _Written:
    item: UnwrittenOrigin
    at: float


class OriginBatches:
    """Collects origins into batches and paces their writes; one batch is in flight at a time.

    Example::

        batches.add(UnwrittenOrigin("id-1", origin, until=now + 14.0))
        if batches.next_at(now) <= now:
            batch = batches.take(now)
            ...  # Write it under `lease`, or under a new one if that is ``None``.
            batches.record_written(batch, now, entries=68, calls=1)
    """

    def __init__(self) -> None:
        self._waiting: OrderedDict[str, UnwrittenOrigin] = OrderedDict()
        self._written: OrderedDict[str, _Written] = OrderedDict()
        self._next_at = 0.0
        self._failures = 0
        self._lease: tuple[int, float] | None = None
        self._restores = 0
        self._taken_restores = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting

    @property
    def failures(self) -> int:
        """How many writes have failed in a row."""
        return self._failures

    def add(self, item: UnwrittenOrigin) -> None:
        """Write an origin as soon as it is its turn; it replaces an earlier one of the stream."""
        self._waiting[item.request_id] = item
        while len(self._waiting) > MAX_ORIGINS:
            self._waiting.popitem(last=False)

    def next_at(self, now: float) -> float | None:
        """Return when the next batch is due, ``None`` if there is nothing to write."""
        if self._waiting:
            return max(now, self._next_at)
        for written in self._written.values():
            return max(self._next_at, written.at + REWRITE_AFTER_S)
        return None

    def take(self, now: float) -> list[UnwrittenOrigin]:
        """Return the next batch, without streams whose callers no longer return."""
        self._requeue_old(now)
        self._taken_restores = self._restores
        batch: list[UnwrittenOrigin] = []
        while self._waiting and len(batch) < BATCH_SIZE:
            _, item = self._waiting.popitem(last=False)
            if item.until > now:
                batch.append(item)
        return batch

    def lease(self, now: float) -> int | None:
        """Return the lease to write under, ``None`` if a new one is due."""
        if self._lease is None or now - self._lease[1] >= NEW_LEASE_EVERY_S:
            return None
        return self._lease[0]

    def set_lease(self, lease: int, now: float) -> None:
        """Set a lease that was granted; it lasts for `LEASE_S`."""
        self._lease = (lease, now)

    def record_written(
        self, batch: Iterable[UnwrittenOrigin], now: float, entries: int, calls: int
    ) -> None:
        """Record that the store has a batch, after that many writing calls."""
        if self._taken_restores != self._restores:
            # The store may have had it before the restore, or under another entry's lease.
            self.record_failure(batch, now, 0.5)
            return
        self._failures = 0
        self._next_at = now + calls * entries / WRITES_PER_S
        for item in batch:
            self._written[item.request_id] = _Written(item, now)
            self._written.move_to_end(item.request_id)
            item.on_written()
        while len(self._written) > MAX_ORIGINS:
            self._written.popitem(last=False)

    def record_failure(self, batch: Iterable[UnwrittenOrigin], now: float, share: float) -> None:
        """Write a batch again after a growing delay; ``share`` is random, between 0 and 1."""
        delay_s = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** min(self._failures, 6))
        self._next_at = now + delay_s * (0.5 + share / 2)
        self._failures += 1
        self._put_first(batch)

    def record_lease_lost(self) -> None:
        """Get a new lease for the next batch."""
        self._lease = None

    def record_restore(self) -> None:
        """Write everything of the last leases again: the store may have lost it."""
        self._restores += 1
        self._lease = None
        self._put_first([written.item for written in self._written.values()])
        self._written.clear()

    def _requeue_old(self, now: float) -> None:
        while self._written:
            request_id, written = next(iter(self._written.items()))
            if written.at + REWRITE_AFTER_S > now:
                return
            del self._written[request_id]
            if written.item.until > now:
                self._waiting.setdefault(request_id, written.item)

    def _put_first(self, batch: Iterable[UnwrittenOrigin]) -> None:
        """Put origins before those that wait, without replacing newer ones of their streams."""
        older = OrderedDict((item.request_id, item) for item in batch)
        older.update(self._waiting)
        self._waiting = older
        while len(self._waiting) > MAX_ORIGINS:
            self._waiting.popitem(last=False)
