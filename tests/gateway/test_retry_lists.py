"""Retry budgets of entries that list different entries: the sum of all retries in each window."""

import asyncio
import random
from collections.abc import Callable, Iterator

import attrs
import pytest
from loguru import logger as log

from vanillashore_gateway import EntryWritten
from vanillashore_gateway._fleet_size import SETTLE_S
from vanillashore_gateway._gateway import BUDGET_SHARE
from vanillashore_gateway._retry_budget import HOME_SHARE, OWN_SHARE, RetryLimits
from vanillashore_gateway._retry_requests import ENTRIES_GREETING, FleetNotice, RetryBudgets
from vanillashore_standins.platform_rig import PlatformRig
from vanillashore_standins.virtual_time import run_in_virtual_time

RATIO = 0.2
SLACK = 96.0
WINDOW_S = 10.0
STEP_S = 0.1
STEPS = round(WINDOW_S / STEP_S)
SEEDS = 3
SIZE = 28
LIMITS = RetryLimits(RATIO * BUDGET_SHARE, SLACK * BUDGET_SHARE)
SERVICE = "models"
FAILING_FROM_S = 45.0
END_S = 70.0


@pytest.fixture(autouse=True)
def _without_logs() -> Iterator[None]:
    log.disable("vanillashore_gateway")
    yield
    log.enable("vanillashore_gateway")


class Fleet:
    """Entries on one clock, `time`, each with its own list of entries."""

    def __init__(self, size: int) -> None:
        self.names = [f"e{i}" for i in range(size)]
        self.rng = random.Random(size)
        self.budgets: dict[str, RetryBudgets] = {}
        self.is_store_away = False
        self.time = 0.0
        self.delivered = 0
        for name in self.names:
            self.start(name, self.names)

    def start(self, name: str, names: list[str]) -> None:
        """Start an entry, or start it again, with a first list."""
        budgets = self.budgets[name] = RetryBudgets(name, LIMITS, SEEDS, lambda: self.time)
        budgets.fleet.is_list_fresh = lambda: not self.is_store_away
        budgets.is_registered = lambda: not self.is_store_away
        budgets.connection_made(_Transport(self, name))
        self.tell(name, names)

    def tell(self, name: str, names: list[str]) -> None:
        """Give an entry its list; it always lists itself."""
        listed = {*names, name}
        self.budgets[name].update_entries({n: ("10.0.0.1", int(n[1:])) for n in sorted(listed)})

    def tell_all(self, listed: Callable[[str], list[str]]) -> None:
        """Give each entry a list."""
        for name in self.names:
            self.tell(name, listed(name))

    def some(self, count: int) -> list[str]:
        """Return some entries."""
        return self.rng.sample(self.names, count)

    def deliver(self, data: bytes, sender: str, address: tuple[str, int]) -> None:
        """Deliver a datagram at once."""
        self.delivered += 1
        self.budgets[f"e{address[1]}"].datagram_received(data, ("10.0.0.1", int(sender[1:])))


@attrs.frozen
class _Transport:
    fleet: Fleet
    name: str

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.fleet.deliver(data, self.name, address)


def _halves(fleet: Fleet, time: float) -> None:
    if time == 15.0:
        fleet.tell_all(lambda name: fleet.names[int(name[1:]) % 2 :: 2])


def _some_each(count: int) -> Callable[[Fleet, float], None]:
    def change(fleet: Fleet, time: float) -> None:
        if time == 15.0:
            fleet.is_store_away = True
            fleet.tell_all(lambda _: fleet.some(count))

    return change


def _other_lists_again_and_again(fleet: Fleet, time: float) -> None:
    if time >= 15.0 and time % 2.0 == 0.0:
        fleet.tell_all(lambda _: fleet.some(9))


def _lapses(fleet: Fleet, time: float) -> None:
    """All registrations lapse and come back one by one, over and over."""
    since = time % 10.0
    if time >= 15.0 and since == 0.0:
        fleet.tell_all(lambda _: [])
    elif time >= 15.0 and since <= 3.0:
        back = fleet.names[: round(SIZE * since / 3.0)]
        fleet.tell_all(lambda _: back)


def _started_with_short_lists(fleet: Fleet, time: float) -> None:
    if time == 15.0:
        fleet.is_store_away = True
        for name in fleet.names:
            fleet.start(name, fleet.some(2))


def _restarts_while_lists_are_short(fleet: Fleet, time: float) -> None:
    if time in (46.0, 48.0, 50.0, 52.0):
        fleet.is_store_away = True
        for name in fleet.names:
            fleet.start(name, fleet.some(2))


CHANGES = {
    "halves": _halves,
    "nine-each": _some_each(9),
    "three-each": _some_each(3),
    "alone": _some_each(0),
    "other-lists": _other_lists_again_and_again,
    "lapses": _lapses,
    "started-short": _started_with_short_lists,
    "restarts": _restarts_while_lists_are_short,
}


def _excess(requests: list[int], retries: list[int]) -> float:
    """Return how far the retries of the worst window are above what is allowed."""
    worst = float("-inf")
    for end in range(2 * STEPS, len(retries) + 1):
        begin = end - STEPS
        counted = max(
            sum(requests[max(0, at) : at + STEPS])
            for at in (begin, begin - STEPS // 2, begin - STEPS)
        )
        worst = max(worst, sum(retries[begin:end]) - RATIO * counted - SLACK)
    return worst


async def _play(
    fleet: Fleet, per_s: int, change: Callable[[Fleet, float], None], end_s: float = END_S
) -> tuple[list[int], list[int]]:
    """Play a busy time, a calm one and one in which most requests fail; return the counts."""
    requests, retries = [], []
    for step in range(round(end_s / STEP_S)):
        time = fleet.time = round(step * STEP_S, 3)
        change(fleet, time)
        rate = 3 * per_s if 15.0 <= time < 30.0 else per_s
        count = int(rate * (step + 1) * STEP_S) - int(rate * step * STEP_S)
        for name in fleet.rng.choices(fleet.names, k=count):
            fleet.budgets[name].of(SERVICE).earn()
        granted = 0
        if time >= FAILING_FROM_S:
            asking = fleet.rng.choices(fleet.names, k=3 * count)
            spent = [fleet.budgets[name].of(SERVICE).spend("r") for name in asking]
            granted = sum(await asyncio.gather(*spent))
        requests.append(count)
        retries.append(granted)
    return requests, retries


@pytest.mark.parametrize("per_s", [31, 62, 130])
@pytest.mark.parametrize("case", CHANGES)
def test_retries_stay_within_the_bound_while_entries_list_different_ones(
    case: str, per_s: int
) -> None:
    """What an entry keeps must not grow as its list of entries gets short."""

    async def play() -> None:
        assert _excess(*await _play(Fleet(SIZE), per_s, CHANGES[case])) <= 0

    run_in_virtual_time(play())


def _whole(fleet: Fleet, time: float) -> None:
    """Leave all lists as they are."""


def _store_away(fleet: Fleet, time: float) -> None:
    fleet.is_store_away = time >= 5.0
    for budgets in fleet.budgets.values():
        budgets.is_registered = lambda: True


def _lapse_that_is_over(fleet: Fleet, time: float) -> None:
    if time == 15.0:
        fleet.tell_all(lambda _: fleet.some(3))
    if time == 18.0:
        fleet.tell_all(lambda _: fleet.names)


@pytest.mark.parametrize("per_s", [31, 130])
@pytest.mark.parametrize("change", [_whole, _store_away, _lapse_that_is_over])
def test_entries_with_whole_lists_save_up_all_that_they_may(
    change: Callable[[Fleet, float], None], per_s: int
) -> None:
    """A limit that is too strict fails requests that the platform allows to retry."""

    async def play() -> None:
        fleet = Fleet(SIZE)
        await _play(fleet, per_s, change, FAILING_FROM_S)
        saved = sum(budgets.saved for budgets in fleet.budgets.values())
        assert saved >= LIMITS.max_saved * (OWN_SHARE + HOME_SHARE)

    run_in_virtual_time(play())


def test_entry_learns_the_size_of_the_fleet_as_it_registers() -> None:
    """A list that is short when an entry starts must not give it a larger part."""

    async def play() -> None:
        fleet = Fleet(SIZE)
        fleet.time = SETTLE_S
        fleet.start("e3", ["e1", "e2"])
        started = fleet.budgets["e3"]
        assert started.limits.entries == SEEDS
        delivered = fleet.delivered
        for name in fleet.names:
            if name != "e3":
                fleet.budgets[name].greet("e3")
        assert started.limits.entries == SIZE
        assert started.of(SERVICE).own.saved == pytest.approx(started.limits.initial)
        assert fleet.delivered - delivered == ENTRIES_GREETING

    run_in_virtual_time(play())


def test_entry_that_does_not_know_the_size_tells_none() -> None:
    async def play() -> None:
        fleet = Fleet(SIZE)
        fleet.is_store_away = True
        fleet.time = SETTLE_S
        fleet.start("e3", ["e1", "e2"])
        for name in fleet.names:
            fleet.budgets[name].greet("e3")
        assert not fleet.budgets["e3"].fleet.is_known

    run_in_virtual_time(play())


async def test_gateway_tells_an_entry_that_registers_and_asks_for_a_fresh_list() -> None:
    async with PlatformRig(services=1) as rig:
        gateway = rig.process.gateway
        received: asyncio.Queue[bytes] = asyncio.Queue()
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Peer(received), local_addr=("127.0.0.1", 0)
        )
        gateway.apply_change(EntryWritten("peer", transport.get_extra_info("sockname")))
        async with asyncio.timeout(5.0):
            while await received.get() != FleetNotice(gateway.known_entries).encode():
                pass
        assert gateway.budgets.fleet.is_list_fresh()
        gateway.record_store_contact(False)
        assert not gateway.budgets.fleet.is_list_fresh()
        transport.close()


class _Peer(asyncio.DatagramProtocol):
    def __init__(self, received: asyncio.Queue[bytes]) -> None:
        self._received = received

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Keep the datagram."""
        self._received.put_nowait(data)
