"""The share table in the platform's store: one value, changed by compare-and-swap."""

import secrets
from collections.abc import AsyncIterator

import attrs

from vanillashore_store._store import KeyValueStore, StoredValue, StoreUnavailableError
from vanillashore_wire import ShareRow, ShareTable, decode, encode

SHARE_TABLE_KEY = "vanillashore/share/table"


class ShareTableStore:
    """Reads and replaces the share table; its version is that of the value in the store."""

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def read(self) -> ShareTable | None:
        """Return the table, or ``None`` if it was never written."""
        return _decode_table(await self._store.get(SHARE_TABLE_KEY))

    async def write(self, rows: tuple[ShareRow, ...], base_version: int) -> ShareTable | None:
        """Replace the table if its version is still ``base_version`` (0: absent).

        Returns the new table, or ``None`` if another write was faster. Raises
        StoreUnavailableError if it remains unknown whether the write took effect.
        """
        table = ShareTable(base_version, secrets.token_hex(8), rows)
        try:
            result = await self._store.compare_and_swap(
                SHARE_TABLE_KEY, base_version, encode(table)
            )
        except StoreUnavailableError:
            return await self._resolve_lost_write(table)
        current = _decode_table(result.current)
        return current if result.applied else None

    async def watch(self, after_version: int) -> AsyncIterator[ShareTable]:
        """Yield each newer table when it is written."""
        async for stored in self._store.watch(SHARE_TABLE_KEY, after_version):
            yield attrs.evolve(decode(stored.value, ShareTable), version=stored.version)

    async def _resolve_lost_write(self, written: ShareTable) -> ShareTable | None:
        current = await self.read()
        if current is not None and current.writer == written.writer:
            return current
        if (current.version if current else 0) == written.version:
            raise StoreUnavailableError("the write may still take effect")
        return None


def _decode_table(stored: StoredValue | None) -> ShareTable | None:
    if stored is None:
        return None
    return attrs.evolve(decode(stored.value, ShareTable), version=stored.version)
