"""Freeing what an engine holds for no one: after a restart of the sidecar, or a lost abort."""

import asyncio
from collections.abc import Callable

from loguru import logger as log

from vanillashore_node._engine import Engine
from vanillashore_wire import RefusalError

SWEEP_S = 1.0


class Reconciliation:
    """Compares what the engine holds with what is known here, and aborts the rest.

    An id has to be unknown in two sweeps one after the other. So work that just arrives or just
    ends is left alone, and after a restart entries have a sweep's time to come back for a stream.
    """

    def __init__(self, engine: Engine, known_ids: Callable[[], set[str]]) -> None:
        self._engine = engine
        self._known_ids = known_ids
        self._suspects: set[str] = set()

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            try:
                await self.sweep()
            except RefusalError as exc:
                log.bind(error=str(exc)).debug("a sweep failed")
            await asyncio.sleep(SWEEP_S)

    async def sweep(self) -> None:
        """Abort what was unknown in the last sweep and is unknown still."""
        holdings = await self._engine.holdings()
        unknown = set(holdings) - self._known_ids()
        orphans = unknown & self._suspects
        self._suspects = unknown - orphans
        for engine_id in orphans:
            log.bind(engine_request=engine_id, pieces=holdings[engine_id]).warning(
                "freed an orphan"
            )
            await self._engine.abort(engine_id)
