"""Interface to the platform's store: changes, calls and errors."""

from collections.abc import Mapping
from typing import Protocol

import attrs

from vanillashore_gateway._domain import Endpoint, ServingConfig
from vanillashore_gateway._stream_origins import StreamOrigin


class StoreUnavailableError(Exception):
    """The store did not answer, or gave an unexpected answer.

    It ``was_silent`` if nothing came from it, so that it may have been away since the last answer.
    """

    def __init__(self, text: str, was_silent: bool = False) -> None:
        super().__init__(text)
        self.was_silent = was_silent


class HistoryCompactedError(Exception):
    """The store has no history from which a watch could continue."""


class StoreRestoredError(Exception):
    """The store has come back from an older copy of itself.

    What was written since that copy is gone, leases too, and revisions and leases are given out
    again, so nothing that was read or received before may be used in a call.
    """


class AnswerTooLargeError(Exception):
    """The answer has more bytes than the caller accepts."""


class LeaseExpiredError(Exception):
    """A lease has expired or was ended."""


@attrs.frozen
class ConfigWritten:
    """A new configuration was written."""

    config: ServingConfig


@attrs.frozen
class EndpointWritten:
    """An endpoint's registration was written."""

    endpoint: Endpoint


@attrs.frozen
class EndpointRemoved:
    """An endpoint's registration was removed or describes no usable endpoint."""

    instance: str


@attrs.frozen
class EntryWritten:
    """An entry registered itself; ``address`` is for messages of other entries.

    The registration ends with the ``lease``, 0 if it has none. It was written at a ``revision``.
    """

    name: str
    address: tuple[str, int]
    lease: int = 0
    revision: int = 0


@attrs.frozen
class EntryRemoved:
    """An entry's registration was removed, at a ``revision``."""

    name: str
    revision: int = 0


@attrs.frozen
class DutyWritten:
    """An entry acquired a duty, a task that one entry at a time performs.

    ``fence`` is higher than that of all earlier holders.
    """

    name: str
    holder: str
    fence: int


@attrs.frozen
class DutyRemoved:
    """A duty has no holder any more."""

    name: str


@attrs.frozen
class VersionWritten:
    """An entry has written that a service has a software version, or had it lately."""

    service: str
    software: str


@attrs.frozen
class VersionRemoved:
    """The record of a service's software version has expired."""

    service: str
    software: str


@attrs.frozen
class EvacuationRequested:
    """Nothing more is to be sent to the endpoints of a data centre."""

    data_centre: str


@attrs.frozen
class EvacuationWithdrawn:
    """The endpoints of a data centre may be used again."""

    data_centre: str


Change = (
    ConfigWritten
    | EndpointWritten
    | EndpointRemoved
    | EntryWritten
    | EntryRemoved
    | DutyWritten
    | DutyRemoved
    | VersionWritten
    | VersionRemoved
    | EvacuationRequested
    | EvacuationWithdrawn
)


@attrs.frozen
class Snapshot:
    """Everything the store holds for a gateway; changes after ``revision`` may be missing.

    ``size_bytes`` is what was transferred for it.
    """

    revision: int
    items: tuple[Change, ...]
    size_bytes: int = 0


@attrs.frozen
class Changes:
    """Changes after the requested revision, up to and including ``revision``.

    ``size_bytes`` is what was transferred for them.
    """

    revision: int
    items: tuple[Change, ...]
    size_bytes: int = 0


class PlatformStore(Protocol):
    """Client of the platform's store.

    All calls may raise StoreUnavailableError. The first answer after the store was restored, and
    each request for changes until the next snapshot, raise StoreRestoredError.
    """

    async def snapshot(self) -> Snapshot:
        """Read everything, in its state at the time of the call or later."""
        ...

    async def changes(self, after: int, wait_s: float, max_bytes: int) -> Changes:
        """Wait for changes.

        Raises HistoryCompactedError if those after ``after`` are not to be had, and
        AnswerTooLargeError, early in the transfer, if they take more than ``max_bytes``.
        """
        ...

    async def register_entry(self, name: str, address: tuple[str, int], lease: int) -> int:
        """Register this entry under a lease, and return the revision of its registration.

        Raises LeaseExpiredError if the lease has ended.
        """
        ...

    async def renew(self, lease: int) -> None:
        """Renew a lease; raise LeaseExpiredError if it has ended."""
        ...

    async def acquire_duty(self, name: str, holder: str, lease: int) -> int | None:
        """Acquire a free duty for as long as a lease lasts.

        Returns the fence of the new holder, or ``None`` if another entry holds the duty. Raises
        LeaseExpiredError if the lease has ended.
        """
        ...

    async def release_duty(self, name: str, fence: int) -> None:
        """Release a duty if it still has that fence."""
        ...

    async def withdraw(self, lease: int) -> None:
        """End a lease, and remove what was written under it."""
        ...

    async def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease."""
        ...

    async def write_version(self, service: str, software: str, lease: int) -> None:
        """Record a software version of a service for as long as a lease lasts."""
        ...

    async def write_origins(self, origins: Mapping[str, StreamOrigin], lease: int) -> None:
        """Write the origins of streams, by request id, in one transaction.

        Raises LeaseExpiredError if the lease has ended.
        """
        ...

    async def read_origin(self, request_id: str) -> StreamOrigin | None:
        """Return the origin of a stream, ``None`` if the store does not have it."""
        ...

    async def read_revision(self) -> int:
        """Return the store's revision at the time of the call or later.

        Raises StoreRestoredError also if no snapshot has been read since a restore.
        """
        ...
