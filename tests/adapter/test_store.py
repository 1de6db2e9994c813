"""The client of the platform's store."""

import pytest

from vanillashore_adapter import HttpStore
from vanillashore_gateway import StoreUnavailableError
from vanillashore_standins.slow_link import SlowLink, StoreCall
from vanillashore_standins.virtual_time import run_in_virtual_time

ADDRESS = ("127.0.0.1", 1)


def test_cut_off_answer_is_reported_with_the_bytes_that_arrived(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def answer(call: StoreCall) -> bytes:
        return b" " * 100_000

    async def watch() -> None:
        link = SlowLink(answer, bytes_per_s=1e6, stalls_after=50_000)
        monkeypatch.setattr("vanillashore_adapter._store.open_connection", link.open_connection)
        with pytest.raises(StoreUnavailableError, match=r"received 5\d{4} bytes"):
            await HttpStore(ADDRESS, 1.0).changes(1, 0.0)

    run_in_virtual_time(watch())
