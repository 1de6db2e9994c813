"""Turns at the weight store: a few keys under leases bound how many endpoints load at once."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

import attrs

from vanillashore_store import KeyValueStore, StoreUnavailableError

TURN_PREFIX = "vanillashore/weights/turn/"
LEASE_TTL_S = 6
LEASE_RENEWAL_S = 2.0
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 3.0
TAKEN = b"taken"
FREE = b"free"


@attrs.frozen
class _Held:
    key: str
    version: int
    lease: int


class WeightTurns:
    """At most ``turns`` loads at once in the whole fleet.

    A turn is a key under a lease that is renewed while the load goes on. A holder that dies lets it
    lapse; one that is paused may overlap with the next, which costs the store speed, no more::

        async with turns.turn():
            await engine.order(order)
    """

    def __init__(self, store: KeyValueStore, turns: int, rng: random.Random) -> None:
        self._store = store
        self._turns = turns
        self._rng = rng

    @contextlib.asynccontextmanager
    async def turn(self) -> AsyncIterator[None]:
        """Wait for a turn and hold it; raise StoreUnavailableError if the store is gone."""
        held = await self._take()
        renewal = asyncio.get_running_loop().create_task(self._renew(held.lease))
        try:
            yield
        finally:
            renewal.cancel()
            with contextlib.suppress(StoreUnavailableError):
                await self._store.compare_and_swap(held.key, held.version, FREE)

    async def _take(self) -> "_Held":
        while True:
            key = f"{TURN_PREFIX}{self._rng.randrange(self._turns)}"
            seen = await self._store.get(key)
            if seen is None or seen.value == FREE:
                version = seen.version if seen is not None else 0
                lease = await self._store.grant_lease(LEASE_TTL_S)
                result = await self._store.compare_and_swap(key, version, TAKEN, lease)
                if result.applied and result.current is not None:
                    return _Held(key, result.current.version, lease)
            await asyncio.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    async def _renew(self, lease: int) -> None:
        while True:
            await asyncio.sleep(LEASE_RENEWAL_S)
            with contextlib.suppress(StoreUnavailableError):
                await self._store.renew_lease(lease)
