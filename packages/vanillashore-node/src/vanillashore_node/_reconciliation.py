"""Frees engine memory that no request uses, after a restart of the sidecar or a lost abort."""

import asyncio
from collections.abc import Callable

from loguru import logger as log

from vanillashore_node._engine import Engine
from vanillashore_wire import RefusalError

SWEEP_INTERVAL_S = 1.0


class Reconciliation:
    """Compares the engine's requests with those known to the sidecar, and aborts the others.

    An id has to be unknown in two consecutive sweeps. Work that is just starting or ending is
    therefore not aborted, and after a restart entries have one sweep interval to resume a stream.
    """

    def __init__(self, engine: Engine, known_ids: Callable[[], set[str]]) -> None:
        self._engine = engine
        self._known_ids = known_ids
        self._unknown_before: set[str] = set()

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            try:
                await self.sweep()
            except RefusalError as exc:
                log.bind(error=str(exc)).debug("reconciliation sweep failed")
            await asyncio.sleep(SWEEP_INTERVAL_S)

    async def sweep(self) -> None:
        """Abort the requests that were unknown in the previous sweep and still are."""
        holdings = await self._engine.holdings()
        unknown = set(holdings) - self._known_ids()
        orphans = unknown & self._unknown_before
        self._unknown_before = unknown - orphans
        for engine_id in orphans:
            log.bind(engine_request=engine_id, pieces=holdings[engine_id]).warning(
                "aborted an orphaned engine request"
            )
            await self._engine.abort(engine_id)
