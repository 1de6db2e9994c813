"""Reloads of the settings of the soak's entries, in which nothing has changed."""

import asyncio
import random
import signal

from vanillashore_standins.soak._entries import EntryPool

MAX_PAUSE_S = 1.5


class ReloadFaults:
    """Sends SIGHUP to entries that no other fault affects; nothing may follow from it."""

    def __init__(self, pool: EntryPool, rng: random.Random) -> None:
        self._pool = pool
        self._rng = rng
        self.count = 0

    async def run(self) -> None:
        """Reload until cancelled."""
        while True:
            await asyncio.sleep(self._rng.random() * MAX_PAUSE_S)
            if entries := self._pool.unaffected:
                self._rng.choice(entries).signal(signal.SIGHUP)
                self.count += 1
