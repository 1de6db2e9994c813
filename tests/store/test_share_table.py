"""The share table in the store, including lost requests and answers."""

import pytest

from vanillashore_store import CasResult, ShareTableStore, StoredValue, StoreUnavailableError
from vanillashore_wire import ShareRow

ROWS = (ShareRow(("a", "b", "c"), (0, 0, 0)),)
OTHER_ROWS = (ShareRow(("a", "b", "d"), (0, 0, 1)),)


class FakeStore:
    def __init__(self) -> None:
        self.value: StoredValue | None = None
        self.lost_part = ""

    async def get(self, key: str) -> StoredValue | None:
        return self.value

    async def compare_and_swap(
        self, key: str, expected_version: int, value: bytes, lease: int = 0
    ) -> CasResult:
        if self.lost_part == "request":
            raise StoreUnavailableError("lost")
        current = self.value.version if self.value else 0
        if current != expected_version:
            return CasResult(False, self.value)
        self.value = StoredValue(value, current + 1)
        if self.lost_part == "answer":
            raise StoreUnavailableError("lost")
        return CasResult(True, self.value)


async def test_table_is_read_with_its_version_in_the_store() -> None:
    table_store = ShareTableStore(FakeStore())
    assert await table_store.read() is None
    written = await table_store.write(ROWS, 0)
    assert written.version == 1
    assert await table_store.read() == written


async def test_slower_writer_gets_none() -> None:
    table_store = ShareTableStore(FakeStore())
    await table_store.write(ROWS, 0)
    assert await table_store.write(OTHER_ROWS, 0) is None
    assert (await table_store.read()).rows == ROWS


async def test_lost_answer_is_resolved_by_reading_the_table() -> None:
    store = FakeStore()
    store.lost_part = "answer"
    written = await ShareTableStore(store).write(ROWS, 0)
    assert (written.version, written.rows) == (1, ROWS)


async def test_write_that_may_still_take_effect_is_an_error() -> None:
    store = FakeStore()
    store.lost_part = "request"
    with pytest.raises(StoreUnavailableError):
        await ShareTableStore(store).write(ROWS, 0)
