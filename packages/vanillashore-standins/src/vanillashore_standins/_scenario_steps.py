"""The steps of scenarios."""

import asyncio
from typing import Any, Protocol

import aiohttp
import attrs
import orjson

from vanillashore_standins._config_steps import Configure, ExpectInForce
from vanillashore_standins._fleet_base import KEY, MODEL, FleetBase
from vanillashore_standins._process_fleet import NodeProcess, ProcessFleet
from vanillashore_standins._text_generator import generate

ANSWER_WAIT_S = 30.0


@attrs.frozen
class Answer:
    """The response a caller received; status 0 means that the connection broke."""

    status: int
    text: str
    code: str = ""
    ran: str = ""
    is_right: bool = False


class ScenarioRun:
    """State of a running scenario: the fleet, and answers keyed by ``save_as``."""

    def __init__(self, fleet: FleetBase) -> None:
        self.fleet = fleet
        self._answers: dict[str, asyncio.Task[Answer]] = {}

    def start_request(self, name: str, request: Any) -> None:
        """Send a request in the background."""
        self._answers[name] = asyncio.get_running_loop().create_task(request)

    async def answer(self, name: str) -> Answer:
        """Wait for an answer."""
        async with asyncio.timeout(ANSWER_WAIT_S):
            return await self._answers[name]

    def cancel(self, name: str) -> None:
        """Cancel a request as its caller would."""
        self._answers[name].cancel()

    def node(self, vm: str) -> NodeProcess:
        """Return a node's process."""
        if not isinstance(self.fleet, ProcessFleet):
            raise AssertionError("this step needs processes = true")
        return self.fleet.nodes[vm]

    async def close(self) -> None:
        """Cancel the requests that still run."""
        for task in self._answers.values():
            task.cancel()
        await asyncio.gather(*self._answers.values(), return_exceptions=True)


class Step(Protocol):
    """One step of a scenario."""

    async def run(self, run: ScenarioRun) -> None:
        """Execute the step; raise AssertionError if its expectation fails."""


@attrs.frozen
class Call:
    """Call a service route and wait for the answer, unless ``background``."""

    path: str
    entry: int = 0
    method: str = "POST"
    body: str = ""
    key: str = KEY
    headers: dict[str, str] = attrs.field(factory=dict)
    save_as: str = "answer"
    background: bool = False

    async def run(self, run: ScenarioRun) -> None:
        """Send the call."""
        run.start_request(self.save_as, self._send(run.fleet))
        if not self.background:
            await run.answer(self.save_as)

    async def _send(self, fleet: FleetBase) -> Answer:
        try:
            async with fleet.request(
                self.method, self.entry, self.path, self.key, data=self.body, headers=self.headers
            ) as response:
                return _parse_answer(response.status, await response.text())
        except aiohttp.ClientError as exc:
            return Answer(0, repr(exc))


@attrs.frozen
class Complete:
    """Request a streamed completion; its answer ``is_right`` if all its text is as expected."""

    prompt: str = "a cake"
    max_tokens: int = 20
    entry: int = 0
    key: str = KEY
    save_as: str = "answer"
    background: bool = False

    async def run(self, run: ScenarioRun) -> None:
        """Send the request."""
        run.start_request(self.save_as, self._send(run.fleet))
        if not self.background:
            await run.answer(self.save_as)

    async def _send(self, fleet: FleetBase) -> Answer:
        body = {
            "model": MODEL,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": True,
        }
        try:
            async with fleet.post(self.entry, "/v1/completions", body, self.key) as response:
                data = await response.text()
        except aiohttp.ClientError as exc:
            return Answer(0, repr(exc))
        if response.status != 200:
            return _parse_answer(response.status, data)
        return self._check_text(data)

    def _check_text(self, data: str) -> Answer:
        events = [orjson.loads(e) for e in _event_data(data) if e != "[DONE]"]
        errors = [event for event in events if "error" in event]
        if errors:
            return _parse_answer(200, orjson.dumps(errors[0]).decode())
        text = "".join(c["text"] for event in events for c in event["choices"])
        ended = data.endswith("data: [DONE]\n\n")
        is_right = ended and text == generate(self.prompt, self.max_tokens)
        return Answer(200, text, is_right=is_right)


@attrs.frozen
class Cancel:
    """Cancel a request that runs in the background."""

    answer: str

    async def run(self, run: ScenarioRun) -> None:
        """Cancel the request."""
        run.cancel(self.answer)


@attrs.frozen
class Pause:
    """Wait for a time."""

    seconds: float

    async def run(self, run: ScenarioRun) -> None:
        """Sleep."""
        await asyncio.sleep(self.seconds)


@attrs.frozen
class SetFault:
    """Set a stand-in's option; ``of`` is ``store`` or the VM name of an engine or service."""

    of: str
    name: str
    value: str | int | float | bool

    async def run(self, run: ScenarioRun) -> None:
        """Set the option."""
        fleet = run.fleet
        if self.of == "store":
            target: Any = fleet.kv_faults
        elif self.of in fleet.engines:
            target = fleet.engines[self.of].options
        else:
            target = fleet.service_states[self.of].options
        setattr(target, self.name, self.value)


@attrs.frozen
class CrashEngine:
    """Crash an engine, which loses all its state."""

    vm: str

    async def run(self, run: ScenarioRun) -> None:
        """Crash the engine."""
        run.fleet.engines[self.vm].crash()


@attrs.frozen
class Signal:
    """Apply an action to a node's process: kill, freeze, thaw, terminate or restart."""

    vm: str
    action: str

    async def run(self, run: ScenarioRun) -> None:
        """Apply the action."""
        node = run.node(self.vm)
        if self.action == "restart":
            run.fleet.restart(self.vm)
        else:
            getattr(node, self.action)()


@attrs.frozen
class Expect:
    """Check an answer; fields that are not given are not checked."""

    answer: str = "answer"
    status: int | None = None
    code: str | None = None
    ran: str | None = None
    is_right: bool | None = None

    async def run(self, run: ScenarioRun) -> None:
        """Compare the fields."""
        answer = await run.answer(self.answer)
        for name in ("status", "code", "ran", "is_right"):
            expected = getattr(self, name)
            if expected is not None and getattr(answer, name) != expected:
                raise AssertionError(f"{self.answer}: {name} is not {expected!r} in {answer}")


@attrs.frozen
class ExpectRuns:
    """Check how often a call was executed, over all service stand-ins."""

    path: str
    body: str
    count: int

    async def run(self, run: ScenarioRun) -> None:
        """Compare the count."""
        states = run.fleet.service_states.values()
        count = sum(state.runs_of(self.path, self.body.encode()) for state in states)
        if count != self.count:
            raise AssertionError(f"{self.path} ran {count} times, not {self.count}")


@attrs.frozen
class ExpectNothingHeld:
    """Check that all engines release their KV pieces within a time."""

    within_s: float = 5.0

    async def run(self, run: ScenarioRun) -> None:
        """Wait."""
        try:
            await run.fleet.until(lambda: run.fleet.held_pieces() == 0, self.within_s)
        except TimeoutError:
            held = {vm: engine.holdings() for vm, engine in run.fleet.engines.items()}
            raise AssertionError(
                f"KV pieces still held after {self.within_s:g} s: {held}"
            ) from None


@attrs.frozen
class ExpectDecoding:
    """Wait until all engines together have decoded at least this many tokens."""

    tokens: int = 1
    within_s: float = 5.0

    async def run(self, run: ScenarioRun) -> None:
        """Wait."""
        engines = run.fleet.engines.values()
        await run.fleet.until(
            lambda: sum(e.ledger.decoded_tokens for e in engines) >= self.tokens, self.within_s
        )


STEP_TYPES: dict[str, type[Step]] = {
    "call": Call,
    "complete": Complete,
    "cancel": Cancel,
    "pause": Pause,
    "set_fault": SetFault,
    "crash_engine": CrashEngine,
    "signal": Signal,
    "expect": Expect,
    "expect_runs": ExpectRuns,
    "expect_nothing_held": ExpectNothingHeld,
    "expect_decoding": ExpectDecoding,
    "configure": Configure,
    "expect_in_force": ExpectInForce,
}


def _event_data(data: str) -> list[str]:
    return [line.removeprefix("data: ") for line in data.splitlines() if line.startswith("data: ")]


def _parse_answer(status: int, text: str) -> Answer:
    try:
        error = orjson.loads(text).get("error", {})
    except (AttributeError, orjson.JSONDecodeError):
        return Answer(status, text)
    if not isinstance(error, dict):
        return Answer(status, text)
    return Answer(status, text, error.get("code", ""), error.get("ran", ""))
