"""Endpoints of the soak that write earlier answers once more on kept connections."""

import asyncio
import random
from collections.abc import Sequence

from vanillashore_standins.platform_endpoint import EndpointStandIn, Fault

COPY_SHARE = 0.5  # Of the answers of a faulty endpoint.
MAX_COPIED_BYTES = 65_536
REJECTIONS = 12  # At most, of the next requests to each endpoint.


class CopyFaults:
    """Lets all endpoints of a kind copy some of their answers, those to calls included.

    They reject some requests at the same time: only a request that all endpoints have rejected is
    sent to one of them again.
    """

    def __init__(self, kinds: Sequence[Sequence[EndpointStandIn]], rng: random.Random) -> None:
        self._kinds = kinds
        self._rng = rng

    @property
    def count(self) -> int:
        """How many copies were sent."""
        return sum(endpoint.late_copies for kind in self._kinds for endpoint in kind)

    async def run(self) -> None:
        """Inject the fault until cancelled."""
        while True:
            endpoints = self._rng.choice(self._kinds)
            for endpoint in endpoints:
                endpoint.copies_late = self._copies
                count = self._rng.randrange(REJECTIONS)
                endpoint.faults.extend(self._rng.choices([Fault.SHED, Fault.NONE], k=count))
            try:
                await asyncio.sleep(0.3 + self._rng.random())
            finally:
                for endpoint in endpoints:
                    endpoint.copies_late = None
            await asyncio.sleep(self._rng.random())

    def _copies(self, target: str, answer: bytes) -> bool:
        return len(answer) <= MAX_COPIED_BYTES and self._rng.random() < COPY_SHARE
