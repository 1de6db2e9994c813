"""Status and metrics of an entry's shares."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from vanillashore_node._share_metrics import observe_shares
from vanillashore_node._share_ownership import ShareOwnership
from vanillashore_schema import ShareSettings
from vanillashore_share import HolderStatus, Move
from vanillashore_standins.testing import FLEET_SECRET, FleetPlan, SmallFleet
from vanillashore_wire import ShareLevels, ShareRow, ShareTable

SETTLE_TIMEOUT_S = 20.0


async def test_three_entries_own_all_shares() -> None:
    async with SmallFleet(FleetPlan(entries=3, prefills=0, decodes=0)) as fleet:
        async with fleet.get(0, "/stock") as response:
            assert response.status == 200
        holders = await _holders(fleet)
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            while sum(holder["owned"] for holder in holders) != 3 * 1_024:
                holders = await _holders(fleet)
    assert min(holder["owned"] for holder in holders) > 0
    assert not any(holder["fenced"] for holder in holders)
    assert sum(holder["refused_short"] for holder in holders) == 0


async def _holders(fleet: SmallFleet) -> list[dict[str, Any]]:
    """Read each entry's status; a share that is being handed over briefly has no owner in it."""
    holders = []
    for entry in range(3):
        headers = {"X-Fleet-Secret": FLEET_SECRET}
        async with fleet.get(entry, "/internal/status", headers=headers) as response:
            holders.append((await response.json())["shares"]["holder"])
    return holders


def test_metrics_show_the_status() -> None:
    reader = InMemoryMetricReader()
    meter = MeterProvider([reader]).get_meter("test")
    status = HolderStatus(8, 2, 3, False, 5, 7, ())
    observe_shares(meter, "entry-1", lambda: status)
    scopes = reader.get_metrics_data().resource_metrics[0].scope_metrics
    values = {m.name: m.data.data_points[0].value for s in scopes for m in s.metrics}
    assert values["vanillashore.share.lent"] == 2
    assert values["vanillashore.grant.refused_short"] == 5


async def test_fresh_entry_serves_while_the_store_is_down() -> None:
    async with SmallFleet(FleetPlan(entries=3, prefills=0, decodes=0)) as fleet:
        fleet.kv_faults.down = True
        await fleet.start_entry("entry-3")
        fresh = fleet.entries[3]
        await fleet.until(lambda: fresh.core.is_ready)
        async with fleet.get(3, "/stock") as response:
            assert response.status == 200
        assert fresh.shares.status().holder.owned == 0


async def test_leaving_entry_transfers_its_shares() -> None:
    async with SmallFleet(FleetPlan(entries=4, prefills=0, decodes=0)) as fleet:
        leaving = fleet.entries[1]
        await leaving.core.shut_down()
        remaining = [fleet.entries[i] for i in (0, 2, 3)]

        def is_spread() -> bool:
            return sum(e.shares.status().holder.owned for e in remaining) == 3 * 1_024

        await fleet.until(is_spread)
        async with fleet.get(0, "/stock") as response:
            assert response.status == 200


def _fail_first_write(ownership: ShareOwnership) -> None:
    """Let another write of the table precede the first one of this entry."""
    store, write = ownership._store, ownership._store.write

    async def write_after_another(rows: tuple[ShareRow, ...], version: int) -> ShareTable | None:
        store.write = write
        await write(ownership.table.rows, version)
        return await write(rows, version)

    store.write = write_after_another


def _fail_first_recall(ownership: ShareOwnership) -> None:
    """Keep all shares lent in the first attempt to recall them."""
    suspend = ownership._suspend_shares

    async def find_all_lent(moves: list[Move]) -> dict[Move, ShareLevels]:
        ownership._suspend_shares = suspend
        return {}

    ownership._suspend_shares = find_all_lent


@pytest.mark.parametrize("fail_first", [_fail_first_write, _fail_first_recall])
async def test_leaving_entry_transfers_its_shares_in_a_second_attempt(
    fail_first: Callable[[ShareOwnership], None],
) -> None:
    async with SmallFleet(FleetPlan(entries=4, prefills=0, decodes=0)) as fleet:
        leaving = fleet.entries[1]
        remaining = [fleet.entries[i] for i in (0, 2, 3)]
        fail_first(leaving.shares._ownership)
        await leaving.core.shut_down()
        await fleet.until(
            lambda: sum(e.shares.status().holder.owned for e in remaining) == 3 * 1_024
        )


async def test_shares_of_a_dead_entry_are_taken_over() -> None:
    share = ShareSettings(loan_s=0.4, renewal_s=0.15, grace_s=1.0, demand_s=0.5)
    plan = FleetPlan(entries=4, prefills=0, decodes=0, share=share)
    async with SmallFleet(plan) as fleet:
        dead = fleet.entries[1]
        await dead.core.close()
        fleet.vm_list.remove(dead.core.cfg.node.name)
        remaining = [fleet.entries[i] for i in (0, 2, 3)]

        def is_taken_over() -> bool:
            return sum(e.shares.status().holder.owned for e in remaining) == 3 * 1_024

        await fleet.until(is_taken_over)
