"""Scenario steps that change the configuration and wait until it is in force."""

import asyncio
from typing import Protocol

import aiohttp
import attrs

from vanillashore_schema import Configuration
from vanillashore_standins._fleet_base import FLEET_SECRET, POLL_S, FleetBase

STATUS_TIMEOUT = aiohttp.ClientTimeout(total=0.5)


class HasFleet(Protocol):
    """The part of a running scenario that these steps use."""

    fleet: FleetBase


@attrs.frozen
class Configure:
    """Withdraw all keys of the workspaces ``withdraw``, as an operator would."""

    withdraw: tuple[str, ...]

    async def run(self, run: HasFleet) -> None:
        """Apply the changed configuration."""
        store = run.fleet.config_store
        snapshot = await store.read_current()
        await store.apply(self._without_keys(snapshot.configuration), snapshot.revision)

    def _without_keys(self, config: Configuration) -> Configuration:
        workspaces = tuple(
            attrs.evolve(w, key=()) if w.name in self.withdraw else w for w in config.workspace
        )
        return attrs.evolve(config, workspace=workspaces)


@attrs.frozen
class ExpectInForce:
    """Check that a revision is in force within a time at every node, except those in ``but``."""

    revision: int
    within_s: float = 3.0
    but: tuple[str, ...] = ()

    async def run(self, run: HasFleet) -> None:
        """Poll the nodes; raise AssertionError with the names of those without it."""
        stale_nodes: list[str] = []
        try:
            async with asyncio.timeout(self.within_s):
                while stale_nodes := await self._stale_nodes(run.fleet):
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            text = f"revision {self.revision} is not in force at {stale_nodes}"
            raise AssertionError(text) from None

    async def _stale_nodes(self, fleet: FleetBase) -> list[str]:
        vms = [vm for vm in fleet.vm_list.visible() if vm["name"] not in self.but]
        revisions = await asyncio.gather(*(_revision(fleet, vm["address"]) for vm in vms))
        return [
            vm["name"]
            for vm, revision in zip(vms, revisions, strict=True)
            if revision < self.revision
        ]


async def _revision(fleet: FleetBase, address: str) -> int:
    headers = {"X-Fleet-Secret": FLEET_SECRET}
    url = address + "/internal/status"
    try:
        async with fleet.session.get(url, headers=headers, timeout=STATUS_TIMEOUT) as response:
            return (await response.json())["revision"]
    except (aiohttp.ClientError, TimeoutError):
        return 0
