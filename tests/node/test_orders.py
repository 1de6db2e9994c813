"""Orders to engines: drained first, fenced, and few loads at once."""

import asyncio
import random

import attrs
import pytest

from vanillashore_node._engine import EngineOrder
from vanillashore_node._sidecar import WEIGHT_TURNS
from vanillashore_node._weight_turns import WeightTurns
from vanillashore_schema import Configuration, EndpointRole
from vanillashore_standins import EngineOptions, generate
from vanillashore_standins.testing import MODEL, FleetPlan, SmallFleet, small_configuration
from vanillashore_wire import ErrorCode, RefusalError

PLAN = FleetPlan(
    engine=EngineOptions(step_s=0.005, prefill_s_per_token=0.00001, honours_fencing=False)
)


def with_role(config: Configuration, vm: str, role: EndpointRole) -> Configuration:
    endpoints = [attrs.evolve(e, role=role) if e.vm == vm else e for e in config.endpoint]
    return attrs.evolve(config, endpoint=tuple(endpoints))


def with_version(config: Configuration, version: str) -> Configuration:
    return attrs.evolve(config, model=tuple(attrs.evolve(m, version=version) for m in config.model))


async def complete(fleet: SmallFleet, max_tokens: int) -> str:
    body = {"model": MODEL, "prompt": "a cake", "max_tokens": max_tokens}
    async with fleet.post(0, "/v1/completions", body) as response:
        return (await response.json())["choices"][0]["text"]


def decoding(fleet: SmallFleet) -> list[str]:
    return [vm for vm, e in fleet.engines.items() if e.ledger.decoded_tokens > 3]


async def ordered(fleet: SmallFleet) -> None:
    orders = [engine.ledger.orders for engine in fleet.engines.values()]
    await fleet.until(lambda: all(orders))


async def test_a_role_changes_only_after_its_work_is_done() -> None:
    async with SmallFleet(PLAN) as fleet:
        await ordered(fleet)
        running = asyncio.create_task(complete(fleet, 300))
        await fleet.until(lambda: bool(decoding(fleet)))
        [vm] = decoding(fleet)
        engine = fleet.engines[vm]
        config = with_role(small_configuration(PLAN), vm, EndpointRole.PREFILL)
        await fleet.apply(config, fleet.sidecars[vm].core.directory.revision)
        await fleet.until(lambda: fleet.sidecars[vm].reservations.scheduler.is_leaving, 3.0)
        assert engine.role == "decode"
        assert await running == generate("a cake", 300)
        await fleet.until(lambda: engine.role == "prefill")
        assert await complete(fleet, 5) == generate("a cake", 5)


async def test_a_new_version_is_loaded_everywhere() -> None:
    async with SmallFleet(PLAN) as fleet:
        await ordered(fleet)
        revision = fleet.entries[0].core.directory.revision
        await fleet.apply(with_version(small_configuration(PLAN), "2"), revision)
        engines = fleet.engines.values()
        schedulers = [sidecar.reservations.scheduler for sidecar in fleet.sidecars.values()]
        most_out = 0

        def is_loaded() -> bool:
            nonlocal most_out
            most_out = max(most_out, sum(scheduler.is_leaving for scheduler in schedulers))
            return {e.model_version for e in engines} == {"2"}

        await fleet.until(is_loaded, 60.0)
        assert most_out <= WEIGHT_TURNS
        assert await complete(fleet, 5) == generate("a cake", 5)


async def test_a_paused_process_does_not_put_an_endpoint_back() -> None:
    async with SmallFleet(PLAN) as fleet:
        await ordered(fleet)
        paused = fleet.sidecars["decode-0"]
        old = paused.core.directory.revision
        paused.core.directory.apply_snapshot = lambda snapshot: None
        head = await fleet.config_store.apply(with_version(small_configuration(PLAN), "2"), old)
        engine = fleet.engines["decode-0"]
        engine.order(head.revision, "decode", MODEL, "2")
        with pytest.raises(RefusalError) as caught:
            await paused.orders.give(EngineOrder(old, "decode", MODEL, "1"))
        assert caught.value.code is ErrorCode.ORDER_STALE
        assert engine.model_version == "2"


async def test_no_order_is_given_while_the_store_cannot_tell() -> None:
    async with SmallFleet(PLAN) as fleet:
        await ordered(fleet)
        sidecar = fleet.sidecars["decode-0"]
        before = list(fleet.engines["decode-0"].ledger.orders)
        fleet.kv_faults.down = True
        with pytest.raises(Exception, match="store"):
            await sidecar.orders.give(EngineOrder(99, "decode", MODEL, "9"))
        assert fleet.engines["decode-0"].ledger.orders == before


async def test_few_load_at_once() -> None:
    async with SmallFleet(FleetPlan(prefills=0, decodes=0, services=0)) as fleet:
        store = fleet.entries[0].core.store
        at_once, most = 0, 0

        async def load(seed: int) -> None:
            nonlocal at_once, most
            async with WeightTurns(store, 2, random.Random(seed)).turn():
                at_once += 1
                most = max(most, at_once)
                await asyncio.sleep(0.2)
                at_once -= 1

        tasks = [asyncio.create_task(load(seed)) for seed in range(6)]
        await asyncio.wait(tasks, timeout=3.0)
        for task in tasks:
            task.cancel()
        assert 1 <= most <= 2
