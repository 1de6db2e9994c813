"""Streams whose runs state their media type in different ways, or not at all."""

import asyncio

import attrs
import pytest

from vanillashore_standins import wait_until
from vanillashore_standins.platform_endpoint import EngineOptions, Fault, event_bytes
from vanillashore_standins.platform_rig import Answer, PlatformRig, fail_first

TYPES = {
    "plain": "Content-Type: text/event-stream",
    "none": "",
    "parameters": "Content-Type: text/event-stream; charset=utf-8",
    "another case": "CONTENT-TYPE: Text/Event-Stream",
    "blanks": "Content-Type:   text/event-stream ;charset=utf-8  ",
}
BREAK_AFTER = 2
ENGINE = EngineOptions(events=5, break_after=BREAK_AFTER)
BEGINNING = b"".join(event_bytes(n) for n in range(1, BREAK_AFTER + 1))
WHOLE = b"".join(event_bytes(n) for n in range(1, ENGINE.events + 1))


async def _break_off(first: str, second: str) -> tuple[Answer, int]:
    """Return the answer to a stream that breaks off at the first engine, and how often it ran."""
    async with PlatformRig(decodes=2, engine=ENGINE) as rig:
        for engine, type_header in zip(rig.decodes, (first, second), strict=True):
            engine.engine = attrs.evolve(ENGINE, type_header=type_header)
        rig.decodes[1].engine.room = 0
        rig.decodes[0].faults.append(Fault.BREAKS_MID_EVENT)
        answering = asyncio.ensure_future(rig.generate("/quote/1", "id-1"))
        await wait_until(lambda: bool(rig.decodes[0].runs))
        rig.decodes[1].engine.room = 1_000_000
        return await answering, len(rig.arrivals("id-1"))


@pytest.mark.parametrize("first", TYPES)
@pytest.mark.parametrize("second", TYPES)
async def test_stream_goes_on_however_its_runs_state_that_they_are_streams(
    first: str, second: str
) -> None:
    """Guards against the loss of streams whose engines state no type."""
    answer, runs = await _break_off(TYPES[first], TYPES[second])
    assert runs == 2
    assert (answer.status, answer.is_complete, answer.body) == (200, True, WHOLE)


@pytest.mark.parametrize("first", TYPES)
@pytest.mark.parametrize("error", [Fault.NO_STREAM, Fault.NO_STREAM_UNTYPED])
async def test_stream_is_not_joined_with_a_success_that_is_no_stream(
    first: str, error: Fault
) -> None:
    engine = attrs.evolve(ENGINE, type_header=TYPES[first])
    async with PlatformRig(decodes=2, engine=engine) as rig:
        fail_first(rig.decodes, Fault.BREAKS_MID_EVENT, *[error] * 10)
        answer = await rig.generate("/quote/1", "id-1")
        assert (answer.status, answer.body) == (200, BEGINNING)
        assert not answer.is_complete


@pytest.mark.parametrize("second", ["Content-Type: application/json", "Content-Type: text/plain"])
@pytest.mark.parametrize("first", TYPES)
async def test_stream_is_not_joined_with_an_answer_of_another_type(first: str, second: str) -> None:
    answer, runs = await _break_off(TYPES[first], second)
    assert runs == 2
    assert (answer.body, answer.is_complete) == (BEGINNING, False)
