"""Interactive calls have priority over batch calls, which nevertheless all run."""

import asyncio

import attrs

from vanillashore_schema import RouteConfig
from vanillashore_standins import ServiceOptions
from vanillashore_standins.testing import SERVICE, FleetPlan, SmallFleet, small_configuration
from vanillashore_wire import RouteClass

PLAN = FleetPlan(prefills=0, decodes=0, services=1, service=ServiceOptions(delay_s=0.3))
REPORT = RouteConfig("/report", ("GET",), SERVICE, idempotent=True, route_class=RouteClass.BATCH)
REPORTS = 60


async def call(fleet: SmallFleet, path: str) -> int:
    async with fleet.get(0, path) as response:
        await response.read()
        return response.status


async def test_interactive_call_does_not_wait_for_batch_calls() -> None:
    async with SmallFleet(PLAN) as fleet:
        config = small_configuration(PLAN)
        config = attrs.evolve(config, route=(*config.route, REPORT))
        await fleet.apply(config, fleet.entries[0].core.directory.revision)
        scheduler = fleet.sidecars["service-0"].reservations.scheduler
        assert await call(fleet, "/stock") == 200
        reports = [asyncio.create_task(call(fleet, "/report")) for _ in range(REPORTS)]
        await fleet.until(lambda: scheduler.load.waiting > REPORTS / 2)
        assert await call(fleet, "/stock") == 200
        assert scheduler.load.waiting > 0
        assert set(await asyncio.gather(*reports)) == {200}
