"""Endpoints of the soak that say they are leaving or want a pause, and what still reaches them."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence

import attrs

from vanillashore_standins.platform_endpoint import Arrival, EndpointStandIn
from vanillashore_standins.soak._callers import Address, RequestRecord, WasDisrupted

LEAVING_LIMIT_S = 2.0  # The platform's time limit for a leaving endpoint in small deployments.
PAUSE_SLACK_S = 0.5  # A pause binds an entry this long after it has been turned away.
MAX_IN_PAUSE = 2  # Requests of one entry in a pause that the platform tolerates.
ALL_SHARE = 0.2  # Of the faults that affect all endpoints of a kind at once.
PAUSES = ("0", "0.7", "1.5", "3", "6", "-2", "soon")


@attrs.define
class _Sent:
    """A request that reached an endpoint, and what became of it at its caller."""

    arrival: Arrival
    record: RequestRecord


class StatementFaults:
    """Lets endpoints leave or turn requests away, one at a time or all of a kind.

    A leaving endpoint says so in its answers; the list says it later or not at all. Then it starts
    again, which ``restart`` does. ``note`` is called before and after an endpoint is out of use.
    """

    def __init__(
        self,
        groups: Sequence[Sequence[EndpointStandIn]],
        restart: Callable[[EndpointStandIn], None],
        publish: Callable[[EndpointStandIn, str], None],
        note: Callable[[EndpointStandIn, bool], None],
        rng: random.Random,
    ) -> None:
        self._groups = groups
        self._restart = restart
        self._publish = publish
        self._note = note
        self._rng = rng
        self._unusable: list[tuple[str, float, float]] = []
        self.count = 0

    async def run(self) -> None:
        """Make statements until cancelled."""
        await asyncio.gather(*(self._run_group(group) for group in self._groups))

    async def _run_group(self, group: Sequence[EndpointStandIn]) -> None:
        while True:
            await asyncio.sleep(self._rng.random() * 3.0)
            chosen = group if self._rng.random() < ALL_SHARE else [self._rng.choice(group)]
            work = self._leave if self._rng.random() < 0.5 else self._turn_away
            self.count += len(chosen)
            began = _now()
            for endpoint in chosen:
                self._note(endpoint, False)
            try:
                await work(chosen)
            finally:
                for endpoint in chosen:
                    self._note(endpoint, True)
                    self._unusable.append((endpoint.instance, began, _now()))

    async def _leave(self, endpoints: Sequence[EndpointStandIn]) -> None:
        try:
            for endpoint in endpoints:
                endpoint.says_leaving = True
            await asyncio.sleep(self._rng.random() * LEAVING_LIMIT_S)
            if self._rng.random() < 0.5:
                for endpoint in endpoints:
                    self._publish(endpoint, "draining")
            await asyncio.sleep(LEAVING_LIMIT_S + self._rng.random() * 3.0)
        finally:
            for endpoint in endpoints:
                self._restart(endpoint)

    async def _turn_away(self, endpoints: Sequence[EndpointStandIn]) -> None:
        pause, grants_holds = self._rng.choice(PAUSES), self._rng.random() < 0.5
        try:
            for _ in range(self._rng.randrange(1, 4)):
                for endpoint in endpoints:
                    endpoint.retry_after = pause
                    endpoint.grants_holds = grants_holds
                await asyncio.sleep(0.1 + self._rng.random() * 0.4)
                for endpoint in endpoints:
                    endpoint.retry_after = None
                await asyncio.sleep(self._rng.random())
            await asyncio.sleep(_seconds(pause))
        finally:
            for endpoint in endpoints:
                endpoint.retry_after = None

    def were_unusable(self, endpoints: Iterable[EndpointStandIn], at: float) -> bool:
        """Whether all of some endpoints left or paused at a time."""
        unusable = {name for name, began, ended in self._unusable if began <= at < ended}
        return all(endpoint.instance in unusable for endpoint in endpoints)

    def violations(
        self, records: Iterable[RequestRecord], was_interrupted: WasDisrupted
    ) -> list[str]:
        """Return a line for each request that reached an endpoint against its word.

        ``was_interrupted`` tells whether an entry was restarted or frozen between two times.
        """
        by_id = {record.request_id: record for record in records}
        lines = []
        for group in self._groups:
            for endpoint in group:
                sent = [
                    _Sent(arrival, by_id[arrival.request_id])
                    for arrival in endpoint.arrivals
                    if arrival.request_id in by_id
                ]
                lines += _late_requests(endpoint, sent, was_interrupted)
                lines += _exceeded_pauses(endpoint, sent, was_interrupted)
        return lines


def _late_requests(
    endpoint: EndpointStandIn, sent: Sequence[_Sent], was_interrupted: WasDisrupted
) -> Iterator[str]:
    """Yield the requests that an entry sent although it had passed on that the endpoint leaves."""
    told: dict[tuple[Address, int], list[float]] = defaultdict(list)
    for one in sent:
        if one.record.leaving_by == endpoint.instance:
            told[one.record.entry, one.arrival.started_ms].append(one.record.ended_at)
    for one in sent:
        entry, at = one.record.entry, one.arrival.at
        for told_at in told[entry, one.arrival.started_ms]:
            is_late = one.record.sent_at > told_at + LEAVING_LIMIT_S
            if is_late and not was_interrupted(entry, told_at, at):
                yield f"{one.record.request_id}: reached {endpoint.instance}, which was leaving"
                break


def _exceeded_pauses(
    endpoint: EndpointStandIn, sent: Sequence[_Sent], was_interrupted: WasDisrupted
) -> Iterator[str]:
    """Yield the pauses in which an entry sent more requests than the platform tolerates."""
    for turned_away in sent:
        pause_s = _seconds(turned_away.arrival.retry_after or "")
        entry, start = turned_away.record.entry, turned_away.arrival.started_ms
        begin, end = turned_away.arrival.at + PAUSE_SLACK_S, turned_away.arrival.at + pause_s
        in_pause = [
            one.arrival.at
            for one in sent
            if one.record.entry == entry
            and one.arrival.started_ms == start
            and begin < one.arrival.at < end
            and not was_interrupted(entry, turned_away.arrival.at, one.arrival.at)
        ]
        if len(in_pause) > MAX_IN_PAUSE:
            yield (
                f"{turned_away.record.request_id}: {endpoint.instance} wanted nothing for "
                f"{pause_s:g} s and got {len(in_pause)} requests"
            )


def _seconds(pause: str) -> float:
    try:
        return max(0.0, float(pause))
    except ValueError:
        return 0.0


def _now() -> float:
    return asyncio.get_running_loop().time()
