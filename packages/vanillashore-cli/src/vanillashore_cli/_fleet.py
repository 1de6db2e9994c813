"""Access to the platform and to the processes of the fleet."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from vanillashore_schema import OperatorSettings, load_operator_settings
from vanillashore_store import ConfigStore, EtcdStore, HttpVmList, VmEntry

FLEET_HEADER = "X-Fleet-Secret"
NODE_TIMEOUT = aiohttp.ClientTimeout(total=5.0)
MAX_CONCURRENT_REQUESTS = 64


@attrs.frozen
class NodeAnswer:
    """Response of a process; ``body`` is ``None`` if it cannot be reached or returns an error."""

    vm: VmEntry
    body: dict[str, Any] | None


class Fleet:
    """Client of the platform and of the processes of one fleet."""

    def __init__(self, session: aiohttp.ClientSession, cfg: OperatorSettings) -> None:
        platform = cfg.platform
        timeout_s = platform.store_timeout_s
        self.config_store = ConfigStore(EtcdStore(session, platform.store_address, timeout_s))
        self._vm_list = HttpVmList(session, platform.vm_list_address, timeout_s)
        self._session = session
        self._headers = {FLEET_HEADER: cfg.fleet_secret}

    @staticmethod
    @asynccontextmanager
    async def open(settings: Path) -> "AsyncIterator[Fleet]":
        """Read the settings and keep an HTTP session open."""
        cfg = load_operator_settings(settings)
        async with aiohttp.ClientSession() as session:
            yield Fleet(session, cfg)

    async def request_all(self, path: str, kind: str = "") -> list[NodeAnswer]:
        """Send a request to every process in the VM list, or to those on VMs of one kind."""
        limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

        async def request(vm: VmEntry) -> NodeAnswer:
            async with limit:
                return NodeAnswer(vm, await self._request(vm, path))

        vms = [vm for vm in await self._vm_list.fetch() if kind in ("", vm.kind)]
        return list(await asyncio.gather(*(request(vm) for vm in vms)))

    async def _request(self, vm: VmEntry, path: str) -> dict[str, Any] | None:
        try:
            async with self._session.get(
                vm.address + path, headers=self._headers, timeout=NODE_TIMEOUT
            ) as response:
                return await response.json() if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None
