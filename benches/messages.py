"""Measure the link traffic between an entry and sidecars that placement adds per request.

Run ``python benches/messages.py --seed 1 [--quick]``. Requests arrive at the target rate of one
entry. The traffic of the sidecars is counted, and their idle traffic is subtracted. Bodies of
requests and answers do not travel on links and are not counted.
"""

import argparse
import asyncio
import random
import sys
from typing import Any

import attrs
import orjson
import uvloop
from loguru import logger as log

from vanillashore_standins import EngineOptions
from vanillashore_standins.testing import MODEL, FleetPlan, SmallFleet

REQUESTS_PER_S = 14.0
ANSWER_TOKENS = 64
PROMPT = "A three-tier cake with sugar flowers for two hundred guests. " * 20
IP_TCP_HEADER_BYTES = 52
WEBSOCKET_HEADER_BYTES = 8
CONTROL_LIMIT_BYTES_PER_S = 9_000
RUN_S = 40.0
QUICK_RUN_S = 10.0


@attrs.frozen
class Traffic:
    """Traffic on the links of all sidecars."""

    payload_bytes: int
    frames: int
    messages: int

    def wire_bytes(self) -> int:
        """Return the bytes, including the headers of each frame."""
        return self.payload_bytes + self.frames * (IP_TCP_HEADER_BYTES + WEBSOCKET_HEADER_BYTES)

    def since(self, earlier: "Traffic") -> "Traffic":
        """Return the traffic since ``earlier``."""
        return Traffic(
            self.payload_bytes - earlier.payload_bytes,
            self.frames - earlier.frames,
            self.messages - earlier.messages,
        )


async def measure(seconds: float, rng: random.Random) -> dict[str, Any]:
    """Measure ``seconds`` without and ``seconds`` with requests; return the cost of a request."""
    engine = EngineOptions(step_s=0.005, prefill_s_per_token=0.00001)
    async with SmallFleet(FleetPlan(prefills=2, decodes=4, engine=engine)) as fleet:
        await asyncio.sleep(2.0)
        idle = await _measure_traffic(fleet, seconds, None)
        count = int(seconds * REQUESTS_PER_S)
        gaps_s = [rng.expovariate(REQUESTS_PER_S) for _ in range(count)]
        busy = await _measure_traffic(fleet, seconds, gaps_s)
    per_request = (busy.wire_bytes() - idle.wire_bytes()) / count
    return {
        "scheme": "vanillashore",
        "case": "placement",
        "requests": count,
        "bytes_per_request": round(per_request, 1),
        "frames_per_request": round((busy.frames - idle.frames) / count, 2),
        "messages_per_request": round((busy.messages - idle.messages) / count, 2),
        "bytes_per_entry_per_s": round(per_request * REQUESTS_PER_S),
    }


async def _measure_traffic(
    fleet: SmallFleet, seconds: float, gaps_s: list[float] | None
) -> Traffic:
    before = _traffic(fleet)
    if gaps_s is None:
        await asyncio.sleep(seconds)
    else:
        await _send_all(fleet, gaps_s)
    return _traffic(fleet).since(before)


async def _send_all(fleet: SmallFleet, gaps_s: list[float]) -> None:
    requests = []
    for number, gap_s in enumerate(gaps_s):
        await asyncio.sleep(gap_s)
        requests.append(asyncio.create_task(_complete(fleet, number)))
    await asyncio.gather(*requests)


async def _complete(fleet: SmallFleet, number: int) -> None:
    body = {"model": MODEL, "prompt": f"{number} {PROMPT}", "max_tokens": ANSWER_TOKENS}
    async with fleet.post(0, "/v1/completions", body) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(f"request {number} got {response.status}")


def _traffic(fleet: SmallFleet) -> Traffic:
    """Count at the sidecars: all that they send and receive is traffic with the entry."""
    sidecars = [sidecar.core.hub.stats for sidecar in fleet.sidecars.values()]
    entry = fleet.entries[0].core.hub.stats
    return Traffic(
        sum(s.bytes_sent + s.bytes_received for s in sidecars),
        sum(s.frames_sent for s in sidecars) + entry.frames_sent,
        sum(s.messages_sent + s.messages_received for s in sidecars),
    )


def main() -> int:
    """Run the bench and print a table and a line of JSON."""
    parser = argparse.ArgumentParser(prog="messages.py")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    args = parser.parse_args()
    log.remove()
    seconds = QUICK_RUN_S if args.quick else RUN_S
    result = uvloop.run(measure(seconds, random.Random(args.seed)))
    for name, value in result.items():
        print(f"{name:<24} {value}")
    scale = {
        "requests_per_entry_per_s": REQUESTS_PER_S,
        "control_limit_bytes_per_s": CONTROL_LIMIT_BYTES_PER_S,
    }
    print(orjson.dumps({"bench": "messages", "results": [result], "scale": scale}).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
