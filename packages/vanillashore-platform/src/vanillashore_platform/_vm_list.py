"""The platform's lagging list of live and leaving VMs."""

from enum import StrEnum
from typing import Protocol

import aiohttp
import attrs

from vanillashore_wire import ErrorCode, VanillashoreError, decode


class VmState(StrEnum):
    """State of a VM as the platform lists it."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class VmEntry:
    """One VM of the list; ``address`` is where the process of the system on it listens."""

    name: str
    address: str
    data_centre: str
    kind: str
    state: VmState = VmState.LIVE
    region: str = ""


@attrs.frozen
class _VmListBody:
    vms: tuple[VmEntry, ...]


class VmList(Protocol):
    """Source of the list."""

    async def fetch(self) -> tuple[VmEntry, ...]:
        """Return the list as it is now; raise VanillashoreError if it cannot be had."""


class HttpVmList:
    """A `VmList` that is served as JSON on ``GET /v1/vms``."""

    def __init__(self, session: aiohttp.ClientSession, address: str, timeout_s: float) -> None:
        self._session = session
        self._url = address.rstrip("/") + "/v1/vms"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def fetch(self) -> tuple[VmEntry, ...]:
        """Return the list as it is now; raise VanillashoreError if it cannot be had."""
        try:
            async with self._session.get(self._url, timeout=self._timeout) as response:
                response.raise_for_status()
                return decode(await response.read(), _VmListBody).vms
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            raise VanillashoreError(ErrorCode.STORE_UNAVAILABLE, f"VM list: {exc!r}") from exc
