"""The list of entries, across an outage of the store in which registrations lapse."""

import asyncio

import pytest

from vanillashore_gateway import EntryRemoved, EntryWritten
from vanillashore_gateway import _entry_list as entry_list
from vanillashore_gateway._entry_list import RETURN_GRACE_S, EntryList
from vanillashore_gateway._gateway import MIN_OUTAGE_S, Gateway
from vanillashore_standins import wait_until
from vanillashore_standins.platform_rig import PlatformRig

NAMES = [f"e{i}" for i in range(4)]
ADDRESSES = {name: ("10.0.0.1", i) for i, name in enumerate(NAMES)}


class _Clock:
    time = 100.0

    def __call__(self) -> float:
        return self.time


def _entries() -> tuple[EntryList, _Clock]:
    clock = _Clock()
    entries = EntryList(clock)
    entries.replace_all(ADDRESSES)
    return entries, clock


def _register_all(gateway: Gateway) -> int:
    """Register the entries at a gateway; return how many it knows then."""
    for name, address in ADDRESSES.items():
        gateway.apply_change(EntryWritten(name, address))
    return gateway.known_entries


def test_entry_that_leaves_is_removed_at_once() -> None:
    entries, _ = _entries()
    assert entries.remove("e1")
    assert not entries.remove("e1")
    assert sorted(entries.addresses) == ["e0", "e2", "e3"]
    assert entries.next_expiry is None


@pytest.mark.parametrize("by_snapshot", [False, True])
def test_entries_that_lapsed_in_an_outage_are_kept_until_they_can_have_come_back(
    by_snapshot: bool,
) -> None:
    """Guards against lists that get short at once, each another one, as the store returns."""
    entries, clock = _entries()
    entries.record_store_return()
    if by_snapshot:
        entries.replace_all({})
    else:
        assert not any(entries.remove(name) for name in NAMES)
    clock.time += RETURN_GRACE_S - 0.1
    entries.put("e2", ("10.0.0.2", 2))
    assert entries.expire() == []
    assert sorted(entries.addresses) == NAMES
    clock.time = entries.next_expiry
    assert entries.expire() == ["e0", "e1", "e3"]
    assert dict(entries.addresses) == {"e2": ("10.0.0.2", 2)}
    assert entries.next_expiry is None


def test_entry_that_leaves_after_the_grace_time_is_removed_at_once() -> None:
    entries, clock = _entries()
    entries.record_store_return()
    clock.time += RETURN_GRACE_S
    assert entries.remove("e1")


def test_entry_that_has_left_is_not_kept_by_contact_that_is_lost_again_and_again() -> None:
    """Guards against a grace time that begins anew each time that a watch is cut."""
    entries, clock = _entries()
    entries.record_store_return()
    entries.remove("e1")
    for _ in range(20):
        entries.record_short_loss(0.05)
        clock.time += RETURN_GRACE_S / 10
    assert entries.expire() == ["e1"]


def test_short_loss_of_contact_delays_the_end_of_the_grace_time_by_its_length() -> None:
    entries, clock = _entries()
    entries.record_store_return()
    entries.remove("e1")
    entries.record_short_loss(0.9)
    clock.time += RETURN_GRACE_S + 0.8
    assert entries.expire() == []
    clock.time += 0.2
    assert entries.expire() == ["e1"]


async def test_list_stays_whole_while_the_store_comes_and_goes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(entry_list, "RETURN_GRACE_S", 0.2)
    async with PlatformRig(services=1) as rig:
        gateway = rig.process.gateway
        count = _register_all(gateway)
        gateway.record_store_contact(False)
        gateway.record_store_contact(True, MIN_OUTAGE_S)
        for name in NAMES:
            gateway.apply_change(EntryRemoved(name))
        gateway.record_store_contact(False)
        with pytest.raises(TimeoutError):
            await wait_until(lambda: gateway.known_entries < count, wait_s=0.5)
        gateway.record_store_contact(True, 0.3)
        gateway.apply_change(EntryWritten("e1", ADDRESSES["e1"]))
        assert gateway.known_entries == count
        await wait_until(lambda: gateway.known_entries == count - len(NAMES) + 1)
        assert gateway.budgets.fleet.count == count


async def test_entries_are_not_dropped_before_the_store_has_answered_after_the_grace_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A store that has just fallen silent still counts as reached."""
    monkeypatch.setattr(entry_list, "RETURN_GRACE_S", 0.2)
    async with PlatformRig(services=1) as rig:
        gateway = rig.process.gateway
        count = _register_all(gateway)
        sync = gateway.record_sync
        monkeypatch.setattr(gateway, "record_sync", lambda: None)
        gateway.record_store_contact(True, MIN_OUTAGE_S)
        for name in NAMES:
            gateway.apply_change(EntryRemoved(name))
        with pytest.raises(TimeoutError):
            await wait_until(lambda: gateway.known_entries < count, wait_s=0.5)
        sync()
        gateway.apply_change(EntryWritten("e1", ADDRESSES["e1"]))
        await wait_until(lambda: gateway.known_entries == count - len(NAMES) + 1)


async def test_cut_watch_gives_entries_that_have_left_no_more_time() -> None:
    async with PlatformRig(services=1) as rig:
        gateway = rig.process.gateway
        _register_all(gateway)
        gateway.record_store_contact(True, MIN_OUTAGE_S)
        gateway.apply_change(EntryRemoved("e1"))
        expires_at = gateway._entries.next_expiry
        for _ in range(5):
            await asyncio.sleep(0.05)
            gateway.record_store_contact(False)
            gateway.record_store_contact(True, 0.01)
        assert gateway._entries.next_expiry == pytest.approx(expires_at + 5 * 0.01)
