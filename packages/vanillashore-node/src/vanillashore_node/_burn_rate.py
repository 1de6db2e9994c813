"""Latencies that an entry observes, in one-minute slots, for the error budget burn report."""

import time
from collections import Counter
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from typing import TypeVar

import attrs
from hdrh.histogram import HdrHistogram

from vanillashore_schema import ModelConfig, RouteConfig
from vanillashore_wire import BurnMeasure, BurnPage, BurnSeries, RefusalError

T = TypeVar("T")

WINDOWS_S = (300, 1_800, 3_600, 21_600)
SLOT_S = 60
SLOTS_KEPT = max(WINDOWS_S) // SLOT_S
MAX_SERIES_PER_SLOT = 200
OTHER_WORKSPACES = "(others)"
MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
SERVER_ERROR_STATUS = 500


@attrs.frozen
class SeriesKey:
    """The route, workspace and measure of a series."""

    route: str
    workspace: str
    measure: BurnMeasure


@attrs.define
class SlotSeries:
    """Observations of one series in one slot; ``counts`` is keyed by milliseconds."""

    target_ms: float = 0.0
    good: int = 0
    bad: int = 0
    counts: Counter[int] = attrs.field(factory=Counter)

    def add(self, other: "SlotSeries") -> None:
        """Add the observations of a later slot."""
        self.target_ms = other.target_ms
        self.good += other.good
        self.bad += other.bad
        self.counts.update(other.counts)


class BurnRateTracker:
    """Keeps six hours of observations; ``clock`` returns seconds since the epoch.

    Example::

        async for texts in tracker.watch_answer(model, workspace, generation.run()):
            ...
    """

    def __init__(self, node: str, clock: Callable[[], float] = time.time) -> None:
        self._node = node
        self._clock = clock
        self._slots: dict[int, dict[SeriesKey, SlotSeries]] = {}

    async def watch_answer(
        self, model: ModelConfig, workspace: str, answer: AsyncGenerator[list[str], None]
    ) -> AsyncIterator[list[str]]:
        """Forward a generated answer; record its first-token time and the time between tokens."""
        route = f"model {model.name}"
        started_at = last_token_at = time.monotonic()
        first_token_at: float | None = None
        tokens = 0
        is_server_error = False
        try:
            async with aclosing(answer):
                async for texts in answer:
                    last_token_at = time.monotonic()
                    first_token_at = first_token_at or last_token_at
                    tokens += len(texts)
                    yield texts
        except RefusalError as exc:
            is_server_error = exc.code.status >= SERVER_ERROR_STATUS
            raise
        finally:
            waited_ms = ((first_token_at or time.monotonic()) - started_at) * 1_000
            key = SeriesKey(route, workspace, BurnMeasure.FIRST_TOKEN)
            if first_token_at is not None:
                self.record(key, waited_ms, model.first_token_target_ms)
            elif is_server_error or waited_ms > model.first_token_target_ms:
                self.record(key, None, model.first_token_target_ms)
            if first_token_at is not None and tokens > 1:
                gap_ms = (last_token_at - first_token_at) * 1_000 / (tokens - 1)
                key = SeriesKey(route, workspace, BurnMeasure.TOKEN_GAP)
                self.record(key, gap_ms, model.token_gap_target_ms)

    async def watch_call(self, route: RouteConfig, workspace: str, call: Awaitable[T]) -> T:
        """Wait for a call to a plain service and record the time to its answer."""
        key = SeriesKey(f"{'|'.join(route.methods)} {route.path}", workspace, BurnMeasure.ANSWER)
        started_at = time.monotonic()
        try:
            done = await call
        except RefusalError as exc:
            if exc.code.status >= SERVER_ERROR_STATUS:
                self.record(key, None, route.target_ms)
            raise
        self.record(key, (time.monotonic() - started_at) * 1_000, route.target_ms)
        return done

    def record(self, key: SeriesKey, value_ms: float | None, target_ms: float) -> None:
        """Record one observation; ``None`` is a failure, which misses any target."""
        series = self._series(key)
        series.target_ms = target_ms
        if value_ms is None:
            series.bad += 1
            return
        series.counts[_rounded(value_ms)] += 1
        if value_ms <= target_ms:
            series.good += 1
        else:
            series.bad += 1

    def page(self) -> BurnPage:
        """Return all observations, summed for each window."""
        now = self._slot_number()
        burn_series: list[BurnSeries] = []
        for window_s in WINDOWS_S:
            total: dict[SeriesKey, SlotSeries] = {}
            for number in range(now - window_s // SLOT_S + 1, now + 1):
                for key, series in self._slots.get(number, {}).items():
                    total.setdefault(key, SlotSeries()).add(series)
            burn_series += [_burn_series(window_s, key, series) for key, series in total.items()]
        return BurnPage(self._node, tuple(burn_series))

    def _series(self, key: SeriesKey) -> SlotSeries:
        number = self._slot_number()
        if number not in self._slots:
            self._slots[number] = {}
            self._slots = {n: s for n, s in self._slots.items() if n > number - SLOTS_KEPT}
        slot = self._slots[number]
        if key not in slot and len(slot) >= MAX_SERIES_PER_SLOT:
            key = attrs.evolve(key, workspace=OTHER_WORKSPACES)
        return slot.setdefault(key, SlotSeries())

    def _slot_number(self) -> int:
        return int(self._clock() // SLOT_S)


def _rounded(value_ms: float) -> int:
    """Return whole milliseconds, rounded down to at most three significant digits."""
    value = min(max(1, round(value_ms)), MAX_LATENCY_MS)
    step = 10 ** max(0, len(str(value)) - SIGNIFICANT_DIGITS - 1)
    return value // step * step


def _burn_series(window_s: int, key: SeriesKey, series: SlotSeries) -> BurnSeries:
    histogram = HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
    for value, count in series.counts.items():
        histogram.record_value(value, count)
    return BurnSeries(
        window_s,
        key.route,
        key.workspace,
        key.measure,
        series.target_ms,
        series.good,
        series.bad,
        histogram.encode().decode(),
    )
