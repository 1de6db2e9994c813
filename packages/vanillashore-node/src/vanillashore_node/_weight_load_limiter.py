"""Limit on how many engines load weights at once, by a few keys under leases in the store."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

import attrs

from vanillashore_store import KeyValueStore, StoreUnavailableError

SLOT_KEY_PREFIX = "vanillashore/weights/turn/"
LEASE_TTL_S = 6
LEASE_RENEWAL_INTERVAL_S = 2.0
MIN_RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 3.0
TAKEN = b"taken"
FREE = b"free"


@attrs.frozen
class _HeldSlot:
    key: str
    version: int
    lease: int


class WeightLoadLimiter:
    """Allows at most ``slots`` loads at once in the whole fleet.

    A slot is a key under a lease that is renewed during the load. The lease of a process that dies
    expires. A paused process may overlap with the next one, which only slows the weight store
    down::

        async with limiter.slot():
            await engine.order(order)
    """

    def __init__(self, store: KeyValueStore, slots: int, rng: random.Random) -> None:
        self._store = store
        self._slots = slots
        self._rng = rng

    @contextlib.asynccontextmanager
    async def slot(self) -> AsyncIterator[None]:
        """Wait for a slot and hold it; raise StoreUnavailableError if the store is unavailable."""
        held = await self._acquire()
        renewal = asyncio.get_running_loop().create_task(self._keep_alive(held.lease))
        try:
            yield
        finally:
            renewal.cancel()
            with contextlib.suppress(StoreUnavailableError):
                await self._store.compare_and_swap(held.key, held.version, FREE)

    async def _acquire(self) -> "_HeldSlot":
        while True:
            key = f"{SLOT_KEY_PREFIX}{self._rng.randrange(self._slots)}"
            stored = await self._store.get(key)
            if stored is None or stored.value == FREE:
                version = stored.version if stored is not None else 0
                lease = await self._store.grant_lease(LEASE_TTL_S)
                result = await self._store.compare_and_swap(key, version, TAKEN, lease)
                if result.applied and result.current is not None:
                    return _HeldSlot(key, result.current.version, lease)
            await asyncio.sleep(self._rng.uniform(MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S))

    async def _keep_alive(self, lease: int) -> None:
        while True:
            await asyncio.sleep(LEASE_RENEWAL_INTERVAL_S)
            with contextlib.suppress(StoreUnavailableError):
                await self._store.renew_lease(lease)
