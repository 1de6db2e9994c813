"""The interface of the platform's key-value service."""

from collections.abc import AsyncIterator
from typing import Protocol

import attrs

from vanillashore_wire import ErrorCode, VanillashoreError


class StoreUnavailableError(VanillashoreError):
    """The store did not answer; a write that was sent may or may not have taken effect."""

    def __init__(self, text: str) -> None:
        super().__init__(ErrorCode.STORE_UNAVAILABLE, text)


@attrs.frozen
class StoredValue:
    """A value and its version in the store; the version of an absent key is 0."""

    value: bytes
    version: int


@attrs.frozen
class CasResult:
    """Result of a compare-and-swap; ``current`` is what the key holds afterwards."""

    applied: bool
    current: StoredValue | None


class KeyValueStore(Protocol):
    """Compare-and-swap, leases and watches.

    Every method raises StoreUnavailableError when the store does not answer in time.
    """

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``, or ``None`` if it is absent."""

    async def compare_and_swap(
        self, key: str, expected_version: int, value: bytes, lease: int = 0
    ) -> CasResult:
        """Write ``value`` if the version of ``key`` is ``expected_version`` (0: absent)."""

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id; keys written under it are deleted when it expires."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it was still valid."""

    def watch(self, key: str, after_version: int) -> AsyncIterator[StoredValue]:
        """Yield values of ``key`` with versions above ``after_version`` as they are written."""
