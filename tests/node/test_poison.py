"""Requests that crash engines: the number of crashes is bounded, other requests are answered."""

import asyncio
from typing import Any

import attrs
import pytest

from vanillashore_standins import EngineOptions, generate
from vanillashore_standins.testing import KEY, MODEL, OTHER_KEY, FleetBase, FleetPlan, SmallFleet

POISON = "CRASH-THE-ENGINE now"
ENGINE = EngineOptions(step_s=0.005, prefill_s_per_token=0.003, restart_s=0.3)
PLAN = FleetPlan(entries=3, prefills=3, decodes=2, services=0, engine=ENGINE)


@attrs.frozen
class Answer:
    status: int
    text: str
    code: str
    ran: str


async def _complete(fleet: FleetBase, entry: int, prompt: str, key: str = KEY) -> Answer:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 10}
    async with fleet.post(entry, "/v1/completions", body, key) as response:
        answer: dict[str, Any] = await response.json()
    if response.status != 200:
        error = answer["error"]
        return Answer(response.status, "", error["code"], error["ran"])
    return Answer(200, answer["choices"][0]["text"], "", "")


def _crashes(fleet: FleetBase) -> int:
    return sum(engine.ledger.crashes for engine in fleet.engines.values())


@pytest.mark.parametrize("sends", [1, 8])
async def test_one_poison_request_crashes_at_most_two_engines(sends: int) -> None:
    async with SmallFleet(PLAN) as fleet:
        for number in range(sends):
            got = await _complete(fleet, number % 3, POISON)
            assert (got.status, got.code, got.ran) == (422, "quarantined", "unknown"), got
        assert _crashes(fleet) == 2


async def test_concurrent_duplicates_crash_at_most_two_engines() -> None:
    async with SmallFleet(PLAN) as fleet:
        got = await asyncio.gather(*(_complete(fleet, i % 3, POISON) for i in range(9)))
        assert {g.status for g in got} <= {422, 502, 503}, got
        assert (await _complete(fleet, 0, POISON)).code == "quarantined"
        assert _crashes(fleet) <= 2


async def test_harmless_requests_in_flight_with_poison_are_answered() -> None:
    async with SmallFleet(PLAN) as fleet:
        prompts = [f"{'a cake ' * 20}{i}" for i in range(18)]
        harmless = [
            asyncio.ensure_future(_complete(fleet, i % 3, prompt, OTHER_KEY))
            for i, prompt in enumerate(prompts)
        ]
        poison = [await _complete(fleet, i, POISON) for i in range(3)]
        got = await asyncio.gather(*harmless)
        assert {p.code for p in poison} == {"quarantined"}
        assert [g.text for g in got] == [generate(prompt, 10) for prompt in prompts]
        assert 1 <= _crashes(fleet) <= 2


async def test_workspace_with_many_poison_requests_is_contained() -> None:
    async with SmallFleet(PLAN) as fleet:
        for number in range(12):
            got = await _complete(fleet, number % 3, f"{POISON} {number}")
            assert got.code == "quarantined"
        assert _crashes(fleet) <= 6
        assert (await _complete(fleet, 0, "a cake", OTHER_KEY)).text == generate("a cake", 10)


async def test_crash_without_poison_quarantines_no_request() -> None:
    async with SmallFleet(PLAN) as fleet:
        prompt = "a long cake brief " * 30
        answer = asyncio.ensure_future(_complete(fleet, 0, prompt))
        engines = fleet.engines.values()
        await fleet.until(lambda: any(e.memory.held for e in engines))
        for engine in engines:
            if engine.memory.held:
                engine.crash()
        assert (await answer).text == generate(prompt, 10)
        assert (await _complete(fleet, 1, prompt)).text == generate(prompt, 10)


async def test_new_sidecar_loads_the_quarantine() -> None:
    async with SmallFleet(attrs.evolve(PLAN, prefills=1)) as fleet:
        await _complete(fleet, 0, POISON)
        assert _crashes(fleet) == 2
        await fleet.until(lambda: fleet.kv.get("vanillashore/quarantine"))
        await fleet.until(lambda: not fleet.engines["prefill-0"].is_down)
        old = fleet.sidecars["prefill-0"].core
        await old.close()
        await fleet.start_sidecar("prefill-0", old.cfg.endpoint)
        new = fleet.sidecars["prefill-0"].core
        await fleet.until(lambda: new.directory.revision == 1)
        await fleet.until(
            lambda: all(
                e.core.directory.address_of("prefill-0") == new.address for e in fleet.entries
            )
        )
        assert (await _complete(fleet, 1, POISON)).code == "quarantined"
        assert _crashes(fleet) == 2
