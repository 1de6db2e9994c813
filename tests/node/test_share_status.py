"""What an entry shows of its shares, as status and as metrics."""

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from vanillashore_node._share_metrics import observe_shares
from vanillashore_share import HolderStatus
from vanillashore_standins.testing import FLEET_SECRET, FleetPlan, SmallFleet


async def test_three_entries_own_all_shares_and_show_the_loans() -> None:
    async with SmallFleet(FleetPlan(entries=3, prefills=0, decodes=0)) as fleet:
        async with fleet.get(0, "/stock") as response:
            assert response.status == 200
        holders = []
        for entry in range(3):
            headers = {"X-Fleet-Secret": FLEET_SECRET}
            async with fleet.get(entry, "/internal/status", headers=headers) as response:
                holders.append((await response.json())["shares"]["holder"])
    assert sum(holder["owned"] for holder in holders) == 3 * 1_024
    assert not any(holder["fenced"] for holder in holders)
    assert sum(holder["refused_short"] for holder in holders) == 0


def test_metrics_tell_the_status() -> None:
    reader = InMemoryMetricReader()
    meter = MeterProvider([reader]).get_meter("test")
    status = HolderStatus(8, 2, 3, False, 5, 7, ())
    observe_shares(meter, "entry-1", lambda: status)
    scopes = reader.get_metrics_data().resource_metrics[0].scope_metrics
    found = {m.name: m.data.data_points[0].value for s in scopes for m in s.metrics}
    assert found["vanillashore.share.lent"] == 2
    assert found["vanillashore.grant.refused_short"] == 5
