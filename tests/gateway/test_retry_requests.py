"""Retry budgets over all entries: the sum of all retries in each window, and who lends them."""

import asyncio
import random
from collections import deque

import attrs
import pytest
from loguru import logger as log

from vanillashore_gateway._gateway import BUDGET_SHARE
from vanillashore_gateway._home_ranking import rank_homes
from vanillashore_gateway._retry_budget import HOME_SHARE, RetryLimits
from vanillashore_gateway._retry_requests import (
    FleetNotice,
    LoanAnswer,
    LoanRequest,
    RetryBudgets,
    RetryMessage,
    SurplusNotice,
    decode_retry,
)
from vanillashore_standins.virtual_time import run_in_virtual_time

RATIO = 0.2
SLACK = 96.0
WINDOW_S = 10.0
STEP_S = 0.05
REQUESTS_PER_S = 130
LIMITS = RetryLimits(RATIO * BUDGET_SHARE, SLACK * BUDGET_SHARE)
SERVICE = "models"


class Fleet:
    """Entries on one clock whose datagrams arrive at once, unless they are lost."""

    def __init__(self, size: int) -> None:
        self.entries = {f"e{i}": ("10.0.0.1", i) for i in range(size)}
        self.budgets: dict[str, RetryBudgets] = {}
        self.loss = 0.0
        self.rng = random.Random(size)
        for name in self.entries:
            self.start(name)

    @property
    def home(self) -> str:
        return rank_homes(SERVICE, tuple(self.entries))[0]

    def start(self, name: str) -> None:
        clock = asyncio.get_running_loop().time
        budgets = self.budgets[name] = RetryBudgets(name, LIMITS, len(self.entries), clock)
        budgets.connection_made(_Transport(self, name))
        budgets.update_entries(self.entries)

    def deliver(self, data: bytes, sender: str, address: tuple[str, int]) -> None:
        receiver = self.budgets.get(f"e{address[1]}")
        if receiver is not None and self.rng.random() >= self.loss:
            receiver.datagram_received(data, self.entries[sender])

    def earn(self, seconds: float) -> int:
        """Let the entries in service get the requests of some seconds; return how many."""
        count = round(seconds * REQUESTS_PER_S)
        for _ in range(count):
            self.budgets[self.rng.choice(sorted(self.budgets))].of(SERVICE).earn()
        return count


@attrs.frozen
class _Transport:
    fleet: Fleet
    name: str

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.fleet.deliver(data, self.name, address)


async def _fill(fleet: Fleet) -> None:
    for _ in range(200):
        await asyncio.sleep(0.1)
        fleet.earn(0.1)


@pytest.mark.parametrize("size", [3, 28, 68])
@pytest.mark.parametrize("fault", ["none", "restarts", "home-killed", "loss", "cut"])
def test_retries_of_all_entries_stay_within_the_bound_in_each_window(size: int, fault: str) -> None:
    """Entries that restart or take over as home must not make retries that nobody earned."""

    async def play() -> None:
        fleet = Fleet(size)
        steps: deque[tuple[int, int]] = deque(maxlen=round(WINDOW_S / STEP_S))
        for step in range(800):
            requests = fleet.earn(STEP_S)
            await asyncio.sleep(STEP_S)
            if fault == "loss":
                fleet.loss = 0.3
            if fault == "cut":
                fleet.loss = 1.0 if 550 <= step < 650 else 0.0
            if fault == "restarts" and step % 25 == 24:
                for name in fleet.entries:
                    fleet.start(name)
            if fault == "home-killed" and step == 550:
                del fleet.budgets[fleet.home]
            if fault == "home-killed" and step == 650:
                fleet.entries = {n: a for n, a in fleet.entries.items() if n in fleet.budgets}
                for budgets in fleet.budgets.values():
                    budgets.update_entries(fleet.entries)
            # A calm time, in which retries are saved up, and one in which all are asked for.
            retries = 0
            if step >= 500:
                asked = [fleet.rng.choice(sorted(fleet.budgets)) for _ in range(10)]
                spent = [fleet.budgets[name].of(SERVICE).spend("r") for name in asked]
                retries = sum(await asyncio.gather(*spent))
            steps.append((requests, retries))
            earned = RATIO * sum(requests for requests, _ in steps)
            assert sum(retries for _, retries in steps) <= earned + SLACK

    run_in_virtual_time(play())


@pytest.mark.parametrize("size", [3, 28, 68])
def test_entry_gets_the_retries_that_the_others_do_not_need(size: int) -> None:
    """An even split leaves an entry of 28 less than three retries, far below the allowance."""

    async def play() -> None:
        fleet = Fleet(size)
        await _fill(fleet)
        retries = fleet.budgets[rank_homes(SERVICE, tuple(fleet.entries))[-1]].of(SERVICE)
        spent = [await retries.spend("r") for _ in range(200)]
        assert sum(spent) >= int(LIMITS.max_saved * HOME_SHARE)

    run_in_virtual_time(play())


@pytest.mark.parametrize("size", [28, 68])
def test_engine_that_crashes_costs_no_retry_of_a_loaded_fleet(size: int) -> None:
    """A crash breaks up to twelve streams, at as many entries."""

    async def play() -> None:
        fleet = Fleet(size)
        await _fill(fleet)
        for name in fleet.rng.sample(sorted(fleet.entries), 12):
            assert await fleet.budgets[name].of(SERVICE).spend("r")

    run_in_virtual_time(play())


def test_home_that_does_not_answer_costs_one_time_out_and_its_substitute_lends() -> None:
    async def play() -> None:
        fleet = Fleet(28)
        await _fill(fleet)
        del fleet.budgets[fleet.home]
        clock = asyncio.get_running_loop().time
        all_retries = [budgets.of(SERVICE) for budgets in fleet.budgets.values()]
        for retries in all_retries:
            retries.own.saved = 0.0
        asked = [fleet.budgets[name].of(SERVICE).spend("r") for name in sorted(fleet.budgets)]
        began = clock()
        # The substitute asks too, and does not lend yet.
        assert not any(await asyncio.gather(*asked))
        assert clock() - began == pytest.approx(0.04)
        for _ in range(9):
            await asyncio.sleep(0.1)
            for retries in all_retries * 3:
                retries.earn()
        retries = fleet.budgets[rank_homes(SERVICE, tuple(fleet.entries))[-1]].of(SERVICE)
        retries.own.saved = 0.0
        began = clock()
        assert await retries.spend("r")
        assert clock() == began

    run_in_virtual_time(play())


async def test_entry_alone_is_its_own_home() -> None:
    budgets = RetryBudgets("a", RetryLimits(0.16, 40.0), 1, lambda: 5.0)
    retries = budgets.of(SERVICE)
    assert [await retries.spend("r") for _ in range(3)] == [True, True, False]


def test_retry_that_is_not_made_is_given_back() -> None:
    async def play() -> None:
        fleet = Fleet(3)
        fleet.loss = 1.0
        retries = fleet.budgets[rank_homes(SERVICE, tuple(fleet.entries))[-1]].of(SERVICE)
        retries.own.saved = 0.5
        assert not await retries.spend("r")
        assert retries.own.saved == 0.5

    run_in_virtual_time(play())


async def test_granted_and_denied_retries_are_logged_with_their_requests() -> None:
    lines: list[dict[str, object]] = []
    sink = log.add(lambda text: lines.append(text.record), level="INFO")
    try:
        retries = RetryBudgets("a", RetryLimits(0.16, 40.0), 1, lambda: 5.0).of(SERVICE)
        for request in ("r1", "r2", "r3"):
            await retries.spend(request)
    finally:
        log.remove(sink)
    logged = [(line["message"], line["extra"]["request"]) for line in lines]
    granted, denied = "a retry was granted", "the retry budget is used up"
    assert logged == [(granted, "r1"), (granted, "r2"), (denied, "r3")]


@pytest.mark.parametrize("amount", ["1e999", "-1", "5", "NaN"])
def test_pool_lends_and_takes_no_impossible_amount(amount: str) -> None:
    budgets = RetryBudgets("a", LIMITS, 1, lambda: 5.0)
    budgets.connection_made(_Ignore())
    for kind in ('"retry surplus"', '"retry ask",1'):
        budgets.datagram_received(f'[{kind},"models",{amount}]'.encode(), ("10.0.0.1", 1))
    assert 0 <= budgets._pool.level(SERVICE) <= 5


class _Ignore:
    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Drop the datagram."""


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{}",
        b'["retry ask", 1]',
        b'["retry loan", 1, 2]',
        b'["retry fleet", 0]',
        b'["retry fleet", 1e9]',
    ],
)
def test_malformed_datagram_is_an_error(data: bytes) -> None:
    with pytest.raises(ValueError, match=r"."):
        decode_retry(data)


@pytest.mark.parametrize(
    "message",
    [SurplusNotice("m", 0.25), LoanRequest(7, "m", 0.5), LoanAnswer(7, True), FleetNotice(28)],
)
def test_datagrams_are_decoded_as_they_were_encoded(message: RetryMessage) -> None:
    assert decode_retry(message.encode()) == message


async def test_entry_borrows_over_real_datagrams() -> None:
    loop = asyncio.get_running_loop()
    entries: dict[str, tuple[str, int]] = {}
    budgets = {name: RetryBudgets(name, LIMITS, 2, loop.time) for name in ("a", "b")}
    transports = []
    for name, mine in budgets.items():
        transport, _ = await loop.create_datagram_endpoint(
            lambda mine=mine: mine, local_addr=("127.0.0.1", 0)
        )
        transports.append(transport)
        entries[name] = transport.get_extra_info("sockname")[:2]
    for mine in budgets.values():
        mine.update_entries(entries)
    home, other = rank_homes(SERVICE, tuple(entries))
    budgets[home].pass_on(SERVICE, 2.0)
    budgets[other].of(SERVICE).own.saved = 0.25
    assert await budgets[other].of(SERVICE).spend("r")
    assert budgets[home]._pool.level(SERVICE) == pytest.approx(1.25)
    for transport in transports:
        transport.close()
