"""The registration of an entry that the store loses, or has under a lease that is not renewed."""

import asyncio

import pytest

from vanillashore_standins import wait_until
from vanillashore_standins.platform_rig import PlatformRig

ENTRY_KEY = "vanillashore/entries/entry-1"


def _stored_lease(rig: PlatformRig) -> int:
    item = rig.store.items.get(ENTRY_KEY)
    return 0 if item is None else item.lease


def _end_late_write(rig: PlatformRig) -> None:
    """Do a write late that had no answer, under a lease that ends then."""
    lease = rig.process._registration.lease + 50
    rig.store.put(ENTRY_KEY, list(rig.process._registration.address), lease)
    rig.store.end_lease(lease)


@pytest.mark.parametrize("drops_history", [False, True])
async def test_entry_whose_registration_is_gone_registers_again(drops_history: bool) -> None:
    """Guards against running entries that no entry lists, and that keep counts apart for good."""
    async with PlatformRig(entries=2) as rig:
        lease = rig.process._registration.lease
        _end_late_write(rig)
        if drops_history:
            rig.store.drop_history()
        await wait_until(lambda: _stored_lease(rig) == lease)
        await wait_until(rig.entries_know_each_other)


async def test_entry_is_moved_back_to_its_lease_before_the_other_one_ends() -> None:
    """Guards against a late write that takes a running entry from the lists some seconds later."""
    async with PlatformRig(entries=2) as rig:
        lease = rig.process._registration.lease
        rig.store.put(ENTRY_KEY, list(rig.process._registration.address), lease + 50)
        await wait_until(lambda: _stored_lease(rig) == lease)
        rig.store.end_lease(lease + 50)
        assert _stored_lease(rig) == lease
        assert rig.entries_know_each_other()


async def test_late_write_that_is_seen_before_the_answer_to_the_own_one_is_undone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an answer that arrives late and makes the entry forget what it has seen."""
    async with PlatformRig() as rig:
        registration, follower = rig.process._registration, rig.process._follower
        register, late = follower._store.register_entry, []

        async def register_late(name: str, address: tuple[str, int], lease: int) -> int:
            revision = await register(name, address, lease)
            if not late:
                late.append(rig.store.put(ENTRY_KEY, list(address), lease + 50))
                await wait_until(lambda: follower.revision == late[0])
            return revision

        monkeypatch.setattr(follower._store, "register_entry", register_late)
        registration.record_restore()
        await wait_until(lambda: late and _stored_lease(rig) == registration.lease)


async def test_registration_that_is_sound_is_not_written_again() -> None:
    async with PlatformRig(entries=2) as rig:
        rig.store.put("others/x", {})
        await wait_until(lambda: rig.process._follower.revision == rig.store.revision)
        rig.store.drop_history()
        writes = rig.store.calls.count("kv-txn")
        renewals = rig.store.calls.count("kv-keep")
        await wait_until(lambda: rig.store.calls.count("kv-keep") >= renewals + 4, wait_s=15.0)
        assert rig.store.calls.count("kv-txn") == writes


async def test_entry_that_has_withdrawn_stays_away() -> None:
    async with PlatformRig(entries=2) as rig:
        await rig.process._registration.withdraw()
        await wait_until(lambda: rig.processes[1].gateway.known_entries == 1)
        revision = rig.store.revision
        await wait_until(lambda: rig.process._follower.revision == revision)
        await asyncio.sleep(0.1)
        assert ENTRY_KEY not in rig.store.items
