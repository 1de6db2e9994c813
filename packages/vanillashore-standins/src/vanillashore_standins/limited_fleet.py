"""Entries that send to one limited endpoint over a simulated network, with faults."""

import asyncio
import random

import attrs

from vanillashore_gateway import Endpoint
from vanillashore_gateway._home_ranking import rank_homes
from vanillashore_gateway._limit_requests import RequestLimits

TOLD_S = 0.5  # An entry is held to a limit this long after an answer has named it.
ONE_WAY_S = 0.001
ENDPOINT = Endpoint("i-1", "orders", "10.0.0.9", 80, "dc-a", 6, started_ms=1)


@attrs.define
class _Entry:
    """An entry's limits, and when it was first told of the current limit."""

    limits: RequestLimits
    told_at: float = float("inf")


class Fleet:
    """Entries that send to one endpoint; datagrams may be lost, or an entry cut off."""

    def __init__(self, size: int, limit_per_s: float | None, seed: int = 1) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.limit_per_s = limit_per_s
        self.endpoint = ENDPOINT
        self.answer_s = 0.05
        self.loss = 0.0
        self.cut: set[str] = set()
        self.registered = {f"e{i}": ("10.0.0.1", i) for i in range(size)}
        self.entries: dict[str, _Entry] = {}
        self.arrivals: list[float] = []
        self.counted: list[float] = []
        for name in self.registered:
            self.start(name)

    def start(self, name: str) -> None:
        """Start an entry, which knows nothing."""
        limits = RequestLimits(name, self.loop.time)
        limits.connection_made(_Transport(self, name))
        limits.update_entries(self.registered)
        self.entries[name] = _Entry(limits)

    def show(self, names: dict[str, tuple[str, int]], entries: list[str]) -> None:
        """Set the list of entries that some entries know."""
        for name in entries:
            self.entries[name].limits.update_entries(names)

    @property
    def home(self) -> str:
        """The endpoint's home among the registered entries."""
        return rank_homes(ENDPOINT.instance, sorted(self.registered))[0]

    def deliver(self, data: bytes, sender: str, address: tuple[str, int]) -> None:
        """Deliver a datagram, unless it is lost or one of the two entries is cut off."""
        receiver = f"e{address[1]}"
        if {sender, receiver} & self.cut or self.rng.random() < self.loss:
            return
        if receiver in self.entries:
            entry = self.entries[receiver]
            self.loop.call_later(
                ONE_WAY_S, entry.limits.datagram_received, data, self.registered[sender]
            )

    async def send(self, name: str, max_wait_s: float = 0.0) -> float | None:
        """Send one request; return the seconds to wait if it is not permitted."""
        entry = self.entries.get(name)
        if entry is None:
            return None
        known = entry.limits.known_limit(self.endpoint)
        wait_s = await entry.limits.acquire(self.endpoint, max_wait_s)
        if wait_s is not None:
            return wait_s
        now = self.loop.time()
        self.arrivals.append(now)
        if now >= entry.told_at + TOLD_S:
            self.counted.append(now)
        named = self.limit_per_s
        await asyncio.sleep(self.answer_s)
        entry.told_at = min(entry.told_at, self.loop.time()) if named else float("inf")
        entry.limits.record_answer(self.endpoint, named, known, "r")
        return None

    async def load(self, seconds: float, per_s: float = 40.0, max_wait_s: float = 0.0) -> None:
        """Send requests at a constant rate, each from an entry chosen at random."""
        tasks = []
        for _ in range(int(seconds * per_s)):
            if self.entries:
                name = self.rng.choice(sorted(self.entries))
                tasks.append(asyncio.ensure_future(self.send(name, max_wait_s)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    async def restart(self, name: str, down_s: float) -> None:
        """Restart an entry."""
        del self.entries[name]
        await asyncio.sleep(down_s)
        self.start(name)


@attrs.frozen
class _Transport:
    fleet: Fleet
    name: str

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.fleet.deliver(data, self.name, address)


async def _no_fault(fleet: Fleet) -> None:
    await asyncio.sleep(0)


async def _home_cut_off(fleet: Fleet) -> None:
    fleet.cut = {fleet.home}
    await asyncio.sleep(6.0)
    fleet.cut = set()


async def _half_cut_off(fleet: Fleet) -> None:
    fleet.cut = set(sorted(fleet.entries)[::2])
    await asyncio.sleep(6.0)
    fleet.cut = set()


async def _datagrams_lost(fleet: Fleet) -> None:
    fleet.loss = 0.1
    await asyncio.sleep(6.0)
    fleet.loss = 0.0


async def _home_replaced(fleet: Fleet) -> None:
    """Its registration ends after 3 s, and half of the entries learn of that 0.6 s later."""
    home, everyone = fleet.home, dict(fleet.registered)
    if len(everyone) == 1:
        return
    del fleet.entries[home]
    await asyncio.sleep(3.0)
    others = {name: address for name, address in everyone.items() if name != home}
    names = sorted(fleet.entries)
    fleet.show(others, names[::2])
    await asyncio.sleep(0.6)
    fleet.show(others, names)
    await asyncio.sleep(2.0)
    fleet.start(home)
    fleet.show(everyone, names[1::2])
    await asyncio.sleep(0.6)
    fleet.show(everyone, names)


async def _all_restarted_in_turn(fleet: Fleet) -> None:
    for name in sorted(fleet.entries)[:4]:
        await fleet.restart(name, 1.0)


async def _home_turned_away_by_the_store(fleet: Fleet) -> None:
    """End the registration of the home, which still works."""
    home = fleet.home
    others = {name: address for name, address in fleet.registered.items() if name != home}
    fleet.entries[home].limits.is_registered = lambda: False
    await asyncio.sleep(1.5)
    fleet.show(others, sorted(others))
    await asyncio.sleep(6.0)


FAULTS = [
    _no_fault,
    _home_cut_off,
    _half_cut_off,
    _datagrams_lost,
    _home_replaced,
    _all_restarted_in_turn,
    _home_turned_away_by_the_store,
]
