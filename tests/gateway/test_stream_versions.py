"""Streams while endpoints of several software versions serve side by side."""

import asyncio
from typing import Any

import attrs
import pytest

from vanillashore_gateway import Endpoint, EndpointRole, LinkError, LinkFailure
from vanillashore_gateway._start_checks import RECHECK_S
from vanillashore_standins import wait_until
from vanillashore_standins.platform_endpoint import EndpointStandIn, EngineOptions, Fault
from vanillashore_standins.platform_rig import PlatformRig, fail_first
from vanillashore_standins.platform_stream import Stream


async def test_logs_tell_which_stream_is_taken_up_and_at_which_version(
    log_lines: list[dict[str, Any]],
) -> None:
    async with PlatformRig(prefills=1, decodes=1) as rig:
        await rig.generate("/quote/1", "id-2", Resumes="id-1", Last_Event_Id="3")
    admitted = next(line for line in log_lines if line["message"] == "admitted")
    assert (admitted["resumes"], admitted["last_event_id"]) == ("id-1", 3)
    reserved = next(line for line in log_lines if line["message"] == "slot reserved")
    assert reserved["software"] == "v1"


ENGINE = EngineOptions(events=30, pause_s=0.02)
REPORT = ("GET", "/-/report")


def _rig(entries: int = 3, **options: Any) -> PlatformRig:
    """Return a rig whose engines have two versions."""
    rig = PlatformRig(prefills=2, decodes=4, entries=entries, **({"engine": ENGINE} | options))
    for endpoint in (rig.prefills[1], *rig.decodes[2:]):
        endpoint.version = "v2"
    return rig


@pytest.fixture
def keep_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let entries keep idle connections, so that each restart gives a sign."""
    monkeypatch.setattr("vanillashore_gateway._http_client.DEFAULT_IDLE_LIMIT_S", 60.0)


async def _take_up(rig: PlatformRig, number: int, begun: Stream) -> Stream:
    last_id, _ = begun.events[-1]
    stream = await Stream.open(
        rig,
        f"second-{number}",
        number % len(rig.processes),
        Resumes=f"first-{number}",
        Last_Event_Id=str(last_id),
    )
    await stream.read(ENGINE.events - last_id)
    stream.close()
    return stream


@pytest.mark.parametrize("how", ["caller leaves", "entry is killed"])
async def test_stream_taken_up_by_its_caller_goes_on_at_the_version_that_began_it(how: str) -> None:
    async with _rig() as rig:
        begun = [await Stream.open(rig, f"first-{n}", entry=0) for n in range(16)]
        await asyncio.gather(*(stream.read(3) for stream in begun))
        if how == "entry is killed":
            rig.kill_entry(0)
        for stream in begun:
            stream.close()
        resumed = await asyncio.gather(*(_take_up(rig, n, s) for n, s in enumerate(begun)))
        mixed = went_on = 0
        for first, second in zip(begun, resumed, strict=True):
            events = first.events + second.events
            mixed += len({version for _, version in events}) > 1
            went_on += [number for number, _ in events] == list(range(1, ENGINE.events + 1))
        assert {version for stream in begun for _, version in stream.events} == {b"v1", b"v2"}
        assert mixed == 0
        assert went_on >= 12


@pytest.mark.parametrize("fault", [Fault.BREAKS_MID_EVENT, Fault.STALLS])
async def test_stream_that_moves_within_its_answer_stays_at_its_version(fault: Fault) -> None:
    async with _rig(entries=1) as rig:
        for engine in rig.decodes:
            engine.faults.append(fault)
        streams = [await Stream.open(rig, f"id-{n}", entry=0) for n in range(6)]
        await asyncio.gather(*(stream.read(ENGINE.events) for stream in streams))
        versions = [{version for _, version in stream.events} for stream in streams]
        assert [len(names) for names in versions] == [1] * 6
        assert sum(len(s.events) == ENGINE.events for s in streams) >= 4


async def test_prompt_is_prefilled_at_the_version_that_decodes_it() -> None:
    async with _rig(entries=2) as rig:
        version_of = {e.instance: e.version for e in rig.endpoints}
        for number in range(12):
            await rig.generate("/quote/1", f"id-{number}", entry=number % 2)
        for number in range(12):
            reached = {
                version_of[e.instance]
                for e in (*rig.prefills, *rig.decodes)
                for arrival in e.arrivals
                if arrival.request_id == f"id-{number}"
            }
            assert len(reached) == 1


async def test_stream_that_waits_for_its_version_does_not_hold_up_others() -> None:
    async with _rig(entries=1) as rig:
        rig.decodes[0].engine.break_after = 2
        for engine in rig.decodes[2:]:
            engine.engine.room = 0
        fail_first(rig.decodes[:2], Fault.BREAKS_MID_EVENT)
        begun = await Stream.open(rig, "begun", entry=0)
        await begun.read(1)
        for engine in rig.decodes[:2]:
            engine.engine.room = 0
        await wait_until(lambda: rig.process.gateway.slot_finder.waiting("models") == 1)
        rig.decodes[2].engine.room = 1_000_000
        answer = await rig.generate("/quote/1", "other")
        assert (answer.status, answer.is_complete) == (200, True)
        rig.decodes[0].engine.room = rig.decodes[1].engine.room = 1_000_000
        await begun.read(ENGINE.events)
        assert {version for _, version in begun.events} == {b"v1"}
        assert len(begun.events) == ENGINE.events


async def test_stalled_stream_whose_version_has_no_other_engine_keeps_waiting() -> None:
    engine = attrs.evolve(ENGINE, stall_s=1.5)
    async with PlatformRig(prefills=1, decodes=2, engine=engine) as rig:
        rig.decodes[1].version = "v2"
        rig.store.put("servers/d1", rig.decodes[1].entry())
        rig.decodes[1].engine.room = 0
        membership = rig.process.gateway.membership
        await wait_until(lambda: membership.get("d1").software == "v2")
        rig.decodes[0].faults.append(Fault.STALLS)
        begun = await Stream.open(rig, "begun", entry=0)
        await begun.read(1)
        rig.decodes[1].engine.room = 1_000_000
        await begun.read(ENGINE.events)
        assert [version for _, version in begun.events] == [b"v1"] * ENGINE.events


async def test_stream_whose_version_has_left_is_ended_at_once() -> None:
    async with _rig(entries=1, engine=EngineOptions(events=30, pause_s=0.1)) as rig:
        for engine in rig.decodes[2:]:
            engine.engine.room = 0
        rig.decodes[0].engine.break_after = rig.decodes[1].engine.break_after = 20
        fail_first(rig.decodes[:2], Fault.BREAKS_MID_EVENT)
        begun = await Stream.open(rig, "begun", entry=0)
        await begun.read(1)
        for engine in rig.decodes[:2]:
            rig.store.put(f"servers/{engine.instance}", engine.entry(state="draining"))
        for engine in rig.decodes[2:]:
            engine.engine.room = 1_000_000
        membership = rig.process.gateway.membership
        await wait_until(lambda: len(membership.usable("models", EndpointRole.DECODE)) == 2)
        await begun.read(ENGINE.events)
        assert [number for number, _ in begun.events] == list(range(1, 21))
        assert len(rig.arrivals("begun")) == 1


def _fail_after_the_prefill(rig: PlatformRig, then_has_room: EndpointStandIn) -> None:
    """Let the first decode engine, which alone has room, fail; then another one has room."""
    for engine in rig.decodes[1:]:
        engine.engine.room = 0
    pool = rig.process.gateway.pool
    acquire = pool.acquire_connection

    async def fail_after_the_prefill(endpoint: Endpoint, *args: Any, **kwargs: Any) -> Any:
        if endpoint.instance == "d0" and rig.prefills[0].arrivals:
            then_has_room.engine.room = 1_000_000
            raise LinkError(LinkFailure.NOT_SENT, "refused")
        return await acquire(endpoint, *args, **kwargs)

    pool.acquire_connection = fail_after_the_prefill


async def test_cache_of_another_version_is_not_used_by_the_next_decode_engine() -> None:
    async with _rig(entries=1) as rig:
        _fail_after_the_prefill(rig, rig.decodes[2])
        answer = await rig.generate("/idea/1", "id-1")
        assert (answer.status, rig.arrivals("id-1")) == (200, ["d2"])
        assert "x-kv-source" not in rig.decodes[2].arrivals[0].headers


async def test_resumable_stream_moves_to_another_engine_of_the_version_that_was_announced() -> None:
    async with _rig(entries=1) as rig:
        _fail_after_the_prefill(rig, rig.decodes[1])
        answer = await rig.generate("/quote/1", "id-1")
        assert (answer.status, rig.arrivals("id-1")) == (200, ["d1"])


async def test_resumable_stream_that_cannot_begin_at_its_version_may_come_back() -> None:
    """Guards against a refusal without a way out: a new request may begin at any version."""
    async with _rig(entries=1) as rig:
        _fail_after_the_prefill(rig, rig.decodes[2])
        for engine in rig.decodes[:2]:
            rig.store.put(f"servers/{engine.instance}", engine.entry(state="draining"))
        answer = await rig.generate("/quote/1", "id-1")
        if rig.arrivals("id-1") == []:
            assert answer.status == 503
            assert b'"ran":"no"' in answer.body
            await asyncio.sleep(float(answer.headers["retry-after"]))
            answer = await rig.generate("/quote/1", "id-2")
        assert answer.status == 200


async def test_stream_of_unknown_origin_is_refused_as_not_run_while_two_versions_serve() -> None:
    async with _rig() as rig:
        answer = await rig.generate("/quote/1", "id-2", Resumes="id-1", Last_Event_Id="3")
        assert answer.status == 503
        assert b'"code":"origin_unknown"' in answer.body
        assert b'"ran":"no"' in answer.body
        assert rig.arrivals("id-2") == []


async def test_stream_is_taken_up_where_its_caller_comes_back_a_third_time() -> None:
    async with _rig() as rig:
        first = await Stream.open(rig, "first-0", entry=0)
        await first.read(3)
        events = list(first.events)
        first.close()
        for number in (1, 2):
            stream = await Stream.open(
                rig,
                f"again-{number}",
                number,
                Resumes="first-0",
                Last_Event_Id=str(events[-1][0]),
            )
            await stream.read(4 if number == 1 else ENGINE.events - len(events))
            events += stream.events
            stream.close()
        assert len({version for _, version in events}) == 1
        assert [number for number, _ in events] == list(range(1, ENGINE.events + 1))


@pytest.mark.parametrize("versions", [1, 2])
async def test_stream_does_not_begin_at_an_engine_that_has_restarted_under_its_name(
    versions: int,
) -> None:
    async with _rig(entries=1) as rig:
        for engine in rig.decodes[1:]:
            engine.engine.room = 0
            if versions == 1:
                rig.store.remove(f"servers/{engine.instance}")
        membership = rig.process.gateway.membership
        left = 4 if versions == 2 else 1
        await wait_until(lambda: len(membership.usable("models", EndpointRole.DECODE)) == left)
        await rig.generate("/quote/1", "before")
        rig.decodes[0].restart("v3")
        pending = asyncio.ensure_future(rig.generate("/quote/1", "after"))
        await wait_until(lambda: rig.decodes[0].calls.count(REPORT) == 2)
        await asyncio.sleep(0.2)
        assert rig.arrivals("after") == []
        rig.store.put("servers/d0", rig.decodes[0].entry())
        answer = await pending
        assert (answer.status, rig.arrivals("after")) == (200, ["d0"])
        lookup = await rig.process.gateway.origins.find("after")
        assert lookup.origin.software == "v3"


async def test_engine_that_ends_a_connection_is_asked_once_whether_it_has_restarted() -> None:
    async with _rig(entries=1) as rig:
        for engine in rig.decodes[1:]:
            engine.engine.room = 0
        await rig.generate("/quote/1", "before")
        rig.decodes[0].calls.clear()
        rig.decodes[0].faults.append(Fault.RESET_AFTER_RUN)
        await rig.generate("/idea/1", "broken")
        for number in range(3):
            answer = await rig.generate("/quote/1", f"id-{number}")
            assert (answer.status, answer.is_complete) == (200, True)
        assert rig.decodes[0].calls.count(REPORT) == 1


@pytest.mark.usefixtures("keep_connections")
async def test_new_entry_asks_each_engine_once_for_its_start() -> None:
    async with _rig(entries=1) as rig:
        for number in range(12):
            answer = await rig.generate("/quote/1", f"id-{number}")
            assert (answer.status, answer.is_complete) == (200, True)
        reached = [engine for engine in rig.decodes if engine.runs]
        assert [engine.calls.count(REPORT) for engine in reached] == [1] * len(reached)


async def test_entry_that_starts_with_an_old_record_does_not_begin_a_stream_by_it() -> None:
    async with PlatformRig(prefills=1, decodes=1) as rig:
        copy = rig.store.copy()
        rig.decodes[0].restart("v2")
        rig.store.put("servers/d0", rig.decodes[0].entry())
        rig.store.restore(copy)
        process = await rig.start_entry("entry-2")
        assert process.gateway.membership.get("d0").software == "v1"
        pending = asyncio.ensure_future(rig.generate("/quote/1", "id-1", entry=1))
        await wait_until(lambda: REPORT in rig.decodes[0].calls or rig.arrivals("id-1"))
        await asyncio.sleep(0.2)
        assert rig.arrivals("id-1") == []
        rig.store.put("servers/d0", rig.decodes[0].entry())
        answer = await pending
        assert (answer.status, rig.arrivals("id-1")) == (200, ["d0"])
        lookup = await process.gateway.origins.find("id-1")
        assert lookup.origin.software == "v2"


async def _check_that_an_unnoticed_restart_is_found(rig: PlatformRig) -> None:
    """Check that a stream does not begin at the first engine after it has restarted."""
    engine = rig.decodes[0]
    asked = engine.calls.count(REPORT)
    engine.version, engine.started_ms = "v3", 2
    pending = asyncio.ensure_future(rig.generate("/quote/1", "after"))
    await wait_until(lambda: engine.calls.count(REPORT) > asked or rig.arrivals("after"))
    await asyncio.sleep(0.2)
    assert rig.arrivals("after") == []
    pending.cancel()


async def _restore(rig: PlatformRig) -> Any:
    """Restore the store after a stream at the first engine; return the follower of the list."""
    for engine in rig.decodes[1:]:
        engine.engine.room = 0
    await rig.generate("/quote/1", "before")
    rig.store.restore(rig.store.copy())
    follower = rig.process._follower
    await wait_until(lambda: follower._settles_at is not None)
    return follower


@pytest.mark.usefixtures("keep_connections")
async def test_engine_is_asked_for_its_start_while_the_list_is_stale() -> None:
    async with _rig(entries=1) as rig:
        for engine in rig.decodes[1:]:
            engine.engine.room = 0
        await rig.generate("/quote/1", "before")
        rig.store.faults.status = 503
        await wait_until(rig.process.gateway._is_list_stale)
        await _check_that_an_unnoticed_restart_is_found(rig)


@pytest.mark.usefixtures("keep_connections")
async def test_engine_is_asked_for_its_start_until_the_second_snapshot_after_a_restore() -> None:
    async with _rig(entries=1) as rig:
        follower = await _restore(rig)
        await wait_until(lambda: follower.revision is not None)
        await _check_that_an_unnoticed_restart_is_found(rig)


@pytest.mark.usefixtures("keep_connections")
async def test_engines_are_not_asked_again_after_the_second_snapshot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("vanillashore_gateway._following.RESTORE_SETTLE_S", 0.1)
    async with _rig(entries=1) as rig:
        follower = await _restore(rig)
        await wait_until(lambda: follower._settles_at is None and follower.revision is not None)
        rig.decodes[0].calls.clear()
        for number in range(3):
            answer = await rig.generate("/quote/1", f"id-{number}")
            assert (answer.status, answer.is_complete) == (200, True)
        assert REPORT not in rig.decodes[0].calls


def _restart_after_the_reservation(rig: PlatformRig, is_record_late: bool) -> None:
    """Let the first engine start again with another version once it has granted a reservation.

    Only then the second engine has room.
    """
    first, second = rig.decodes
    second.engine.room = 0
    gateway = rig.process.gateway
    request_hold = gateway.calls.request_hold

    async def restart_once(endpoint: Endpoint, *args: Any, **kwargs: Any) -> Any:
        hold = await request_hold(endpoint, *args)
        if hold is not None and endpoint.instance == "d0" and first.version == "v1":
            first.restart("v2")
            second.engine.room = 1_000_000
            if not is_record_late:
                rig.store.put("servers/d0", first.entry())
                await wait_until(lambda: gateway.membership.get("d0").software == "v2")
        return hold

    gateway.calls.request_hold = restart_once


@pytest.mark.parametrize("is_record_late", [False, True])
async def test_stream_does_not_begin_at_an_engine_that_restarts_after_its_reservation(
    is_record_late: bool,
) -> None:
    async with PlatformRig(prefills=1, decodes=2, engine=ENGINE) as rig:
        _restart_after_the_reservation(rig, is_record_late)
        stream = await Stream.open(rig, "id-1", entry=0)
        await stream.read(ENGINE.events)
        lookup = await rig.process.gateway.origins.find("id-1")
        assert lookup.origin.software == "v1"
        assert [version for _, version in stream.events] == [b"v1"] * ENGINE.events
        assert rig.arrivals("id-1") == ["d1"]


@pytest.mark.parametrize("is_record_late", [False, True])
async def test_stream_is_not_taken_up_at_an_engine_that_restarts_after_its_reservation(
    is_record_late: bool,
) -> None:
    async with PlatformRig(prefills=1, decodes=2, engine=ENGINE) as rig:
        first = await Stream.open(rig, "first-0", entry=0)
        await first.read(3)
        first.close()
        _restart_after_the_reservation(rig, is_record_late)
        second = await _take_up(rig, 0, first)
        versions = [version for _, version in first.events + second.events]
        assert versions == [b"v1"] * ENGINE.events


async def test_restart_that_is_noticed_after_the_request_was_sent_does_not_mix_versions() -> None:
    async with PlatformRig(prefills=1, decodes=2, engine=ENGINE) as rig:
        first, second = rig.decodes
        second.engine.room = 0
        gateway = rig.process.gateway
        acquire = gateway.pool.acquire_connection

        async def restart_once(endpoint: Endpoint, *args: Any, **kwargs: Any) -> Any:
            if endpoint.instance == "d0" and rig.prefills[0].arrivals and first.version == "v1":
                first.restart("v2")
                second.engine.room = 1_000_000
                await wait_until(lambda: gateway.membership.may_have_restarted(endpoint))
            return await acquire(endpoint, *args, **kwargs)

        gateway.pool.acquire_connection = restart_once
        stream = await Stream.open(rig, "id-1", entry=0)
        await stream.read(ENGINE.events)
        lookup = await gateway.origins.find("id-1")
        assert lookup.origin.software == "v1"
        assert [version for _, version in stream.events] == [b"v1"] * ENGINE.events


async def _leave_without_a_connection(rig: PlatformRig, engine: EndpointStandIn) -> None:
    """Use an engine, and then let the entry close its connections as idle ones."""
    answer = await rig.generate("/quote/1", f"before-{engine.version}")
    assert answer.status == 200
    await wait_until(lambda: engine.open_connections == 0)


@pytest.mark.parametrize("versions", [1, 2])
async def test_restart_while_no_connection_was_open_is_found_if_there_are_several_versions(
    monkeypatch: pytest.MonkeyPatch, versions: int
) -> None:
    monkeypatch.setattr("vanillashore_gateway._http_client.DEFAULT_IDLE_LIMIT_S", 0.1)
    async with PlatformRig(prefills=1, decodes=2, engine=ENGINE) as rig:
        first, second = rig.decodes
        second.engine.room = 0
        gateway = rig.process.gateway
        if versions == 2:
            second.version = "v2"
            rig.store.put("servers/d1", second.entry())
            await wait_until(lambda: gateway.membership.get("d1").software == "v2")
        await _leave_without_a_connection(rig, first)
        await asyncio.sleep(RECHECK_S)
        first.calls.clear()
        if versions == 1:
            answer = await rig.generate("/quote/1", "after")
            assert (answer.status, REPORT in first.calls) == (200, False)
            return
        first.restart("v3")
        pending = asyncio.ensure_future(rig.generate("/quote/1", "after"))
        await wait_until(lambda: REPORT in first.calls or rig.arrivals("after"))
        await asyncio.sleep(0.2)
        assert rig.arrivals("after") == []
        rig.store.put("servers/d0", first.entry())
        answer = await pending
        assert (answer.status, rig.arrivals("after")) == (200, ["d0"])
        lookup = await gateway.origins.find("after")
        assert lookup.origin.software == "v3"


@pytest.mark.usefixtures("keep_connections")
@pytest.mark.parametrize("how", ["caller comes back", "within the answer"])
async def test_stream_does_not_go_on_at_an_engine_whose_restart_gave_no_sign(how: str) -> None:
    """Guards against the join of two versions while the list and the signs of a restart lag."""
    async with PlatformRig(decodes=3, engine=ENGINE) as rig:
        first, restarted, sound = rig.decodes
        first.engine.room = sound.engine.room = 0
        await rig.generate("/quote/1", "before")
        assert restarted.calls.count(REPORT) == 1
        restarted.calls.clear()
        first.engine.room, restarted.engine.room = 1_000_000, 0
        if how == "within the answer":
            first.engine.break_after = 3
            first.faults.append(Fault.BREAKS_MID_EVENT)
        begun = await Stream.open(rig, "first-0", entry=0)
        await begun.read(3)
        first.engine.room = 0
        restarted.version, restarted.started_ms = "v3", 2
        restarted.engine.room = 1_000_000
        if how == "caller comes back":
            begun.close()
            taking_up = asyncio.ensure_future(_take_up(rig, 0, begun))
        else:
            taking_up = asyncio.ensure_future(begun.read(ENGINE.events))
        await wait_until(lambda: REPORT in restarted.calls or len(restarted.runs) > 1)
        sound.engine.room = 1_000_000
        resumed = await taking_up
        events = begun.events + (resumed.events if resumed is not None else [])
        assert [version for _, version in events] == [b"v1"] * ENGINE.events
        assert [number for number, _ in events] == list(range(1, ENGINE.events + 1))
        assert [run.request_id for run in restarted.runs] == ["before"]


async def test_restart_while_no_connection_was_open_is_found_without_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stream that begins by an old record as the first new version comes."""
    monkeypatch.setattr("vanillashore_gateway._http_client.DEFAULT_IDLE_LIMIT_S", 0.1)
    async with PlatformRig(decodes=1, engine=ENGINE) as rig:
        engine = rig.decodes[0]
        await _leave_without_a_connection(rig, engine)
        rig.store.faults.status = 503
        await wait_until(rig.process.gateway._is_list_stale)
        engine.restart("v2")
        engine.calls.clear()
        pending = asyncio.ensure_future(rig.generate("/quote/1", "after"))
        await wait_until(lambda: REPORT in engine.calls or rig.arrivals("after"))
        await asyncio.sleep(0.2)
        assert rig.arrivals("after") == []
        pending.cancel()
