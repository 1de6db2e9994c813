"""Parts of prompts that crash the soak's engines, crashes without any, and the checks of both."""

import asyncio
import random
import zlib
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

import attrs

from vanillashore_standins.platform_endpoint import EndpointStandIn, prompt_parts
from vanillashore_standins.soak._callers import (
    REQUEST_KINDS,
    CallerOptions,
    Prompt,
    RequestRecord,
    SoakCaller,
    WasDisrupted,
)

CRASHES = 5
CONTACT_S = 3.0  # After the last of these crashes the entries must know the part.
MAX_REQUESTS = 3  # That still reach endpoints then.
RECOVERY_S = 6.0  # From then on sound requests are served as before.
MIN_REQUESTS = 20  # Fewer show nothing.
FIRST_PART = "f1"  # Ids of parts are hexadecimal.
MIDDLE_PARTS = 4
PART_CALLERS = 4
PART_PAUSE_S = 1.6
REFUSAL_CODE = "crashes_endpoints"


def sound_prompt(request_id: str) -> Prompt:
    """Return a prompt with a common part, one that some others have, and one of its own."""
    return Prompt((FIRST_PART, _middle_part(request_id), _own_part(request_id)))


def _middle_part(request_id: str) -> str:
    return f"a{zlib.crc32(request_id.encode()) % MIDDLE_PARTS}"


def _own_part(request_id: str) -> str:
    return request_id.encode().hex()


@attrs.define
class _CrashPart:
    """A part that crashes engines from ``start`` to ``end``."""

    name: str
    start: float
    end: float = float("inf")

    def prompt(self, request_id: str) -> Prompt:
        """Return a prompt that holds the part, before or after a sound one."""
        middle = [self.name, _middle_part(request_id)]
        if zlib.crc32(request_id.encode()) & 16:
            middle.reverse()
        return Prompt((FIRST_PART, *middle, _own_part(request_id)), is_unique=True)


class PartFaults:
    """Lets engines crash on a part of a prompt, and without a cause.

    ``new_caller`` makes the callers that send the part; no two of their requests are alike.
    """

    def __init__(
        self,
        engines: Sequence[EndpointStandIn],
        rng: random.Random,
        new_caller: Callable[[str, CallerOptions], SoakCaller],
    ) -> None:
        self._engines = engines
        self._rng = rng
        self._new_caller = new_caller
        self._parts: list[_CrashPart] = []
        self.callers: list[SoakCaller] = []
        self.figures: list[str] = []

    @property
    def count(self) -> int:
        """How often an engine has crashed."""
        return sum(len(engine.crashes) for engine in self._engines)

    async def run(self) -> None:
        """Play crashes with and without a part by turns until cancelled."""
        is_part_next = self._rng.random() < 0.5
        while True:
            await asyncio.sleep(3.0 + self._rng.random() * 2.0)
            await (self._play_part() if is_part_next else self._crash_engines())
            is_part_next = not is_part_next

    async def _play_part(self) -> None:
        part = _CrashPart(f"bad{len(self._parts)}", _now())
        self._parts.append(part)
        options = CallerOptions(
            pause_s=PART_PAUSE_S,
            kinds=tuple(kind for kind in REQUEST_KINDS if kind.is_stream),
            prompt=part.prompt,
        )
        callers = [self._new_caller(f"{part.name}-{i}", options) for i in range(PART_CALLERS)]
        self.callers += callers
        for engine in self._engines:
            engine.crash_parts.add(part.name)
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        if self._rng.random() < 0.3:
            tasks.append(asyncio.ensure_future(self._crash_engines()))
        try:
            await asyncio.sleep(11.0 + self._rng.random() * 2.0)
        finally:
            part.end = _now()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for engine in self._engines:
                engine.crash_parts.discard(part.name)

    async def _crash_engines(self) -> None:
        for _ in range(self._rng.randrange(2, 6)):
            is_total = self._rng.random() < 0.3
            for engine in self._engines if is_total else [self._rng.choice(self._engines)]:
                engine.crash()
            await asyncio.sleep(self._rng.random())

    def violations(
        self,
        sound: Sequence[RequestRecord],
        was_disrupted: WasDisrupted,
        were_limited: Callable[[float], bool],
    ) -> list[str]:
        """Check what reaches endpoints with a part, and how ``sound`` requests fare meanwhile.

        ``were_limited`` tells whether all engines that begin streams named request limits.
        """
        sound = [r for r in sound if _is_new_stream(r)]
        steady = [
            r
            for r in sound
            if not was_disrupted(r.entry, r.sent_at, r.ended_at) and not were_limited(r.sent_at)
        ]
        crashes = sorted(crash.at for engine in self._engines for crash in engine.crashes)
        refused = [
            r.request_id
            for r in sound
            if r.code == REFUSAL_CODE and not _is_within(r.sent_at, crashes, RECOVERY_S)
        ]
        lines = []
        if refused:
            lines.append(
                f"{len(refused)} sound requests were refused as crashing, without a crash for "
                f"{RECOVERY_S:g} s: {refused[:3]}"
            )
        calm = [r for r in steady if not crashes or r.ended_at < crashes[0]]
        for part in self._parts:
            lines += self._check_part(part, steady, calm, was_disrupted)
        return lines

    def _check_part(
        self,
        part: _CrashPart,
        steady: Sequence[RequestRecord],
        calm: Sequence[RequestRecord],
        was_disrupted: WasDisrupted,
    ) -> list[str]:
        crashes = sorted(
            crash.at
            for engine in self._engines
            for crash in engine.crashes
            if part.name in crash.parts
        )
        if not crashes:
            return []
        last = crashes[:CRASHES][-1]
        during = [r for r in steady if last + RECOVERY_S < r.sent_at < part.end]
        share, calm_share = _share_begun(during), _share_begun(calm)
        late = 0
        lines = []
        if len(crashes) >= CRASHES:
            late = self._requests_with(part, last + CONTACT_S, was_disrupted)
        if late > MAX_REQUESTS:
            lines.append(
                f"{part.name}: {late} requests reached endpoints later than {CONTACT_S:g} s after "
                f"crash {CRASHES}"
            )
        if min(len(during), len(calm)) >= MIN_REQUESTS and share < calm_share / 2:
            lines.append(
                f"{part.name}: {share:.2f} of {len(during)} sound requests began, and "
                f"{calm_share:.2f} before any crash"
            )
        self.figures.append(
            f"{part.name}: {len(crashes)} crashes, {late} late requests; "
            f"{share:.2f} of {len(during)} sound ones began, and {calm_share:.2f} of {len(calm)} "
            "before any crash"
        )
        return lines

    def _requests_with(self, part: _CrashPart, since: float, was_disrupted: WasDisrupted) -> int:
        """Return how many requests with a part, and repeats of them, reached endpoints."""
        entry_of = {r.request_id: r.entry for caller in self.callers for r in caller.records}
        times: Counter[tuple[str, str]] = Counter()
        for engine in self._engines:
            for arrival in engine.arrivals:
                entry = entry_of.get(arrival.request_id)
                if (
                    since < arrival.at < part.end
                    and part.name in prompt_parts(arrival.headers)
                    and entry is not None
                    and not was_disrupted(entry, arrival.at, arrival.at)
                ):
                    times[arrival.request_id, arrival.headers.get("x-stage", "")] += 1
        # A prefill and the decode that follows it are the same try.
        most: Counter[str] = Counter()
        for (request_id, _), count in times.items():
            most[request_id] = max(most[request_id], count)
        return most.total()


def _is_new_stream(record: RequestRecord) -> bool:
    is_stream = any(kind.is_stream and kind.path == record.path for kind in REQUEST_KINDS)
    return is_stream and not record.resumes and record.status != 401


def _is_within(at: float, times: Iterable[float], span_s: float) -> bool:
    """Whether one of ``times`` was up to ``span_s`` before ``at``."""
    return any(0 <= at - time <= span_s for time in times)


def _share_begun(records: Sequence[RequestRecord]) -> float:
    return sum(bool(record.versions) for record in records) / max(1, len(records))


def _now() -> float:
    return asyncio.get_running_loop().time()
