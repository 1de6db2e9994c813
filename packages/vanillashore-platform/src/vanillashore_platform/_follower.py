"""Tasks that follow the configuration and the VM list."""

import asyncio
from collections.abc import Callable

from loguru import logger as log

from vanillashore_platform._config_store import (
    HEAD_KEY,
    ConfigHead,
    ConfigSnapshot,
    ConfigStore,
)
from vanillashore_platform._store import KeyValueStore, StoreUnavailableError
from vanillashore_platform._vm_list import VmEntry, VmList
from vanillashore_wire import VanillashoreError, decode

RETRY_PAUSE_S = 0.5


class ConfigFollower:
    """Keeps up with the configuration's head and hands each newer snapshot to ``on_change``."""

    def __init__(
        self,
        store: KeyValueStore,
        on_change: Callable[[ConfigSnapshot], None],
    ) -> None:
        self._store = store
        self._config_store = ConfigStore(store)
        self._on_change = on_change
        self._revision = 0

    async def run(self) -> None:
        """Follow until cancelled; wait and start again after every failure."""
        while True:
            try:
                await self._follow()
            except (VanillashoreError, ValueError) as exc:
                log.bind(error=str(exc)).warning("following the configuration was interrupted")
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _follow(self) -> None:
        stored = await self._store.get(HEAD_KEY)
        version = 0
        if stored is not None:
            version = stored.version
            await self._take(decode(stored.value, ConfigHead))
        async for value in self._store.watch(HEAD_KEY, version):
            await self._take(decode(value.value, ConfigHead))

    async def _take(self, head: ConfigHead) -> None:
        if head.revision <= self._revision:
            return
        snapshot = await self._config_store.read(head)
        self._revision = head.revision
        self._on_change(snapshot)


class VmListFollower:
    """Polls the VM list and hands each one to ``on_change``; keeps the last on failure."""

    def __init__(
        self,
        vm_list: VmList,
        poll_s: float,
        on_change: Callable[[tuple[VmEntry, ...]], None],
    ) -> None:
        self._vm_list = vm_list
        self._poll_s = poll_s
        self._on_change = on_change

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                self._on_change(await self._vm_list.fetch())
            except (VanillashoreError, StoreUnavailableError) as exc:
                log.bind(error=str(exc)).warning("the VM list cannot be read")
            await asyncio.sleep(self._poll_s)
