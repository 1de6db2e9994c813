"""Background tasks that keep a gateway in sync with the platform's store."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Protocol

import attrs
from loguru import logger as log

from vanillashore_gateway._platform_store import (
    AnswerTooLargeError,
    Change,
    HistoryCompactedError,
    LeaseExpiredError,
    PlatformStore,
    Snapshot,
    StoreRestoredError,
    StoreUnavailableError,
)

CATCH_UP_S = 1.0  # Callers wait for it.
BATCH_DELAY_S = 0.6  # Before the next watch: changes come in groups, and each call is billed.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8  # Well below the time limit for applying a change.
SNAPSHOT_MARGIN_BYTES = 65_536  # Smaller savings are not worth giving up a call.
REGISTRATION_TTL_S = 8.0  # Two renewals may fail before other entries drop this one.
RENEW_EVERY_S = 2.5
REWRITE_DELAY_S = 0.5  # Between two writes of a registration that is overwritten.
OUTAGE_LOG_EVERY_S = 5.0
# After a restore, what others had written is written again, and all entries have noticed and
# registered. A second snapshot then replaces what was merged from the first.
RESTORE_SETTLE_S = 5.0
LEASE_MARGIN_S = 1.5  # A duty's holder sends no orders this close to its lease's expiry.


class StateListener(Protocol):
    """Receives the state of the platform."""

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state with a full snapshot."""
        ...

    def apply_change(self, change: Change) -> None:
        """Apply one change."""
        ...

    def record_sync(self) -> None:
        """Record that the state is up to date with the store."""
        ...

    def record_restore(self) -> None:
        """Record that the store has been restored; the next snapshot may be older than the state.

        Called before that snapshot.
        """
        ...

    def record_store_contact(self, is_reached: bool, lost_s: float = 0.0) -> None:
        """Record that contact with the store was lost, or regained after ``lost_s``."""
        ...


@attrs.define
class StoreContact:
    """Whether the store is reachable, and since when."""

    is_reached: bool = False
    changed_at: float = 0.0
    failures: int = 0


class Follower:
    """Reads a snapshot of the store and then its changes, across outages and history loss."""

    def __init__(
        self,
        store: PlatformStore,
        listener: StateListener,
        clock: Callable[[], float],
        rng: random.Random,
        watch_s: float,
    ) -> None:
        self._store = store
        self._listener = listener
        self._clock = clock
        self._watch_s = watch_s
        self._rng = rng
        self._revision: int | None = None
        self._last_revision = 0  # Of the newest answer since the last restore.
        self._snapshot_bytes = 0  # What a snapshot would transfer, as far as is known.
        self._outage_logged_at = 0.0
        self._succeeded_at = clock()
        self._settles_at: float | None = None
        self._lock = asyncio.Lock()
        self.contact = StoreContact(changed_at=clock())

    @property
    def revision(self) -> int | None:
        """The store's revision up to which the state is known; ``None`` before a snapshot."""
        return self._revision

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            async with self._lock:
                pause_s = await self._advance()
            if pause_s:
                await asyncio.sleep(pause_s)

    async def catch_up(self) -> bool:
        """Follow up to the store's present revision; return whether that is reached in time.

        Unlike the time of the last answer, this tells whether another entry can know more: also
        after a cut that has not been noticed yet, and in a process that stood still.
        """
        try:
            async with asyncio.timeout(CATCH_UP_S):
                revision = await self._store.read_revision()
                async with self._lock:
                    while not self._includes(revision):
                        await self._advance()
                        if not self.contact.is_reached or self._settles_at is not None:
                            return False
        except (TimeoutError, StoreUnavailableError, StoreRestoredError) as exc:
            log.bind(reason=repr(exc), revision=self._revision).info(
                "could not catch up with the store in time"
            )
            return False
        return True

    def _includes(self, revision: int) -> bool:
        is_settled = self._settles_at is None and self._revision is not None
        return is_settled and self._revision >= revision

    async def _advance(self) -> float:
        """Make the next call; return how long to wait before the one after it."""
        try:
            return BATCH_DELAY_S if await self._step() else 0.0
        except HistoryCompactedError:
            log.bind(revision=self._revision).warning(
                "the store does not have the needed history; reading a new snapshot"
            )
            self._revision = None
        except AnswerTooLargeError as exc:
            log.bind(revision=self._revision, reason=str(exc)).info(
                "the missed changes are larger than a snapshot; reading a new one"
            )
            self._revision = None
        except StoreRestoredError as exc:
            log.bind(revision=self._revision, reason=str(exc)).warning(
                "the store was restored from an older copy; reading a new snapshot"
            )
            self._revision = None
            self._last_revision = 0
            self._settles_at = self._clock() + RESTORE_SETTLE_S
            self._listener.record_restore()
        except StoreUnavailableError as exc:
            self._record_failure(exc)
            return self._retry_delay_s()
        return 0.0

    async def _step(self) -> bool:
        """Read a snapshot, or changes; return whether there were any changes."""
        if self._settles_at is not None and self._clock() >= self._settles_at:
            self._settles_at = None
            self._revision = None
        if self._revision is None:
            snapshot = await self._store.snapshot()
            if snapshot.revision < self._last_revision:
                text = f"revision {snapshot.revision} after {self._last_revision}"
                raise StoreRestoredError(text)
            self._record_success()
            self._listener.apply_snapshot(snapshot)
            self._revision = self._last_revision = snapshot.revision
            self._snapshot_bytes = snapshot.size_bytes
            return False
        # After a failure, the first watch returns at once, to detect a recovered store early.
        wait_s = self._watch_s if self.contact.is_reached else 0.0
        # The history has every version of a key, and a snapshot only the last one.
        max_bytes = self._snapshot_bytes + SNAPSHOT_MARGIN_BYTES
        changes = await self._store.changes(self._revision, wait_s, max_bytes)
        self._record_success()
        for change in changes.items:
            self._listener.apply_change(change)
        # Changes of keys that a gateway does not use also end a watch early.
        had_changes = bool(changes.items) or changes.revision > self._revision
        self._revision = self._last_revision = max(self._revision, changes.revision)
        self._snapshot_bytes = max(self._snapshot_bytes, changes.size_bytes)
        return had_changes

    def _record_success(self) -> None:
        self._listener.record_sync()
        self._succeeded_at = self._clock()
        if self.contact.is_reached:
            return
        lost_s = self._clock() - self.contact.changed_at
        self.contact = StoreContact(True, self._clock())
        log.bind(after_s=round(lost_s, 3), revision=self._revision).info("connected to the store")
        self._listener.record_store_contact(True, lost_s)

    def _record_failure(self, exc: StoreUnavailableError) -> None:
        self.contact.failures += 1
        now, reason = self._clock(), str(exc)
        if not self.contact.is_reached:
            self._log_outage(reason, now)
            return
        self.contact = StoreContact(False, self._succeeded_at if exc.was_silent else now, 1)
        self._outage_logged_at = now
        log.bind(reason=reason, revision=self._revision).warning("lost contact with the store")
        self._listener.record_store_contact(False)

    def _log_outage(self, reason: str, now: float) -> None:
        if now - self._outage_logged_at < OUTAGE_LOG_EVERY_S:
            return
        self._outage_logged_at = now
        log.bind(
            reason=reason,
            revision=self._revision,
            failures=self.contact.failures,
            for_s=round(now - self.contact.changed_at, 3),
        ).warning("still without contact with the store")

    def _retry_delay_s(self) -> float:
        max_delay_s = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** min(self.contact.failures, 6))
        return max_delay_s * (0.5 + self._rng.random() / 2)


@attrs.frozen
class StoredRegistration:
    """The lease under which the store has an entry as of a revision; 0 if it does not have it."""

    lease: int
    revision: int


class EntryRegistration:
    """Registers this entry for the other entries, under a lease."""

    def __init__(
        self,
        store: PlatformStore,
        name: str,
        address: tuple[str, int],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._name = name
        self.address = address
        self._clock = clock
        self._rng = rng
        self._renewed_at = 0.0
        self._wake = asyncio.Event()
        self._written_revision = 0  # The revision of this entry's last write.
        self._stored = StoredRegistration(0, 0)
        self._is_withdrawn = False
        self.lease: int | None = None

    def is_held(self, now: float) -> bool:
        """Whether the store certainly has this entry, under a lease that is still valid."""
        is_valid = now - self._renewed_at < REGISTRATION_TTL_S - LEASE_MARGIN_S
        return self.lease is not None and is_valid and not self._is_overwritten

    @property
    def _is_overwritten(self) -> bool:
        """Whether another write has followed this entry's own.

        One without an answer may be done seconds later, under a lease that was given up.
        """
        stored = self._stored
        is_later = self.lease is not None and stored.revision > self._written_revision
        return is_later and stored.lease != self.lease

    async def run(self) -> None:
        """Register and renew until cancelled, or until the registration is withdrawn."""
        while not self._is_withdrawn:
            self._wake.clear()
            # The lease starts when the store receives the call, so this earlier time is safe.
            sent_at = self._clock()
            try:
                if self.lease is None:
                    lease = await self._store.grant_lease(REGISTRATION_TTL_S)
                    await self._register(lease)
                    self.lease = lease
                    log.bind(lease=lease).info("registered this entry at the store")
                else:
                    if self._is_overwritten:
                        await self._register(self.lease)
                    await self._store.renew(self.lease)
                self._renewed_at = sent_at
            except LeaseExpiredError:
                log.bind(lease=self.lease).warning(
                    "the lease of this entry's registration has expired"
                )
                self.lease = None
                continue
            except StoreRestoredError:
                self._forget()
                continue
            except StoreUnavailableError as exc:
                log.bind(reason=str(exc)).info("this entry's lease was not renewed")
            wait_s = REWRITE_DELAY_S if self._is_overwritten else RENEW_EVERY_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s * (0.8 + 0.4 * self._rng.random())):
                    await self._wake.wait()

    async def _register(self, lease: int) -> None:
        self._written_revision = await self._store.register_entry(self._name, self.address, lease)

    def record_stored(self, stored: StoredRegistration) -> None:
        """Note how the store has this entry, and write it again if that is not as it should be."""
        self._stored = stored
        if self._is_overwritten:
            log.bind(lease=self.lease, stored_lease=stored.lease).warning(
                "this entry is registered under another lease, or not at all; writing it again"
            )
            self._wake.set()

    def record_restore(self) -> None:
        """Register again at once: the lease is gone, or has been given to another entry."""
        self._forget()
        self._wake.set()

    def _forget(self) -> None:
        """Drop what the store has lost, as its numbers are given out again."""
        self.lease = None
        self._stored = StoredRegistration(0, 0)

    async def withdraw(self) -> None:
        """Remove the registration, if the store is reachable."""
        self._is_withdrawn = True
        if self.lease is None:
            return
        try:
            await self._store.withdraw(self.lease)
        except (StoreUnavailableError, StoreRestoredError) as exc:
            log.bind(reason=repr(exc)).info(
                "could not remove this entry's registration; it expires with its lease"
            )
