"""Status and metrics of an entry's shares."""

import asyncio
from typing import Any

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from vanillashore_node._share_metrics import observe_shares
from vanillashore_schema import ShareSettings
from vanillashore_share import HolderStatus
from vanillashore_standins.testing import FLEET_SECRET, FleetPlan, SmallFleet

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
