"""The platform's list of live and leaving VMs, which lags behind their actual state."""

from enum import StrEnum
from http import HTTPStatus
from typing import Protocol

import aiohttp
import attrs

from vanillashore_wire import ErrorCode, VanillashoreError, decode


class VmState(StrEnum):
    """State of a VM according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class VmEntry:
    """A VM of the list; ``address`` is where this system's process on the VM listens."""

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
    """Source of the VM list."""

    async def fetch(self) -> tuple[VmEntry, ...]:
        """Return the current list; raise VanillashoreError if it cannot be fetched."""


class HttpVmList:
    """A `VmList` that is served as JSON on ``GET /v1/vms``.

    An unchanged list is not sent again if the platform supports entity tags.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str, timeout_s: float) -> None:
        self._session = session
        self._url = address.rstrip("/") + "/v1/vms"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._tag = ""
        self._last: tuple[VmEntry, ...] = ()

    async def fetch(self) -> tuple[VmEntry, ...]:
        """Return the current list; raise VanillashoreError if it cannot be fetched."""
        try:
            headers = {"If-None-Match": self._tag} if self._tag else {}
            async with self._session.get(
                self._url, headers=headers, timeout=self._timeout
            ) as response:
                if response.status == HTTPStatus.NOT_MODIFIED:
                    return self._last
                response.raise_for_status()
                self._last = decode(await response.read(), _VmListBody).vms
                self._tag = response.headers.get("ETag", "")
                return self._last
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            raise VanillashoreError(ErrorCode.STORE_UNAVAILABLE, f"VM list: {exc!r}") from exc
