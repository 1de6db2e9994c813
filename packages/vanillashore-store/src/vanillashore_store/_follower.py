"""Polling of the VM list."""

import asyncio
from collections.abc import Callable

from loguru import logger as log

from vanillashore_store._vm_list import VmEntry, VmList
from vanillashore_wire import VanillashoreError


class VmListFollower:
    """Polls the VM list and passes each result to ``on_change``; a failed poll is skipped."""

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
            except VanillashoreError as exc:
                log.bind(error=str(exc)).warning("the VM list cannot be read")
            await asyncio.sleep(self._poll_s)
