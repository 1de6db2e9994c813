"""Entries of the soak that stop, one or several at a time, and the check of what they cut."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

import attrs

from vanillashore_standins.platform_endpoint import EndpointStandIn
from vanillashore_standins.soak._callers import (
    NOT_RUN_STATUSES,
    REQUEST_KINDS,
    Address,
    CallerOptions,
    Ending,
    RequestRecord,
    SoakCaller,
    WasDisrupted,
)
from vanillashore_standins.soak._entries import GRACE_S, EntryPool, EntryProcess

ROTATION_S = 3.0  # After SIGTERM, the time until the load balancer has taken an entry out.
LAST_SIXTH_S = GRACE_S * 5 / 6
LOSS_SLACK_S = 0.2  # A request may cross the close of its connection.
LIMIT_SLACK_S = 0.1  # An entry gives up this long before the limit that its caller sees.
TOTAL_SHARE = 0.7  # Of series that stop all entries.
SERIES_S = GRACE_S + 2.0
IN_ROTATION_S = 2.0  # How long the soak's load balancer uses an entry after SIGTERM.
STREAM_CALLERS = 12
STREAM_OPTIONS = CallerOptions(
    deadline_ms=5_000,
    pause_s=0.2,
    is_patient=True,
    kinds=tuple(kind for kind in REQUEST_KINDS if kind.is_stream),
)


@attrs.define
class _Stop:
    """An entry got SIGTERM at ``start``, and its successor listened at ``end``."""

    entry: Address
    start: float
    end: float = float("inf")


class StopFaults:
    """Stops entries in series, also all of them, while the engines get slower.

    ``new_caller`` makes callers of long streams; these use the connections that they have until
    the entry ends them, and for new ones an entry in rotation, if there is any.
    """

    def __init__(
        self,
        pool: EntryPool,
        engines: Sequence[EndpointStandIn],
        rng: random.Random,
        new_caller: Callable[[str, Callable[[], list[Address]], CallerOptions], SoakCaller],
    ) -> None:
        self._pool = pool
        self._engines = engines
        self._rng = rng
        self._stops: list[_Stop] = []
        self.exits: list[str] = []
        self.callers = [
            new_caller(f"k{i}", self._addresses, STREAM_OPTIONS) for i in range(STREAM_CALLERS)
        ]

    @property
    def count(self) -> int:
        """How many entries were stopped."""
        return len(self._stops)

    async def run(self, until: float) -> None:
        """Stop entries; a series that has begun is played to its end."""
        callers = [asyncio.ensure_future(caller.run()) for caller in self.callers]
        try:
            while True:
                await asyncio.sleep(1.5 + self._rng.random() * 2.0)
                if _now() > until - SERIES_S:
                    break
                await self._stop_series(until)
            await asyncio.sleep(max(0.0, until - _now()))
        finally:
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)

    async def _stop_series(self, until: float) -> None:
        is_total = self._rng.random() < TOTAL_SHARE
        interval_s = 0.3 + self._rng.random() * 0.7
        factor, delay_s = 3 + self._rng.random() * 7, self._rng.random() * ROTATION_S
        entries = await self._take(is_total, until - SERIES_S)
        slow = asyncio.ensure_future(self._slow_down(factor, delay_s))
        await asyncio.gather(
            *(self._stop_later(entry, n * interval_s) for n, entry in enumerate(entries))
        )
        slow.cancel()
        await asyncio.gather(slow, return_exceptions=True)

    async def _take(self, is_total: bool, until: float) -> list[EntryProcess]:
        """Take the entries to stop, once no other fault affects any entry."""
        while len(self._pool.unaffected) < len(self._pool.entries) and _now() < until:
            await asyncio.sleep(0.02)
        return self._pool.take(with_first=is_total)

    async def _stop_later(self, entry: EntryProcess, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self.stop(entry)
        self._pool.give_back(entry)

    async def _slow_down(self, factor: float, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        before = [engine.engine.pause_s for engine in self._engines]
        try:
            for engine in self._engines:
                engine.engine.pause_s *= factor
            await asyncio.sleep(3_600)
        finally:
            for engine, pause_s in zip(self._engines, before, strict=True):
                engine.engine.pause_s = pause_s

    async def stop(self, entry: EntryProcess) -> None:
        """Stop an entry and start it again."""
        stop = _Stop(entry.address, _now())
        self._stops.append(stop)
        code = await entry.stop()
        stop.end = _now()
        if code:
            self.exits.append(f"{entry.name} ended with code {code} after SIGTERM")

    def was_stopped(self, entry: Address, since: float, until: float) -> bool:
        """Whether an entry was stopping at some time."""
        return any(s.entry == entry and s.start < until and s.end > since for s in self._stops)

    def outcomes(self) -> Counter[str]:
        """Count what became of the callers' requests to stopping entries."""
        records = [record for caller in self.callers for record in caller.records]
        return Counter(
            _outcome(record)
            for record in records
            if any(
                s.entry == record.entry and s.start <= record.sent_at < s.end for s in self._stops
            )
        )

    def _addresses(self) -> list[Address]:
        now = _now()
        out = {s.entry for s in self._stops if s.start + IN_ROTATION_S < now < s.end}
        everyone = [entry.address for entry in self._pool.entries]
        return [address for address in everyone if address not in out] or everyone

    def violations(
        self,
        records: Iterable[RequestRecord],
        was_disrupted: WasDisrupted,
        endpoints: Iterable[EndpointStandIn],
    ) -> list[str]:
        """Return a line for each request that a stopping entry cut without an excuse."""
        broken: set[str] = set()
        passed_on: set[str] = set()
        for endpoint in endpoints:
            broken |= endpoint.broken_requests
            passed_on |= {arrival.request_id for arrival in endpoint.arrivals}
        lines = list(self.exits)
        for record in records:
            stop = self._stop_around(record)
            if stop is None:
                continue
            if (
                record.ending is Ending.CUT
                and record.request_id not in broken
                and not _is_excused(record, stop, record.request_id in passed_on)
                and not was_disrupted(record.entry, record.sent_at, record.ended_at)
            ):
                lines.append(
                    f"{record.request_id}: sent {record.sent_at - stop.start:.2f} s after SIGTERM, "
                    f"cut {record.ended_at - stop.start:.2f} s after it"
                )
        return lines

    def _stop_around(self, record: RequestRecord) -> _Stop | None:
        for stop in self._stops:
            if stop.entry == record.entry and stop.start < record.ended_at <= stop.end:
                return stop
        return None


def _outcome(record: RequestRecord) -> str:
    if record.ending is not Ending.COMPLETE:
        return record.ending.value
    if record.status == 200:
        return "whole"
    return "refused" if record.status in NOT_RUN_STATUSES else "failed"


def _is_excused(record: RequestRecord, stop: _Stop, was_passed_on: bool) -> bool:
    lasted_s = record.ended_at - record.sent_at
    if lasted_s > record.limit_s - LIMIT_SLACK_S:
        return True
    if not was_passed_on:
        return lasted_s <= LOSS_SLACK_S
    is_early = record.sent_at <= stop.start + ROTATION_S
    return is_early and record.ended_at >= stop.start + LAST_SIXTH_S


def _now() -> float:
    return asyncio.get_running_loop().time()
