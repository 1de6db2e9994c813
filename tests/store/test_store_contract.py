"""The contract of key-value service adapters, tested for etcd against the stand-in."""

from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import attrs
import pytest

from vanillashore_standins import KvFaults, KvState, ServedApp, kv_app
from vanillashore_store import EtcdStore, KeyValueStore, StoredValue, StoreUnavailableError


@attrs.define
class Rig:
    store: KeyValueStore
    state: KvState
    faults: KvFaults
    now: list[float]


@pytest.fixture
async def rig() -> AsyncIterator[Rig]:
    now = [0.0]
    state = KvState(clock=lambda: now[0])
    faults = KvFaults()
    async with (
        ServedApp(kv_app(state, faults)) as served,
        aiohttp.ClientSession() as session,
    ):
        yield Rig(EtcdStore(session, served.address, 0.2), state, faults, now)


async def test_absent_key_has_no_value(rig: Rig) -> None:
    assert await rig.store.get("k") is None


async def test_swap_from_absent_then_by_version(rig: Rig) -> None:
    first = await rig.store.compare_and_swap("k", 0, b"1")
    second = await rig.store.compare_and_swap("k", first.current.version, b"\x00\xff")
    assert (first.applied, second.applied) == (True, True)
    assert await rig.store.get("k") == second.current
    assert second.current.value == b"\x00\xff"


@pytest.mark.parametrize("expected", [0, 99])
async def test_swap_with_another_version_changes_nothing_and_returns_the_value(
    rig: Rig, expected: int
) -> None:
    current = (await rig.store.compare_and_swap("k", 0, b"1")).current
    result = await rig.store.compare_and_swap("k", expected, b"2")
    assert not result.applied
    assert result.current == current == await rig.store.get("k")


async def test_swap_of_an_absent_key_with_a_version_returns_no_value(rig: Rig) -> None:
    result = await rig.store.compare_and_swap("k", 5, b"2")
    assert (result.applied, result.current) == (False, None)


async def test_lost_answer_is_an_error_though_the_write_took_effect(rig: Rig) -> None:
    rig.faults.lose_answers = 1
    with pytest.raises(StoreUnavailableError):
        await rig.store.compare_and_swap("k", 0, b"1")
    assert (await rig.store.get("k")).value == b"1"


async def test_key_is_deleted_when_its_lease_expires(rig: Rig) -> None:
    lease = await rig.store.grant_lease(10)
    await rig.store.compare_and_swap("k", 0, b"1", lease)
    rig.now[0] = 9.0
    assert await rig.store.renew_lease(lease)
    rig.now[0] = 18.0
    assert await rig.store.get("k") is not None
    rig.now[0] = 20.0
    assert await rig.store.get("k") is None
    assert not await rig.store.renew_lease(lease)


async def test_watch_starts_after_a_version_and_ends_with_an_error(rig: Rig) -> None:
    first = (await rig.store.compare_and_swap("k", 0, b"1")).current
    second = (await rig.store.compare_and_swap("k", first.version, b"2")).current
    seen: list[StoredValue] = []

    async def follow() -> None:
        async for value in rig.store.watch("k", first.version):
            seen.append(value)
            if len(seen) == 1:
                await rig.store.compare_and_swap("k", second.version, b"3")
            else:
                rig.faults.down = True

    with pytest.raises(StoreUnavailableError):
        await follow()
    assert [value.value for value in seen] == [b"2", b"3"]


CALLS: dict[str, Callable[[KeyValueStore], Awaitable[object]]] = {
    "get": lambda store: store.get("k"),
    "swap": lambda store: store.compare_and_swap("k", 0, b"1"),
    "grant": lambda store: store.grant_lease(5),
    "renew": lambda store: store.renew_lease(1),
    "watch": lambda store: anext(store.watch("k", 0)),
}


@pytest.mark.parametrize("call", CALLS)
async def test_outage_is_the_same_error_on_every_call(rig: Rig, call: str) -> None:
    rig.faults.down = True
    with pytest.raises(StoreUnavailableError):
        await CALLS[call](rig.store)


@pytest.mark.parametrize("call", ["get", "swap", "grant", "renew"])
async def test_timeout_is_the_same_error(rig: Rig, call: str) -> None:
    rig.faults.delay_s = 1.0
    with pytest.raises(StoreUnavailableError):
        await CALLS[call](rig.store)
