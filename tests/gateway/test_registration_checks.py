"""Entries that ask others whether they are listed, with and without contact to the store."""

import asyncio
import random

import attrs
import pytest

from vanillashore_gateway import _registration_checks as module
from vanillashore_gateway._registration_checks import VALID_S, RegistrationChecks


class Fleet:
    """Entries of which some have lost the store, and so their registrations and the list."""

    def __init__(self, size: int, lost: int) -> None:
        self.now = 100.0
        self.unreachable: set[str] = set()
        names = [f"e{i}" for i in range(size)]
        self.entries = {name: ("10.0.0.1", i) for i, name in enumerate(names)}
        self.checks = {
            name: RegistrationChecks(name, lambda: self.now, random.Random(name)) for name in names
        }
        # Those with contact to the store have dropped the others.
        kept = {name: address for name, address in self.entries.items() if address[1] >= lost}
        for number, (name, checks) in enumerate(self.checks.items()):
            checks.connection_made(_Transport(self, name))
            checks.update_entries(self.entries if number < lost else kept or self.entries)
            checks.is_held = checks.is_fresh = lambda number=number: number >= lost


@attrs.frozen
class _Transport:
    fleet: Fleet
    name: str

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        receiver = f"e{address[1]}"
        if not {self.name, receiver} & self.fleet.unreachable:
            sender = self.fleet.entries[self.name]
            self.fleet.checks[receiver].datagram_received(data, sender)


@pytest.fixture(autouse=True)
def no_waiting(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "ANSWER_TIMEOUT_S", 0.0)


@pytest.mark.parametrize("size", [2, 4, 28])
async def test_entry_that_the_others_have_dropped_is_not_listed(size: int) -> None:
    fleet = Fleet(size, lost=1)
    await fleet.checks["e0"].check()
    assert not fleet.checks["e0"].is_listed
    assert fleet.checks["e1"].is_listed


@pytest.mark.parametrize("size", [1, 2, 4, 28])
async def test_entries_stay_listed_while_the_store_is_away_for_all(size: int) -> None:
    fleet = Fleet(size, lost=size)
    for checks in fleet.checks.values():
        assert not checks.is_listed
        await checks.check()
        assert checks.is_listed
    fleet.now += VALID_S
    assert not fleet.checks["e0"].is_listed


async def test_entry_that_reaches_no_other_is_not_listed() -> None:
    fleet = Fleet(4, lost=4)
    fleet.unreachable = {"e0"}
    await fleet.checks["e0"].check()
    assert not fleet.checks["e0"].is_listed


async def test_entries_without_the_store_are_not_believed_against_one_with_it() -> None:
    fleet = Fleet(4, lost=3)
    await fleet.checks["e0"].check()
    assert not fleet.checks["e0"].is_listed


async def test_entry_that_is_listed_again_is_so_with_its_lease() -> None:
    fleet = Fleet(4, lost=1)
    checks = fleet.checks["e0"]
    await checks.check()
    checks.is_held = lambda: True
    assert checks.is_listed


async def test_late_answer_to_an_earlier_question_does_not_count() -> None:
    fleet = Fleet(2, lost=2)
    checks = fleet.checks["e0"]
    await checks.check()
    late = checks._current
    fleet.unreachable = {"e1"}
    fleet.now += VALID_S
    await checks.check()
    checks.datagram_received(b'["listed",%d,true,true]' % late, ("10.0.0.1", 1))
    assert checks._answers == []
    assert not checks.is_listed


@pytest.mark.parametrize("data", [b'["listed?"]', b'["listed",1,2,3]', b'["listed'])
def test_malformed_datagram_is_ignored(data: bytes) -> None:
    RegistrationChecks("e0", lambda: 0.0, random.Random(1)).datagram_received(data, ("h", 1))


async def test_entry_stays_listed_as_its_lease_gets_uncertain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a second home of a rate for the time of a check."""
    monkeypatch.setattr(module, "CHECK_EVERY_S", 0.0)
    fleet = Fleet(4, lost=1)
    checks = fleet.checks["e0"]
    for other in fleet.checks.values():
        other.update_entries(fleet.entries)
    checks.is_held = lambda: True
    running = asyncio.ensure_future(checks.run())
    for _ in range(10):
        await asyncio.sleep(0)
    running.cancel()
    checks.is_held = lambda: False
    assert checks.is_listed
