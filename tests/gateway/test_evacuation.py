"""Endpoints in data centres that are evacuated, and what they get from then on."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from vanillashore_gateway import (
    Endpoint,
    EndpointRole,
    _calls,
    _duty,
    _following,
    _slot_finder,
)
from vanillashore_gateway._home_ranking import rank_homes
from vanillashore_gateway._membership import Membership
from vanillashore_standins import wait_until
from vanillashore_standins.platform_endpoint import EndpointStandIn, EngineOptions, Fault
from vanillashore_standins.platform_rig import MODELS, Answer, PlatformRig, fail_first

Ask = Callable[..., Awaitable[Answer]]
KINDS = [("/stock/1", "services"), ("/pay/1", "services"), ("/quote/1", "decodes")]
KINDS_WITH_PREFILL = [*KINDS, ("/idea/1", "prefills")]


def _ask(rig: PlatformRig, path: str) -> Ask:
    """Return the function that sends a request with an id to a path."""

    async def ask(request_id: str, entry: int = 0) -> Answer:
        if path.startswith(("/stock/", "/pay/")):
            return await rig.ask("GET", path, request_id, entry=entry)
        return await rig.generate(path, request_id, entry=entry)

    return ask


def _received(endpoints: list[EndpointStandIn]) -> int:
    """Return how many requests and calls of any kind have reached the endpoints."""
    return sum(len(endpoint.arrivals) + len(endpoint.calls) for endpoint in endpoints)


def _in(rig: PlatformRig, data_centre: str) -> list[EndpointStandIn]:
    return [endpoint for endpoint in rig.endpoints if endpoint.data_centre == data_centre]


@pytest.fixture
def patience(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let requests wait for 18 s, so that one that is not refused at once gets 504 after 4 s."""
    monkeypatch.setattr(_calls, "MAX_QUEUE_SHARE", 20.0)
    monkeypatch.setattr(_slot_finder, "MAX_WAIT_TARGETS", 20.0)
    monkeypatch.setattr(_slot_finder, "MAX_WAIT_TIMEOUT_SHARE", 10.0)


@pytest.mark.parametrize(("path", "kind"), KINDS_WITH_PREFILL)
@pytest.mark.parametrize("is_store_away", [False, True])
async def test_endpoints_of_an_evacuated_data_centre_get_nothing_more(
    path: str, kind: str, is_store_away: bool
) -> None:
    async with PlatformRig(services=4, prefills=4, decodes=4, entries=2, data_centres=2) as rig:
        ask = _ask(rig, path)
        for number in range(24):
            assert (await ask(f"first-{number}", entry=number % 2)).status == 200
        left = [e for e in getattr(rig, kind) if e.data_centre == "dc-a"]
        assert _received(left) > 0
        await rig.evacuate("dc-a", "no-such-data-centre")
        rig.store.faults.is_silent = is_store_away
        received = _received(_in(rig, "dc-a"))
        answers = [await ask(f"later-{n}", entry=n % 2) for n in range(24)]
        assert [answer.status for answer in answers] == [200] * 24
        assert _received(_in(rig, "dc-a")) == received


@pytest.mark.parametrize(("path", "kind"), KINDS_WITH_PREFILL)
async def test_endpoints_are_used_again_when_an_evacuation_is_withdrawn(
    path: str, kind: str
) -> None:
    async with PlatformRig(services=4, prefills=4, decodes=4, data_centres=2) as rig:
        ask = _ask(rig, path)
        await rig.evacuate("dc-a")
        for number in range(4):
            assert (await ask(f"first-{number}")).status == 200
        assert _received(_in(rig, "dc-a")) == 0
        await rig.evacuate()
        for number in range(24):
            assert (await ask(f"later-{number}")).status == 200
        assert _received([e for e in getattr(rig, kind) if e.data_centre == "dc-a"]) > 0


async def test_entry_that_starts_knows_the_evacuations_before_its_first_request() -> None:
    async with PlatformRig(services=2, decodes=2, data_centres=2) as rig:
        await rig.evacuate("dc-a")
        await rig.start_entry("entry-2")
        assert rig.evacuated == [frozenset({"dc-a"})] * 2
        for number in range(12):
            assert (await rig.ask("GET", "/stock/1", f"s-{number}", entry=1)).status == 200
            assert (await rig.generate("/quote/1", f"g-{number}", entry=1)).status == 200
        assert _received(_in(rig, "dc-a")) == 0


async def test_second_evacuation_adds_to_the_first() -> None:
    async with PlatformRig(services=3, data_centres=3) as rig:
        rig.store.put("op/evacuate/dc-a", b"")
        await rig.evacuate("dc-a", "dc-b")
        for number in range(12):
            assert (await rig.ask("GET", "/stock/1", f"id-{number}")).status == 200
        assert [len(endpoint.arrivals) for endpoint in rig.services] == [0, 0, 12]


async def test_endpoint_that_is_listed_after_the_request_is_not_used() -> None:
    async with PlatformRig(services=2, data_centres=2) as rig:
        rig.store.remove("servers/s0")
        await rig.evacuate("dc-a")
        rig.store.put("servers/s0", rig.services[0].entry())
        await wait_until(lambda: rig.process.gateway.membership.get("s0") is not None)
        for number in range(12):
            assert (await rig.ask("GET", "/stock/1", f"id-{number}")).status == 200
        assert _received(_in(rig, "dc-a")) == 0


@pytest.mark.parametrize(("path", "kind"), KINDS)
@pytest.mark.usefixtures("patience")
async def test_request_is_refused_at_once_when_all_endpoints_are_evacuated(
    path: str, kind: str
) -> None:
    async with PlatformRig(services=2, decodes=2) as rig:
        ask = _ask(rig, path)
        await rig.evacuate("dc-a")
        answers = [await ask(f"id-{number}") for number in range(8)]
        assert {answer.status for answer in answers} == {503}
        assert all(b'"ran":"no"' in answer.body for answer in answers)
        assert all(float(answer.headers["retry-after"]) > 0 for answer in answers)
        assert _received(getattr(rig, kind)) == 0


class _EvacuatedMeanwhile:
    """A pool of connections; dc-a is evacuated as one to an endpoint of a role is opened."""

    def __init__(self, rig: PlatformRig, pool: Any, role: EndpointRole) -> None:
        self._rig = rig
        self._pool = pool
        self._role = role

    async def acquire_connection(self, endpoint: Any, *args: Any, **kwargs: Any) -> Any:
        conn = await self._pool.acquire_connection(endpoint, *args, **kwargs)
        if endpoint.role is self._role:
            self._rig.process.gateway.membership.set_evacuated({"dc-a"})
        return conn

    def release_connection(self, *args: Any) -> None:
        self._pool.release_connection(*args)


@pytest.mark.parametrize(
    ("path", "kind", "role"),
    [
        ("/pay/1", "services", EndpointRole.SERVICE),
        ("/quote/1", "decodes", EndpointRole.DECODE),
        ("/quote/1", "prefills", EndpointRole.PREFILL),
    ],
)
async def test_request_between_choice_and_first_byte_is_not_sent_to_an_evacuated_endpoint(
    path: str, kind: str, role: EndpointRole, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with PlatformRig(services=1, prefills=1, decodes=1) as rig:
        sender = rig.process.gateway._tools.sender
        monkeypatch.setattr(sender, "_pool", _EvacuatedMeanwhile(rig, sender._pool, role))
        answer = await _ask(rig, path)("id-1")
        assert answer.status == 503
        assert b'"ran":"no"' in answer.body
        assert [len(endpoint.arrivals) for endpoint in getattr(rig, kind)] == [0]


async def test_reservation_call_between_choice_and_first_byte_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with PlatformRig(decodes=1) as rig:
        calls = rig.process.gateway.calls
        pool = _EvacuatedMeanwhile(rig, calls._pool, EndpointRole.DECODE)
        monkeypatch.setattr(calls, "_pool", pool)
        assert (await rig.generate("/idea/1", "id-1")).status == 503
        assert rig.decodes[0].calls == []


async def test_generation_with_a_slot_at_an_evacuated_engine_decodes_elsewhere() -> None:
    async with PlatformRig(prefills=2, decodes=2, data_centres=2) as rig:
        for prefill in rig.prefills:
            prefill.may_answer.clear()
        asking = [asyncio.ensure_future(rig.generate("/quote/1", f"id-{n}")) for n in range(4)]
        await wait_until(lambda: sum(len(p.arrivals) for p in rig.prefills) >= 4)
        await rig.evacuate("dc-a")
        received = _received(_in(rig, "dc-a"))
        for prefill in rig.prefills:
            prefill.may_answer.set()
        for answer in await asyncio.gather(*asking):
            assert answer.status == 200
            assert answer.is_complete
        assert _received(_in(rig, "dc-a")) == received
        assert len(rig.decodes[1].runs) == 4


async def test_cache_at_an_evacuated_prefill_engine_is_still_fetched() -> None:
    async with PlatformRig(prefills=1, decodes=1) as rig:
        prefill, decode = rig.prefills[0], rig.decodes[0]
        prefill.data_centre = "dc-b"
        rig.store.put("servers/p0", prefill.entry())
        membership = rig.process.gateway.membership
        await wait_until(lambda: membership.get("p0").data_centre == "dc-b")
        prefill.may_answer.clear()
        asking = asyncio.ensure_future(rig.generate("/quote/1", "id-1"))
        await wait_until(lambda: len(prefill.arrivals) == 1)
        await rig.evacuate("dc-b")
        prefill.may_answer.set()
        assert (await asking).status == 200
        assert decode.runs[0].headers["x-kv-source"].startswith(prefill.address)


async def test_stream_that_runs_at_an_evacuated_engine_is_not_cut() -> None:
    engine = EngineOptions(events=30, pause_s=0.02)
    async with PlatformRig(decodes=2, engine=engine) as rig:
        asking = [asyncio.ensure_future(rig.generate("/idea/1", f"id-{n}")) for n in range(4)]
        await wait_until(lambda: sum(len(decode.runs) for decode in rig.decodes) == 4)
        await rig.evacuate("dc-a")
        for answer in await asyncio.gather(*asking):
            assert answer.is_complete
            assert answer.body.count(b"\ndata:") == 30


async def test_stream_that_breaks_during_an_evacuation_goes_on_in_another_data_centre() -> None:
    engine = EngineOptions(events=6)
    async with PlatformRig(decodes=4, engine=engine, data_centres=2) as rig:
        fail_first(rig.decodes, Fault.BREAKS_MID_EVENT)
        for decode in rig.decodes:
            decode.may_answer.clear()
        asking = asyncio.ensure_future(rig.generate("/quote/1", "id-1"))
        await wait_until(lambda: len(rig.arrivals("id-1")) == 1)
        left = next(e.data_centre for e in rig.decodes if e.runs)
        await rig.evacuate(left)
        for decode in rig.decodes:
            decode.may_answer.set()
        assert (await asking).is_complete
        assert len(rig.arrivals("id-1")) == 2
        assert [len(e.runs) for e in _in(rig, left) if e.runs] == [1]


async def test_home_assigns_prompts_to_engines_outside_a_data_centre_that_an_entry_evacuates() -> (
    None
):
    async with PlatformRig(prefills=2, decodes=2, entries=2, data_centres=2) as rig:
        names = [process.gateway.cfg.node for process in rig.processes]
        entry = 1 - names.index(rank_homes(MODELS, names)[0])
        rig.processes[entry].gateway.membership.set_evacuated({"dc-a"})
        for number in range(10):
            answer = await rig.generate("/idea/1", f"id-{number}", entry=entry)
            assert answer.status == 200
        assert [len(prefill.arrivals) for prefill in rig.prefills] == [0, 10]


def _engine(name: str, role: EndpointRole, data_centre: str) -> Endpoint:
    return Endpoint(name, MODELS, "10.0.0.1", 80, data_centre, 8, role)


def test_role_plan_does_not_count_engines_of_an_evacuated_data_centre() -> None:
    """Without dc-a the pool has one prefill engine of two engines, and needs no change."""
    members = Membership()
    for name, role, data_centre in [
        ("p0", EndpointRole.PREFILL, "dc-a"),
        ("p1", EndpointRole.PREFILL, "dc-a"),
        ("p2", EndpointRole.PREFILL, "dc-b"),
        ("d0", EndpointRole.DECODE, "dc-b"),
    ]:
        members.put(_engine(name, role, data_centre), 0.0)
    assert _duty.plan_roles(members.all_usable())
    members.set_evacuated({"dc-a"})
    assert _duty.plan_roles(members.all_usable()) == []


def test_role_plan_makes_a_prefill_engine_when_all_others_are_evacuated() -> None:
    members = Membership()
    members.put(_engine("p0", EndpointRole.PREFILL, "dc-a"), 0.0)
    for number in range(4):
        members.put(_engine(f"d{number}", EndpointRole.DECODE, "dc-b"), 0.0)
    members.set_evacuated({"dc-a"})
    changes = _duty.plan_roles(members.all_usable())
    assert [(c.endpoint.data_centre, c.role) for c in changes] == [("dc-b", EndpointRole.PREFILL)]


async def test_evacuation_is_in_force_until_a_restored_store_has_settled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_following, "RESTORE_SETTLE_S", 0.7)
    async with PlatformRig(services=2, data_centres=2) as rig:
        gateway = rig.process.gateway
        copy = rig.store.copy()
        await rig.evacuate("dc-a")
        rig.store.restore(copy)
        await wait_until(lambda: gateway._snapshots_to_settle == 1)
        for number in range(12):
            assert (await rig.ask("GET", "/stock/1", f"id-{number}")).status == 200
        assert _received(_in(rig, "dc-a")) == 0
        await wait_until(lambda: gateway._snapshots_to_settle == 0)
        assert rig.evacuated == [frozenset()]


async def test_evacuation_that_is_requested_again_after_a_restore_stays_in_force(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_following, "RESTORE_SETTLE_S", 0.7)
    async with PlatformRig(services=2, data_centres=2) as rig:
        gateway = rig.process.gateway
        copy = rig.store.copy()
        await rig.evacuate("dc-a")
        rig.store.restore(copy)
        rig.store.put("op/evacuate/dc-a", b"")
        await wait_until(lambda: gateway._snapshots_to_settle == 1)
        await wait_until(lambda: gateway._snapshots_to_settle == 0)
        for number in range(12):
            assert (await rig.ask("GET", "/stock/1", f"id-{number}")).status == 200
        assert _received(_in(rig, "dc-a")) == 0


async def test_evacuation_withdrawn_in_history_that_was_dropped_ends() -> None:
    async with PlatformRig(services=2, data_centres=2) as rig:
        await rig.evacuate("dc-a")
        rig.store.faults.status = 500
        rig.store.remove("op/evacuate/dc-a")
        rig.store.drop_history()
        rig.store.faults.status = 0
        await wait_until(lambda: rig.evacuated == [frozenset()])


async def test_evacuation_is_logged_and_counted(log_lines: list[dict[str, Any]]) -> None:
    async with PlatformRig(services=2, data_centres=2) as rig:
        await rig.evacuate("dc-a")
        metrics = rig.process.gateway.metrics.render().decode()
        await rig.evacuate()
    text = "the evacuated data centres have changed"
    lines = [x for x in log_lines if x["message"] == text]
    assert [(x["added"], x["withdrawn"], x["endpoints"]) for x in lines] == [
        (["dc-a"], [], 1),
        ([], ["dc-a"], 0),
    ]
    assert "vanillashore_endpoints_evacuated" in metrics
    assert "vanillashore_data_centres_evacuated" in metrics
