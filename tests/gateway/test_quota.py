"""Rate limits of workspaces: the sum of what homes, substitutes and isolated entries grant."""

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
SLACK_TOKENS = 190_000.0
WINDOW_S = 8.0
OVERAGE = 0.1
WORKSPACE = Workspace("w", frozenset({"k"}), RATE, RATE, 200)
SETTINGS = QuotaSettings(WINDOW_S, SLACK_TOKENS, ask_timeout_s=0.001)


class Fleet:
    """Entries whose datagrams arrive at once, except to and from unreachable entries."""

    def __init__(self, size: int) -> None:
        self.now = 100.0
        self.unreachable: set[str] = set()
        self.entries = {f"e{i}": ("10.0.0.1", i) for i in range(size)}
        self.quotas: dict[str, Quotas] = {}
        self.restart()

    def restart(self) -> None:
        self.quotas = {name: Quotas(name, SETTINGS, lambda: self.now) for name in self.entries}
        for name, quotas in self.quotas.items():
            quotas.connection_made(_Transport(self, name))
            quotas.update_entries(self.entries)
            quotas.update_workspaces({WORKSPACE.name: WORKSPACE})

    def deliver(self, data: bytes, sender: str, address: tuple[str, int]) -> None:
        receiver = f"e{address[1]}"
        if not {sender, receiver} & self.unreachable and receiver in self.quotas:
            self.quotas[receiver].datagram_received(data, self.entries[sender])


@attrs.frozen
class _Transport:
    fleet: Fleet
    name: str

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.fleet.deliver(data, self.name, address)


@pytest.mark.parametrize("size", [1, 3, 4, 28])
@pytest.mark.parametrize("faults", ["none", "home-cut", "some-cut", "home-removed"])
async def test_all_entries_together_stay_within_the_bound_in_each_window(
    size: int, faults: str
) -> None:
    rng = random.Random(size)
    fleet = Fleet(size)
    home = rank_homes(WORKSPACE.name, sorted(fleet.entries))[0]
    granted: list[tuple[float, int]] = []
    for step in range(3_000):
        fleet.now += 0.01
        if step == 800:
            fleet.unreachable = {"none": set(), "home-cut": {home}, "home-removed": {home}}.get(
                faults, set(rng.sample(sorted(fleet.entries), size // 2))
            )
        if step == 1_600 and faults == "home-removed" and size > 1:
            del fleet.quotas[home]
            del fleet.entries[home]
            for quotas in fleet.quotas.values():
                quotas.update_entries(fleet.entries)
        if step == 2_200:
            fleet.unreachable = set()
        for _ in range(2):
            tokens = rng.choice([200, 4_500, 4_500])
            name = rng.choice(sorted(fleet.quotas))
            if await fleet.quotas[name].take(WORKSPACE, tokens) is None:
                granted.append((fleet.now, tokens))
    bound = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + SLACK_TOKENS
    for start, _ in granted[::10]:
        assert sum(t for at, t in granted if start <= at < start + WINDOW_S) <= bound


@pytest.mark.parametrize("size", [3, 4, 28])
async def test_home_that_was_cut_off_from_the_store_does_not_grant_beside_its_successor(
    size: int,
) -> None:
    """All callers press; the others drop the home, which keeps its list."""
    rng = random.Random(size)
    fleet = Fleet(size)
    home = rank_homes(WORKSPACE.name, sorted(fleet.entries))[0]
    granted: list[tuple[float, int]] = []
    for step in range(3_000):
        fleet.now += 0.01
        if step == 1_000:
            left = {name: a for name, a in fleet.entries.items() if name != home}
            for name in left:
                fleet.quotas[name].update_entries(left)
        if step == 1_100:  # The home learns that it is not listed any more.
            fleet.quotas[home].is_listed = lambda: False
        for name in (home, rng.choice(sorted(fleet.quotas))):
            if await fleet.quotas[name].take(WORKSPACE, 4_500) is None:
                granted.append((fleet.now, 4_500))
    bound = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + SLACK_TOKENS
    for start, _ in granted[::10]:
        assert sum(t for at, t in granted if start <= at < start + WINDOW_S) <= bound
    late = sum(tokens for at, tokens in granted if at > fleet.now - WINDOW_S)
    assert late >= 0.9 * RATE * WINDOW_S


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("shortest", "longest"), [(28, 28), (4, 12), (1, 28)])
async def test_entries_with_lists_of_different_lengths_stay_within_the_bound(
    shortest: int, longest: int, seed: int
) -> None:
    """Registrations lapsed together, and the store went away while they came back."""
    rng = random.Random(seed)
    fleet = Fleet(28)
    names = sorted(fleet.entries)
    granted: list[tuple[float, int]] = []
    for step in range(2_500):
        fleet.now += 0.01
        if step == 1_000:
            order = rng.sample(names, len(names))
            for quotas in fleet.quotas.values():
                back = order[: rng.randint(shortest, longest)]
                quotas.update_entries({name: fleet.entries[name] for name in back})
        for name in rng.choices(names, k=6):
            if await fleet.quotas[name].take(WORKSPACE, 4_500) is None:
                granted.append((fleet.now, 4_500))
    bound = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + SLACK_TOKENS
    for start, _ in granted[::10]:
        assert sum(t for at, t in granted if start <= at < start + WINDOW_S) <= bound


@pytest.mark.parametrize("size", [1, 4, 28])
@pytest.mark.parametrize("every_s", [2.7, 5.0])
async def test_repeated_restarts_of_all_entries_stay_within_the_bound(
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
            if await fleet.quotas[rng.choice(sorted(fleet.quotas))].take(WORKSPACE, tokens) is None:
                granted.append((fleet.now, tokens))
    bound = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + SLACK_TOKENS
    for start, _ in granted[::10]:
        assert sum(t for at, t in granted if start <= at < start + WINDOW_S) <= bound


@pytest.mark.parametrize("size", [1, 4, 28])
async def test_callers_that_waited_for_a_restart_are_not_refused(size: int) -> None:
    """The requests of half a second arrive at once after the restart."""
    fleet = Fleet(size)
    fleet.restart()
    entries = [f"e{n % size}" for n in range(int(RATE * 0.5 / 4_500))]
    refused = [
        name for name in entries if await fleet.quotas[name].take(WORKSPACE, 4_500) is not None
    ]
    assert refused == []


@pytest.mark.parametrize("size", [1, 4, 28])
async def test_workspace_within_its_rate_is_not_refused_when_it_uses_a_few_of_many_entries(
    size: int,
) -> None:
    fleet = Fleet(size)
    used = sorted(fleet.entries)[: max(1, size // 7)]
    refused = 0
    for step in range(1_000):
        fleet.now += 0.1
        quotas = fleet.quotas[used[step % len(used)]]
        refused += await quotas.take(WORKSPACE, int(RATE * 0.1 * 0.95)) is not None
    assert refused <= 5  # While the new home fills its bucket.


@pytest.mark.parametrize("size", [3, 30, 68])
async def test_workspace_that_asks_for_more_than_its_rate_gets_all_of_it(size: int) -> None:
    """Long generations beside many short calls, over all entries."""
    rng = random.Random(size)
    fleet = Fleet(size)
    workspace = attrs.evolve(WORKSPACE, tokens_per_s=8_600.0, burst_tokens=31_000.0)
    for quotas in fleet.quotas.values():
        quotas.update_workspaces({workspace.name: workspace})
    granted = 0
    for step in range(4_000):
        fleet.now += 0.01
        quotas = fleet.quotas[rng.choice(sorted(fleet.quotas))]
        tokens = 200 if step % 10 else rng.randrange(9_000, 15_000)
        if await quotas.take(workspace, tokens) is None:
            granted += tokens
    assert granted > 0.9 * workspace.tokens_per_s * 40.0


async def test_unreachable_home_costs_one_time_out_then_its_substitute_grants() -> None:
    fleet = Fleet(3)
    first, second, requester = rank_homes(WORKSPACE.name, sorted(fleet.entries))
    fleet.unreachable = {first}
    asked = []
    deliver = fleet.deliver

    def record(data: bytes, sender: str, address: tuple[str, int]) -> None:
        asked.append(f"e{address[1]}")
        deliver(data, sender, address)

    fleet.deliver = record
    for _ in range(5):
        fleet.now += 0.1
        assert await fleet.quotas[requester].take(WORKSPACE, 3_000) is None
    assert asked.count(first) == 1
    assert asked.count(second) == 5


def test_refusal_states_when_the_tokens_are_available() -> None:
    home = QuotaHome(QuotaSettings(WINDOW_S, 0.0))
    while not (refused := home.grant(WORKSPACE, 4_700, 0, 0.0)).wait_s:
        pass
    assert home.grant(WORKSPACE, 4_700, 0, refused.wait_s - 1e-3).tokens == 0
    assert home.grant(WORKSPACE, 4_700, 0, refused.wait_s + 1e-6).tokens == 4_700


async def test_take_waits_for_tokens_that_are_available_soon() -> None:
    loop = asyncio.get_running_loop()
    quotas = Quotas("a", QuotaSettings(WINDOW_S, 0.0), loop.time)
    quotas.update_entries({"a": ("127.0.0.1", 1)})
    workspace = attrs.evolve(WORKSPACE, tokens_per_s=1_000.0, burst_tokens=100.0)
    granted = [await quotas.take(workspace, 90, patience_s=10.0) for _ in range(4)]
    assert granted == [None] * 4
    assert await quotas.take(workspace, 90, patience_s=0.0) is not None


def test_request_larger_than_the_bucket_is_granted_when_it_is_full() -> None:
    small = Workspace("s", frozenset(), tokens_per_s=10.0, burst_tokens=100.0)
    home = QuotaHome(QuotaSettings(WINDOW_S, 0.0))
    home.grant(small, 1, 0, 0.0)
    assert home.grant(small, 500, 0, 20.0).tokens == 500
    assert home.grant(small, 500, 0, 21.0).tokens == 0
    assert home.grant(small, 500, 0, 80.0).tokens == 500


def test_spare_tokens_expire() -> None:
    cache = CreditCache()
    cache.add("w", 1_000, 0.0)
    assert cache.spend("w", 200, 0.5)
    assert not cache.spend("w", 900, 0.5)
    assert not cache.spend("w", 200, 1.0)


async def test_workspace_without_a_limit_gets_everything() -> None:
    free = Workspace("f", frozenset())
    assert await Fleet(1).quotas["e0"].take(free, 10**9) is None


def test_homes_stay_the_same_when_another_entry_leaves() -> None:
    entries = [f"e{i}" for i in range(10)]
    for number in range(50):
        ranked = rank_homes(f"w{number}", entries)
        assert rank_homes(f"w{number}", [e for e in entries if e != ranked[5]])[0] == ranked[0]


@pytest.mark.parametrize("data", [b"", b"{}", b"[]", b'["ask", 1]', b'["grant", "x", 1, 1]'])
def test_malformed_datagram_is_an_error(data: bytes) -> None:
    with pytest.raises(ValueError, match=r"."):
        decode_datagram(data)


def test_datagrams_are_decoded_as_they_were_encoded() -> None:
    request = QuotaRequest(7, "w", 4_500, 200)
    assert decode_datagram(request.encode()) == request
    home = QuotaHome(SETTINGS)
    answer = QuotaAnswer(7, home.grant(WORKSPACE, 10**9, 0, 0.0))
    assert decode_datagram(answer.encode()) == answer


async def test_two_entries_share_a_rate_over_real_datagrams() -> None:
    loop = asyncio.get_running_loop()
    settings = QuotaSettings(WINDOW_S, SLACK_TOKENS, ask_timeout_s=5.0)
    quotas = {name: Quotas(name, settings, loop.time) for name in ("a", "b")}
    entries = {}
    for name, mine in quotas.items():
        transport, _ = await loop.create_datagram_endpoint(
            lambda mine=mine: mine, local_addr=("127.0.0.1", 0)
        )
        entries[name] = transport.get_extra_info("sockname")[:2]
    for mine in quotas.values():
        mine.update_entries(entries)
        mine.update_workspaces({WORKSPACE.name: WORKSPACE})
    home = rank_homes(WORKSPACE.name, tuple(entries))[0]
    other = next(name for name in quotas if name != home)
    assert await quotas[other].take(WORKSPACE, 1_000) is None
    assert WORKSPACE.name in quotas[home]._home._buckets
    await wait_until(lambda: not len(quotas[other]._requests))
