"""Tasks that keep a gateway's view of the platform current."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

import attrs
from loguru import logger as log

from vanillashore_gateway._platform_store import (
    Change,
    HistoryCompactedError,
    LeaseExpiredError,
    PlatformStore,
    Snapshot,
    StoreUnavailableError,
)

GATHER_S = 0.6  # Between watches after a change: changes come in groups, and each call is paid.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8  # Well under the time in which a change has to be in force.
ANNOUNCE_TTL_S = 8.0  # Two renewals may fail before other entries count one less.
RENEW_EVERY_S = 2.5
LEASE_MARGIN_S = 1.5  # A lease that is this near to its end gives no right to order.


class View(Protocol):
    """What takes in the state of the platform."""

    def take_snapshot(self, snapshot: Snapshot) -> None:
        """Take everything at once."""
        ...

    def take_change(self, change: Change) -> None:
        """Take one change."""
        ...

    def note_read(self) -> None:
        """Note that the store has just told all that is new."""
        ...

    def note_store(self, is_reached: bool) -> None:
        """Note that contact with the store was lost or regained."""
        ...


@attrs.define
class Contact:
    """Whether the store answers, and since when it does not."""

    is_reached: bool = False
    changed_at: float = 0.0
    failures: int = 0


class Follower:
    """Reads the store once and then follows its changes, over outages and lost history."""

    def __init__(
        self,
        store: PlatformStore,
        view: View,
        clock: Callable[[], float],
        rng: random.Random,
        watch_s: float,
    ) -> None:
        self._store = store
        self._view = view
        self._clock = clock
        self._watch_s = watch_s
        self._rng = rng
        self._revision: int | None = None
        self.contact = Contact(changed_at=clock())

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryCompactedError:
                log.bind(revision=self._revision).warning("the store has dropped its history")
                self._revision = None
            except StoreUnavailableError as exc:
                self._note_failure(str(exc))
                await asyncio.sleep(self._pause_s())

    async def _step(self) -> None:
        if self._revision is None:
            snapshot = await self._store.snapshot()
            self._note_success()
            self._view.take_snapshot(snapshot)
            self._revision = snapshot.revision
            return
        # After a failure the first watch returns at once, to tell soon whether the store is back.
        wait_s = self._watch_s if self.contact.is_reached else 0.0
        changes = await self._store.changes(self._revision, wait_s)
        self._note_success()
        for change in changes.items:
            self._view.take_change(change)
        self._revision = max(self._revision, changes.revision)
        if changes.items:
            await asyncio.sleep(GATHER_S)

    def _note_success(self) -> None:
        self._view.note_read()
        if self.contact.is_reached:
            return
        lost_s = self._clock() - self.contact.changed_at
        self.contact = Contact(True, self._clock())
        log.bind(after_s=round(lost_s, 3), revision=self._revision).info("the store is reached")
        self._view.note_store(True)

    def _note_failure(self, reason: str) -> None:
        self.contact.failures += 1
        if not self.contact.is_reached:
            return
        self.contact = Contact(False, self._clock(), 1)
        log.bind(reason=reason, revision=self._revision).warning("the store is lost")
        self._view.note_store(False)

    def _pause_s(self) -> float:
        longest = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** min(self.contact.failures, 6))
        return longest * (0.5 + self._rng.random() / 2)


class Announcement:
    """Keeps this entry process known to the others, under a lease."""

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
        self.lease: int | None = None

    def is_held(self, now: float) -> bool:
        """Whether the lease surely lasts; it may end on its own at the store otherwise."""
        return self.lease is not None and now - self._renewed_at < ANNOUNCE_TTL_S - LEASE_MARGIN_S

    async def run(self) -> None:
        """Announce and renew until cancelled."""
        while True:
            # The lease runs from the arrival of the call, which is later than this.
            asked_at = self._clock()
            try:
                if self.lease is None:
                    self.lease = await self._store.announce(
                        self._name, self.address, ANNOUNCE_TTL_S
                    )
                    log.bind(lease=self.lease).info("announced to the other entries")
                else:
                    await self._store.renew(self.lease)
                self._renewed_at = asked_at
            except LeaseExpiredError:
                log.bind(lease=self.lease).warning("the announcement has lapsed")
                self.lease = None
                continue
            except StoreUnavailableError as exc:
                log.bind(reason=str(exc)).info("the announcement was not renewed")
            await asyncio.sleep(RENEW_EVERY_S * (0.8 + 0.4 * self._rng.random()))

    async def withdraw(self) -> None:
        """End the announcement, if the store can be reached."""
        if self.lease is None:
            return
        try:
            await self._store.withdraw(self.lease)
        except StoreUnavailableError as exc:
            log.bind(reason=str(exc)).info("the announcement ends with its lease")
