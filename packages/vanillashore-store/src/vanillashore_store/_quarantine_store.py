"""The most recently quarantined requests, stored as one value that processes read on start."""

import attrs

from vanillashore_store._store import KeyValueStore, StoreUnavailableError
from vanillashore_wire import NoticedRequest, decode, encode

QUARANTINE_KEY = "vanillashore/quarantine"
MAX_REQUESTS = 500
MAX_TRIES = 10


@attrs.frozen
class _Quarantined:
    requests: tuple[NoticedRequest, ...]


class QuarantineStore:
    """Reads and extends the list by compare-and-swap; a full list drops its oldest requests."""

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def read(self) -> tuple[NoticedRequest, ...]:
        """Return the list, oldest first."""
        stored = await self._store.get(QUARANTINE_KEY)
        return decode(stored.value, _Quarantined).requests if stored else ()

    async def add(self, request: NoticedRequest) -> None:
        """Add a request; raise StoreUnavailableError if it could not be written."""
        for _ in range(MAX_TRIES):
            stored = await self._store.get(QUARANTINE_KEY)
            requests = decode(stored.value, _Quarantined).requests if stored else ()
            if request in requests:
                return
            value = encode(_Quarantined((*requests, request)[-MAX_REQUESTS:]))
            version = stored.version if stored else 0
            result = await self._store.compare_and_swap(QUARANTINE_KEY, version, value)
            if result.applied:
                return
        raise StoreUnavailableError(f"{QUARANTINE_KEY}: every write met a concurrent change")
