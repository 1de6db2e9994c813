"""The check of what stopping entries cut, on a virtual clock."""

import asyncio
import random

import attrs
import pytest

from vanillashore_standins.platform_endpoint import Arrival, EndpointStandIn
from vanillashore_standins.soak._callers import Ending, RequestRecord
from vanillashore_standins.soak._entries import GRACE_S, EntryPool
from vanillashore_standins.soak._stops import StopFaults
from vanillashore_standins.virtual_time import run_in_virtual_time

ADDRESS = ("127.0.0.1", 1)


class StubEntry:
    name = "entry-1"
    address = ADDRESS

    async def stop(self) -> int:
        await asyncio.sleep(GRACE_S)
        return 0


@attrs.define
class StubCaller:
    records: list[RequestRecord] = attrs.field(factory=list)


def stop_an_entry() -> StopFaults:
    """Return faults of which one has stopped an entry, from 0 to ``GRACE_S``."""
    faults = StopFaults(EntryPool(), [], random.Random(1), lambda *_: StubCaller())
    run_in_virtual_time(faults.stop(StubEntry()))
    return faults


def request(sent_at: float, ended_at: float, ending: Ending, status: int = 0) -> RequestRecord:
    path, key = "/quote/1", "key"
    return RequestRecord(
        "id-1", path, key, sent_at, ended_at, status, ADDRESS, ending=ending, limit_s=5.0
    )


def endpoint(is_broken: bool = False) -> EndpointStandIn:
    """Return an endpoint that got the request, and broke it off if ``is_broken``."""
    found = EndpointStandIn("d0", "models")
    found.arrivals.append(Arrival("id-1", "POST", "/quote/1", {}, b"", True, 1.0, None))
    if is_broken:
        found.broken_requests.add("id-1")
    return found


def never(*_: object) -> bool:
    return False


def always(*_: object) -> bool:
    return True


@pytest.mark.parametrize(("sent_at", "ended_at"), [(3.1, 7.2), (2.9, 6.0), (-1.0, 2.0)])
def test_cut_request_is_reported(sent_at: float, ended_at: float) -> None:
    records = [request(sent_at, ended_at, Ending.CUT)]
    assert len(stop_an_entry().violations(records, never, [endpoint()])) == 1


@pytest.mark.parametrize(("sent_at", "ended_at"), [(2.9, 7.2), (2.1, 7.1), (-1.0, 4.0)])
def test_cut_in_the_last_sixth_or_at_the_deadline_is_excused(
    sent_at: float, ended_at: float
) -> None:
    records = [request(sent_at, ended_at, Ending.CUT)]
    assert stop_an_entry().violations(records, never, [endpoint()]) == []


def test_cut_by_the_endpoint_or_beside_a_disruption_is_excused() -> None:
    records = [request(3.1, 7.2, Ending.CUT)]
    assert stop_an_entry().violations(records, never, [endpoint(is_broken=True)]) == []
    assert stop_an_entry().violations(records, always, [endpoint()]) == []


def test_request_that_crosses_the_close_is_excused_only_for_a_moment() -> None:
    assert stop_an_entry().violations([request(3.1, 3.2, Ending.CUT)], never, []) == []
    assert len(stop_an_entry().violations([request(3.1, 3.4, Ending.CUT)], never, [])) == 1


def test_outcomes_are_counted() -> None:
    faults = stop_an_entry()
    faults.callers[0].records += [
        request(1.0, 2.0, Ending.COMPLETE, 200),
        request(1.0, 2.0, Ending.COMPLETE, 503),
        request(1.0, 2.0, Ending.COMPLETE, 502),
        request(7.5, 7.5, Ending.NO_LISTENER),
        request(9.0, 9.5, Ending.COMPLETE, 200),
    ]
    assert faults.outcomes() == {"whole": 1, "refused": 1, "failed": 1, "no_listener": 1}
