"""The checks of parts of prompts that crash engines, on a virtual clock."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import attrs

from vanillashore_standins.platform_endpoint import Arrival, Crash, EndpointStandIn, prompt_parts
from vanillashore_standins.soak._callers import CallerOptions, Prompt, RequestRecord
from vanillashore_standins.soak._parts import PartFaults, sound_prompt
from vanillashore_standins.virtual_time import run_in_virtual_time

SEED = 4  # A part comes first, and no other crash beside it.
ADDRESS = ("127.0.0.1", 1)


class StubEngine(EndpointStandIn):
    """An engine without a server."""

    def crash(self, parts: frozenset[str] = frozenset()) -> None:
        self.crashes.append(Crash(asyncio.get_running_loop().time(), parts))


@attrs.define
class StubCaller:
    """Sends a request each second; it reaches the engine and crashes it ``crashes`` times."""

    name: str
    prompt: Callable[[str], Prompt]
    engine: StubEngine
    crashes: int
    records: list[RequestRecord] = attrs.field(factory=list)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        for number in range(100):
            request_id, now = f"{self.name}-{number}", loop.time()
            self.records.append(record(request_id, now))
            if len(self.engine.crashes) < self.crashes:
                parts = ",".join(f"{part}:1" for part in self.prompt(request_id).parts)
                headers = {"x-prompt-prefix": parts}
                arrival = Arrival(request_id, "POST", "/quote/1", headers, b"", True, now, None)
                self.engine.arrivals.append(arrival)
                self.engine.crash(prompt_parts(headers) & self.engine.crash_parts)
            await asyncio.sleep(1.0)


def record(
    request_id: str, at: float, begins: bool = True, code: str = "", path: str = "/quote/1"
) -> RequestRecord:
    versions = frozenset({"v1"} if begins else ())
    status = 200 if begins else 503
    return RequestRecord(
        request_id, path, "key", at, at + 0.01, status, ADDRESS, versions=versions, code=code
    )


def play(crashes: int) -> tuple[PartFaults, StubEngine]:
    """Play one part, of which that many requests reach the engine."""
    engine = StubEngine("d0", "models")

    def new_caller(name: str, options: CallerOptions) -> StubCaller:
        return StubCaller(name, options.prompt, engine, crashes)

    faults = PartFaults([engine], random.Random(SEED), new_caller)

    async def run() -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(17.0):
                await faults.run()

    run_in_virtual_time(run())
    return faults, engine


def never(*_: object) -> bool:
    return False


def always(*_: object) -> bool:
    return True


def sound_records(begins_later: bool, code: str = "") -> list[RequestRecord]:
    early = [record(f"a-{n}", n / 10) for n in range(30)]
    return early + [record(f"b-{n}", n / 10, begins_later, code) for n in range(120, 160)]


def test_part_that_is_refused_after_five_crashes_is_in_order() -> None:
    faults, engine = play(crashes=5)
    assert [len(crash.parts) for crash in engine.crashes] == [1] * 5
    assert faults.violations(sound_records(begins_later=True), never, never) == []


def test_more_than_three_late_requests_are_reported() -> None:
    faults, _ = play(crashes=100)
    (line,) = faults.violations(sound_records(begins_later=True), never, never)
    assert "reached endpoints" in line
    assert play(crashes=100)[0].violations([], always, never) == []


def test_sound_requests_that_begin_too_seldom_are_reported() -> None:
    faults, _ = play(crashes=5)
    (line,) = faults.violations(sound_records(begins_later=False), never, never)
    assert "0.00 of" in line


def test_sound_requests_are_left_out_while_all_engines_name_limits() -> None:
    faults, _ = play(crashes=5)
    assert faults.violations(sound_records(begins_later=False), never, lambda at: at > 12.0) == []


def test_refusal_of_sound_requests_long_after_the_crashes_is_reported() -> None:
    faults, engine = play(crashes=5)
    late = max(engine.crashed_at) + 6.1
    early = late - 0.2
    code = "crashes_endpoints"
    assert faults.violations([record("a", early, False, code)], never, never) == []
    assert len(faults.violations([record("a", late, False, code)], never, never)) == 1


def test_prompts_hold_the_part_before_the_last_one() -> None:
    faults, _ = play(crashes=5)
    for caller in faults.callers:
        for sent in caller.records:
            assert "bad0" in caller.prompt(sent.request_id).parts[1:-1]
            assert caller.prompt(sent.request_id).is_unique
    assert "bad0" not in sound_prompt("a").parts
