"""Claims of calls in the platform's store, kept for a while by one lease an hour and process."""

import time
from collections.abc import Callable

import attrs

from vanillashore_store._store import KeyValueStore, StoreUnavailableError
from vanillashore_wire import Claim, decode, encode

CLAIM_PREFIX = "vanillashore/claim/"
RETENTION_S = 48 * 3_600
LEASE_USE_S = 3_600.0
MAX_CLAIM_BYTES = 900_000


@attrs.frozen
class StoredClaim:
    """A claim with the store's version of it; both are empty if the key is absent."""

    claim: Claim | None
    version: int


class RetentionLease:
    """The lease that new records hang on; each lives from 48 to 49 hours and is never renewed.

    A process that dies leaves nothing to clean up, and expiry costs no writes.
    """

    def __init__(self, store: KeyValueStore, clock: Callable[[], float] = time.monotonic) -> None:
        self._store = store
        self._clock = clock
        self._lease = 0
        self._used_until = 0.0

    async def current(self) -> int:
        """Return the lease of this hour, granted on first use."""
        now = self._clock()
        if not self._lease or now >= self._used_until:
            self._lease = await self._store.grant_lease(RETENTION_S + int(LEASE_USE_S))
            self._used_until = now + LEASE_USE_S
        return self._lease

    def drop(self) -> None:
        """Forget the lease after a failed write, which it may have caused."""
        self._lease = 0


class ClaimStore:
    """Reads and swaps claims; raises StoreUnavailableError where the store gives no answer."""

    def __init__(self, store: KeyValueStore, clock: Callable[[], float] = time.monotonic) -> None:
        self._store = store
        self._lease = RetentionLease(store, clock)

    async def read(self, name: str) -> StoredClaim:
        """Return what the store holds under ``name``."""
        stored = await self._store.get(CLAIM_PREFIX + name)
        if stored is None:
            return StoredClaim(None, 0)
        return StoredClaim(decode(stored.value, Claim), stored.version)

    async def swap(self, name: str, version: int, claim: Claim) -> StoredClaim:
        """Write ``claim`` if the version is still ``version``; return what is there afterwards."""
        lease = await self._lease.current()
        value = _encode(claim)
        key = CLAIM_PREFIX + name
        try:
            result = await self._store.compare_and_swap(key, version, value, lease)
        except StoreUnavailableError:
            self._lease.drop()
            raise
        current = result.current
        if current is None:
            return StoredClaim(None, 0)
        return StoredClaim(decode(current.value, Claim), current.version)


def _encode(claim: Claim) -> bytes:
    value = encode(claim)
    if len(value) <= MAX_CLAIM_BYTES:
        return value
    return encode(attrs.evolve(claim, answer=None))
