"""Endpoints of the soak that name request limits, and the check of what reaches them."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Iterable, Sequence

import attrs

from vanillashore_standins.limit_check import allowed_requests, most_requests
from vanillashore_standins.platform_endpoint import EndpointStandIn
from vanillashore_standins.soak._callers import Address, RequestRecord, WasDisrupted

CONTACT_S = 3.0  # The limit holds this long after an endpoint has first named it.
TOLD_S = 0.5  # It binds an entry this long after an answer has told the entry.
LIMITS_PER_S = (0.5, 2.0, 5.0)


@attrs.define
class _NamedLimit:
    """A limit that an endpoint named from ``start`` to ``end``."""

    endpoint: EndpointStandIn
    limit_per_s: float
    start: float
    end: float = float("inf")


class LimitFaults:
    """Lets single endpoints, or all of a kind, name limits for some seconds."""

    def __init__(self, groups: Sequence[Sequence[EndpointStandIn]], rng: random.Random) -> None:
        self._groups = groups
        self._rng = rng
        self._limits: list[_NamedLimit] = []

    @property
    def count(self) -> int:
        """How many limits were named."""
        return len(self._limits)

    async def run(self) -> None:
        """Name limits until cancelled."""
        while True:
            await asyncio.sleep(self._rng.random() * 3.0)
            group = self._rng.choice(self._groups)
            named = group if self._rng.random() < 0.3 else [self._rng.choice(group)]
            limit_per_s = self._rng.choice(LIMITS_PER_S)
            try:
                for endpoint in named:
                    endpoint.limit_per_s = limit_per_s
                    self._limits.append(_NamedLimit(endpoint, limit_per_s, _now()))
                await asyncio.sleep(CONTACT_S + 3.0 + self._rng.random() * 3.0)
            finally:
                for endpoint in named:
                    endpoint.limit_per_s = None
                for limit in self._limits[-len(named) :]:
                    limit.end = _now()

    def were_named(self, endpoints: Iterable[EndpointStandIn], at: float) -> bool:
        """Whether all of some endpoints named limits at a time."""
        named = {limit.endpoint.instance for limit in self._limits if limit.start <= at < limit.end}
        return all(endpoint.instance in named for endpoint in endpoints)

    def violations(
        self, records: Iterable[RequestRecord], was_disrupted: WasDisrupted
    ) -> list[str]:
        """Return a line for each limit that was exceeded by entries that had been told of it."""
        sender_of: dict[str, Address] = {}
        told: dict[str, list[RequestRecord]] = defaultdict(list)
        for record in records:
            sender_of[record.request_id] = record.entry
            if record.limited_by:
                told[record.limited_by].append(record)
        lines = []
        for limit in self._limits:
            counted = [
                arrival.at
                for arrival in limit.endpoint.arrivals
                if limit.start + CONTACT_S <= arrival.at < limit.end
                and arrival.limit_per_s is not None
                and _was_told(
                    sender_of.get(arrival.request_id),
                    arrival.at,
                    limit.start,
                    told[limit.endpoint.instance],
                    was_disrupted,
                )
            ]
            most = most_requests(counted)
            if most > allowed_requests(limit.limit_per_s):
                lines.append(
                    f"{limit.endpoint.instance}: named {limit.limit_per_s:g}/s and got {most} "
                    "requests in 4 s"
                )
        return lines


def _was_told(
    entry: Address | None,
    at: float,
    since: float,
    told: Sequence[RequestRecord],
    was_disrupted: WasDisrupted,
) -> bool:
    """Whether an answer had told an entry of a limit, without a disruption of it since."""
    return entry is not None and any(
        record.entry == entry
        and record.sent_at >= since
        and record.ended_at <= at - TOLD_S
        and not was_disrupted(entry, record.sent_at, at)
        for record in told
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
