"""Small fleets for tests: real nodes with stand-ins on loopback ports.

`SmallFleet` runs everything inside one process; `ProcessFleet` runs each node as a separate
process, which can be killed and frozen. Example::

    async with SmallFleet(FleetPlan(entries=2)) as fleet:
        async with fleet.post(0, "/v1/completions", {"model": MODEL, "prompt": "hi"}) as response:
            assert response.status == 200
"""

from vanillashore_node import EntryNode, SidecarNode
from vanillashore_schema import EndpointSettings, NodeRole
from vanillashore_standins._fleet_base import (
    FLEET_SECRET,
    KEY,
    MODEL,
    OTHER_KEY,
    OTHER_WORKSPACE,
    SERVICE,
    WORKSPACE,
    FleetBase,
    FleetPlan,
    small_configuration,
)
from vanillashore_standins._process_fleet import ProcessFleet
from vanillashore_standins._scenario import Scenario, load_scenario, run_scenario

__all__ = [
    "FLEET_SECRET",
    "KEY",
    "MODEL",
    "OTHER_KEY",
    "OTHER_WORKSPACE",
    "SERVICE",
    "WORKSPACE",
    "FleetBase",
    "FleetPlan",
    "ProcessFleet",
    "Scenario",
    "SmallFleet",
    "load_scenario",
    "run_scenario",
    "small_configuration",
]


class SmallFleet(FleetBase):
    """Entries, sidecars and stand-ins in this process, as an async context manager."""

    def __init__(self, plan: FleetPlan | None = None) -> None:
        super().__init__(plan)
        self.entries: list[EntryNode] = []
        self.sidecars: dict[str, SidecarNode] = {}

    async def start_sidecar(self, vm: str, endpoint: EndpointSettings) -> None:
        """Start a sidecar and add its VM to the VM list."""
        node = SidecarNode(self._settings(vm, NodeRole.SIDECAR, endpoint))
        self.sidecars[vm] = node
        await self._start_node(node)

    async def start_entry(self, vm: str) -> None:
        """Start an entry and add its VM to the VM list."""
        node = EntryNode(self._settings(vm, NodeRole.ENTRY, None))
        self.entries.append(node)
        await self._start_node(node)

    async def wait_until_serving(self, revision: int) -> None:
        """Wait until every node has a configuration and the VM list."""
        nodes = [n for n in [*self.entries, *self.sidecars.values()] if not n.core.is_closed]
        await self.until(lambda: all(n.core.directory.revision >= revision for n in nodes))
        await self.until(lambda: all(len(e.core.directory.vms) >= len(nodes) for e in nodes))
        await self.until(lambda: all(e.shares.status().table_version for e in self._live_entries))

    def entry_address(self, entry: int) -> str:
        """Return the address of an entry."""
        return self.entries[entry].core.address

    @property
    def _live_entries(self) -> list[EntryNode]:
        return [entry for entry in self.entries if not entry.core.is_closed]

    async def _start_node(self, node: EntryNode | SidecarNode) -> None:
        await node.start()
        self._stack.push_async_callback(_close, node)
        self._add_to_vm_list(node.core.cfg, node.core.address)


async def _close(node: EntryNode | SidecarNode) -> None:
    if not node.core.is_closed:
        await node.core.close()
