"""Answers of endpoints that end early: none of them is passed on as if it were whole."""

import re

import attrs
import pytest

from vanillashore_standins.platform_endpoint import AnswerCut, EngineOptions, event_bytes
from vanillashore_standins.platform_rig import Answer, PlatformRig

ENGINE = EngineOptions(events=4)
WHOLE_STREAM = b"".join(event_bytes(n) for n in range(1, ENGINE.events + 1))
LONG = b"x" * 200_000
STEP_BYTES = 9
HEAD_BYTES = 220  # Longer than any head here, so that the last cuts are in the bodies.

ENDINGS = pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])


def _cut_at(rig: PlatformRig, target: str, after_bytes: int, is_reset: bool, count: int) -> None:
    for endpoint in rig.endpoints[:count]:
        endpoint.answer_cut = AnswerCut(target, after_bytes, is_reset)


def _is_whole(answer: Answer, body: bytes) -> bool:
    return answer.status == 200 and answer.is_complete and answer.body == body


def _check(answer: Answer, body: bytes) -> None:
    """Check that a success which looks complete is."""
    if answer.status == 200 and answer.is_complete:
        assert answer.body == body
    if answer.status == 200:
        assert body.startswith(answer.body)


@ENDINGS
@pytest.mark.parametrize("path", ["/pay/1", "/stock/1"])
@pytest.mark.parametrize("body", [b"short", LONG], ids=["short", "long"])
async def test_plain_answer_that_ends_early_is_not_whole(
    path: str, body: bytes, is_reset: bool
) -> None:
    async with PlatformRig(services=2) as rig:
        for endpoint in rig.services:
            endpoint.body = body
        answer = await rig.ask("POST", path, "whole")
        assert _is_whole(answer, body)
        for after in range(0, HEAD_BYTES, STEP_BYTES):
            _cut_at(rig, path, after, is_reset, count=2)
            _check(await rig.ask("POST", path, f"id-{after}"), body)


@ENDINGS
@pytest.mark.parametrize("is_framed", [True, False], ids=["chunked", "unframed"])
@pytest.mark.parametrize("path", ["/quote/1", "/idea/1"])
async def test_stream_that_ends_inside_its_head_is_not_whole(
    path: str, is_framed: bool, is_reset: bool
) -> None:
    engine = attrs.evolve(ENGINE, is_framed=is_framed)
    async with PlatformRig(decodes=2, engine=engine) as rig:
        whole = await rig.generate(path, "whole")
        assert _is_whole(whole, WHOLE_STREAM)
        for after in range(0, HEAD_BYTES, STEP_BYTES):
            _cut_at(rig, path, after, is_reset, count=2)
            answer = await rig.generate(path, f"id-{after}")
            _check(answer, WHOLE_STREAM)


@ENDINGS
@pytest.mark.parametrize("is_framed", [True, False], ids=["chunked", "unframed"])
async def test_stream_goes_on_elsewhere_if_it_ends_inside_its_head(
    is_framed: bool, is_reset: bool
) -> None:
    engine = attrs.evolve(ENGINE, is_framed=is_framed)
    async with PlatformRig(decodes=2, engine=engine) as rig:
        for after in range(0, 150, STEP_BYTES):
            _cut_at(rig, "/quote", after, is_reset, count=1)
            answer = await rig.generate("/quote/1", f"id-{after}")
            assert _is_whole(answer, WHOLE_STREAM)


@ENDINGS
@pytest.mark.parametrize("target", ["/-/hold-take", "/-/report", "/-/hold-drop", "/quote"])
async def test_calls_and_prefills_that_end_early_leave_answers_whole(
    target: str, is_reset: bool
) -> None:
    async with PlatformRig(prefills=1, decodes=2, engine=ENGINE) as rig:
        for after in range(0, HEAD_BYTES, STEP_BYTES):
            _cut_at(rig, target, after, is_reset, count=1 if target == "/quote" else 2)
            answer = await rig.generate("/quote/1", f"id-{after}")
            _check(answer, WHOLE_STREAM)
            if answer.status != 200:
                assert re.search(rb'"ran":"no"', answer.body)


@pytest.mark.parametrize("path", ["/quote/1", "/idea/1"])
async def test_stream_that_ends_with_its_connection_before_any_event_is_not_whole(
    path: str,
) -> None:
    """Guards against a 200 without an event that looks like a whole answer."""
    engine = attrs.evolve(ENGINE, events=0, is_framed=False)
    async with PlatformRig(decodes=2, engine=engine) as rig:
        answer = await rig.generate(path, "id-1")
        assert not answer.is_complete or answer.status == 502
        rig.decodes[0].engine.events = ENGINE.events
        answer = await rig.generate(path, "id-2")
        is_resumable = path == "/quote/1"
        assert _is_whole(answer, WHOLE_STREAM) or not (answer.is_complete or is_resumable)


@pytest.mark.parametrize("path", ["/quote/1", "/idea/1"])
async def test_empty_stream_is_passed_on_if_it_is_framed(path: str) -> None:
    engine = attrs.evolve(ENGINE, events=0)
    async with PlatformRig(decodes=2, engine=engine) as rig:
        assert _is_whole(await rig.generate(path, "id-1"), b"")


@pytest.mark.parametrize("is_framed", [True, False], ids=["chunked", "unframed"])
async def test_stream_that_is_taken_up_after_its_last_event_is_whole(is_framed: bool) -> None:
    engine = attrs.evolve(ENGINE, is_framed=is_framed)
    async with PlatformRig(decodes=2, engine=engine) as rig:
        headers = {"Resumes": "id-0", "Last_Event_Id": str(ENGINE.events)}
        assert _is_whole(await rig.generate("/quote/1", "id-1", **headers), b"")
