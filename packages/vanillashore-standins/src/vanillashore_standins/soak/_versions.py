"""Engines of the soak that change their software version, and the checks of resumed streams."""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence

import attrs

from vanillashore_standins.platform_endpoint import EndpointStandIn
from vanillashore_standins.soak._callers import RESUMABLE_PATH, RequestRecord, WasDisrupted

VERSIONS = ("v1", "v1.1", "v2")
MAX_MIXED = 2  # Streams with events of two versions that the platform tolerates.
MIN_RESUMED = 12  # Fewer streams that are taken up again show nothing.
DECODE_PREFIX = "d"


@attrs.frozen
class _Serving:
    """From ``at`` on, an engine serves with a version; an empty one means that it is leaving."""

    at: float
    instance: str
    version: str


class VersionFaults:
    """Replaces the engines' software, one after the other, in place or while they drain.

    ``publish`` writes an engine's entry to the list of endpoints.
    """

    def __init__(
        self,
        engines: Sequence[EndpointStandIn],
        publish: Callable[[EndpointStandIn, str], None],
        rng: random.Random,
    ) -> None:
        self._engines = engines
        self._publish = publish
        self._rng = rng
        self._history: list[_Serving] = []
        self.mixed_streams: list[str] = []

    @property
    def count(self) -> int:
        """How often an engine has changed its version or left."""
        return len(self._history)

    async def run(self) -> None:
        """Change versions until cancelled."""
        self._record_all()
        while True:
            await asyncio.sleep(self._rng.random() * 2.0)
            engine = self._rng.choice(self._engines)
            version = self._rng.choice(VERSIONS)
            try:
                if self._rng.random() < 0.5:
                    await self._drain(engine)
            finally:
                engine.restart(version)
                self.note(engine, True)
                self._publish(engine, "ready")

    async def _drain(self, engine: EndpointStandIn) -> None:
        self.note(engine, False)
        self._publish(engine, "draining")
        await asyncio.sleep(2.0 + self._rng.random())

    def _record_all(self) -> None:
        for engine in self._engines:
            self.note(engine, True)

    def note(self, engine: EndpointStandIn, serves: bool) -> None:
        """Record whether an engine serves from now on, with its version."""
        at = asyncio.get_running_loop().time()
        version = engine.version if serves else ""
        self._history.append(_Serving(at, engine.instance, version))

    def violations(
        self, records: Iterable[RequestRecord], was_disrupted: WasDisrupted
    ) -> list[str]:
        """Return what the platform does not tolerate of streams that go on."""
        streams: dict[str, list[RequestRecord]] = defaultdict(list)
        for record in records:
            if record.path == RESUMABLE_PATH and record.status != 401:
                streams[record.resumes or record.request_id].append(record)
        mixed = [name for name, tries in streams.items() if len(_versions(tries)) > 1]
        self.mixed_streams = mixed
        lines = []
        if len(mixed) > MAX_MIXED:
            lines.append(f"{len(mixed)} streams have events of two versions: {mixed[:3]}")
        counts: Counter[tuple[str, bool]] = Counter()
        for name, tries in streams.items():
            version = next(iter(_versions(t for t in tries if t.request_id == name)), "")
            for record in tries:
                if was_disrupted(record.entry, record.sent_at, record.ended_at):
                    continue
                if not record.resumes:
                    counts["new", bool(record.versions)] += 1
                elif self._serving(version, record.sent_at, record.ended_at) >= 2:
                    counts["resumed", bool(record.versions)] += 1
        if _total(counts, "resumed") >= MIN_RESUMED:
            new, resumed = _share(counts, "new"), _share(counts, "resumed")
            if resumed < new / 2:
                lines.append(
                    f"of {_total(counts, 'resumed')} streams that were taken up again "
                    f"{resumed:.2f} went on, and {new:.2f} of the new ones began"
                )
        return lines

    def _serving(self, version: str, since: float, until: float) -> int:
        """Return how many decode engines served with a version all the time."""
        state: dict[str, str] = {}
        steady: set[str] | None = None
        for change in self._history:
            if change.at > since and steady is None:
                steady = {name for name, found in state.items() if found == version}
            if change.at > until:
                break
            if steady is not None and change.version != version:
                steady.discard(change.instance)
            state[change.instance] = change.version
        if steady is None:
            steady = {name for name, found in state.items() if found == version}
        return sum(name.startswith(DECODE_PREFIX) for name in steady)


def _versions(tries: Iterable[RequestRecord]) -> set[str]:
    return {version for record in tries for version in record.versions}


def _total(counts: Counter[tuple[str, bool]], kind: str) -> int:
    return counts[kind, True] + counts[kind, False]


def _share(counts: Counter[tuple[str, bool]], kind: str) -> float:
    return counts[kind, True] / max(1, _total(counts, kind))
