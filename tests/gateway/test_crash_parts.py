"""Requests of one prompt part that crash engines, among sound requests that share other parts."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import attrs
import pytest
from loguru import logger as log

from vanillashore_gateway import Endpoint, now
from vanillashore_gateway._crash_evidence import SEPARATE_S, traits_of
from vanillashore_gateway._part_blocks import FIRST_TRIAL_S
from vanillashore_standins import wait_until
from vanillashore_standins.platform_endpoint import EndpointStandIn, EngineOptions, Fault
from vanillashore_standins.platform_rig import PlatformRig

BAD = "bad0"  # The part that crashes engines.
COMMON = "c0"  # The first part of all requests.
MAX_LATE = 3  # Requests that may reach endpoints from `SETTLE_S` after the fifth crash on.
CRASHES = 5
SETTLE_S = 1.0  # A third of what the rule grants.
BEFORE_S = 1.0
DURING_S = 5.0
SOUND_INTERVAL_S = 0.04
BAD_INTERVAL_S = 0.1


@attrs.define
class Sent:
    """A request, when it was sent, and whether its answer began."""

    request_id: str
    at: float
    has_begun: bool = False


class Traffic:
    """Sound requests all the time, and after ``BEFORE_S`` also some with the bad part."""

    def __init__(self, rig: PlatformRig, route: str, is_uniform: bool) -> None:
        self.rig = rig
        self.route = route
        self.is_uniform = is_uniform
        self.sound: list[Sent] = []
        self.bad: list[Sent] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def crashes(self) -> list[float]:
        return sorted(at for engine in self.rig.decodes for at in engine.crashed_at)

    @property
    def settled_at(self) -> float:
        """Time from which at most ``MAX_LATE`` requests may reach endpoints."""
        return self.crashes[:CRASHES][-1] + SETTLE_S

    def late(self) -> list[str]:
        """Return the requests with the bad part that reached endpoints although they were late."""
        reached = {a.request_id for e in self.rig.endpoints for a in e.arrivals}
        return [
            sent.request_id
            for sent in self.bad
            if sent.at > self.settled_at and sent.request_id in reached
        ]

    def begun_share(self, since: float, until: float = float("inf")) -> float:
        """Return the share of sound requests, sent in a time, whose answers began."""
        sent = [sent for sent in self.sound if since <= sent.at < until]
        return sum(s.has_begun for s in sent) / len(sent)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        step = 0
        while (elapsed := loop.time() - began) < BEFORE_S + DURING_S:
            self._start(self.sound, f"{0x5000 + step % 4:x}", step)
            if elapsed > BEFORE_S + len(self.bad) * BAD_INTERVAL_S:
                self._start(self.bad, BAD, step)
            step += 1
            await asyncio.sleep(SOUND_INTERVAL_S)
        await asyncio.gather(*self._tasks)

    def _start(self, sent: list[Sent], part: str, step: int) -> None:
        request = Sent(f"{part}-{step}", asyncio.get_running_loop().time())
        sent.append(request)
        self._tasks.append(asyncio.ensure_future(self._ask(request, part, step)))

    async def _ask(self, sent: Sent, part: str, step: int) -> None:
        number = 0 if self.is_uniform else step
        body = b"" if self.is_uniform else f"prompt {step}".encode()
        # A request with the bad part shares each of its other parts with sound ones.
        parts = (COMMON, f"{0x5000 + step % 4:x}", part, f"{0x9000 + step:x}")
        headers = {
            "X_Token_Count": "1000,500",
            "X_Length_Hint": "100",
            "X_Prompt_Prefix": ",".join(f"{name}:250" for name in parts),
        }
        entry = step % len(self.rig.processes)
        path = f"{self.route}{number}"
        try:
            answer = await self.rig.ask("POST", path, sent.request_id, body, entry=entry, **headers)
        except (OSError, asyncio.IncompleteReadError):
            return
        sent.has_begun = answer.status == 200 and b"id: 1\n" in answer.body


@asynccontextmanager
async def running_fleet() -> AsyncIterator[PlatformRig]:
    options = EngineOptions(events=5, pause_s=0.02)
    async with PlatformRig(entries=3, decodes=8, prefills=1, engine=options) as rig:

        def list_again(engine: EndpointStandIn) -> None:
            rig.store.put(f"servers/{engine.instance}", engine.entry())

        for engine in rig.decodes:
            engine.crash_parts = {BAD}
            engine.on_restart = list_again
        yield rig


def check(traffic: Traffic) -> None:
    assert traffic.crashes
    late = traffic.late()
    began = traffic.sound[0].at
    before = traffic.begun_share(began, began + BEFORE_S)
    after = traffic.begun_share(traffic.settled_at + SETTLE_S)
    figures = f"{len(traffic.crashes)} crashes, {len(late)} late, begun {before:.2f}, {after:.2f}"
    assert len(late) <= MAX_LATE, figures
    assert after >= before / 2, figures


@pytest.mark.parametrize("route", ["/quote/", "/idea/"])
@pytest.mark.parametrize("is_uniform", [False, True], ids=["distinct", "uniform"])
async def test_part_that_crashes_engines_stops_reaching_them(route: str, is_uniform: bool) -> None:
    async with running_fleet() as rig:
        traffic = Traffic(rig, route, is_uniform)
        await traffic.run()
        check(traffic)


@pytest.mark.parametrize("entry", [0, 1, 2])
async def test_part_is_blocked_although_an_entry_is_killed_and_another_starts(entry: int) -> None:
    async with running_fleet() as rig:
        traffic = Traffic(rig, "/quote/", is_uniform=False)
        running = asyncio.ensure_future(traffic.run())
        while len(traffic.crashes) < CRASHES - 1:
            await asyncio.sleep(0.01)
            assert not running.done()
            if traffic.bad and traffic.bad[-1].at - traffic.bad[0].at > DURING_S / 2:
                break  # The part is blocked already.
        name = rig.processes[entry].gateway.cfg.node
        rig.kill_entry(entry)
        await asyncio.sleep(0.3)
        await rig.start_entry(name)
        await running
        check(traffic)


async def test_crash_is_logged_with_the_events_and_the_parts_of_the_request() -> None:
    lines: list[dict[str, Any]] = []
    sink = log.add(lambda line: lines.append(line.record), level="INFO")
    options = EngineOptions(events=60, pause_s=0.01)
    async with PlatformRig(decodes=1, engine=options) as rig:
        rig.decodes[0].crash_parts = {BAD}
        sound = asyncio.ensure_future(
            rig.generate("/idea/1", "sound", X_Prompt_Prefix="c0:9,5000:9,1:9")
        )
        await asyncio.sleep(0.2)
        await rig.generate("/idea/2", "bad", X_Prompt_Prefix=f"c0:9,{BAD}:9,2:9")
        await sound
        await asyncio.gather(*rig.process.gateway.crashes._checks)
    log.remove(sink)
    crashes = {
        line["extra"]["request"]: line["extra"]
        for line in lines
        if line["message"] == "an endpoint crashed while it ran a request"
    }
    assert crashes["bad"]["events"] == 0
    assert crashes["bad"]["parts"] == ("c0", BAD, "2")
    assert crashes["sound"]["events"] > 0


def _block(rig: PlatformRig, age_s: float = 0.0) -> None:
    parts = rig.process.gateway.parts
    traits = traits_of("models", "", (BAD, "own"))[1:]
    parts._announce(parts._blocks.block("models", frozenset(traits), now() - age_s))


async def test_waiting_request_is_refused_as_not_run_when_its_part_is_blocked() -> None:
    async with PlatformRig(decodes=1, prefills=1) as rig:
        rig.decodes[0].engine.room = 0
        headers = {"X_Prompt_Prefix": f"c0:9,{BAD}:9,2:9"}
        waiting = asyncio.ensure_future(rig.generate("/idea/1", "waiting", **headers))
        await wait_until(lambda: rig.process.gateway.slot_finder.waiting("models") == 1)
        _block(rig)
        rig.decodes[0].engine.room = 1_000_000
        for answer in (await waiting, await rig.generate("/idea/2", "new", **headers)):
            assert answer.status == 503
            assert b"crashes_endpoints" in answer.body
        assert not rig.prefills[0].arrivals
        assert not rig.decodes[0].arrivals
        assert (await rig.generate("/idea/3", "other", X_Prompt_Prefix="c0:9,2:9")).status == 200


async def test_request_on_trial_that_brings_an_event_ends_the_block() -> None:
    async with PlatformRig(decodes=1) as rig:
        _block(rig, age_s=FIRST_TRIAL_S + 1.0)
        for number in range(2):
            headers = {"X_Prompt_Prefix": f"c0:9,{BAD}:9,{number}:9"}
            assert (await rig.generate(f"/idea/{number}", f"id-{number}", **headers)).status == 200


async def test_one_request_at_a_time_is_on_trial() -> None:
    async with PlatformRig(decodes=3) as rig:
        for engine in rig.decodes:
            engine.crash_parts = {BAD}
        _block(rig, age_s=FIRST_TRIAL_S + 1.0)
        headers = {"X_Prompt_Prefix": f"c0:9,{BAD}:9,2:9"}
        await asyncio.gather(
            *(rig.generate(f"/quote/{number}", f"id-{number}", **headers) for number in range(6))
        )
        assert sum(len(engine.arrivals) for engine in rig.decodes) == 1


async def test_request_that_comes_again_with_a_new_last_part_of_its_prompt_is_refused() -> None:
    async with PlatformRig(decodes=6) as rig:
        rig.process.gateway.crashes._is_down = _is_down
        for number in range(6):
            for engine in rig.decodes:
                engine.faults.append(Fault.RESET_AFTER_RUN)
            headers = {"X_Prompt_Prefix": f"c0:100,{number:x}:10"}
            await rig.ask("POST", "/idea/1", f"bad-{number}", b"bad", **headers)
            await asyncio.gather(*rig.process.gateway.crashes._checks)
            for engine in rig.decodes:
                engine.faults.clear()
            headers = {"X_Prompt_Prefix": f"c0:100,{number + 16:x}:10"}
            answer = await rig.ask("POST", "/idea/1", f"sound-{number}", b"x", **headers)
            assert answer.status == 200
            await asyncio.sleep(SEPARATE_S)
        assert sum(len(rig.arrivals(f"bad-{number}")) for number in range(6)) <= 3 + 1


async def test_loss_of_power_refuses_no_request_that_only_ran_then() -> None:
    async with PlatformRig(decodes=6) as rig:
        rig.process.gateway.crashes._is_down = _is_down
        for engine in rig.decodes:
            engine.faults.append(Fault.RESET_AFTER_RUN)
        headers = [{"X_Prompt_Prefix": f"c0:9,a0:9,{number:x}:9"} for number in range(18)]
        lost = [rig.ask("POST", "/idea/1", f"id-{n}", b"", **headers[n]) for n in range(6)]
        await asyncio.gather(*lost)
        await asyncio.gather(*rig.process.gateway.crashes._checks)
        for engine in rig.decodes:
            engine.faults.clear()
        later = [
            await rig.ask("POST", "/idea/1", f"id-{n}", b"", **headers[n]) for n in range(6, 18)
        ]
        assert [answer.status for answer in later] == [200] * 12


async def _is_down(endpoint: Endpoint) -> bool:
    return True
