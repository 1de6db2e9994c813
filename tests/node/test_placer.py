"""How many endpoints an entry asks for one place."""

import asyncio
from typing import Any

import attrs
import pytest

from vanillashore_node import _placer
from vanillashore_standins import EngineOptions, generate
from vanillashore_standins.testing import MODEL, FleetPlan, SmallFleet
from vanillashore_wire import HoldEnd, ReservationKind, ReserveAsk

NEVER_S = 100.0
GIVEN_UP_S = 15.0
PLAN = FleetPlan(prefills=2, decodes=2, engine=EngineOptions(step_s=0.002, prefill_s_per_token=0))


def watch_messages(fleet: SmallFleet) -> list[Any]:
    """Return the list to which every ask and end that the entry sends is added."""
    hub = fleet.entries[0].core.hub
    sent: list[Any] = []
    ask, send = hub.ask, hub.send

    async def watched_ask(address: str, body: Any, timeout_s: float) -> Any:
        sent.append(body)
        return await ask(address, body, timeout_s)

    def watched_send(address: str, body: Any) -> None:
        sent.append(body)
        send(address, body)

    hub.ask, hub.send = watched_ask, watched_send
    return sent


async def complete(fleet: SmallFleet, prompt: str) -> str:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 4}
    async with fleet.post(0, "/v1/completions", body) as response:
        return (await response.json())["choices"][0]["text"]


async def test_an_idle_fleet_is_asked_once_a_place_and_told_once_what_it_cannot_know(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_placer, "NEXT_ASK_AFTER_S", NEVER_S)
    async with SmallFleet(PLAN) as fleet:
        await complete(fleet, "warm up")
        sent = watch_messages(fleet)
        assert await complete(fleet, "a cake") == generate("a cake", 4)
        asked = [message.kind for message in sent if isinstance(message, ReserveAsk)]
        assert asked == [ReservationKind.DECODE, ReservationKind.PREFILL]
        assert sum(isinstance(message, HoldEnd) for message in sent) == 1
        await fleet.until(lambda: fleet.held_pieces() == 0)


async def test_the_next_endpoint_is_asked_when_the_first_does_not_grant_at_once() -> None:
    plan = attrs.evolve(PLAN, first_token_target_ms=NEVER_S * 1_000)
    async with SmallFleet(plan) as fleet, asyncio.timeout(GIVEN_UP_S):
        silent = fleet.sidecars["decode-0"].core.hub
        silent.on(ReserveAsk, _never)
        prompts = [f"cake {number}" for number in range(6)]
        answers = await asyncio.gather(*(complete(fleet, prompt) for prompt in prompts))
        assert answers == [generate(prompt, 4) for prompt in prompts]
        assert not fleet.engines["decode-0"].ledger.decodes


async def _never(message: ReserveAsk, sender: str) -> None:
    await asyncio.Event().wait()
