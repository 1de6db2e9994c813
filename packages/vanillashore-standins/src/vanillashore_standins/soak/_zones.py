"""Evacuations of data centres and cold endpoints in the soak, and what still reaches them."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence

import attrs

from vanillashore_standins.limit_check import COLD_WINDOW_S, allowed_cold_requests, most_requests
from vanillashore_standins.platform_endpoint import EndpointStandIn
from vanillashore_standins.soak._callers import RequestRecord, WasDisrupted

EVACUATION_S = 5.0  # An evacuation has to be in force by then.
CONTACT_S = 3.0  # A cold rate has to be in force by then.
DATA_CENTRES = ("dc-a", "dc-b")
COLD_PER_S = 4.0


@attrs.define
class _Closed:
    """An endpoint that was evacuated, or cold, from ``start`` to ``end``."""

    endpoint: EndpointStandIn
    is_evacuated: bool
    start: float
    end: float = float("inf")


class ZoneFaults:
    """Evacuates one data centre at a time, and lets endpoints turn cold.

    ``put`` and ``remove`` change a key of the store, ``publish`` writes an endpoint's record, and
    ``note`` is called before and after an endpoint is out of use.
    """

    def __init__(
        self,
        endpoints: Sequence[EndpointStandIn],
        put: Callable[[str, object], object],
        remove: Callable[[str], None],
        publish: Callable[[EndpointStandIn], None],
        note: Callable[[EndpointStandIn, bool], None],
        rng: random.Random,
    ) -> None:
        self._endpoints = endpoints
        self._put = put
        self._remove = remove
        self._publish = publish
        self._note = note
        self._rng = rng
        self._closed: list[_Closed] = []
        self._evacuated = ""

    @property
    def count(self) -> int:
        """How many endpoints were evacuated or cold."""
        return len(self._closed)

    async def run(self) -> None:
        """Evacuate data centres and chill endpoints until cancelled."""
        for number, endpoint in enumerate(self._endpoints):
            endpoint.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            self._publish(endpoint)
        await asyncio.gather(self._evacuate(), self._chill())

    def write_again(self) -> None:
        """Bring the keys of the store to their newest state."""
        for name in DATA_CENTRES:
            if name == self._evacuated:
                self._put(f"op/evacuate/{name}", b"")
            else:
                self._remove(f"op/evacuate/{name}")

    async def _evacuate(self) -> None:
        while True:
            await asyncio.sleep(1.0 + self._rng.random() * 2.0)
            name = self._rng.choice(DATA_CENTRES)
            chosen = [e for e in self._endpoints if e.data_centre == name]
            for endpoint in chosen:
                self._note(endpoint, False)
            self._evacuated = name
            self.write_again()
            closed = [_Closed(endpoint, True, _now()) for endpoint in chosen]
            self._closed += closed
            try:
                await asyncio.sleep(EVACUATION_S + 1.0 + self._rng.random() * 2.0)
            finally:
                for one in closed:
                    one.end = _now()
                self._evacuated = ""
                self.write_again()
                for endpoint in chosen:
                    self._note(endpoint, True)

    async def _chill(self) -> None:
        while True:
            await asyncio.sleep(self._rng.random() * 2.0)
            chosen = self._rng.sample(self._endpoints, 2)
            cold_s = CONTACT_S + 2.0 + self._rng.random() * 3.0
            closed = [_Closed(endpoint, False, _now()) for endpoint in chosen]
            self._closed += closed
            try:
                for endpoint in chosen:
                    endpoint.cold_ms = int(cold_s * 1_000)
                    self._publish(endpoint)
                await asyncio.sleep(cold_s)
            finally:
                for one in closed:
                    one.end = _now()
                for endpoint in chosen:
                    endpoint.cold_ms = 0
                    self._publish(endpoint)

    def violations(
        self,
        records: Iterable[RequestRecord],
        was_disrupted: WasDisrupted,
        was_store_sound: Callable[[float, float], bool],
        may_have_lost: Callable[[float], bool],
    ) -> list[str]:
        """Return a line for each rule that entries with contact with the store have broken."""
        sender_of = {record.request_id: record.entry for record in records}
        lines = []
        for one in self._closed:
            if may_have_lost(one.start):
                continue
            settled_at = one.start + (EVACUATION_S if one.is_evacuated else CONTACT_S)
            arrivals = [
                arrival
                for arrival in one.endpoint.arrivals
                if settled_at <= arrival.at < one.end
                and arrival.request_id in sender_of
                and was_store_sound(one.start, arrival.at)
                and not was_disrupted(sender_of[arrival.request_id], one.start, arrival.at)
            ]
            name = one.endpoint.instance
            if one.is_evacuated:
                lines += [f"{a.request_id}: reached {name}, which was evacuated" for a in arrivals]
                continue
            most = most_requests([arrival.at for arrival in arrivals], COLD_WINDOW_S)
            if most > allowed_cold_requests(COLD_PER_S):
                lines.append(f"{name}: accepts {COLD_PER_S:g}/s and got {most} requests in 1 s")
        return lines


def _now() -> float:
    return asyncio.get_running_loop().time()
