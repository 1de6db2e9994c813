"""Claims of calls in the platform's store; a process attaches one hour's claims to one lease."""

import time
from collections.abc import Callable

import attrs

from vanillashore_store._store import KeyValueStore, StoreUnavailableError
from vanillashore_wire import Claim, decode, encode

CLAIM_PREFIX = "vanillashore/claim/"
RETENTION_S = 48 * 3_600
LEASE_REUSE_S = 3_600.0
MAX_CLAIM_BYTES = 900_000  # A larger claim is stored without its answer.


@attrs.frozen
class StoredClaim:
    """A claim and its version in the store; ``None`` and 0 if the key is absent."""

    claim: Claim | None
    version: int


class RetentionLease:
    """The lease that new records are attached to.

    A lease takes records for one hour, expires after 49 hours and is never renewed, so that a
    record is kept for 48 to 49 hours. A process that dies leaves nothing to clean up, and expiry
    costs no writes.
    """

    def __init__(self, store: KeyValueStore, clock: Callable[[], float] = time.monotonic) -> None:
        self._store = store
        self._clock = clock
        self._lease = 0
        self._reused_until = 0.0

    async def current(self) -> int:
        """Return the current lease; request a new one if there is none or its hour is over."""
        now = self._clock()
        if not self._lease or now >= self._reused_until:
            self._lease = await self._store.grant_lease(RETENTION_S + int(LEASE_REUSE_S))
            self._reused_until = now + LEASE_REUSE_S
        return self._lease

    def drop(self) -> None:
        """Discard the lease after a failed write, since an expired lease may be the cause."""
        self._lease = 0


class ClaimStore:
    """Reads and swaps claims; raises StoreUnavailableError if the store does not answer."""

    def __init__(self, store: KeyValueStore, clock: Callable[[], float] = time.monotonic) -> None:
        self._store = store
        self._lease = RetentionLease(store, clock)

    async def read(self, name: str) -> StoredClaim:
        """Return the claim stored under ``name``."""
        stored = await self._store.get(CLAIM_PREFIX + name)
        if stored is None:
            return StoredClaim(None, 0)
        return StoredClaim(decode(stored.value, Claim), stored.version)

    async def swap(self, name: str, version: int, claim: Claim) -> StoredClaim:
        """Write ``claim`` if the version is still ``version``; return what is stored afterwards."""
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
