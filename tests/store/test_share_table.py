"""The share table in the store, also when answers are lost."""

import pytest

from vanillashore_store import CasResult, ShareTableStore, StoredValue, StoreUnavailableError
from vanillashore_wire import ShareRow

ROWS = (ShareRow(("a", "b", "c"), (0, 0, 0)),)
OTHER_ROWS = (ShareRow(("a", "b", "d"), (0, 0, 1)),)


class FakeStore:
    def __init__(self) -> None:
        self.value: StoredValue | None = None
        self.lose = ""

    async def get(self, key: str) -> StoredValue | None:
        return self.value

    async def compare_and_swap(
        self, key: str, expected_version: int, value: bytes, lease: int = 0
    ) -> CasResult:
        if self.lose == "request":
            raise StoreUnavailableError("lost")
        current = self.value.version if self.value else 0
        if current != expected_version:
            return CasResult(False, self.value)
        self.value = StoredValue(value, current + 1)
        if self.lose == "answer":
            raise StoreUnavailableError("lost")
        return CasResult(True, self.value)


async def test_table_is_read_back_with_the_version_of_the_store() -> None:
    table_store = ShareTableStore(FakeStore())
    assert await table_store.read() is None
    written = await table_store.write(ROWS, 0)
    assert written.version == 1
    assert await table_store.read() == written


async def test_slower_writer_is_told_so() -> None:
    table_store = ShareTableStore(FakeStore())
    await table_store.write(ROWS, 0)
    assert await table_store.write(OTHER_ROWS, 0) is None
    assert (await table_store.read()).rows == ROWS


async def test_lost_answer_is_settled_by_reading_back() -> None:
    store = FakeStore()
    store.lose = "answer"
    written = await ShareTableStore(store).write(ROWS, 0)
    assert (written.version, written.rows) == (1, ROWS)


async def test_write_that_may_still_take_effect_is_not_called_lost() -> None:
    store = FakeStore()
    store.lose = "request"
    with pytest.raises(StoreUnavailableError):
        await ShareTableStore(store).write(ROWS, 0)
