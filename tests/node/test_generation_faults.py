"""Generated answers during crashes, compared byte by byte with the stand-in model."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import orjson
import pytest

from vanillashore_schema import TimingSettings
from vanillashore_standins import EngineOptions, EngineState, generate
from vanillashore_standins.testing import (
    KEY,
    MODEL,
    FleetBase,
    FleetPlan,
    ProcessFleet,
    SmallFleet,
)

PROMPT = "a long custom-cake brief " * 20
TOKENS = 40
SLOW = EngineOptions(step_s=0.01, prefill_s_per_token=0.002, transfer_s_per_piece=0.3)
QUICK = EngineOptions(step_s=0.01, prefill_s_per_token=0.00001)
TIMING = TimingSettings(
    balancer_delay_s=0.0, shutdown_wait_s=5.0, frame_wait_s=1.0, prefill_wait_s=2.0
)
Fault = Callable[[FleetBase], Awaitable[None]]


def _plan(engine: EngineOptions, **fields: Any) -> FleetPlan:
    plan = FleetPlan(prefills=2, decodes=3, services=0, engine=engine, timing=TIMING)
    return attrs.evolve(plan, **fields)


async def _answer(fleet: FleetBase, tokens: int = TOKENS) -> list[str]:
    """Return the texts of a streamed answer; raise AssertionError if it did not complete."""
    body = {"model": MODEL, "prompt": PROMPT, "max_tokens": tokens, "stream": True}
    async with fleet.post(0, "/v1/completions", body, KEY) as response:
        data = await response.text()
    assert response.status == 200, data
    lines = [line.removeprefix("data: ") for line in data.splitlines() if line]
    assert lines[-1] == "[DONE]", data[-500:]
    chunks = [orjson.loads(line)["choices"][0] for line in lines[:-1]]
    assert chunks[-1]["finish_reason"] == "length"
    return [chunk["text"] for chunk in chunks[:-1]]


def _holding(fleet: FleetBase, phase: str) -> list[EngineState]:
    return [
        engine
        for engine in fleet.engines.values()
        if any(name.endswith(phase) for name in engine.memory.held)
    ]


async def _crash_holder(fleet: FleetBase, phase: str) -> None:
    await fleet.until(lambda: _holding(fleet, phase))
    await asyncio.sleep(0.05)
    for engine in _holding(fleet, phase):
        engine.crash()


async def _crash_decoders_at(fleet: FleetBase, tokens: int) -> None:
    engines = fleet.engines.values()
    await fleet.until(lambda: any(e.ledger.decoded_tokens >= tokens for e in engines))
    for engine in engines:
        if engine.sequences:
            engine.crash()


def _decoders(fleet: FleetBase) -> list[EngineState]:
    return [engine for vm, engine in fleet.engines.items() if vm.startswith("decode")]


async def _reserved(fleet: FleetBase) -> None:
    await fleet.until(lambda: _holding(fleet, "prefill"))
    for engine in _decoders(fleet):
        engine.crash()


async def _prefilling(fleet: FleetBase) -> None:
    await _crash_holder(fleet, "prefill")


async def _transferring(fleet: FleetBase) -> None:
    await _crash_holder(fleet, "decode")


async def _source_of_transfer(fleet: FleetBase) -> None:
    await fleet.until(lambda: _holding(fleet, "decode"))
    for vm, engine in fleet.engines.items():
        if vm.startswith("prefill"):
            engine.crash()


async def _first_token(fleet: FleetBase) -> None:
    await _crash_decoders_at(fleet, 1)


async def _mid_stream(fleet: FleetBase) -> None:
    await _crash_decoders_at(fleet, TOKENS // 2)


async def _twice(fleet: FleetBase) -> None:
    await _crash_decoders_at(fleet, 5)
    await fleet.until(lambda: any(e.sequences for e in _decoders(fleet)))
    await asyncio.sleep(0.1)
    for engine in _decoders(fleet):
        if engine.sequences:
            engine.crash()


async def _all_decoders(fleet: FleetBase) -> None:
    await fleet.until(lambda: sum(e.ledger.decoded_tokens for e in _decoders(fleet)) >= 5)
    for engine in _decoders(fleet):
        engine.crash()


@pytest.mark.parametrize(
    ("engine", "fault"),
    [
        (SLOW, _reserved),
        (SLOW, _prefilling),
        (SLOW, _transferring),
        (SLOW, _source_of_transfer),
        (QUICK, _first_token),
        (QUICK, _mid_stream),
        (QUICK, _twice),
        (QUICK, _all_decoders),
    ],
)
async def test_answer_is_complete_despite_a_crash(engine: EngineOptions, fault: Fault) -> None:
    async with SmallFleet(_plan(engine)) as fleet:
        answer = asyncio.ensure_future(_answer(fleet))
        await fault(fleet)
        texts = await answer
        assert "".join(texts) == generate(PROMPT, TOKENS)
        assert len(texts) == TOKENS
        assert sum(e.ledger.crashes for e in fleet.engines.values()) >= 1
        await fleet.until(lambda: fleet.held_pieces() == 0)


async def test_lost_last_frame_does_not_change_the_answer() -> None:
    async with SmallFleet(_plan(QUICK)) as fleet:
        for engine in _decoders(fleet):
            engine.options.lose_ends = 1
        texts = await _answer(fleet)
        assert "".join(texts) == generate(PROMPT, TOKENS)
        assert sum(len(e.ledger.decodes) for e in _decoders(fleet)) == 1


async def test_stalled_transfer_is_abandoned_and_freed() -> None:
    async with SmallFleet(_plan(QUICK, decodes=2)) as fleet:
        stalled = [e for vm, e in fleet.engines.items() if vm.startswith("prefill")]
        for engine in stalled:
            engine.options.stall_transfers = True
        answer = asyncio.ensure_future(_answer(fleet))
        await fleet.until(lambda: _holding(fleet, "decode"))
        await asyncio.sleep(0.2)
        for engine in stalled:
            used = bool(engine.ledger.prefills)
            engine.options.stall_transfers = used
        assert "".join(await answer) == generate(PROMPT, TOKENS)
        for engine in stalled:
            engine.options.stall_transfers = False
        await fleet.until(lambda: fleet.held_pieces() == 0)


async def test_late_frames_of_an_old_attempt_are_ignored() -> None:
    async with SmallFleet(_plan(QUICK)) as fleet:
        answer = asyncio.ensure_future(_answer(fleet))
        await fleet.until(lambda: any(e.ledger.decoded_tokens >= 5 for e in _decoders(fleet)))
        late = next(e for e in _decoders(fleet) if e.sequences)
        late.options.stall_streams = True
        await fleet.until(lambda: any(e.sequences for e in _decoders(fleet) if e is not late))
        late.options.stall_streams = False
        assert "".join(await answer) == generate(PROMPT, TOKENS)
        await fleet.until(lambda: fleet.held_pieces() == 0)


@pytest.mark.parametrize("action", ["kill", "freeze"])
@pytest.mark.parametrize("phase", ["prefill", "decode"])
async def test_answer_is_complete_despite_the_loss_of_a_sidecar(action: str, phase: str) -> None:
    async with ProcessFleet(_plan(SLOW)) as fleet:
        answer = asyncio.ensure_future(_answer(fleet))
        await fleet.until(lambda: any(_holds_phase(e, phase) for e in _holding(fleet, phase)))
        vm = next(vm for vm, e in fleet.engines.items() if _holds_phase(e, phase))
        getattr(fleet.nodes[vm], action)()
        assert "".join(await answer) == generate(PROMPT, TOKENS)


def _holds_phase(engine: EngineState, phase: str) -> bool:
    return any(name.endswith(phase) for name in engine.memory.held)
