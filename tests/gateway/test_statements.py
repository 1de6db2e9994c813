"""Endpoints that say that they are leaving, and what they get from then on."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import pytest

from vanillashore_gateway import Endpoint, _calls, _limit_requests, _membership, _slot_finder
from vanillashore_gateway._home_ranking import rank_homes
from vanillashore_standins import wait_until
from vanillashore_standins.platform_endpoint import EndpointStandIn, EngineOptions, Fault
from vanillashore_standins.platform_rig import MODELS, Answer, PlatformRig, fail_first

Ask = Callable[..., Awaitable[Answer]]


def _ask(rig: PlatformRig, path: str) -> Ask:
    """Return the function that sends a request with an id to a path."""
    is_plain = path.startswith(("/stock/", "/pay/"))

    async def ask(request_id: str, **headers: str) -> Answer:
        if is_plain:
            return await rig.ask("GET", path, request_id, **headers)
        return await rig.generate(path, request_id, **headers)

    return ask


def _received(endpoint: EndpointStandIn) -> int:
    """Return how many requests and calls of any kind have reached an endpoint."""
    return len(endpoint.arrivals) + len(endpoint.calls)


@pytest.fixture
def patience(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let requests wait for 18 s, so that one that is not refused at once gets 504 after 4 s."""
    monkeypatch.setattr(_calls, "MAX_QUEUE_SHARE", 20.0)
    monkeypatch.setattr(_slot_finder, "MAX_WAIT_TARGETS", 20.0)
    monkeypatch.setattr(_slot_finder, "MAX_WAIT_TIMEOUT_SHARE", 10.0)


KINDS = [("/stock/1", "services"), ("/pay/1", "services"), ("/quote/1", "decodes")]
KINDS_WITH_PREFILL = [*KINDS, ("/idea/1", "prefills")]


@pytest.mark.parametrize(("path", "kind"), KINDS_WITH_PREFILL)
@pytest.mark.parametrize("is_store_away", [False, True])
async def test_endpoint_that_says_it_is_leaving_gets_nothing_more(
    path: str, kind: str, is_store_away: bool
) -> None:
    async with PlatformRig(services=2, prefills=2, decodes=2) as rig:
        ask = _ask(rig, path)
        for number in range(12):
            assert (await ask(f"first-{number}")).status == 200
        other, leaving = sorted(getattr(rig, kind), key=lambda e: len(e.arrivals))
        rig.store.faults.is_silent = is_store_away
        leaving.says_leaving = True
        received, number = _received(leaving), 0
        while _received(leaving) == received:
            number += 1
            assert (await ask(f"second-{number}")).status == 200
        received = _received(leaving)
        answers = [await ask(f"later-{number}") for number in range(20)]
        assert [answer.status for answer in answers] == [200] * 20
        assert _received(leaving) == received
        assert len(other.arrivals) >= 20


@pytest.mark.parametrize(("path", "kind"), KINDS)
@pytest.mark.usefixtures("patience")
async def test_request_is_refused_at_once_when_all_endpoints_say_they_are_leaving(
    path: str, kind: str
) -> None:
    async with PlatformRig(services=3, decodes=3) as rig:
        ask = _ask(rig, path)
        endpoints = getattr(rig, kind)
        for endpoint in endpoints:
            endpoint.says_leaving = True
        for number in range(3):
            await ask(f"first-{number}")
        received = [_received(endpoint) for endpoint in endpoints]
        answers = [await ask(f"late-{number}") for number in range(16)]
        assert {answer.status for answer in answers} == {503}
        assert all(b'"ran":"no"' in answer.body for answer in answers)
        waits = [float(answer.headers["retry-after"]) for answer in answers]
        assert min(waits) > 0.2
        assert max(waits) > 1.05 * min(waits)
        assert [_received(endpoint) for endpoint in endpoints] == received


@pytest.mark.usefixtures("patience")
async def test_request_turned_away_by_all_as_they_leave_does_not_wait_for_one() -> None:
    async with PlatformRig(services=2) as rig:
        for endpoint in rig.services:
            endpoint.says_leaving = True
        fail_first(rig.services, Fault.SHED, Fault.SHED)
        answer = await rig.ask("GET", "/stock/1", "id-1")
        assert answer.status == 503


@pytest.mark.parametrize(("path", "kind"), KINDS)
async def test_next_start_of_an_endpoint_is_used_again(
    path: str, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_membership, "RECORD_LAG_S", 0.0)
    async with PlatformRig(services=1, decodes=1) as rig:
        ask = _ask(rig, path)
        endpoint = getattr(rig, kind)[0]
        endpoint.says_leaving = True
        await ask("first")
        assert (await ask("second")).status == 503
        endpoint.restart("v1")
        rig.store.put(f"servers/{endpoint.instance}", endpoint.entry())
        membership = rig.process.gateway.membership
        await wait_until(lambda: membership.get(endpoint.instance).started_ms == 2)
        assert (await ask("third")).status == 200


async def test_an_answer_or_a_record_that_does_not_say_it_does_not_take_it_back() -> None:
    async with PlatformRig(services=2) as rig:
        leaving, other = rig.services
        leaving.may_answer.clear()
        slow = [asyncio.ensure_future(rig.ask("GET", "/stock/1", f"s-{n}")) for n in range(4)]
        await wait_until(lambda: len(leaving.arrivals) >= 2)
        leaving.says_leaving = True
        membership = rig.process.gateway.membership
        membership.record_leaving(membership.get(leaving.instance).start, 0.0)
        leaving.says_leaving = False
        leaving.may_answer.set()
        await asyncio.gather(*slow)
        rig.store.put(f"servers/{leaving.instance}", leaving.entry(slots=9))
        await wait_until(lambda: membership.get(leaving.instance).slots == 9)
        received = len(leaving.arrivals)
        for number in range(10):
            assert (await rig.ask("GET", "/stock/1", f"id-{number}")).status == 200
        assert len(leaving.arrivals) == received


async def test_stream_that_runs_at_a_leaving_engine_is_not_cut() -> None:
    engine = EngineOptions(events=30, pause_s=0.02)
    async with PlatformRig(decodes=2, prefills=1, engine=engine) as rig:
        answers = [asyncio.ensure_future(rig.generate("/idea/1", f"id-{n}")) for n in range(4)]
        await wait_until(lambda: sum(len(d.runs) for d in rig.decodes) == 4)
        for decode in rig.decodes:
            decode.says_leaving = True
        await rig.generate("/idea/1", "finds-out")
        for answer in await asyncio.gather(*answers):
            assert answer.is_complete
            assert answer.body.count(b"\ndata:") == 30


async def test_stream_that_breaks_at_a_leaving_engine_goes_on_elsewhere() -> None:
    async with PlatformRig(decodes=3) as rig:
        fail_first(rig.decodes, Fault.BREAKS_MID_EVENT)
        first, leaving, last = rig.decodes
        membership = rig.process.gateway.membership
        membership.record_leaving(membership.get(leaving.instance).start, 0.0)
        answer = await rig.generate("/quote/1", "id-1")
        assert answer.is_complete
        assert sorted(rig.arrivals("id-1")) == [first.instance, last.instance]


@pytest.mark.usefixtures("patience")
async def test_generation_that_waits_for_room_is_refused_as_the_last_engine_leaves() -> None:
    async with PlatformRig(decodes=1, engine=EngineOptions(room=0)) as rig:
        decode = rig.decodes[0]
        waiting = asyncio.ensure_future(rig.generate("/idea/1", "id-1"))
        await wait_until(lambda: len(decode.calls) >= 3)
        decode.says_leaving = True
        answer = await waiting
        assert answer.status == 503
        assert b'"code":"no_endpoint"' in answer.body


@attrs.define
class _LeavesMeanwhile:
    """A pool of connections to an endpoint that is found to be leaving as one is opened."""

    rig: PlatformRig
    pool: Any

    async def acquire_connection(self, endpoint: Any, *args: Any, **kwargs: Any) -> Any:
        conn = await self.pool.acquire_connection(endpoint, *args, **kwargs)
        self.rig.process.gateway.membership.record_leaving(endpoint.start, 0.0)
        return conn

    def release_connection(self, *args: Any) -> None:
        self.pool.release_connection(*args)


async def test_request_between_choice_and_send_is_not_sent_to_an_endpoint_that_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with PlatformRig(services=1) as rig:
        sender = rig.process.gateway._tools.sender
        monkeypatch.setattr(sender, "_pool", _LeavesMeanwhile(rig, sender._pool))
        answer = await rig.ask("POST", "/pay/1", "id-1", b"order")
        assert answer.status == 503
        assert b'"ran":"no"' in answer.body
        assert rig.services[0].arrivals == []


async def test_what_an_endpoint_says_is_logged_with_the_request_that_showed_it(
    log_lines: list[dict[str, Any]],
) -> None:
    async with PlatformRig(services=1) as rig:
        rig.services[0].says_leaving = True
        await rig.ask("GET", "/stock/1", "id-1")
        metrics = rig.process.gateway.metrics.render().decode()
    lines = [x for x in log_lines if x["message"] == "an endpoint says that it is leaving"]
    assert [(x["request"], x["endpoint"]) for x in lines] == [("id-1", "s0")]
    assert "vanillashore_endpoints_leaving" in metrics


def _stop_turning_away(endpoint: EndpointStandIn) -> None:
    endpoint.retry_after = None


@pytest.mark.parametrize(("path", "kind"), KINDS_WITH_PREFILL)
@pytest.mark.parametrize("is_store_away", [False, True])
async def test_endpoint_gets_nothing_for_the_time_with_which_it_turned_a_request_away(
    path: str, kind: str, is_store_away: bool
) -> None:
    async with PlatformRig(services=2, prefills=2, decodes=2) as rig:
        ask = _ask(rig, path)
        for number in range(12):
            assert (await ask(f"first-{number}")).status == 200
        other, busy = sorted(getattr(rig, kind), key=lambda e: len(e.arrivals))
        rig.store.faults.is_silent = is_store_away
        busy.retry_after = "60"
        received, number = _received(busy), 0
        while _received(busy) == received:
            number += 1
            assert (await ask(f"second-{number}")).status == 200
        received = _received(busy)
        _stop_turning_away(busy)
        answers = [await ask(f"later-{number}") for number in range(20)]
        assert [answer.status for answer in answers] == [200] * 20
        assert _received(busy) == received
        assert len(other.arrivals) >= 20


@pytest.mark.parametrize(("path", "kind"), KINDS)
async def test_endpoint_is_used_again_after_the_time_with_which_it_turned_requests_away(
    path: str, kind: str
) -> None:
    async with PlatformRig(services=1, decodes=1) as rig:
        ask = _ask(rig, path)
        (busy,) = getattr(rig, kind)
        busy.retry_after = "0.8"
        await ask("first")
        _stop_turning_away(busy)
        await wait_until(lambda: not rig.process.gateway.limits.paused_endpoints)
        assert (await ask("second")).status == 200


async def _turn_away(rig: PlatformRig, ask: Ask, endpoints: list[EndpointStandIn]) -> None:
    """Have all endpoints turn a request away once."""
    for number in range(2 * len(endpoints)):
        await ask(f"first-{number}")
        if all(_received(endpoint) for endpoint in endpoints):
            return


@pytest.mark.parametrize(("path", "kind"), KINDS)
@pytest.mark.usefixtures("patience")
async def test_request_is_refused_at_once_while_all_endpoints_want_none(
    path: str, kind: str
) -> None:
    async with PlatformRig(services=3, decodes=3) as rig:
        ask = _ask(rig, path)
        endpoints = getattr(rig, kind)
        for endpoint in endpoints:
            endpoint.retry_after = "60"
        await _turn_away(rig, ask, endpoints)
        for endpoint in endpoints:
            _stop_turning_away(endpoint)
        received = [_received(endpoint) for endpoint in endpoints]
        answers = [await ask(f"late-{number}") for number in range(16)]
        assert {answer.status for answer in answers} == {503}
        assert all(b'"ran":"no"' in answer.body for answer in answers)
        waits = [float(answer.headers["retry-after"]) for answer in answers]
        assert min(waits) >= 55.0
        assert max(waits) > 1.05 * min(waits)
        assert [_received(endpoint) for endpoint in endpoints] == received


@pytest.mark.usefixtures("patience")
@pytest.mark.parametrize(("path", "kind"), KINDS)
async def test_short_time_of_all_endpoints_is_waited_for(path: str, kind: str) -> None:
    async with PlatformRig(services=2, decodes=2) as rig:
        ask = _ask(rig, path)
        endpoints = getattr(rig, kind)
        for endpoint in endpoints:
            endpoint.retry_after = "0.3"
        asking = asyncio.ensure_future(ask("id-1"))
        await wait_until(lambda: all(_received(endpoint) for endpoint in endpoints))
        for endpoint in endpoints:
            _stop_turning_away(endpoint)
        assert (await asking).status == 200
        assert sum(len(endpoint.runs) for endpoint in endpoints) == 1


@pytest.mark.usefixtures("patience")
async def test_generation_that_waits_is_refused_when_no_engine_wants_one_in_time() -> None:
    async with PlatformRig(decodes=1, engine=EngineOptions(room=0)) as rig:
        decode = rig.decodes[0]
        waiting = asyncio.ensure_future(rig.generate("/idea/1", "id-1"))
        await wait_until(lambda: len(decode.calls) >= 3)
        decode.retry_after = "60"
        answer = await waiting
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 55.0


@pytest.mark.parametrize(
    ("retry_after", "is_used"),
    [
        ("0", True),
        ("0.05", True),
        ("-3", True),
        ("Fri, 04 Dec 2026 14:00:00 GMT", True),
        ("soon", True),
        ("20", False),
        ("1e2", True),
        ("999999999999999999999999", False),
    ],
)
async def test_odd_times_with_which_requests_are_turned_away(
    retry_after: str, is_used: bool
) -> None:
    async with PlatformRig(services=1) as rig:
        endpoint = rig.services[0]
        endpoint.retry_after = retry_after
        await rig.ask("GET", "/stock/1", "id-1")
        _stop_turning_away(endpoint)
        await asyncio.sleep(0.2)
        answer = await rig.ask("GET", "/stock/1", "id-2")
        assert (answer.status == 200) is is_used


async def test_time_of_one_answer_holds_although_others_succeed() -> None:
    async with PlatformRig(services=2) as rig:
        busy = rig.services[0]
        busy.may_answer.clear()
        slow = [asyncio.ensure_future(rig.ask("GET", "/stock/1", f"s-{n}")) for n in range(4)]
        await wait_until(lambda: len(busy.arrivals) >= 2)
        busy.retry_after = "20"
        gateway = rig.process.gateway
        gateway.limits.record_pause(gateway.membership.get(busy.instance), 20.0, "other")
        _stop_turning_away(busy)
        busy.may_answer.set()
        await asyncio.gather(*slow)
        received = _received(busy)
        for number in range(10):
            assert (await rig.ask("GET", "/stock/1", f"id-{number}")).status == 200
        assert _received(busy) == received


async def test_next_start_of_an_endpoint_wants_requests_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_limit_requests, "RECORD_LAG_S", 0.0)
    async with PlatformRig(services=1) as rig:
        endpoint = rig.services[0]
        endpoint.retry_after = "20"
        await rig.ask("GET", "/stock/1", "id-1")
        endpoint.restart("v1")
        rig.store.put(f"servers/{endpoint.instance}", endpoint.entry())
        membership = rig.process.gateway.membership
        await wait_until(lambda: membership.get(endpoint.instance).started_ms == 2)
        assert (await rig.ask("GET", "/stock/1", "id-2")).status == 200


async def test_endpoint_with_a_request_limit_may_also_want_nothing_for_a_time() -> None:
    async with PlatformRig(services=1) as rig:
        endpoint = rig.services[0]
        endpoint.limit_per_s = 50.0
        assert (await rig.ask("GET", "/stock/1", "id-1")).status == 200
        endpoint.retry_after = "20"
        await rig.ask("GET", "/stock/1", "id-2")
        _stop_turning_away(endpoint)
        received = len(endpoint.arrivals)
        answer = await rig.ask("GET", "/stock/1", "id-3")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) >= 18.0
        assert len(endpoint.arrivals) == received


async def test_time_with_which_requests_are_turned_away_is_logged(
    log_lines: list[dict[str, Any]],
) -> None:
    async with PlatformRig(services=1) as rig:
        rig.services[0].retry_after = "20"
        await rig.ask("GET", "/stock/1", "id-1")
        metrics = rig.process.gateway.metrics.render().decode()
    lines = [x for x in log_lines if x["message"] == "an endpoint wants no requests for a time"]
    assert [(x["request"], x["endpoint"], x["pause_s"]) for x in lines] == [("id-1", "s0", 20.0)]
    assert "vanillashore_endpoints_paused" in metrics


@pytest.mark.parametrize("statement", ["leaving", "pause"])
async def test_statement_of_a_start_whose_record_is_read_later_holds_for_it(
    statement: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    for module in (_membership, _limit_requests):
        monkeypatch.setattr(module, "RECORD_LAG_S", 60.0)
    async with PlatformRig(services=2) as rig:
        endpoint = rig.services[0]
        endpoint.restart("v1")
        if statement == "leaving":
            endpoint.says_leaving = True
        else:
            endpoint.retry_after = "20"
        for number in range(6):
            await rig.ask("GET", "/stock/1", f"first-{number}")
        endpoint.retry_after = None
        received = len(endpoint.arrivals)
        assert received
        rig.store.put(f"servers/{endpoint.instance}", endpoint.entry())
        membership = rig.process.gateway.membership
        await wait_until(lambda: membership.get(endpoint.instance).started_ms == 2)
        answers = await asyncio.gather(
            *(rig.ask("GET", "/stock/1", f"id-{number}") for number in range(20))
        )
        assert [answer.status for answer in answers] == [200] * 20
        assert len(endpoint.arrivals) == received


def test_statement_of_an_earlier_start_keeps_a_later_one_out_for_a_while_only() -> None:
    old = Endpoint("a", "s", "10.0.0.1", 80, "dc", 8, started_ms=1)
    new = attrs.evolve(old, started_ms=2)
    for stated_at, is_carried in [(6.9, False), (7.1, True)]:
        members = _membership.Membership()
        members.put(old, 0.0)
        assert members.record_leaving(old.start, stated_at)
        members.put(new, 10.0)
        assert members.carry_leaving(old.start, new.start, 10.0) is is_carried
        assert members.is_leaving(new) is is_carried
        members.end_carried(new.start)
        assert not members.is_leaving(new)
    assert members.record_leaving(new.start, 11.0)
    members.end_carried(new.start)
    assert members.is_leaving(new)


@pytest.mark.parametrize("statement", ["leaving", "pause"])
async def test_home_assigns_prompts_to_other_engines_than_those_that_want_none_from_an_entry(
    statement: str,
) -> None:
    async with PlatformRig(prefills=2, decodes=2, entries=2) as rig:
        names = [process.gateway.cfg.node for process in rig.processes]
        entry = 1 - names.index(rank_homes(MODELS, names)[0])
        gateway = rig.processes[entry].gateway
        closed, other = rig.prefills
        endpoint = gateway.membership.get(closed.instance)
        if statement == "leaving":
            gateway.membership.record_leaving(endpoint.start, 0.0)
        else:
            gateway.limits.record_pause(endpoint, 60.0, "id-0")
        for number in range(10):
            answer = await rig.generate("/idea/1", f"id-{number}", entry=entry)
            assert answer.status == 200
        assert (len(closed.arrivals), len(other.arrivals)) == (0, 10)


@pytest.mark.parametrize("statement", ["leaving", "pause"])
async def test_statement_holds_through_a_restore_of_the_store(statement: str) -> None:
    async with PlatformRig(services=2) as rig:
        gateway, endpoint = rig.process.gateway, rig.services[0]
        copy = rig.store.copy()
        if statement == "leaving":
            endpoint.says_leaving = True
        else:
            endpoint.retry_after = "60"
        for number in range(6):
            assert (await rig.ask("GET", "/stock/1", f"first-{number}")).status == 200
        received = len(endpoint.arrivals)
        assert received
        _stop_turning_away(endpoint)
        rig.store.restore(copy)
        await wait_until(lambda: gateway._snapshots_to_settle == 1)
        for number in range(20):
            assert (await rig.ask("GET", "/stock/1", f"id-{number}")).status == 200
        assert len(endpoint.arrivals) == received


async def test_what_an_endpoint_has_stated_holds_although_its_record_lapses_and_comes_back() -> (
    None
):
    async with PlatformRig(services=1) as rig:
        endpoint, gateway = rig.services[0], rig.process.gateway
        endpoint.limit_per_s = 5.0
        await rig.ask("POST", "/pay/1", "id-1", b"pay")
        endpoint.retry_after = "30"
        await rig.ask("POST", "/pay/1", "id-2", b"pay")
        rig.store.remove("servers/s0")
        await wait_until(lambda: len(gateway.membership) == 0)
        rig.store.put("servers/s0", endpoint.entry())
        await wait_until(lambda: len(gateway.membership) == 1)
        listed = gateway.membership.get("s0")
        assert gateway.limits.pause_s(listed.start) > 20
        assert gateway.limits.known_limit(listed).limit_per_s == 5.0
        arrivals = len(endpoint.arrivals)
        assert (await rig.ask("POST", "/pay/1", "id-3", b"pay")).status == 503
        assert len(endpoint.arrivals) == arrivals


async def test_what_an_endpoint_has_stated_is_dropped_once_it_has_long_been_gone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("vanillashore_gateway._gateway.STATEMENTS_KEPT_S", 0.05)
    async with PlatformRig(services=1) as rig:
        endpoint, gateway = rig.services[0], rig.process.gateway
        endpoint.retry_after = "30"
        await rig.ask("POST", "/pay/1", "id-1", b"pay")
        rig.store.remove("servers/s0")
        await wait_until(lambda: gateway.limits.paused_endpoints == 0)
