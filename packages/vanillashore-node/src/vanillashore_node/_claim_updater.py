"""Applies steps on claims to the store, with retries while the store does not respond."""

import asyncio
import time

import attrs

from vanillashore_outcome import ClaimStep, ClaimUpdate, ClaimVerdict
from vanillashore_store import ClaimStore, StoredClaim, StoreUnavailableError

RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 2.0

_ABSENT = StoredClaim(None, 0)


@attrs.frozen
class ClaimResult:
    """Verdict of an update, with the stored record that it is based on."""

    verdict: ClaimVerdict
    stored: StoredClaim


class ClaimUpdater:
    """Updates claims; raises StoreUnavailableError if the outcome of an update is unknown."""

    def __init__(self, store: ClaimStore) -> None:
        self._store = store

    async def update(
        self, name: str, step: ClaimStep, timeout_s: float, seen: StoredClaim = _ABSENT
    ) -> ClaimResult:
        """Apply a step by compare-and-swap; ``seen`` is the record that was read last.

        A write that got no response is retried for up to ``timeout_s``.
        """
        update = ClaimUpdate(step, seen.claim, seen.version)
        ends = time.monotonic() + timeout_s
        delay_s = RETRY_DELAY_S
        while update.write is not None:
            try:
                stored = await self._store.swap(name, update.version, update.write)
                update.apply_stored(stored.claim, stored.version)
            except StoreUnavailableError:
                if time.monotonic() + delay_s >= ends:
                    raise
                await asyncio.sleep(delay_s)
                delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
        return ClaimResult(update.verdict, StoredClaim(update.current, update.version))

    async def read(self, name: str) -> StoredClaim:
        """Return the stored record of a claim."""
        return await self._store.read(name)
