"""Requests for decode slots between entries: a silent home, lost messages and departed entries."""

import asyncio
import random

import attrs

from vanillashore_gateway import Endpoint, EndpointRole
from vanillashore_gateway._domain import Service, SlotTicket
from vanillashore_gateway._home_ranking import rank_homes
from vanillashore_gateway._slot_requests import SlotRequests
from vanillashore_gateway._slot_schedule import SlotAsk, Turndown
from vanillashore_standins.virtual_time import run_in_virtual_time

SERVICE = Service("llm", kv_tokens=10_000)
ENGINES = [Endpoint("d0", "llm", "10.0.0.1", 80, "a", 2, EndpointRole.DECODE)]
ASK = SlotAsk(1, 4_000, 500, on_time_s=1.0, wait_s=3.0, left_s=10.0)


class Fleet:
    """Entries whose datagrams arrive after a millisecond, unless ``drops`` says they are lost."""

    def __init__(self, size: int = 3) -> None:
        self.loop = asyncio.get_running_loop()
        self.entries = {f"e{n}": ("10.0.0.1", n) for n in range(size)}
        self.drops = lambda sender, receiver, data: False
        self.parts = {name: self._part(name) for name in self.entries}
        self.home = rank_homes("slots of llm", tuple(self.entries))[0]
        self.others = [name for name in self.entries if name != self.home]

    def _part(self, name: str) -> SlotRequests:
        part = SlotRequests(name, lambda service: ENGINES, self.loop.time, random.Random(name))
        part.connection_made(_Transport(self, name))
        part.update_entries(self.entries)
        return part

    def deliver(self, sender: str, receiver: str, data: bytes) -> None:
        if not self.drops(sender, receiver, data):
            part = self.parts[receiver]
            self.loop.call_later(0.001, part.datagram_received, data, self.entries[sender])


@attrs.frozen
class _Transport:
    fleet: Fleet
    name: str

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.fleet.deliver(self.name, f"e{address[1]}", data)


def test_slots_are_granted_to_all_entries_from_one_ledger() -> None:
    async def main() -> None:
        fleet = Fleet()
        tickets = [await fleet.parts[name].ask(SERVICE, ASK) for name in fleet.others]
        assert all(isinstance(ticket, SlotTicket) for ticket in tickets)
        third = asyncio.ensure_future(fleet.parts[fleet.home].ask(SERVICE, ASK))
        await asyncio.sleep(0.5)
        assert not third.done()
        fleet.parts[fleet.others[0]].end(tickets[0])
        assert isinstance(await third, SlotTicket)

    run_in_virtual_time(main())


def test_silent_home_leaves_the_choice_to_the_entry() -> None:
    """A home that was killed must not delay a generation by more than its confirmations."""

    async def main() -> None:
        fleet = Fleet()
        fleet.drops = lambda sender, receiver, data: fleet.home in (sender, receiver)
        asker = fleet.parts[fleet.others[0]]
        began = fleet.loop.time()
        assert await asker.ask(SERVICE, ASK) is None
        assert fleet.loop.time() - began <= 0.1
        began = fleet.loop.time()
        assert await asker.ask(SERVICE, ASK) is None
        assert fleet.loop.time() == began  # It is not asked again at once.

    run_in_virtual_time(main())


def test_home_that_dies_while_generations_wait_does_not_keep_them() -> None:
    async def main() -> None:
        fleet = Fleet()
        asker = fleet.parts[fleet.others[0]]
        for _ in range(2):
            await asker.ask(SERVICE, ASK)
        waiting = asyncio.ensure_future(asker.ask(SERVICE, ASK))
        await asyncio.sleep(0.1)
        fleet.drops = lambda sender, receiver, data: fleet.home in (sender, receiver)
        began = fleet.loop.time()
        assert await waiting is None
        assert fleet.loop.time() - began <= 0.5

    run_in_virtual_time(main())


def test_lost_grant_is_told_again() -> None:
    async def main() -> None:
        fleet = Fleet()
        asker = fleet.parts[fleet.others[0]]
        tickets = [await asker.ask(SERVICE, ASK) for _ in range(2)]
        waiting = asyncio.ensure_future(asker.ask(SERVICE, ASK))
        await asyncio.sleep(0.1)
        lost: list[bytes] = []

        def drops(sender: str, receiver: str, data: bytes) -> bool:
            is_first_grant = data.startswith(b'["slot grant"') and not lost
            if is_first_grant:
                lost.append(data)
            return is_first_grant

        fleet.drops = drops
        asker.end(tickets[0])
        assert isinstance(await waiting, SlotTicket)
        assert lost
        assert fleet.parts[fleet.home].granted == 2

    run_in_virtual_time(main())


def test_caller_that_leaves_frees_its_place() -> None:
    """A place of a caller that has left would be granted and lost for seconds."""

    async def main() -> None:
        fleet = Fleet()
        asker = fleet.parts[fleet.others[0]]
        for _ in range(2):
            await asker.ask(SERVICE, ASK)
        waiting = asyncio.ensure_future(asker.ask(SERVICE, ASK))
        await asyncio.sleep(0.1)
        assert fleet.parts[fleet.home].waiting == 1
        waiting.cancel()
        await asyncio.sleep(0.1)
        assert fleet.parts[fleet.home].waiting == 0
        assert fleet.parts[fleet.home].granted == 2

    run_in_virtual_time(main())


def test_generation_without_a_place_is_turned_down_at_once() -> None:
    async def main() -> None:
        fleet = Fleet()
        asker = fleet.parts[fleet.others[0]]
        for _ in range(2):
            await asker.ask(SERVICE, ASK)
        impatient = attrs.evolve(ASK, on_time_s=0.0, wait_s=0.05)
        decision = await asker.ask(SERVICE, impatient)
        assert isinstance(decision, Turndown)
        assert 0 < decision.retry_s <= 10.0 / 3

    run_in_virtual_time(main())


def test_malformed_datagrams_are_ignored() -> None:
    async def main() -> None:
        part = Fleet().parts["e0"]
        for data in (
            b'["slot',
            b'["slot ask",1]',
            b'["slot ask","llm",1,10,["x",[],0]]',
            b'["slot ask","llm",1,10,["x",1,1,1,1,1,"","","",[],false]]',
            b'["slots"]',
        ):
            part.datagram_received(data, ("10.0.0.1", 1))
        assert part.waiting == part.granted == 0

    run_in_virtual_time(main())
