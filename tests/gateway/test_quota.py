"""Rates of workspaces: what the home, its substitute and lonely entries grant together."""

import asyncio
import random

import attrs
import pytest

from vanillashore_gateway import QuotaSettings, Workspace
from vanillashore_gateway._home_ranking import rank_homes
from vanillashore_gateway._quota import CreditCache, QuotaHome
from vanillashore_gateway._quota_requests import (
    QuotaAnswer,
    QuotaRequest,
    Quotas,
    decode_datagram,
)
from vanillashore_standins import wait_until

RATE = 47_000.0
SLACK = 190_000.0
WINDOW_S = 8.0
OVERAGE = 0.1
SPACE = Workspace("w", frozenset({"k"}), RATE, RATE, 200)
SETTINGS = QuotaSettings(WINDOW_S, SLACK, ask_timeout_s=0.001)


class Fleet:
    """Entries whose datagrams are delivered at once, or lost between cut entries."""

    def __init__(self, size: int) -> None:
        self.now = 100.0
        self.cut: set[str] = set()
        self.entries = {f"e{i}": ("10.0.0.1", i) for i in range(size)}
        self.quotas: dict[str, Quotas] = {}
        self.restart()

    def restart(self) -> None:
        self.quotas = {name: Quotas(name, SETTINGS, lambda: self.now) for name in self.entries}
        for name, quotas in self.quotas.items():
            quotas.connection_made(_Wire(self, name))
            quotas.update_entries(self.entries)
            quotas.update_workspaces({SPACE.name: SPACE})

    def deliver(self, data: bytes, sender: str, address: tuple[str, int]) -> None:
        receiver = f"e{address[1]}"
        if not {sender, receiver} & self.cut and receiver in self.quotas:
            self.quotas[receiver].datagram_received(data, self.entries[sender])


@attrs.frozen
class _Wire:
    fleet: Fleet
    name: str

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.fleet.deliver(data, self.name, address)


@pytest.mark.parametrize("size", [1, 3, 4, 28])
@pytest.mark.parametrize("faults", ["none", "home-cut", "some-cut", "home-removed"])
async def test_no_window_gets_more_than_the_bound_from_all_entries(size: int, faults: str) -> None:
    rng = random.Random(size)
    fleet = Fleet(size)
    home = rank_homes(SPACE.name, sorted(fleet.entries))[0]
    granted: list[tuple[float, int]] = []
    for step in range(3_000):
        fleet.now += 0.01
        if step == 800:
            fleet.cut = {"none": set(), "home-cut": {home}, "home-removed": {home}}.get(
                faults, set(rng.sample(sorted(fleet.entries), size // 2))
            )
        if step == 1_600 and faults == "home-removed" and size > 1:
            del fleet.quotas[home]
            del fleet.entries[home]
            for quotas in fleet.quotas.values():
                quotas.update_entries(fleet.entries)
        if step == 2_200:
            fleet.cut = set()
        for _ in range(2):
            tokens = rng.choice([200, 4_500, 4_500])
            name = rng.choice(sorted(fleet.quotas))
            if await fleet.quotas[name].take(SPACE, tokens) is None:
                granted.append((fleet.now, tokens))
    bound = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + SLACK
    for start, _ in granted[::10]:
        assert sum(t for at, t in granted if start <= at < start + WINDOW_S) <= bound


@pytest.mark.parametrize("size", [1, 4, 28])
@pytest.mark.parametrize("every_s", [2.7, 5.0])
async def test_no_window_gets_more_while_all_entries_restart_again_and_again(
    size: int, every_s: float
) -> None:
    rng = random.Random(size)
    fleet = Fleet(size)
    granted: list[tuple[float, int]] = []
    restart_at = fleet.now + every_s
    for _ in range(2_000):
        fleet.now += 0.01
        if fleet.now >= restart_at:
            restart_at += every_s
            fleet.restart()
        for _ in range(2):
            tokens = rng.choice([200, 4_500, 4_500])
            if await fleet.quotas[rng.choice(sorted(fleet.quotas))].take(SPACE, tokens) is None:
                granted.append((fleet.now, tokens))
    bound = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + SLACK
    for start, _ in granted[::10]:
        assert sum(t for at, t in granted if start <= at < start + WINDOW_S) <= bound


@pytest.mark.parametrize("size", [1, 4, 28])
async def test_callers_that_waited_for_a_restart_are_not_refused(size: int) -> None:
    """Half a second of the rate waits, and comes in a moment."""
    fleet = Fleet(size)
    fleet.restart()
    asked = [f"e{n % size}" for n in range(int(RATE * 0.5 / 4_500))]
    refused = [name for name in asked if await fleet.quotas[name].take(SPACE, 4_500) is not None]
    assert refused == []


@pytest.mark.parametrize("size", [1, 4, 28])
async def test_workspace_inside_its_rate_is_not_refused_through_a_few_of_many_entries(
    size: int,
) -> None:
    fleet = Fleet(size)
    used = sorted(fleet.entries)[: max(1, size // 7)]
    refused = 0
    for step in range(1_000):
        fleet.now += 0.1
        quotas = fleet.quotas[used[step % len(used)]]
        refused += await quotas.take(SPACE, int(RATE * 0.1 * 0.95)) is not None
    assert refused <= 5  # While the home, which has just begun, fills its bucket.


async def test_silent_home_costs_one_time_out_and_then_its_substitute_grants() -> None:
    fleet = Fleet(3)
    first, second, asker = rank_homes(SPACE.name, sorted(fleet.entries))
    fleet.cut = {first}
    asked = []
    deliver = fleet.deliver

    def note(data: bytes, sender: str, address: tuple[str, int]) -> None:
        asked.append(f"e{address[1]}")
        deliver(data, sender, address)

    fleet.deliver = note
    for _ in range(5):
        fleet.now += 0.1
        assert await fleet.quotas[asker].take(SPACE, 3_000) is None
    assert asked.count(first) == 1
    assert asked.count(second) == 5


def test_refusal_tells_when_the_tokens_are_there() -> None:
    home = QuotaHome(QuotaSettings(WINDOW_S, 0.0))
    while not (refused := home.grant(SPACE, 4_700, 0, 0.0)).wait_s:
        pass
    assert home.grant(SPACE, 4_700, 0, refused.wait_s - 1e-3).tokens == 0
    assert home.grant(SPACE, 4_700, 0, refused.wait_s + 1e-6).tokens == 4_700


async def test_tokens_that_are_soon_there_are_waited_for() -> None:
    loop = asyncio.get_running_loop()
    quotas = Quotas("a", QuotaSettings(WINDOW_S, 0.0), loop.time)
    quotas.update_entries({"a": ("127.0.0.1", 1)})
    space = attrs.evolve(SPACE, tokens_per_s=1_000.0, burst_tokens=100.0)
    granted = [await quotas.take(space, 90, patience_s=10.0) for _ in range(4)]
    assert granted == [None] * 4
    assert await quotas.take(space, 90, patience_s=0.0) is not None


def test_request_larger_than_the_bucket_is_granted_when_it_is_full() -> None:
    small = Workspace("s", frozenset(), tokens_per_s=10.0, burst_tokens=100.0)
    home = QuotaHome(QuotaSettings(WINDOW_S, 0.0))
    home.grant(small, 1, 0, 0.0)
    assert home.grant(small, 500, 0, 20.0).tokens == 500
    assert home.grant(small, 500, 0, 21.0).tokens == 0
    assert home.grant(small, 500, 0, 80.0).tokens == 500


def test_spare_tokens_lapse() -> None:
    cache = CreditCache()
    cache.add("w", 1_000, 0.0)
    assert cache.spend("w", 200, 0.5)
    assert not cache.spend("w", 900, 0.5)
    assert not cache.spend("w", 200, 1.0)


async def test_no_limit_grants_everything() -> None:
    free = Workspace("f", frozenset())
    assert await Fleet(1).quotas["e0"].take(free, 10**9) is None


def test_homes_of_others_stay_when_an_entry_goes() -> None:
    entries = [f"e{i}" for i in range(10)]
    for number in range(50):
        ranked = rank_homes(f"w{number}", entries)
        assert rank_homes(f"w{number}", [e for e in entries if e != ranked[5]])[0] == ranked[0]


@pytest.mark.parametrize("data", [b"", b"{}", b"[]", b'["ask", 1]', b'["grant", "x", 1, 1]'])
def test_datagram_of_others_is_an_error(data: bytes) -> None:
    with pytest.raises(ValueError, match=r"."):
        decode_datagram(data)


def test_datagrams_are_decoded_as_they_were_encoded() -> None:
    ask = QuotaRequest(7, "w", 4_500, 200)
    assert decode_datagram(ask.encode()) == ask
    home = QuotaHome(SETTINGS)
    answer = QuotaAnswer(7, home.grant(SPACE, 10**9, 0, 0.0))
    assert decode_datagram(answer.encode()) == answer


async def test_two_entries_share_a_rate_over_real_datagrams() -> None:
    loop = asyncio.get_running_loop()
    settings = QuotaSettings(WINDOW_S, SLACK, ask_timeout_s=5.0)
    quotas = {name: Quotas(name, settings, loop.time) for name in ("a", "b")}
    entries = {}
    for name, mine in quotas.items():
        transport, _ = await loop.create_datagram_endpoint(
            lambda mine=mine: mine, local_addr=("127.0.0.1", 0)
        )
        entries[name] = transport.get_extra_info("sockname")[:2]
    for mine in quotas.values():
        mine.update_entries(entries)
        mine.update_workspaces({SPACE.name: SPACE})
    home = rank_homes(SPACE.name, tuple(entries))[0]
    other = next(name for name in quotas if name != home)
    assert await quotas[other].take(SPACE, 1_000) is None
    assert SPACE.name in quotas[home]._home._buckets
    await wait_until(lambda: not len(quotas[other]._requests))
