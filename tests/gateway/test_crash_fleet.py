"""Requests with a part that crashes engines, in a simulated fleet: both rules, as worded.

BUDGET: of the requests with the part, at most three reach engines that were sent later than
``CONTACT_S`` after the fifth crash. LOST: from twice that time after it, sound requests begin at
least half as often as before.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import pytest

from vanillashore_gateway._crash_evidence import traits_of
from vanillashore_gateway._crashing_parts import CrashingParts
from vanillashore_standins.virtual_time import run_in_virtual_time

SERVICE = "llm"
BAD = "bad0"
CONTACT_S = 3.0
CRASHES = 5
MAX_LATE = 3
FAULTS_AT = 10.0
ENGINES = 12
DOWN_S = (2.0, 5.0)
READ_S = (0.05, 0.3)  # Prefill, and the wait for a slot.
BEGIN_S = (0.02, 0.15)  # At the decode engine, to the first event.
ANSWER_S = (0.5, 6.0)
NOTICE_S = (0.05, 0.12)  # From a crash to the end of the check at an entry.


@attrs.define(eq=False)
class Request:
    """A request with its parts; ``reached`` if any engine got it."""

    number: int
    parts: tuple[str, ...]
    sent_at: float
    reached: bool = False
    has_begun: bool = False
    was_refused: bool = False

    @property
    def is_bad(self) -> bool:
        return any(part.startswith("bad") for part in self.parts)

    @property
    def traits(self) -> tuple[str, ...]:
        return traits_of(SERVICE, f"f{self.number}", self.parts)


@attrs.define(eq=False)
class Engine:
    """An engine, with the requests on it and the entry of each."""

    name: str
    up_at: float = 0.0
    running: dict[Request, str] = attrs.field(factory=dict)


@attrs.frozen
class Schedule:
    """Rates of requests per second, the loss of datagrams, and what happens besides."""

    entries: int = 3
    sound_per_s: float = 20.0
    bad_per_s: float = 3.0
    loss: float = 0.0
    one_way_s: tuple[float, float] = (0.0005, 0.003)
    first_part: str = "c0"
    templates: int = 6
    bad_templates: int = 6
    runs: int = 1
    bad_sent_from: float = FAULTS_AT
    bad_from: float = 0.0
    bad_parts: tuple[str, ...] = (BAD,)
    faults: tuple[str, ...] = ()
    end_s: float = 60.0


class Fleet:
    """Entries on a simulated network before simulated engines."""

    def __init__(self, schedule: Schedule, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.schedule = schedule
        self.rng = random.Random(seed)
        self.registered = {f"e{i}": ("10.0.0.1", i) for i in range(schedule.entries)}
        self.entries: dict[str, CrashingParts] = {}
        self.engines = [Engine(f"i{i}") for i in range(ENGINES)]
        self.requests: list[Request] = []
        self.crashes: list[float] = []
        self.caused: list[float] = []  # Crashes by the part.
        self.tasks: set[asyncio.Task[Any]] = set()
        for name in self.registered:
            self.start_entry(name)

    def start_entry(self, name: str) -> None:
        """Start an entry that knows nothing; all greet it, and it greets all."""
        entry = self.entries[name] = CrashingParts(name, self.loop.time)
        entry.connection_made(_Transport(self, name))
        entry.update_entries(self.registered)
        for other, parts in self.entries.items():
            if other != name:
                parts.greet(name)
                entry.greet(other)

    def sendto(self, data: bytes, sender: str, address: tuple[str, int]) -> None:
        assert len(data) <= 1_400
        if self.rng.random() >= self.schedule.loss:
            delay_s = self.rng.uniform(*self.schedule.one_way_s)
            self.loop.call_later(delay_s, self._deliver, data, sender, f"e{address[1]}")

    def _deliver(self, data: bytes, sender: str, receiver: str) -> None:
        if receiver in self.entries:
            self.entries[receiver].datagram_received(data, self.registered[sender])

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> None:
        """Send requests until the end, with the faults of the schedule."""
        self.start(self._send(self.schedule.sound_per_s, self._sound_parts, 0.0))
        if self.schedule.bad_per_s:
            self.start(
                self._send(self.schedule.bad_per_s, self._bad_parts, self.schedule.bad_sent_from)
            )
        for fault in self.schedule.faults:
            self.start(getattr(self, f"_{fault}")())
        await asyncio.sleep(self.schedule.end_s)
        for task in list(self.tasks):
            task.cancel()

    async def _send(self, per_s: float, parts: Callable[[], list[str]], since: float) -> None:
        await asyncio.sleep(since)
        while True:
            await asyncio.sleep(self.rng.expovariate(per_s))
            number = len(self.requests)
            own = f"{0x900000 + number:x}"
            request = Request(number, (*parts(), own), self.loop.time())
            self.requests.append(request)
            self.start(self._serve(request, self.rng.choice(sorted(self.entries))))

    def _sound_parts(self) -> list[str]:
        template = f"{0x50 + self.rng.randrange(self.schedule.templates):x}"
        return [self.schedule.first_part, template]

    def _bad_parts(self) -> list[str]:
        template = f"{0x50 + self.rng.randrange(self.schedule.bad_templates):x}"
        parts = [template, self.rng.choice(self.schedule.bad_parts)]
        return [self.schedule.first_part, *self.rng.sample(parts, 2)]

    async def _serve(self, request: Request, name: str) -> None:
        entry = self.entries[name]
        is_trial = False

        def is_refused() -> bool:
            nonlocal is_trial
            if not entry.refuses(request.traits) or is_trial:
                return False
            if not entry.is_trial_due(SERVICE, request.traits):
                request.was_refused = True
                return True
            entry.begin_trial(request.traits, str(request.number))
            is_trial = True
            return False

        # A slot at a decode engine is reserved before a prefill engine reads the prompt.
        if is_refused() or not self._up():
            return
        request.reached = True
        for run in range(self.schedule.runs):
            await asyncio.sleep(self.rng.uniform(*READ_S))
            if run and entry.refuses(request.traits):
                return
            if is_refused() or not (up := self._up()) or self.entries.get(name) is not entry:
                return
            engine = self.rng.choice(up)
            engine.running[request] = name
            await asyncio.sleep(self.rng.uniform(*BEGIN_S))
            if self.entries.get(name) is not entry:
                return
            if request in engine.running and not self._crashes(request):
                break
            if request in engine.running:
                self.caused.append(self.loop.time())
                self.crash(engine)
        else:
            return
        request.has_begun = True
        entry.record_event(SERVICE, request.traits)
        await asyncio.sleep(self.rng.uniform(*ANSWER_S))
        engine.running.pop(request, None)

    def _up(self) -> list[Engine]:
        return [engine for engine in self.engines if engine.up_at <= self.loop.time()]

    def _crashes(self, request: Request) -> bool:
        return request.is_bad and self.loop.time() >= self.schedule.bad_from

    def crash(self, engine: Engine) -> None:
        now = self.loop.time()
        self.crashes.append(now)
        engine.up_at = now + self.rng.uniform(*DOWN_S)
        for request, name in engine.running.items():
            if not request.has_begun:
                self.loop.call_later(
                    self.rng.uniform(*NOTICE_S), self._report, name, engine.name, request.traits
                )
        engine.running.clear()

    def _report(self, name: str, engine: str, traits: tuple[str, ...]) -> None:
        if name in self.entries:
            self.entries[name].record_crash(SERVICE, engine, traits)

    async def _power_losses(self) -> None:
        """All engines lose power within a quarter of a second, twice."""
        for after_s in (FAULTS_AT + 8.0, 15.0):
            await asyncio.sleep(after_s)
            for engine in self.engines:
                self.loop.call_later(self.rng.uniform(0.0, 0.25), self.crash, engine)

    async def _rolling_release(self) -> None:
        await asyncio.sleep(FAULTS_AT + 4.0)
        for engine in self.engines:
            self.crash(engine)
            await asyncio.sleep(self.rng.uniform(0.4, 1.2))

    async def _single_crashes(self) -> None:
        await asyncio.sleep(FAULTS_AT)
        while True:
            await asyncio.sleep(self.rng.expovariate(0.4))
            self.crash(self.rng.choice(self.engines))

    async def _entry_restarts(self) -> None:
        """Kill one entry after the other; each is back a second later."""
        await asyncio.sleep(FAULTS_AT)
        for name in sorted(self.registered) * 100:
            await asyncio.sleep(self.rng.uniform(1.0, 4.0))
            if len(self.entries) > 1:
                del self.entries[name]
                await asyncio.sleep(1.0)
                self.start_entry(name)

    # Results

    def late(self) -> int:
        """Return how many requests with the part reached engines although they were late."""
        since = self.caused[:CRASHES][-1] + CONTACT_S
        return sum(r.is_bad and r.reached and r.sent_at > since for r in self.requests)

    def begun_share(self, since: float, until: float = float("inf")) -> float:
        """Return the share of sound requests, sent in a time, whose answers began."""
        sent = [r for r in self.requests if since <= r.sent_at < until and not r.is_bad]
        return sum(r.has_begun for r in sent) / len(sent)

    def refused_share(self) -> float:
        """Return the share of sound requests that were refused."""
        sound = [r for r in self.requests if not r.is_bad]
        return sum(r.was_refused for r in sound) / max(1, len(sound))


@attrs.frozen
class _Transport:
    fleet: Fleet
    name: str

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.fleet.sendto(data, self.name, address)


def play(schedule: Schedule, seed: int) -> Fleet:
    """Play a schedule and return the fleet at its end."""

    async def main() -> Fleet:
        fleet = Fleet(schedule, seed)
        await fleet.run()
        return fleet

    return run_in_virtual_time(main())


ALL_FAULTS = ("power_losses", "rolling_release", "single_crashes", "entry_restarts")
WITH_BAD_PART = {
    "steady": Schedule(),
    "repeated": Schedule(bad_per_s=10.0, runs=2),
    "slow": Schedule(sound_per_s=1.0, bad_per_s=1.0, end_s=120.0),
    "one template": Schedule(templates=1, bad_templates=1, runs=2),
    "templates of its own": Schedule(templates=3, bad_templates=6),
    "bad requests nearly alone": Schedule(sound_per_s=0.5, bad_per_s=2.0, end_s=120.0),
    "sound until a release": Schedule(bad_sent_from=0.0, bad_from=FAULTS_AT),
    "sound until a release, slow": Schedule(
        sound_per_s=1.0, bad_per_s=1.0, bad_sent_from=0.0, bad_from=FAULTS_AT, end_s=120.0
    ),
    "loss and delay": Schedule(loss=0.1, one_way_s=(0.001, 0.05)),
    "other crashes": Schedule(loss=0.02, faults=ALL_FAULTS),
    "other crashes, slow": Schedule(
        sound_per_s=2.0, bad_per_s=1.0, loss=0.02, faults=ALL_FAULTS, end_s=180.0
    ),
}
WITHOUT = {
    "usual": Schedule(bad_per_s=0.0, loss=0.02, runs=2, faults=ALL_FAULTS),
    "slow": Schedule(bad_per_s=0.0, sound_per_s=1.0, loss=0.02, runs=2, faults=ALL_FAULTS),
    "one template": Schedule(
        bad_per_s=0.0, sound_per_s=4.0, templates=1, loss=0.02, runs=2, faults=ALL_FAULTS
    ),
}


def _with_entries(schedule: Schedule, entries: int) -> Schedule:
    """Return the schedule for a number of entries; one alone cannot learn what it has forgotten."""
    faults = tuple(f for f in schedule.faults if entries > 1 or f != "entry_restarts")
    return attrs.evolve(schedule, entries=entries, faults=faults)


@pytest.mark.parametrize("entries", [1, 3, 30])
@pytest.mark.parametrize("name", WITH_BAD_PART)
def test_part_stops_reaching_engines_and_sound_requests_begin(name: str, entries: int) -> None:
    for seed in range(3):
        fleet = play(_with_entries(WITH_BAD_PART[name], entries), seed)
        assert fleet.late() <= MAX_LATE, f"seed {seed}"
        since = fleet.caused[:CRASHES][-1] + 2 * CONTACT_S
        before = fleet.begun_share(0.0, FAULTS_AT)
        assert fleet.begun_share(since) >= before / 2, f"seed {seed}"


@pytest.mark.parametrize("entries", [1, 3, 30])
@pytest.mark.parametrize("name", WITHOUT)
def test_crashes_without_a_bad_part_block_nothing(name: str, entries: int) -> None:
    for seed in range(3):
        fleet = play(_with_entries(WITHOUT[name], entries), seed)
        assert len(fleet.crashes) > 20
        assert not any(len(parts._blocks) for parts in fleet.entries.values()), f"seed {seed}"
        assert fleet.refused_share() == 0.0, f"seed {seed}"
