import asyncio
from collections.abc import AsyncIterator
from contextlib import nullcontext

import pytest
from hdrh.histogram import HdrHistogram

from vanillashore_node._burn import OTHER_WORKSPACES, BurnBook, SeriesKey
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


def _by_window(book: BurnBook) -> dict[int, tuple[int, int]]:
    return {series.window_s: (series.good, series.bad) for series in book.page().series}


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
def test_observations_leave_the_windows_as_they_age(age_s: float, windows: set[int]) -> None:
    clock = Clock()
    clock.now = 1_000_020.0
    book = BurnBook("entry", clock)
    book.record(KEY, 100.0, 1_600.0)
    clock.now += age_s
    assert set(_by_window(book)) == windows


def test_target_is_met_when_it_is_hit_and_a_failure_misses_it() -> None:
    book = BurnBook("entry", Clock())
    for value in (1_599.0, 1_600.0, 1_601.0, None):
        book.record(KEY, value, 1_600.0)
    assert _by_window(book)[300] == (2, 2)


def test_histogram_keeps_two_digits() -> None:
    book = BurnBook("entry", Clock())
    for value in range(1, 1_001):
        book.record(KEY, float(value), 1_600.0)
    histogram = HdrHistogram.decode(book.page().series[0].histogram)
    assert histogram.get_total_count() == 1_000
    assert histogram.get_value_at_percentile(95) == pytest.approx(950, rel=0.02)


def test_number_of_series_in_a_slot_is_bounded() -> None:
    book = BurnBook("entry", Clock())
    for number in range(1_000):
        key = SeriesKey("model m", f"workspace-{number}", BurnMeasure.FIRST_TOKEN)
        book.record(key, 10.0, 1_600.0)
    series = [s for s in book.page().series if s.window_s == 300]
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
async def test_what_an_answer_counts_as(
    texts: list[list[str]], code: ErrorCode | None, measures: set[tuple[str, int, int]]
) -> None:
    book = BurnBook("entry", Clock())
    got: list[list[str]] = []
    with pytest.raises(RefusalError) if code else nullcontext():
        async for run in book.watch_answer(MODEL_CONFIG, "a", _answer(texts, code)):
            got.append(run)
    assert got == texts
    assert {row[2:] for row in _measures(book.page().series)} == measures


@pytest.mark.parametrize(("target_ms", "bad"), [(1.0, 1), (60_000.0, 0)])
async def test_leaving_before_the_first_token_counts_once_the_target_was_missed(
    target_ms: float, bad: int
) -> None:
    book = BurnBook("entry", Clock())
    model = ModelConfig("m", first_token_target_ms=target_ms)

    async def silent() -> AsyncIterator[list[str]]:
        await asyncio.sleep(60.0)
        yield ["a"]

    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.02):
            await anext(book.watch_answer(model, "a", silent()))
    assert sum(s.bad for s in book.page().series if s.window_s == 300) == bad


async def test_an_answer_that_its_caller_leaves_is_closed_and_counted() -> None:
    book = BurnBook("entry", Clock())
    closed = []

    async def endless() -> AsyncIterator[list[str]]:
        try:
            while True:
                yield ["a"]
        finally:
            closed.append(True)

    watched = book.watch_answer(MODEL_CONFIG, "a", endless())
    await anext(watched)
    await watched.aclose()
    assert closed
    assert _measures(book.page().series) == {("model m", "a", "first_token", 1, 0)}


async def test_calls_are_observed_against_their_route() -> None:
    book = BurnBook("entry", Clock())
    route = RouteConfig("/pay", ("POST",), "s", idempotent=False)

    async def call(code: ErrorCode | None) -> str:
        if code is not None:
            raise RefusalError(Refused(code, "failed"))
        return "done"

    assert await book.watch_call(route, "a", call(None)) == "done"
    for code in (ErrorCode.RATE_LIMITED, ErrorCode.OUTCOME_UNKNOWN):
        with pytest.raises(RefusalError):
            await book.watch_call(route, "a", call(code))
    assert _measures(book.page().series) == {("POST /pay", "a", "answer", 1, 1)}


async def test_entry_observes_answers_and_calls() -> None:
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
