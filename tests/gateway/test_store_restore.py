"""A store that comes back from an older copy of itself, and gives out revisions again."""

import asyncio
from typing import Any

import pytest

from vanillashore_gateway import Snapshot, StoreRestoredError
from vanillashore_standins import ServedApp, wait_until
from vanillashore_standins.platform_rig import KEY, WORKSPACE, PlatformRig, configuration
from vanillashore_standins.platform_store import PlatformStoreStandIn
from vanillashore_standins.store_link import StoreLink

OTHER_KEY = "key-of-another"
ENTRY_KEY = "vanillashore/entries/entry-1"


def _config(version: int, *keys: str) -> dict[str, Any]:
    tenant = {"name": WORKSPACE, "api_keys": list(keys), "unit": "token_stream"}
    return configuration(version, tenants=[tenant])


async def _restore(rig: PlatformRig, copy: Any, new_revisions: bool) -> None:
    """Restore a copy; other writers may have used as many revisions as were lost."""
    lost = rig.store.revision - copy.revision
    rig.store.restore(copy)
    for number in range(lost + 3 if new_revisions else 0):
        rig.store.put("others/x", {"number": number})
    calls = len(rig.store.calls)
    await wait_until(lambda: "kv-range" in rig.store.calls[calls:])
    await wait_until(lambda: rig.store.calls[-1] == "kv-watch")


@pytest.mark.parametrize("new_revisions", [False, True])
async def test_withdrawn_key_stays_withdrawn_and_later_changes_are_followed(
    new_revisions: bool,
) -> None:
    async with PlatformRig(services=1) as rig:
        rig.store.put("op/config", _config(2, KEY, OTHER_KEY))
        await wait_until(lambda: rig.process.gateway.config_version == 2)
        copy = rig.store.copy()
        rig.store.put("op/config", _config(3, KEY))
        await wait_until(lambda: rig.process.gateway.config_version == 3)
        await _restore(rig, copy, new_revisions)
        assert rig.process.gateway.config_version == 3
        assert (await rig.ask("GET", "/stock/1", "id-1", key=OTHER_KEY)).status == 401
        rig.store.put("op/config", _config(3, KEY))
        rig.store.put("op/config", _config(4, KEY, "new-key"))
        await wait_until(lambda: rig.process.gateway.config_version == 4)


@pytest.mark.parametrize("new_revisions", [False, True])
async def test_change_that_is_written_after_the_restore_is_not_missed(new_revisions: bool) -> None:
    async with PlatformRig(services=2) as rig:
        copy = rig.store.copy()
        for number in range(5):
            rig.store.put("others/x", {"number": number})
        await wait_until(lambda: rig.process._follower.revision == rig.store.revision)
        rig.store.restore(copy)
        rig.store.put("op/config", _config(7, KEY))
        rig.store.put("servers/s2", rig.services[1].entry())
        for number in range(5 if new_revisions else 0):
            rig.store.put("others/x", {"number": number})
        await wait_until(lambda: rig.process.gateway.config_version == 7)
        await wait_until(lambda: rig.process.gateway.membership.get("s2") is not None)


async def test_endpoint_that_was_leaving_or_gone_gets_nothing_until_it_is_written_again() -> None:
    async with PlatformRig(services=3) as rig:
        copy = rig.store.copy()
        rig.store.put("servers/s0", rig.services[0].entry(state="draining"))
        rig.store.remove("servers/s1")
        membership = rig.process.gateway.membership
        await wait_until(lambda: [e.instance for e in membership.usable("orders")] == ["s2"])
        await _restore(rig, copy, new_revisions=True)
        assert [e.instance for e in membership.usable("orders")] == ["s2"]
        rig.store.put("servers/s1", rig.services[1].entry())
        await wait_until(lambda: len(membership.usable("orders")) == 2)


async def test_endpoint_that_the_copy_lacks_is_used_without_a_gap_unless_it_stays_away() -> None:
    async with PlatformRig(services=3) as rig:
        for name in ("s1", "s2"):
            rig.store.remove(f"servers/{name}")
        membership = rig.process.gateway.membership
        await wait_until(lambda: len(membership) == 1)
        copy = rig.store.copy()
        for endpoint in rig.services[1:]:
            rig.store.put(f"servers/{endpoint.instance}", endpoint.entry())
        await wait_until(lambda: len(membership) == 3)
        await _restore(rig, copy, new_revisions=True)
        assert len(membership.usable("orders")) == 3
        rig.store.put("servers/s1", rig.services[1].entry())
        await wait_until(lambda: membership.get("s2") is None)
        assert {e.instance for e in membership.usable("orders")} == {"s0", "s1"}


async def test_entries_register_again_at_once_and_stay_known_to_each_other_meanwhile(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("vanillashore_gateway._following.RENEW_EVERY_S", 1_000.0)
    async with PlatformRig(entries=3) as rig:
        copy = rig.store.copy()
        for key in [key for key in copy.items if key.startswith("vanillashore/entries/")]:
            copy.items.pop(key)
        copy.leases.clear()
        known: set[int] = set()

        async def observe() -> None:
            while True:
                known.update(process.gateway.known_entries for process in rig.processes)
                await asyncio.sleep(0.01)

        observer = asyncio.ensure_future(observe())
        rig.store.restore(copy)
        keys = {f"vanillashore/entries/entry-{number}" for number in (1, 2, 3)}
        await wait_until(lambda: keys <= set(rig.store.items))
        await asyncio.sleep(1.0)
        observer.cancel()
        assert known == {3}


async def test_entry_that_does_not_register_again_is_dropped_after_a_while() -> None:
    async with PlatformRig(entries=2) as rig:
        copy = rig.store.copy()
        for key in [key for key in copy.items if key.startswith("vanillashore/entries/")]:
            copy.items.pop(key)
        rig.kill_entry(1)
        rig.store.restore(copy)
        await wait_until(lambda: rig.process.gateway.known_entries == 1, wait_s=10.0)


async def test_lease_of_an_earlier_era_is_not_renewed() -> None:
    async with PlatformRig() as rig:
        await wait_until(lambda: ENTRY_KEY in rig.store.items)
        copy = rig.store.copy()
        copy.items.pop(ENTRY_KEY)
        rig.store.restore(copy)
        await wait_until(lambda: ENTRY_KEY in rig.store.items)
        assert rig.store.items[ENTRY_KEY].lease > copy.last_lease


async def test_fences_rise_over_a_restore() -> None:
    async with PlatformRig() as rig:
        copy = rig.store.copy()
        store = rig.new_client()
        fences = []
        for _ in range(2):
            lease = await store.grant_lease(5.0)
            fences.append(await store.acquire_duty("roles", "e", lease))
            rig.store.put("others/x", {})
            rig.store.restore(copy)
            store = rig.new_client()
        assert fences[0] < fences[1]


async def test_holder_whose_order_is_fenced_releases_the_duty_and_gets_a_higher_fence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("vanillashore_gateway._duty.REGISTRATION_TTL_S", 0.5)
    async with PlatformRig(prefills=3, decodes=1) as rig:
        highest = (rig.store.era + 1) << 32
        for endpoint in rig.prefills:
            endpoint.highest_fence = highest
        duty = "vanillashore/duties/roles"
        await wait_until(lambda: duty in rig.store.items, wait_s=15.0)
        await wait_until(lambda: duty not in rig.store.items, wait_s=15.0)
        for _ in range(2):
            rig.store.restore(rig.store.copy())
        await wait_until(lambda: any(e.highest_fence > highest for e in rig.prefills), wait_s=20.0)


async def test_duty_of_an_earlier_process_of_the_same_entry_is_acquired_anew() -> None:
    async with PlatformRig(prefills=3, decodes=1) as rig:
        rig.store.put("vanillashore/duties/roles", b"entry-1")
        await wait_until(lambda: any(e.highest_fence for e in rig.prefills), wait_s=20.0)
        duty = rig.store.items["vanillashore/duties/roles"]
        fence = (rig.store.era << 32) + duty.revision
        assert duty.lease > 0
        assert {e.highest_fence for e in rig.prefills} <= {0, fence}


async def test_store_at_another_address_may_be_in_an_earlier_era() -> None:
    async with PlatformRig(services=1) as rig:
        await _restore(rig, rig.store.copy(), new_revisions=False)
        other = PlatformStoreStandIn()
        other.put("op/config", _config(8, KEY))
        other.put("servers/s0", rig.services[0].entry())
        async with ServedApp(other.app()) as served:
            host, _, port = served.address.removeprefix("http://").partition(":")
            rig.process._follower._store.set_address((host, int(port)))
            await wait_until(lambda: rig.process.gateway.config_version == 8)
            await wait_until(lambda: ENTRY_KEY in other.items)


async def test_same_store_at_another_address_gives_an_endpoint_that_has_left_no_more_time() -> None:
    """Guards against a change of the address that is taken for a restored store."""
    async with PlatformRig(services=2) as rig, StoreLink(*rig.store_address) as link:
        gateway, restores = rig.process.gateway, []
        gateway.restore_listeners.append(lambda: restores.append(True))
        await wait_until(lambda: rig.process._follower.revision == rig.store.revision)
        rig.store.remove("servers/s0")
        rig.process._follower._store.set_address(link.address)
        await wait_until(lambda: gateway.membership.get("s0") is None)
        rig.store.put("op/config", _config(8, KEY))
        await wait_until(lambda: gateway.config_version == 8)
        assert restores == []


async def test_address_that_changes_ends_a_watch_of_the_earlier_one() -> None:
    async with PlatformRig() as rig, StoreLink(*rig.store_address) as link:
        await wait_until(lambda: rig.store.calls[-1] == "kv-watch")
        client = rig.process._follower._store
        watching = list(client._in_use)
        client.set_address(link.address)
        assert watching
        assert not any(conn.is_open for conn in watching)


async def test_endpoints_that_another_store_of_the_same_era_lacks_get_time_to_register() -> None:
    async with PlatformRig(services=2) as rig:
        rig.store.put("others/x", {})
        await wait_until(lambda: rig.process._follower.revision == rig.store.revision)
        gateway, restores = rig.process.gateway, []
        gateway.restore_listeners.append(lambda: restores.append(True))
        other = PlatformStoreStandIn()
        other.put("op/config", _config(8, KEY))
        async with ServedApp(other.app()) as served:
            host, _, port = served.address.removeprefix("http://").partition(":")
            rig.process._follower._store.set_address((host, int(port)))
            await wait_until(lambda: gateway.config_version == 8)
            assert restores == [True]
            assert len(gateway.membership) == 2
            other.put("servers/s0", rig.services[0].entry())
            await wait_until(lambda: gateway.membership.get("s1") is None)
            assert gateway.membership.get("s0") is not None


async def test_list_is_exact_some_seconds_after_a_restore() -> None:
    async with PlatformRig(services=2) as rig:
        copy = rig.store.copy()
        rig.store.put("servers/s0", rig.services[0].entry(state="draining"))
        membership = rig.process.gateway.membership
        await wait_until(lambda: [e.instance for e in membership.usable("orders")] == ["s1"])
        await _restore(rig, copy, new_revisions=True)
        assert [e.instance for e in membership.usable("orders")] == ["s1"]
        await wait_until(lambda: len(membership.usable("orders")) == 2, wait_s=12.0)


async def test_restore_that_a_call_notices_first_is_no_reason_to_use_what_is_leaving(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a restore that a follower cannot see, as it reads a snapshot just then."""
    async with PlatformRig(services=2) as rig:
        copy = rig.store.copy()
        rig.store.put("servers/s0", rig.services[0].entry(state="draining"))
        membership, client = rig.process.gateway.membership, rig.process._follower._store
        await wait_until(lambda: [e.instance for e in membership.usable("orders")] == ["s1"])
        restores: list[bool] = []
        rig.process.gateway.restore_listeners.append(lambda: restores.append(True))
        read, is_asked, may_read = client.snapshot, asyncio.Event(), asyncio.Event()

        async def snapshot() -> Snapshot:
            is_asked.set()
            await may_read.wait()
            return await read()

        monkeypatch.setattr(client, "snapshot", snapshot)
        rig.store.put("others/x", {})
        rig.store.drop_history()
        await is_asked.wait()
        rig.store.restore(copy)
        rig.process._registration._wake.set()
        await wait_until(lambda: client._era == rig.store.era)
        calls = len(rig.store.calls)
        may_read.set()
        await wait_until(lambda: "kv-range" in rig.store.calls[calls:])
        await wait_until(lambda: rig.store.calls[-1] == "kv-watch")
        assert [e.instance for e in membership.usable("orders")] == ["s1"]
        assert restores == [True]


async def test_pages_of_a_snapshot_are_of_one_era(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a snapshot joined from the state before a restore and that after it."""
    async with PlatformRig(services=8) as rig:
        client = rig.new_client()
        await client.snapshot()
        read, pages = client._read, []

        async def read_page(*args: Any) -> Any:
            pages.append(await read(*args))
            if len(pages) == 1:
                rig.store.restore(rig.store.copy())
                with pytest.raises(StoreRestoredError):
                    await client.renew(1)
            return pages[-1]

        monkeypatch.setattr(client, "_read", read_page)
        with pytest.raises(StoreRestoredError):
            await client.snapshot()
        assert len((await client.snapshot()).items) >= 8
        assert len(pages) > 2
