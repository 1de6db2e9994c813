"""The client of the platform's store."""

import asyncio

import pytest

from vanillashore_adapter import HttpStore
from vanillashore_gateway import (
    EntryWritten,
    EvacuationRequested,
    EvacuationWithdrawn,
    StoreUnavailableError,
)
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
            await HttpStore(ADDRESS, 1.0).changes(1, 0.0, 1_000_000)

    run_in_virtual_time(watch())


def test_lease_is_renewed_while_a_large_snapshot_arrives(monkeypatch: pytest.MonkeyPatch) -> None:
    async def answer(call: StoreCall) -> bytes:
        padding = " " * 2_000_000 if call.path == "/-/kv-range" else ""
        return b'{"items":[],"at":1}' + padding.encode()

    async def read_and_renew() -> None:
        link = SlowLink(answer, bytes_per_s=625_000)
        monkeypatch.setattr("vanillashore_adapter._store.open_connection", link.open_connection)
        store = HttpStore(ADDRESS, 1.0)
        snapshot = asyncio.create_task(store.snapshot())
        await asyncio.sleep(0.1)
        await store.renew(7)
        assert not snapshot.done()
        assert (await snapshot).revision == 1

    run_in_virtual_time(read_and_renew())


@pytest.mark.parametrize("body", ["{}", '{"items":[],"at":"7"}', '{"items":{},"at":7}', "[]"])
def test_malformed_snapshot_counts_as_no_answer(monkeypatch: pytest.MonkeyPatch, body: str) -> None:
    with pytest.raises(StoreUnavailableError, match="malformed"):
        run_in_virtual_time(_store_answering(monkeypatch, body).snapshot())


@pytest.mark.parametrize("body", ['{"events":[],"at":"7"}', '{"events":7,"at":7}'])
def test_malformed_changes_count_as_no_answer(monkeypatch: pytest.MonkeyPatch, body: str) -> None:
    store = _store_answering(monkeypatch, body)
    with pytest.raises(StoreUnavailableError, match="malformed"):
        run_in_virtual_time(store.changes(1, 0.0, 1_000_000))


@pytest.mark.parametrize("body", ["{}", '{"lease":"7","revision":"7"}'])
def test_malformed_answer_to_a_call_counts_as_no_answer(
    monkeypatch: pytest.MonkeyPatch, body: str
) -> None:
    store = _store_answering(monkeypatch, body)
    calls = (
        store.grant_lease(8.0),
        store.register_entry("a", ADDRESS, 7),
        store.acquire_duty("d", "a", 7),
    )
    for call in calls:
        with pytest.raises(StoreUnavailableError, match="malformed"):
            run_in_virtual_time(call)


def test_items_without_a_key_are_left_out_of_a_snapshot(monkeypatch: pytest.MonkeyPatch) -> None:
    entry = '{"key":"vanillashore/entries/a","value":"WyIxMC4wLjAuMSIsMV0=","revision":3}'
    body = f'{{"items":[{{}},{{"key":7}},7,{entry}],"at":7}}'
    snapshot = run_in_virtual_time(_store_answering(monkeypatch, body).snapshot())
    assert snapshot.items == (EntryWritten("a", ("10.0.0.1", 1), revision=3),)


@pytest.mark.parametrize("value", ["", "not base64", "e30="])
def test_key_of_an_evacuation_counts_whatever_its_value(
    monkeypatch: pytest.MonkeyPatch, value: str
) -> None:
    """Guards against a request that is ignored because of what the operator wrote."""
    row = f'{{"key":"op/evacuate/dc-a","value":"{value}","revision":3}}'
    store = _store_answering(monkeypatch, f'{{"items":[{row}],"at":7}}')
    assert run_in_virtual_time(store.snapshot()).items == (EvacuationRequested("dc-a"),)


def test_removed_key_of_an_evacuation_withdraws_it(monkeypatch: pytest.MonkeyPatch) -> None:
    row = '{"key":"op/evacuate/dc-a","revision":9,"deleted":true}'
    store = _store_answering(monkeypatch, f'{{"events":[{row}],"at":9}}')
    changes = run_in_virtual_time(store.changes(1, 0.0, 1_000_000))
    assert changes.items == (EvacuationWithdrawn("dc-a"),)


def _store_answering(monkeypatch: pytest.MonkeyPatch, body: str) -> HttpStore:
    async def answer(call: StoreCall) -> bytes:
        return body.encode()

    link = SlowLink(answer, bytes_per_s=1e6)
    monkeypatch.setattr("vanillashore_adapter._store.open_connection", link.open_connection)
    return HttpStore(ADDRESS, 1.0)
