"""The checks of what reaches endpoints that leave or want a pause."""

import random

import pytest

from vanillashore_standins.platform_endpoint import Arrival, EndpointStandIn
from vanillashore_standins.soak._callers import RequestRecord
from vanillashore_standins.soak._statements import StatementFaults

ENTRY, OTHER = ("127.0.0.1", 1), ("127.0.0.1", 2)


def never(*_: object) -> bool:
    return False


def always(*_: object) -> bool:
    return True


def _arrival(number: int, at: float, retry_after: str | None = None, start: int = 1) -> Arrival:
    return Arrival(f"id-{number}", "GET", "/stock/1", {}, b"", True, at, None, retry_after, start)


def _record(number: int, at: float, entry: tuple[str, int], leaving_by: str = "") -> RequestRecord:
    return RequestRecord(
        f"id-{number}", "/stock/1", "key", at, at + 0.1, 200, entry, leaving_by=leaving_by
    )


def _violations(
    arrivals: list[Arrival], records: list[RequestRecord], was_interrupted: object = never
) -> list[str]:
    endpoint = EndpointStandIn("s0", "orders")
    endpoint.arrivals += arrivals
    faults = StatementFaults([[endpoint]], lambda _: None, never, never, random.Random(1))
    return faults.violations(records, was_interrupted)


@pytest.mark.parametrize(
    ("at", "entry", "start", "count"),
    [(2.0, ENTRY, 1, 0), (2.3, ENTRY, 1, 1), (2.3, OTHER, 1, 0), (2.3, ENTRY, 2, 0)],
)
def test_requests_to_an_endpoint_that_an_entry_knows_to_leave(
    at: float, entry: tuple[str, int], start: int, count: int
) -> None:
    arrivals = [_arrival(0, 0.0), _arrival(1, at, start=start)]
    records = [_record(0, 0.0, ENTRY, "s0"), _record(1, at, entry)]
    assert len(_violations(arrivals, records)) == count
    assert _violations(arrivals, records, always) == []


@pytest.mark.parametrize(
    ("times", "count"),
    [
        ([0.6, 0.7], 0),
        ([0.6, 0.7, 0.8], 1),
        ([0.1, 0.2, 0.3, 0.6, 0.7], 0),
        ([0.6, 0.7, 2.1], 0),
    ],
)
def test_requests_in_a_pause(times: list[float], count: int) -> None:
    arrivals = [_arrival(0, 0.0, "2"), *(_arrival(n, at) for n, at in enumerate(times, start=1))]
    records = [_record(n, arrival.at, ENTRY) for n, arrival in enumerate(arrivals)]
    assert len(_violations(arrivals, records)) == count
    assert _violations(arrivals, records, always) == []


@pytest.mark.parametrize("retry_after", ["0", "-2", "soon"])
def test_no_pause_follows_from_an_odd_time(retry_after: str) -> None:
    arrivals = [_arrival(0, 0.0, retry_after), *(_arrival(n, 0.5 + n / 10) for n in range(1, 6))]
    records = [_record(n, arrival.at, ENTRY) for n, arrival in enumerate(arrivals)]
    assert _violations(arrivals, records) == []
