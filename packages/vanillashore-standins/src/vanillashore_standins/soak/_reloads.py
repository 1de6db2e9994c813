"""Reloads of the settings of the soak's entries, in which nothing has changed."""

import asyncio
import random
import signal

from vanillashore_standins.soak._entries import EntryPool

MAX_PAUSE_S = 1.5


class ReloadFaults:
    """Sends SIGHUP to one entry after another; nothing may follow from it."""

    def __init__(self, pool: EntryPool, rng: random.Random) -> None:
        self._pool = pool
        self._rng = rng
        self.count = 0

    async def run(self) -> None:
        """Reload until cancelled."""
        while True:
            await asyncio.sleep(self._rng.random() * MAX_PAUSE_S)
            # Before its start is complete, an entry may not handle the signal yet.
            for entry in self._rng.sample(
                self._pool.unaffected, min(1, len(self._pool.unaffected))
            ):
                entry.signal(signal.SIGHUP)
                self.count += 1
