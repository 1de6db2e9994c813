"""Generations through a gateway: complete streams without duplicates, under each fault."""

import asyncio

import pytest

from vanillashore_standins import wait_until
from vanillashore_standins.platform_endpoint import EngineOptions, Fault, event_bytes
from vanillashore_standins.platform_rig import PlatformRig, fail_first

EVENTS = 5
WHOLE = b"".join(event_bytes(n) for n in range(1, EVENTS + 1))


async def test_prompt_is_prefilled_and_the_stream_is_complete() -> None:
    async with PlatformRig(prefills=1, decodes=1) as rig:
        answer = await rig.generate("/quote/1", "id-1")
        assert (answer.status, answer.body, answer.is_complete) == (200, WHOLE, True)
        prefill, decode = rig.prefills[0].arrivals[0], rig.decodes[0].arrivals[0]
        assert prefill.headers["x-stage"] == "prefill"
        assert decode.headers["x-kv-source"] == f"{rig.prefills[0].address}/kv1"
        assert decode.headers["x-kv-hold"] == "h1"
        assert decode.headers["x-token-count"] == "1000,500"


@pytest.mark.parametrize(
    "fault", [Fault.BREAKS_MID_EVENT, Fault.STALLS, Fault.TRICKLES, Fault.RESET_AFTER_RUN]
)
async def test_resumable_stream_resumes_at_another_engine(fault: Fault) -> None:
    async with PlatformRig(prefills=1, decodes=2) as rig:
        fail_first(rig.decodes, fault)
        answer = await rig.generate("/quote/1", "id-1")
        assert (answer.status, answer.body, answer.is_complete) == (200, WHOLE, True)
        assert len(set(rig.arrivals("id-1"))) == 2


@pytest.mark.parametrize(
    ("fault", "status"),
    [
        (Fault.BREAKS_MID_EVENT, 200),
        (Fault.RESET_AFTER_RUN, 502),
        (Fault.GARBAGE, 502),
        (Fault.UNSEALED, 502),
    ],
)
async def test_other_streams_run_once_and_never_look_complete(fault: Fault, status: int) -> None:
    async with PlatformRig(prefills=1, decodes=2) as rig:
        fail_first(rig.decodes, fault)
        answer = await rig.generate("/idea/1", "id-1")
        assert answer.status == status
        assert len(rig.arrivals("id-1")) == 1
        if status == 200:
            assert not answer.is_complete
            assert WHOLE.startswith(answer.body)


async def test_generation_at_a_dark_engine_moves_with_one_retry() -> None:
    async with PlatformRig(prefills=1, decodes=2) as rig:
        fail_first(rig.decodes, Fault.SILENT)
        answer = await rig.generate("/quote/1", "id-1")
        assert (answer.status, answer.body, answer.is_complete) == (200, WHOLE, True)
        assert len(set(rig.arrivals("id-1"))) == 2
        await wait_until(
            lambda: sum((e.disconnected_requests for e in rig.decodes), []) == ["id-1"]
        )


async def test_generation_stays_at_a_silent_engine_if_no_other_has_room() -> None:
    async with PlatformRig(prefills=1, decodes=2) as rig:
        for engine in rig.decodes:
            engine.may_answer.clear()
        pending = asyncio.ensure_future(rig.generate("/quote/1", "id-1"))
        await wait_until(lambda: bool(rig.arrivals("id-1")))
        for engine in rig.decodes:
            engine.engine.room = 0
        await asyncio.sleep(0.8)  # The first event is overdue, and its time is not up.
        for engine in rig.decodes:
            engine.may_answer.set()
        answer = await pending
        assert (answer.status, answer.body, answer.is_complete) == (200, WHOLE, True)
        assert len(rig.arrivals("id-1")) == 1


async def test_generation_that_may_run_once_stays_at_a_dark_engine() -> None:
    """A route with one attempt may be sent again only if the first engine has not run it."""
    async with PlatformRig(prefills=1, decodes=2) as rig:
        fail_first(rig.decodes, Fault.SILENT)
        answer = await rig.generate("/idea/1", "id-1")
        assert answer.status == 504
        assert len(rig.arrivals("id-1")) == 1


async def test_request_that_was_not_run_takes_its_cache_to_the_next_engine() -> None:
    """Reading the prompt again costs a decode engine twice the time of a prefill engine."""
    async with PlatformRig(prefills=1, decodes=2) as rig:
        fail_first(rig.decodes, Fault.SHED)
        answer = await rig.generate("/idea/1", "id-1")
        assert (answer.status, answer.is_complete) == (200, True)
        sources = [a.headers.get("x-kv-source") for e in rig.decodes for a in e.arrivals]
        assert sources == [f"{rig.prefills[0].address}/kv1"] * 2


async def test_resumable_stream_is_not_sent_to_more_engines_than_the_route_allows() -> None:
    async with PlatformRig(prefills=1, decodes=4) as rig:
        for engine in rig.decodes:
            engine.faults.extend([Fault.BREAKS_MID_EVENT] * 2)
        answer = await rig.generate("/quote/1", "id-1")
        assert not answer.is_complete
        assert len(rig.arrivals("id-1")) == 2


async def test_last_event_id_of_the_caller_is_forwarded() -> None:
    async with PlatformRig(prefills=1, decodes=1) as rig:
        answer = await rig.generate("/quote/1", "id-1", Last_Event_Id="3")
        assert answer.body == WHOLE[WHOLE.index(b"id: 4") :]


async def test_engine_that_revokes_a_hold_fails_no_request() -> None:
    async with PlatformRig(prefills=1, decodes=2) as rig:
        fail_first(rig.decodes, Fault.SHED)
        answer = await rig.generate("/idea/1", "id-1")
        assert (answer.status, answer.is_complete) == (200, True)
        assert len(rig.arrivals("id-1")) == 1


@pytest.mark.parametrize("fault", [Fault.ERROR, Fault.RESET_UNREAD, Fault.SILENT, Fault.SHED])
async def test_prompt_that_is_not_prefilled_is_read_by_the_decode_engine(fault: Fault) -> None:
    async with PlatformRig(prefills=1, decodes=1) as rig:
        rig.prefills[0].faults.append(fault)
        answer = await rig.generate("/idea/1", "id-1")
        assert (answer.status, answer.is_complete) == (200, True)
        assert "x-kv-source" not in rig.decodes[0].arrivals[0].headers


async def test_generation_waits_for_a_hold_before_its_prefill() -> None:
    async with PlatformRig(prefills=1, decodes=1, engine=EngineOptions(room=500)) as rig:
        engine = rig.decodes[0]
        pending = asyncio.ensure_future(rig.generate("/quote/1", "id-1"))
        await wait_until(lambda: len(engine.calls) >= 3)
        assert rig.prefills[0].arrivals == []
        engine.engine.room = 1_000_000
        assert (await pending).is_complete


async def test_generation_without_a_hold_is_refused_as_not_run() -> None:
    async with PlatformRig(prefills=1, decodes=1, engine=EngineOptions(room=500)) as rig:
        answer = await rig.generate("/quote/1", "id-1", X_Deadline_Ms="1000")
        assert answer.status == 503
        assert b'"ran":"no"' in answer.body
        assert float(answer.headers["retry-after"]) > 0
        assert rig.prefills[0].arrivals == []
        assert rig.arrivals("id-1") == []


async def test_hold_is_released_when_the_caller_disconnects_before_decode() -> None:
    async with PlatformRig(prefills=1, decodes=1) as rig:
        rig.prefills[0].faults.append(Fault.SILENT)
        pending = asyncio.ensure_future(rig.generate("/idea/1", "id-1"))
        await wait_until(lambda: bool(rig.prefills[0].arrivals))
        pending.cancel()
        await wait_until(lambda: rig.decodes[0].dropped_holds == ["h1"])
        assert rig.arrivals("id-1") == []


async def test_stream_is_cancelled_at_the_engine_when_its_caller_disconnects() -> None:
    options = EngineOptions(events=1_000, pause_s=0.01)
    async with PlatformRig(prefills=1, decodes=1, engine=options) as rig:
        pending = asyncio.ensure_future(rig.generate("/idea/1", "id-1"))
        await wait_until(lambda: bool(rig.decodes[0].runs))
        pending.cancel()
        await wait_until(lambda: rig.decodes[0].disconnected_requests == ["id-1"])


async def test_surplus_prefill_engines_are_ordered_to_decode() -> None:
    async with PlatformRig(prefills=4, decodes=2) as rig:
        engines = [*rig.prefills, *rig.decodes]
        await wait_until(lambda: sum(e.engine.stage == "prefill" for e in engines) < 4, wait_s=20.0)
        ordered = [e for e in engines if ("POST", "/-/order") in e.calls]
        assert 1 <= len(ordered) <= 2


async def test_stream_stays_at_a_sound_engine_that_is_silent_for_a_second() -> None:
    options = EngineOptions(stall_s=1.0)
    async with PlatformRig(prefills=1, decodes=2, engine=options) as rig:
        fail_first(rig.decodes, Fault.STALLS)
        answer = await rig.generate("/quote/1", "id-1")
        assert (answer.status, answer.is_complete) == (200, True)
        assert len(rig.arrivals("id-1")) == 1


async def test_stream_whose_events_arrive_in_parts_stays_at_its_engine() -> None:
    options = EngineOptions(trickle_s=0.015)  # About half a second for an event.
    async with PlatformRig(prefills=1, decodes=2, engine=options) as rig:
        fail_first(rig.decodes, Fault.TRICKLES)
        answer = await rig.generate("/quote/1", "id-1")
        assert (answer.status, answer.body, answer.is_complete) == (200, WHOLE, True)
        assert len(rig.arrivals("id-1")) == 1


async def test_stalled_stream_stays_at_its_engine_if_no_other_has_room() -> None:
    options = EngineOptions(stall_s=1.5)
    async with PlatformRig(prefills=1, decodes=2, engine=options) as rig:
        fail_first(rig.decodes, Fault.STALLS)
        pending = asyncio.ensure_future(rig.generate("/quote/1", "id-1"))
        await wait_until(lambda: bool(rig.arrivals("id-1")))
        for engine in rig.decodes:
            engine.engine.room = 0
        answer = await pending
        assert (answer.status, answer.body, answer.is_complete) == (200, WHOLE, True)
        assert len(rig.arrivals("id-1")) == 1


async def test_slow_stream_that_cannot_move_asks_other_engines_once_per_stall() -> None:
    """Guards against queries for each chunk that arrives after a deadline that was kept."""
    options = EngineOptions(events=3, trickle_s=0.08)  # Over two seconds for the last event.
    async with PlatformRig(prefills=1, decodes=2, engine=options) as rig:
        fail_first(rig.decodes, Fault.TRICKLES)
        pending = asyncio.ensure_future(rig.generate("/quote/1", "id-1"))
        await wait_until(lambda: bool(rig.arrivals("id-1")))
        for engine in rig.decodes:
            engine.engine.room = 0
        other = next(e for e in rig.decodes if not e.runs)
        before = len([call for call in other.calls if "hold" in call[1]])
        answer = await pending
        assert (answer.status, answer.is_complete) == (200, True)
        asked = len([call for call in other.calls if "hold" in call[1]]) - before
        # Once after 1.5 s without an event, and once more after another 1.5 s.
        assert 1 <= asked <= 2


async def test_broken_stream_resumes_before_queued_requests() -> None:
    async with PlatformRig(prefills=1, decodes=2, engine=EngineOptions(pause_s=0.1)) as rig:
        fail_first(rig.decodes, Fault.BREAKS_MID_EVENT)
        begun = asyncio.ensure_future(rig.generate("/quote/1", "begun"))
        await wait_until(lambda: bool(rig.arrivals("begun")))
        for engine in rig.decodes:
            engine.engine.room = 0
        queued = [asyncio.ensure_future(rig.generate("/idea/1", f"id-{n}")) for n in range(3)]
        await wait_until(lambda: rig.process.gateway.slot_finder.waiting("models") == 4)
        next(e for e in rig.decodes if not e.runs).engine.room = 1_000_000
        answer = await begun
        assert (answer.status, answer.body, answer.is_complete) == (200, WHOLE, True)
        await asyncio.gather(*queued)


async def test_request_that_may_have_run_is_never_refused_as_not_run() -> None:
    async with PlatformRig(prefills=1, decodes=2) as rig:
        fail_first(rig.decodes, Fault.RESET_AFTER_RUN)
        rig.decodes[0].engine.room = 1_200  # For one generation.
        rig.decodes[1].engine.room = 0
        answer = await rig.generate("/quote/1", "id-1")
        assert rig.arrivals("id-1") == ["d0"]
        assert answer.status == 502
        assert b'"ran":"unknown"' in answer.body


async def test_engine_that_grants_holds_but_runs_nothing_is_avoided() -> None:
    """An engine that is changing its role does so until the list of endpoints shows the change."""
    async with PlatformRig(prefills=1, decodes=3) as rig:
        changing = rig.decodes[0]
        changing.faults.extend([Fault.SHED] * 40)
        for number in range(12):
            answer = await rig.generate("/idea/1", f"id-{number}")
            assert (answer.status, answer.body) == (200, WHOLE)
        assert len(changing.arrivals) <= 3


async def test_engine_whose_reservations_cannot_be_read_is_avoided() -> None:
    async with PlatformRig(prefills=1, decodes=2) as rig:
        rig.decodes[0].control_fault = Fault.GARBAGE
        rig.decodes[1].engine.room = 0
        asking = [rig.generate("/idea/1", f"id-{number}") for number in range(4)]
        answers = asyncio.gather(*asking)
        await wait_until(lambda: len(rig.decodes[0].calls) > 2)
        rig.decodes[1].engine.room = 1_000_000
        assert {answer.status for answer in await answers} == {200}
