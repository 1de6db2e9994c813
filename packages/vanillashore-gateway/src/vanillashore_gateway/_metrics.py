"""Counters and latency histograms of a gateway, in the Prometheus text format."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger as log

if TYPE_CHECKING:
    from vanillashore_gateway._instruments import Instruments

MAX_PENDING_RECORDS = 10_000  # Some seconds of a busy entry, until the instruments are loaded.

Record = Callable[["Instruments"], None]


class GatewayMetrics:
    """The metrics of one process; ``gauges`` are read at each scrape.

    Importing the metrics libraries takes as long as the rest of the startup, so `load` does it in a
    thread while the process already serves. Earlier records are buffered.
    """

    def __init__(self, node: str, data_centre: str, gauges: dict[str, Callable[[], float]]) -> None:
        self._instrument_args = (node, data_centre, gauges)
        self._instruments: Instruments | None = None
        self._pending: deque[Record] = deque(maxlen=MAX_PENDING_RECORDS)

    async def load(self) -> None:
        """Load the instruments, and replay the buffered records."""
        instruments = await asyncio.to_thread(_load, *self._instrument_args)
        self._instruments = instruments
        for record in self._pending:
            record(instruments)
        log.bind(recorded_before=len(self._pending)).info("metrics loaded")
        self._pending.clear()

    def record_request(self, route: str, status: int, duration_s: float) -> None:
        """Record a completed request; ``status`` is 0 if the caller disconnected."""
        self._record(lambda instruments: instruments.record_request(route, status, duration_s))

    def record_refusal(self, code: str, rank: int | None, workspace: str | None) -> None:
        """Count a request that the gateway refused or gave up.

        One that was refused before it was admitted has no ``rank`` and no ``workspace``.
        """
        self._record(lambda instruments: instruments.record_refusal(code, rank, workspace))

    def record_ignored_datagram(self) -> None:
        """Count a datagram of another entry whose kind is unknown."""
        self._record(lambda instruments: instruments.record_ignored_datagram())

    def record_restore(self) -> None:
        """Count that the store was restored from an older copy."""
        self._record(lambda instruments: instruments.record_restore())

    def render(self) -> bytes | None:
        """Return the metrics as text, or ``None`` until the instruments are loaded."""
        return None if self._instruments is None else self._instruments.render()

    def _record(self, record: Record) -> None:
        if self._instruments is None:
            self._pending.append(record)
        else:
            record(self._instruments)


def _load(node: str, data_centre: str, gauges: dict[str, Callable[[], float]]) -> "Instruments":
    from vanillashore_gateway._instruments import Instruments

    return Instruments(node, data_centre, gauges)
