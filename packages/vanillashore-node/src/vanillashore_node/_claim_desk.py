"""Drives steps on claims against the store, through silence and outages."""

import asyncio
import time

import attrs

from vanillashore_outcome import ClaimUpdate, ClaimVerdict, Decision
from vanillashore_store import ClaimStore, StoredClaim, StoreUnavailableError

PAUSE_S = 0.05
MAX_PAUSE_S = 2.0


_ABSENT = StoredClaim(None, 0)


@attrs.frozen
class ClaimResult:
    """How a step ended, with the record that decided it."""

    verdict: ClaimVerdict
    stored: StoredClaim


class ClaimDesk:
    """Carries out steps; every step that the store leaves open raises StoreUnavailableError."""

    def __init__(self, store: ClaimStore) -> None:
        self._store = store

    async def settle(
        self, name: str, decide: Decision, patience_s: float, seen: StoredClaim = _ABSENT
    ) -> ClaimResult:
        """Carry out a step from the record ``seen`` last.

        A silent store is asked again until ``patience_s`` is over.
        """
        process = ClaimUpdate(decide, seen.claim, seen.version)
        ends = time.monotonic() + patience_s
        pause_s = PAUSE_S
        while process.write is not None:
            try:
                stored = await self._store.swap(name, process.version, process.write)
                process.take(stored.claim, stored.version)
            except StoreUnavailableError:
                if time.monotonic() + pause_s >= ends:
                    raise
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2, MAX_PAUSE_S)
        return ClaimResult(process.verdict, StoredClaim(process.current, process.version))

    async def read(self, name: str) -> StoredClaim:
        """Return the record."""
        return await self._store.read(name)
