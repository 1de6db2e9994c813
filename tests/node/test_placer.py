"""Number of endpoints that an entry asks for one reservation."""

import asyncio
from typing import Any

import attrs
import pytest

from vanillashore_node import _placer
from vanillashore_standins import EngineOptions, generate
from vanillashore_standins.testing import MODEL, FleetPlan, SmallFleet
from vanillashore_wire import HoldEnd, ReservationKind, ReserveRequest

NEVER_S = 100.0
TEST_TIMEOUT_S = 15.0
PLAN = FleetPlan(prefills=2, decodes=2, engine=EngineOptions(step_s=0.002, prefill_s_per_token=0))


def record_sent_messages(fleet: SmallFleet) -> list[Any]:
    """Return a list that records every message the entry sends over links."""
    hub = fleet.entries[0].core.hub
    sent: list[Any] = []
    ask, send = hub.ask, hub.send

    async def recording_ask(address: str, body: Any, timeout_s: float) -> Any:
        sent.append(body)
        return await ask(address, body, timeout_s)

    def recording_send(address: str, body: Any) -> None:
        sent.append(body)
        send(address, body)

    hub.ask, hub.send = recording_ask, recording_send
    return sent


async def complete(fleet: SmallFleet, prompt: str) -> str:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 4}
    async with fleet.post(0, "/v1/completions", body) as response:
        return (await response.json())["choices"][0]["text"]


async def test_idle_fleet_gets_one_request_per_reservation_and_one_hold_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_placer, "NEXT_REQUEST_DELAY_S", NEVER_S)
    async with SmallFleet(PLAN) as fleet:
        await complete(fleet, "warm up")
        sent = record_sent_messages(fleet)
        assert await complete(fleet, "a cake") == generate("a cake", 4)
        asked = [message.kind for message in sent if isinstance(message, ReserveRequest)]
        assert asked == [ReservationKind.DECODE, ReservationKind.PREFILL]
        assert sum(isinstance(message, HoldEnd) for message in sent) == 1
        await fleet.until(lambda: fleet.held_pieces() == 0)


async def test_next_endpoint_is_asked_when_the_first_does_not_grant_at_once() -> None:
    plan = attrs.evolve(PLAN, first_token_target_ms=NEVER_S * 1_000)
    async with SmallFleet(plan) as fleet, asyncio.timeout(TEST_TIMEOUT_S):
        silent = fleet.sidecars["decode-0"].core.hub
        silent.on(ReserveRequest, _never_respond)
        prompts = [f"cake {number}" for number in range(6)]
        answers = await asyncio.gather(*(complete(fleet, prompt) for prompt in prompts))
        assert answers == [generate(prompt, 4) for prompt in prompts]
        assert not fleet.engines["decode-0"].ledger.decodes


async def _never_respond(message: ReserveRequest, sender: str) -> None:
    await asyncio.Event().wait()
