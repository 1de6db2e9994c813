"""What a gateway reads from and writes to the platform's store, and how that fails."""

from typing import Protocol

import attrs

from vanillashore_gateway._domain import Endpoint, ServingConfig


class StoreUnavailableError(Exception):
    """The store did not answer, or not with what was asked."""


class HistoryCompactedError(Exception):
    """The store has dropped the history that a watch wanted to go on from."""


class LeaseExpiredError(Exception):
    """A lease has ended."""


@attrs.frozen
class ConfigWritten:
    """A configuration was accepted."""

    config: ServingConfig


@attrs.frozen
class EndpointWritten:
    """An endpoint's entry was written."""

    endpoint: Endpoint


@attrs.frozen
class EndpointRemoved:
    """An endpoint's entry is gone, or names no endpoint that could be used."""

    instance: str


@attrs.frozen
class EntryWritten:
    """An entry process has announced itself, and where other entries reach it."""

    name: str
    address: tuple[str, int]


@attrs.frozen
class EntryRemoved:
    """An entry process is gone."""

    name: str


@attrs.frozen
class DutyWritten:
    """An entry process has taken a duty; ``fence`` is higher than that of all earlier holders."""

    name: str
    holder: str
    fence: int


@attrs.frozen
class DutyRemoved:
    """Nobody holds a duty any more."""

    name: str


Change = (
    ConfigWritten
    | EndpointWritten
    | EndpointRemoved
    | EntryWritten
    | EntryRemoved
    | DutyWritten
    | DutyRemoved
)


@attrs.frozen
class Snapshot:
    """All that the store holds for a gateway; changes after ``revision`` may be missing."""

    revision: int
    items: tuple[Change, ...]


@attrs.frozen
class Changes:
    """What has changed since the revision that was asked for, up to ``revision``."""

    revision: int
    items: tuple[Change, ...]


class PlatformStore(Protocol):
    """The platform's store. Calls raise StoreUnavailableError."""

    async def snapshot(self) -> Snapshot:
        """Read everything, as of now or later."""
        ...

    async def changes(self, after: int, wait_s: float) -> Changes:
        """Wait for changes; raise HistoryCompactedError if those after ``after`` are unknown."""
        ...

    async def announce(self, name: str, address: tuple[str, int], ttl_s: float) -> int:
        """Write this entry process under a new lease, and return the lease."""
        ...

    async def renew(self, lease: int) -> None:
        """Renew a lease; raise LeaseExpiredError if it has ended."""
        ...

    async def acquire_duty(self, name: str, holder: str, lease: int) -> int | None:
        """Take a duty that nobody holds, for as long as a lease lasts.

        Returns the fence of the new holder, ``None`` if another one was faster. Raises
        LeaseExpiredError if the lease has ended.
        """
        ...

    async def withdraw(self, lease: int) -> None:
        """End a lease, and what was written under it."""
        ...
