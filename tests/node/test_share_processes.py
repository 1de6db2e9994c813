"""Rate limits across processes while holders die, freeze or lose the store."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import pytest

from vanillashore_schema import KeyConfig, ShareSettings, WorkspaceConfig, hash_key
from vanillashore_standins.testing import (
    FLEET_SECRET,
    KEY,
    WORKSPACE,
    FleetPlan,
    ProcessFleet,
    small_configuration,
)

RATE = 20.0
BURST = 90.0
LOAD_S = 5.0
FREEZE_S = 3.0
CLIENTS = 6
OVERLOAD_PAUSE_S = 0.01
RUN_LAG_S = 0.25


async def _limit_rate(fleet: ProcessFleet) -> None:
    key = KeyConfig("main", hash_key(KEY))
    workspace = WorkspaceConfig(WORKSPACE, RATE, BURST, key=(key,))
    config = attrs.evolve(small_configuration(fleet.plan), workspace=(workspace,))
    head = await fleet.config_store.apply(config, 1)
    for entry in _entries(fleet):
        await _reach_revision(fleet, entry, head.revision)


async def _reach_revision(fleet: ProcessFleet, entry: int, revision: int) -> None:
    for _ in range(200):
        if (await _status(fleet, entry))["revision"] >= revision:
            return
        await asyncio.sleep(0.05)
    raise TimeoutError(f"entry {entry} did not reach revision {revision}")


def _entries(fleet: ProcessFleet) -> range:
    return range(fleet.plan.entries)


async def _status(fleet: ProcessFleet, entry: int) -> dict[str, Any]:
    headers = {"X-Fleet-Secret": FLEET_SECRET}
    url = fleet.entry_address(entry) + "/internal/status"
    async with fleet.session.get(url, headers=headers) as response:
        return await response.json()


async def _shares(fleet: ProcessFleet) -> dict[int, int]:
    shares = {}
    for entry in _entries(fleet):
        holder = (await _status(fleet, entry))["shares"]["holder"]
        held = {w["workspace"]: w["shares"] for w in holder["workspaces"]}
        if WORKSPACE in held:
            shares[entry] = held[WORKSPACE]
    return shares


async def _first_holder(fleet: ProcessFleet) -> int:
    shares = await _shares(fleet)
    return next(entry for entry, usable in shares.items() if usable == 3)


def _max_bucket_level(fleet: ProcessFleet) -> float:
    max_level = level = last = 0.0
    for run in fleet.service_states["service-0"].runs:
        level = max(0.0, level - (run.at - last) * RATE) + 1.0
        last = run.at
        max_level = max(max_level, level)
    return max_level


async def _call(fleet: ProcessFleet, entry: int) -> int:
    try:
        async with asyncio.timeout(8.0):
            async with fleet.get(entry, "/stock") as response:
                return response.status
    except (OSError, TimeoutError):
        return 0


async def _overload(fleet: ProcessFleet, entries: list[int], deadline: float) -> None:
    async def send_calls(number: int) -> None:
        while time.monotonic() < deadline:
            await _call(fleet, entries[number % len(entries)])
            await asyncio.sleep(OVERLOAD_PAUSE_S)

    await asyncio.gather(*(send_calls(number) for number in range(CLIENTS)))


async def _kill(fleet: ProcessFleet, holder: int) -> None:
    fleet.nodes[f"entry-{holder}"].kill()


async def _freeze_and_thaw(fleet: ProcessFleet, holder: int) -> None:
    fleet.nodes[f"entry-{holder}"].freeze()
    await asyncio.sleep(FREEZE_S)
    fleet.nodes[f"entry-{holder}"].thaw()


async def _stop_store(fleet: ProcessFleet, holder: int) -> None:
    fleet.kv_faults.down = True


async def _kill_and_restart(fleet: ProcessFleet, holder: int) -> None:
    fleet.nodes[f"entry-{holder}"].kill()
    await asyncio.sleep(0.5)
    fleet.restart(f"entry-{holder}")


async def _leave(fleet: ProcessFleet, holder: int) -> None:
    fleet.nodes[f"entry-{holder}"].terminate()


FAULTS = [_kill, _freeze_and_thaw, _stop_store, _kill_and_restart, _leave]


@pytest.mark.parametrize("fail", FAULTS, ids=lambda fail: fail.__name__.strip("_"))
async def test_runs_stay_within_rate_and_burst(
    fail: Callable[[ProcessFleet, int], Awaitable[None]],
) -> None:
    plan = FleetPlan(entries=3, prefills=0, decodes=0, services=1)
    async with ProcessFleet(plan) as fleet:
        await _limit_rate(fleet)
        await _overload(fleet, [0, 1, 2], time.monotonic() + 2.0)
        holder = await _first_holder(fleet)
        others = [entry for entry in range(3) if entry != holder]
        before = len(fleet.service_states["service-0"].runs)
        fault = asyncio.get_running_loop().create_task(fail(fleet, holder))
        await _overload(fleet, others, time.monotonic() + LOAD_S)
        await fault
        ran = len(fleet.service_states["service-0"].runs)
        max_level = _max_bucket_level(fleet)
    assert max_level <= BURST + RATE * RUN_LAG_S
    assert ran > before, "nothing was admitted after the failure"


async def test_entry_that_reaches_no_holder_refuses_without_running() -> None:
    share = ShareSettings(interactive_patience_s=1.0, ask_timeout_s=0.3, ask_hold_s=0.1)
    plan = FleetPlan(entries=4, prefills=0, decodes=0, services=1, share=share)
    async with ProcessFleet(plan) as fleet:
        holders = await _shares(fleet)
        other = next(entry for entry in _entries(fleet) if entry not in holders)
        for holder in holders:
            fleet.nodes[f"entry-{holder}"].freeze()
        async with fleet.get(other, "/stock") as response:
            answer = await response.json()
        runs = len(fleet.service_states["service-0"].runs)
    assert (response.status, runs) == (503, 0)
    assert answer["error"]["code"] == "share_unreachable"
    assert answer["error"]["ran"] == "no"
    assert int(response.headers["Retry-After"]) >= 1
