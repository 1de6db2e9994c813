"""Orders to engines: sent after a drain, fenced, with a limit on concurrent loads."""

import asyncio
import random

import attrs
import pytest

from vanillashore_node._engine import EngineOrder
from vanillashore_node._sidecar import MAX_WEIGHT_LOADS
from vanillashore_node._weight_load_limiter import WeightLoadLimiter
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


async def completion_text(fleet: SmallFleet, max_tokens: int) -> str:
    body = {"model": MODEL, "prompt": "a cake", "max_tokens": max_tokens}
    async with fleet.post(0, "/v1/completions", body) as response:
        return (await response.json())["choices"][0]["text"]


def engines_decoding(fleet: SmallFleet) -> list[str]:
    return [vm for vm, e in fleet.engines.items() if e.ledger.decoded_tokens > 3]


async def all_engines_ordered(fleet: SmallFleet) -> None:
    orders = [engine.ledger.orders for engine in fleet.engines.values()]
    await fleet.until(lambda: all(orders))


async def test_role_changes_only_after_running_work_is_done() -> None:
    async with SmallFleet(PLAN) as fleet:
        await all_engines_ordered(fleet)
        running = asyncio.create_task(completion_text(fleet, 300))
        await fleet.until(lambda: bool(engines_decoding(fleet)))
        [vm] = engines_decoding(fleet)
        engine = fleet.engines[vm]
        config = with_role(small_configuration(PLAN), vm, EndpointRole.PREFILL)
        await fleet.apply(config, fleet.sidecars[vm].core.directory.revision)
        await fleet.until(lambda: fleet.sidecars[vm].reservations.scheduler.is_leaving, 3.0)
        assert engine.role == "decode"
        assert await running == generate("a cake", 300)
        await fleet.until(lambda: engine.role == "prefill")
        assert await completion_text(fleet, 5) == generate("a cake", 5)


async def test_new_version_is_loaded_by_all_engines() -> None:
    async with SmallFleet(PLAN) as fleet:
        await all_engines_ordered(fleet)
        revision = fleet.entries[0].core.directory.revision
        await fleet.apply(with_version(small_configuration(PLAN), "2"), revision)
        engines = fleet.engines.values()
        schedulers = [sidecar.reservations.scheduler for sidecar in fleet.sidecars.values()]
        max_draining = 0

        def is_loaded() -> bool:
            nonlocal max_draining
            max_draining = max(max_draining, sum(scheduler.is_leaving for scheduler in schedulers))
            return {e.model_version for e in engines} == {"2"}

        await fleet.until(is_loaded, 60.0)
        assert max_draining <= MAX_WEIGHT_LOADS
        assert await completion_text(fleet, 5) == generate("a cake", 5)


async def test_paused_process_does_not_revert_an_engine() -> None:
    async with SmallFleet(PLAN) as fleet:
        await all_engines_ordered(fleet)
        paused = fleet.sidecars["decode-0"]
        old = paused.core.directory.revision
        paused.core.directory.apply_snapshot = lambda snapshot: None
        head = await fleet.config_store.apply(with_version(small_configuration(PLAN), "2"), old)
        engine = fleet.engines["decode-0"]
        engine.order(head.revision, "decode", MODEL, "2")
        with pytest.raises(RefusalError) as caught:
            await paused.orders.send(EngineOrder(old, "decode", MODEL, "1"))
        assert caught.value.code is ErrorCode.ORDER_STALE
        assert engine.model_version == "2"


async def test_no_order_is_sent_while_the_store_is_unavailable() -> None:
    async with SmallFleet(PLAN) as fleet:
        await all_engines_ordered(fleet)
        sidecar = fleet.sidecars["decode-0"]
        before = list(fleet.engines["decode-0"].ledger.orders)
        fleet.kv_faults.down = True
        with pytest.raises(Exception, match="store"):
            await sidecar.orders.send(EngineOrder(99, "decode", MODEL, "9"))
        assert fleet.engines["decode-0"].ledger.orders == before


async def test_concurrent_loads_are_limited() -> None:
    async with SmallFleet(FleetPlan(prefills=0, decodes=0, services=0)) as fleet:
        store = fleet.entries[0].core.store
        loading, max_loading = 0, 0

        async def load(seed: int) -> None:
            nonlocal loading, max_loading
            async with WeightLoadLimiter(store, 2, random.Random(seed)).slot():
                loading += 1
                max_loading = max(max_loading, loading)
                await asyncio.sleep(0.2)
                loading -= 1

        tasks = [asyncio.create_task(load(seed)) for seed in range(6)]
        await asyncio.wait(tasks, timeout=3.0)
        for task in tasks:
            task.cancel()
        assert 1 <= max_loading <= 2
