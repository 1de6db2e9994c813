"""The origins of streams in the platform's store, where they survive a kill of all entries."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable, Sequence

from loguru import logger as log

from vanillashore_gateway._home_ranking import rank_homes
from vanillashore_gateway._origin_batches import LEASE_S, OriginBatches, UnwrittenOrigin
from vanillashore_gateway._platform_store import (
    LeaseExpiredError,
    PlatformStore,
    StoreRestoredError,
    StoreUnavailableError,
)
from vanillashore_gateway._stream_origins import (
    MAX_KEPT_S,
    QUERY_TIMEOUT_S,
    RETURN_MARGIN_S,
    OriginLookup,
    StreamOrigin,
    StreamOrigins,
)
from vanillashore_gateway._version_record import VERSION_LEASE_S, VersionRecord

MAX_FIRST_EVENT_DELAY_S = 0.3  # For a store that is slow or away.
READ_ATTEMPTS = 2  # The store may have closed the idle connection of the first one.
# While other entries write again what a restore has lost, a missing origin tells nothing.
RESTORE_DOUBT_S = 5.0
CHECK_EVERY_S = 1.0  # For versions that are due.
LOGGED_FAILURES = (1, 10, 100)  # In a row.


class OriginStore:
    """Writes the origins of this entry's streams while several versions of a service count.

    ``services`` are those of resumable routes. Without a ``store`` nothing is written or found.

    Example::

        written = origin_store.begin("id-1", StreamOrigin("llm", "v1.2"), left_s=14.0)
        ...
        lookup = await origin_store.find("id-1")  # at any entry
    """

    def __init__(
        self,
        node: str,
        origins: StreamOrigins,
        record: Callable[[Callable[[str], int]], VersionRecord],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._node = node
        self._origins = origins
        self._clock = clock
        self._rng = rng
        self._batches = OriginBatches()
        self._entries: Sequence[str] = ()
        self._several: set[str] = set()
        self._wake = asyncio.Event()
        self._restored_at: float | None = None
        self._versions_at = 0.0  # Not before this time after a failure.
        self.versions = record(self._rank_of)
        self.services: frozenset[str] = frozenset()
        self.store: PlatformStore | None = None

    def __len__(self) -> int:
        return len(self._batches)

    def begin(self, request_id: str, origin: StreamOrigin, left_s: float) -> "asyncio.Future[None]":
        """Write the origin of a stream if several versions count; done once the store has it.

        The caller of the stream waits ``left_s`` at the most.
        """
        written: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def confirm() -> None:
            if not written.done():
                written.set_result(None)

        now = self._clock()
        if self.store is None or len(self.versions.counted(origin.service, now)) < 2:
            confirm()
            return written
        until = now + min(MAX_KEPT_S, max(0.0, left_s) + RETURN_MARGIN_S)
        self._batches.add(UnwrittenOrigin(request_id, origin, until, confirm))
        self._wake.set()
        return written

    async def find(self, request_id: str) -> OriginLookup:
        """Return what the store knows of a stream; ``was_answered`` if it can be relied upon."""
        if self.store is None:
            return OriginLookup(None, was_answered=False)
        with contextlib.suppress(TimeoutError, StoreRestoredError):
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                for _ in range(READ_ATTEMPTS):
                    with contextlib.suppress(StoreUnavailableError):
                        origin = await self.store.read_origin(request_id)
                        return OriginLookup(origin, origin is not None or not self._is_in_doubt())
        return OriginLookup(None, was_answered=False)

    def update_entries(self, entries: Iterable[str]) -> None:
        """Set the list of entries."""
        self._entries = tuple(entries)

    def record_change(self) -> None:
        """Look at the versions again: the list of endpoints or the record has changed."""
        self._wake.set()

    def record_restore(self) -> None:
        """Write again what the store may have lost."""
        self._restored_at = self._clock()
        self._batches.record_restore()
        self._wake.set()

    async def run(self) -> None:
        """Write origins and versions until cancelled."""
        while True:
            self._wake.clear()
            self._add_streams_of_new_versions()
            now = self._clock()
            next_at = self._batches.next_at(now)
            if next_at is not None and next_at <= now:
                await self._write_batch()
                continue
            await self._write_versions(now)
            # The pace holds although further streams wake this task.
            wait_s = CHECK_EVERY_S if next_at is None else min(CHECK_EVERY_S, next_at - now)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._wake.wait()

    def _add_streams_of_new_versions(self) -> None:
        """Write the streams in progress of services that now have a second version."""
        now = self._clock()
        several = {name for name in self.services if len(self.versions.counted(name, now)) > 1}
        new, self._several = several - self._several, several
        if not new:
            return
        count = 0
        for request_id, origin, until in self._origins.own():
            if origin.service in new and request_id not in self._batches:
                self._batches.add(UnwrittenOrigin(request_id, origin, until))
                count += 1
        log.bind(services=sorted(new), streams=count).info(
            "several versions count; writing the origins of streams to the store"
        )

    async def _write_batch(self) -> None:
        batches = self._batches
        batch = batches.take(self._clock())
        if not batch:
            return
        calls = 1
        try:
            lease = batches.lease(self._clock())
            if lease is None:
                calls = 2
                granted_at = self._clock()
                lease = await self.store.grant_lease(LEASE_S)
                batches.set_lease(lease, granted_at)
            await self.store.write_origins({i.request_id: i.origin for i in batch}, lease)
        except (LeaseExpiredError, StoreUnavailableError, StoreRestoredError) as exc:
            if isinstance(exc, StoreRestoredError):
                self.record_restore()
            batches.record_lease_lost()
            batches.record_failure(batch, self._clock(), self._rng.random())
            if batches.failures in LOGGED_FAILURES:
                log.bind(reason=repr(exc), waiting=len(batches), failures=batches.failures).warning(
                    "could not write the origins of streams"
                )
        else:
            entries = max(1, len(self._entries))
            batches.record_written(batch, self._clock(), entries, calls)

    async def _write_versions(self, now: float) -> None:
        if self.store is None or now < self._versions_at:
            return
        due = self.versions.due(self.services, now)
        if not due:
            return
        try:
            lease = await self.store.grant_lease(VERSION_LEASE_S)
            for version in due:
                await self.store.write_version(*version, lease)
                self.versions.put(version, self._clock())
        except (LeaseExpiredError, StoreUnavailableError, StoreRestoredError) as exc:
            if isinstance(exc, StoreRestoredError):
                self.record_restore()
            self._versions_at = self._clock() + CHECK_EVERY_S
            log.bind(reason=repr(exc)).warning("could not record the versions of services")
        else:
            log.bind(versions=sorted(due), lease=lease).info("recorded the versions of services")

    def _rank_of(self, name: str) -> int:
        entries = tuple(entry for entry in self._entries if entry != self._node)
        return rank_homes(name, (*entries, self._node)).index(self._node)

    def _is_in_doubt(self) -> bool:
        restored_at = self._restored_at
        return restored_at is not None and self._clock() - restored_at < RESTORE_DOUBT_S
