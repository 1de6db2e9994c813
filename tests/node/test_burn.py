import asyncio
from collections.abc import AsyncIterator
from contextlib import nullcontext

import pytest
from hdrh.histogram import HdrHistogram

from vanillashore_node._burn_rate import OTHER_WORKSPACES, BurnRateTracker, SeriesKey
from vanillashore_schema import ModelConfig, RouteConfig
from vanillashore_standins.testing import MODEL, WORKSPACE, SmallFleet
from vanillashore_wire import (
    BurnMeasure,
    BurnSeries,
    ErrorCode,
    RefusalError,
    Refused,
)

KEY = SeriesKey("model m", "a", BurnMeasure.FIRST_TOKEN)
MODEL_CONFIG = ModelConfig("m")


class Clock:
    def __init__(self) -> None:
        self.now = 1_000_000.0

    def __call__(self) -> float:
        return self.now


def _by_window(tracker: BurnRateTracker) -> dict[int, tuple[int, int]]:
    return {series.window_s: (series.good, series.bad) for series in tracker.page().series}


def _measures(series: tuple[BurnSeries, ...]) -> set[tuple[str, str, str, int, int]]:
    return {
        (s.route, s.workspace, s.measure.value, s.good, s.bad) for s in series if s.window_s == 300
    }


@pytest.mark.parametrize(
    ("age_s", "windows"),
    [
        (0, {300, 1_800, 3_600, 21_600}),
        (299, {300, 1_800, 3_600, 21_600}),
        (400, {1_800, 3_600, 21_600}),
        (2_000, {3_600, 21_600}),
        (4_000, {21_600}),
        (21_600, set()),
    ],
)
def test_observations_expire_from_each_window(age_s: float, windows: set[int]) -> None:
    clock = Clock()
    clock.now = 1_000_020.0
    tracker = BurnRateTracker("entry", clock)
    tracker.record(KEY, 100.0, 1_600.0)
    clock.now += age_s
    assert set(_by_window(tracker)) == windows


def test_value_equal_to_the_target_meets_it_and_failure_misses_it() -> None:
    tracker = BurnRateTracker("entry", Clock())
    for value in (1_599.0, 1_600.0, 1_601.0, None):
        tracker.record(KEY, value, 1_600.0)
    assert _by_window(tracker)[300] == (2, 2)


def test_histogram_keeps_two_digits() -> None:
    tracker = BurnRateTracker("entry", Clock())
    for value in range(1, 1_001):
        tracker.record(KEY, float(value), 1_600.0)
    histogram = HdrHistogram.decode(tracker.page().series[0].histogram)
    assert histogram.get_total_count() == 1_000
    assert histogram.get_value_at_percentile(95) == pytest.approx(950, rel=0.02)


def test_number_of_series_in_a_slot_is_bounded() -> None:
    tracker = BurnRateTracker("entry", Clock())
    for number in range(1_000):
        key = SeriesKey("model m", f"workspace-{number}", BurnMeasure.FIRST_TOKEN)
        tracker.record(key, 10.0, 1_600.0)
    series = [s for s in tracker.page().series if s.window_s == 300]
    assert len(series) == 201
    assert sum(s.good for s in series) == 1_000
    assert next(s for s in series if s.workspace == OTHER_WORKSPACES).good == 800


async def _answer(texts: list[list[str]], code: ErrorCode | None) -> AsyncIterator[list[str]]:
    for run in texts:
        yield run
    if code is not None:
        raise RefusalError(Refused(code, "failed"))


@pytest.mark.parametrize(
    ("texts", "code", "measures"),
    [
        ([["a"], ["b", "c"]], None, {("first_token", 1, 0), ("token_gap", 1, 0)}),
        ([["a"]], None, {("first_token", 1, 0)}),
        ([], ErrorCode.NO_ENDPOINT, {("first_token", 0, 1)}),
        ([], ErrorCode.CONTEXT_TOO_LONG, set()),
        ([["a"]], ErrorCode.ENDPOINT_FAILED, {("first_token", 1, 0)}),
    ],
)
async def test_answer_is_counted_by_its_outcome(
    texts: list[list[str]], code: ErrorCode | None, measures: set[tuple[str, int, int]]
) -> None:
    tracker = BurnRateTracker("entry", Clock())
    got: list[list[str]] = []
    with pytest.raises(RefusalError) if code else nullcontext():
        async for run in tracker.watch_answer(MODEL_CONFIG, "a", _answer(texts, code)):
            got.append(run)
    assert got == texts
    assert {row[2:] for row in _measures(tracker.page().series)} == measures


@pytest.mark.parametrize(("target_ms", "bad"), [(1.0, 1), (60_000.0, 0)])
async def test_disconnect_before_the_first_token_counts_if_the_target_was_missed(
    target_ms: float, bad: int
) -> None:
    tracker = BurnRateTracker("entry", Clock())
    model = ModelConfig("m", first_token_target_ms=target_ms)

    async def silent() -> AsyncIterator[list[str]]:
        await asyncio.sleep(60.0)
        yield ["a"]

    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.02):
            await anext(tracker.watch_answer(model, "a", silent()))
    assert sum(s.bad for s in tracker.page().series if s.window_s == 300) == bad


async def test_answer_is_closed_and_counted_after_its_caller_disconnects() -> None:
    tracker = BurnRateTracker("entry", Clock())
    closed = []

    async def endless() -> AsyncIterator[list[str]]:
        try:
            while True:
                yield ["a"]
        finally:
            closed.append(True)

    watched = tracker.watch_answer(MODEL_CONFIG, "a", endless())
    await anext(watched)
    await watched.aclose()
    assert closed
    assert _measures(tracker.page().series) == {("model m", "a", "first_token", 1, 0)}


async def test_calls_are_recorded_under_their_route() -> None:
    tracker = BurnRateTracker("entry", Clock())
    route = RouteConfig("/pay", ("POST",), "s", idempotent=False)

    async def call(code: ErrorCode | None) -> str:
        if code is not None:
            raise RefusalError(Refused(code, "failed"))
        return "done"

    assert await tracker.watch_call(route, "a", call(None)) == "done"
    for code in (ErrorCode.RATE_LIMITED, ErrorCode.OUTCOME_UNKNOWN):
        with pytest.raises(RefusalError):
            await tracker.watch_call(route, "a", call(code))
    assert _measures(tracker.page().series) == {("POST /pay", "a", "answer", 1, 1)}


async def test_entry_records_answers_and_calls() -> None:
    async with SmallFleet() as fleet:
        body = {"model": MODEL, "prompt": "a cake", "max_tokens": 4}
        for stream in (False, True):
            async with fleet.post(0, "/v1/completions", body | {"stream": stream}) as response:
                await response.read()
        async with fleet.get(0, "/stock") as response:
            await response.read()
        rows = _measures(fleet.entries[0].core.burn.page().series)
        assert rows == {
            (f"model {MODEL}", WORKSPACE, "first_token", 2, 0),
            (f"model {MODEL}", WORKSPACE, "token_gap", 2, 0),
            ("GET /stock", WORKSPACE, "answer", 1, 0),
        }
