"""Keys are checked per request and at dispatch, withdrawn in seconds and kept at the entry."""

import asyncio
import base64
import time
from typing import Any

import attrs
import pytest

from vanillashore_schema import (
    EndpointSettings,
    NodeRole,
    NodeSettings,
    WorkspaceConfig,
    hash_key,
)
from vanillashore_standins import ByteTap, EngineOptions, generate
from vanillashore_standins.testing import (
    KEY,
    MODEL,
    OTHER_KEY,
    WORKSPACE,
    FleetBase,
    FleetPlan,
    SmallFleet,
    small_configuration,
)
from vanillashore_store import HEAD_KEY

MAX_WITHDRAWAL_S = 3.0


class TappedFleet(SmallFleet):
    """A small fleet whose traffic to endpoints, sidecars and the store passes byte taps."""

    def __init__(self, plan: FleetPlan | None = None) -> None:
        super().__init__(plan)
        self.endpoint_taps: list[ByteTap] = []
        self.sidecar_taps: list[ByteTap] = []
        self.store_taps: dict[str, ByteTap] = {}

    async def start_sidecar(self, vm: str, endpoint: EndpointSettings) -> None:
        tap = await self._tap(endpoint.address)
        self.endpoint_taps.append(tap)
        self.sidecar_taps.append(await self._tap(""))
        await super().start_sidecar(vm, attrs.evolve(endpoint, address=tap.address))

    async def start_entry(self, vm: str) -> None:
        self.store_taps[vm] = await self._tap(self._platform.store_address)
        await super().start_entry(vm)

    def _settings(self, vm: str, role: NodeRole, *args: Any) -> NodeSettings:
        cfg = super()._settings(vm, role, *args)
        if role is NodeRole.SIDECAR:
            return cfg
        address = self.store_taps[vm].address
        return attrs.evolve(cfg, platform=attrs.evolve(cfg.platform, store_address=address))

    def _add_to_vm_list(self, cfg: NodeSettings, address: str) -> None:
        if cfg.node.role is NodeRole.SIDECAR:
            self.sidecar_taps[-1].target = address
            address = self.sidecar_taps[-1].address
        super()._add_to_vm_list(cfg, address)

    async def _tap(self, target: str) -> ByteTap:
        return await self._stack.enter_async_context(ByteTap(target))


async def _status(fleet: FleetBase, entry: int, key: str = KEY) -> int:
    async with fleet.get(entry, "/stock", key) as response:
        await response.read()
        return response.status


async def _withdraw_key(fleet: FleetBase) -> None:
    """Apply a configuration without the workspace's key; don't wait until nodes install it."""
    config = small_configuration(fleet.plan)
    workspaces = tuple(_without_key(w) for w in config.workspace)
    await fleet.config_store.apply(attrs.evolve(config, workspace=workspaces), 1)


def _without_key(workspace: WorkspaceConfig) -> WorkspaceConfig:
    return attrs.evolve(workspace, key=()) if workspace.name == WORKSPACE else workspace


async def test_key_does_not_reach_endpoints_and_sidecars() -> None:
    async with TappedFleet() as fleet:
        body = {"model": MODEL, "prompt": "a cake", "max_tokens": 5, "stream": True}
        for path, json in (("/v1/completions", body), ("/pay", {"order": 17})):
            async with fleet.post(0, path, json) as response:
                assert response.status == 200
                await response.read()
        for path in ("/stock", "/hours"):
            async with fleet.get(0, path) as response:
                assert response.status == 200
        engine_bytes = b"".join(bytes(tap.received) for tap in fleet.endpoint_taps)
        sidecar_bytes = b"".join(bytes(tap.received) for tap in fleet.sidecar_taps)
        assert b"a cake" in engine_bytes
        assert b"POST /pay" in engine_bytes
        assert b"/internal/call" in sidecar_bytes
        secrets = [KEY, hash_key(KEY), base64.b64encode(KEY.encode()).decode(), "uthorization"]
        found = [s for s in secrets if s.encode() in engine_bytes + sidecar_bytes]
        assert found == []


@pytest.mark.parametrize(
    "fault", ["none", "store-down-after", "store-down-at-once", "entry-cut-off"]
)
async def test_withdrawn_key_is_refused_by_all_entries_within_seconds(fault: str) -> None:
    async with TappedFleet(FleetPlan(entries=3, services=2)) as fleet:
        assert {await _status(fleet, i) for i in range(3)} == {200}
        if fault == "entry-cut-off":
            fleet.store_taps["entry-0"].cut()
        await _withdraw_key(fleet)
        applied_at = time.monotonic()
        if fault == "store-down-after":
            nodes = [*fleet.entries, *fleet.sidecars.values()]
            await fleet.until(lambda: any(n.core.directory.revision > 1 for n in nodes))
        fleet.kv_faults.down = fault.startswith("store-down")
        await asyncio.sleep(MAX_WITHDRAWAL_S - 0.2)
        got = [await _status(fleet, i) for i in range(3)]
        assert time.monotonic() - applied_at < MAX_WITHDRAWAL_S + 1.0
        assert set(got) <= {401, 503}, got
        ran = sum(len(s.runs) for s in fleet.service_states.values())
        await asyncio.gather(*(_status(fleet, i) for i in range(3)))
        assert sum(len(s.runs) for s in fleet.service_states.values()) == ran


async def test_key_withdrawn_as_the_store_fails_is_refused_by_all_entries() -> None:
    async with TappedFleet(FleetPlan(entries=3, services=2)) as fleet:
        assert {await _status(fleet, i) for i in range(3)} == {200}
        swap = fleet.kv.compare_and_swap

        def swap_and_fail(key: str, *args: object) -> bool:
            fleet.kv_faults.down = key == HEAD_KEY
            return swap(key, *args)

        fleet.kv.compare_and_swap = swap_and_fail
        withdrawing = asyncio.ensure_future(_withdraw_key(fleet))
        await fleet.until(lambda: fleet.kv_faults.down)
        await asyncio.sleep(MAX_WITHDRAWAL_S - 0.2)
        assert {await _status(fleet, i) for i in range(3)} <= {401, 503}
        withdrawing.cancel()


async def test_queued_request_is_refused_when_its_key_is_withdrawn() -> None:
    engine = EngineOptions(slots=1, step_s=0.02)
    async with SmallFleet(FleetPlan(entries=1, decodes=1, engine=engine)) as fleet:
        first = asyncio.ensure_future(_complete(fleet, OTHER_KEY, "first", 60))
        await fleet.until(lambda: fleet.engines["decode-0"].ledger.decoded_tokens > 0)
        queued = asyncio.ensure_future(_complete(fleet, KEY, "queued", 5))
        await asyncio.sleep(0.1)
        await _withdraw_key(fleet)
        assert (await first)[1] == generate("first", 60)
        status, _ = await queued
        assert status in (401, 503)
        assert sum(len(e.ledger.decodes) for e in fleet.engines.values()) == 1


async def test_running_answer_is_finished_after_its_key_is_withdrawn() -> None:
    engine = EngineOptions(step_s=0.02)
    async with SmallFleet(FleetPlan(engine=engine)) as fleet:
        running = asyncio.ensure_future(_complete(fleet, KEY, "a cake", 60))
        engines = fleet.engines.values()
        await fleet.until(lambda: any(e.ledger.decoded_tokens > 0 for e in engines))
        await _withdraw_key(fleet)
        assert await running == (200, generate("a cake", 60))
        assert await _status(fleet, 0) == 401


async def _complete(fleet: FleetBase, key: str, prompt: str, tokens: int) -> tuple[int, str]:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens}
    headers = {"X-Request-Id": "same-for-all", "Idempotency-Key": "same-for-all"}
    async with fleet.post(0, "/v1/completions", body, key, headers=headers) as response:
        answer = await response.json()
        text = answer["choices"][0]["text"] if response.status == 200 else ""
        return response.status, text


async def test_workspaces_with_the_same_request_ids_are_not_mixed() -> None:
    async with SmallFleet(FleetPlan(entries=1)) as fleet:
        prompts = [f"cake {i}" for i in range(12)]
        keys = [KEY, OTHER_KEY]
        got = await asyncio.gather(
            *(_complete(fleet, keys[i % 2], prompt, 10) for i, prompt in enumerate(prompts))
        )
        assert got == [(200, generate(prompt, 10)) for prompt in prompts]


async def test_open_route_needs_no_key() -> None:
    async with SmallFleet(FleetPlan(prefills=0, decodes=0)) as fleet:
        async with fleet.session.get(fleet.entry_address(0) + "/hours") as response:
            assert response.status == 200
        async with fleet.session.get(fleet.entry_address(0) + "/stock") as response:
            assert response.status == 401
