"""Restores of the soak's store from older copies."""

import asyncio
import random
from collections.abc import Callable

import attrs

from vanillashore_standins.platform_store import PlatformStoreStandIn, StoreCopy

MAX_AGE_S = 4.0
MAX_AWAY_S = 1.0
MAX_REWRITE_S = 1.0
SETTLE_S = 3.0  # For changes that were made shortly before a restore.


@attrs.frozen
class _Restore:
    start: float
    end: float


class RestoreFaults:
    """Lets the store go back by some seconds.

    ``rewrite`` writes again what the operator and the endpoints had written. Half of the times
    other writers use up the lost revisions, so that no watch learns of the restore by its revision.
    """

    def __init__(
        self, store: PlatformStoreStandIn, rewrite: Callable[[], None], rng: random.Random
    ) -> None:
        self._store = store
        self._rewrite = rewrite
        self._rng = rng
        self._restores: list[_Restore] = []

    @property
    def count(self) -> int:
        """How often the store was restored."""
        return len(self._restores)

    async def run(self) -> None:
        """Restore the store until cancelled."""
        while True:
            await asyncio.sleep(self._rng.random() * 4.0)
            copy = self._store.copy()
            await asyncio.sleep(self._rng.random() * MAX_AGE_S)
            start = _now()
            # What was written is written again also if the faults end in the middle.
            try:
                await self._restore(copy)
                await asyncio.sleep(self._rng.random() * MAX_REWRITE_S)
            finally:
                self._rewrite()
                self._restores.append(_Restore(start, _now()))

    async def _restore(self, copy: StoreCopy) -> None:
        """Let the store be away for a moment, and come back from a copy."""
        self._store.is_away = True
        try:
            await asyncio.sleep(self._rng.random() * MAX_AWAY_S)
        finally:
            lost = self._store.revision - copy.revision
            self._store.restore(copy)
            for number in range(lost if self._rng.random() < 0.5 else 0):
                self._store.put("others/x", {"number": number})
            self._store.is_away = False

    def may_have_lost(self, changed_at: float) -> bool:
        """Whether a change may have been lost before all entries had read it."""
        return any(r.start - SETTLE_S < changed_at < r.end for r in self._restores)


def _now() -> float:
    return asyncio.get_running_loop().time()
