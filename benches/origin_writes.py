"""Writes a second, bytes and delay of the first event while stream origins are in the store.

Simulates the batches of one entry without a network; a fleet makes that many times its calls.
"""

import argparse
import random
from typing import Any

import orjson

from vanillashore_adapter._origin_keys import encode_origin, origin_key
from vanillashore_gateway._origin_batches import OriginBatches, UnwrittenOrigin
from vanillashore_gateway._origin_store import MAX_FIRST_EVENT_DELAY_S
from vanillashore_gateway._stream_origins import StreamOrigin

CALL_S = 0.004  # Of the store.
PREFILL_S = 0.096  # A prompt of 3,200 tokens at 33.3 tokens/ms.
STREAMS_PER_S = 29.0  # Of the whole fleet, as in workload A.
KEPT_S = 17.0
ORIGIN = StreamOrigin("llm", "v1.2.3")


def simulate(entries: int, per_s: float, seconds: float, rng: random.Random) -> dict[str, Any]:
    """Return the figures of a fleet that begins ``per_s`` streams a second."""
    batches, delays = OriginBatches(), []
    calls = origins = 0
    now, begins_at = 0.0, rng.expovariate(per_s / entries)
    while begins_at < seconds:
        next_at = batches.next_at(now)
        if next_at is None or begins_at <= next_at:
            # A stream that begins while a write is in flight waits in the batches.
            begun = begins_at
            name = f"{rng.getrandbits(128):032x}"
            batches.add(UnwrittenOrigin(name, ORIGIN, begun + KEPT_S))
            now = max(now, begun)
            begins_at = begun + rng.expovariate(per_s / entries)
            continue
        now = max(now, next_at)
        made = 1
        if batches.lease(now) is None:
            batches.set_lease(1, now)
            made = 2
        if batch := batches.take(now):
            calls += made
            origins += len(batch)
            now += made * CALL_S
            delays += [now - (item.until - KEPT_S) for item in batch]
            batches.record_written(batch, now, entries, made)
    waits = sorted(max(0.0, delay - PREFILL_S) for delay in delays)
    late = sum(wait > MAX_FIRST_EVENT_DELAY_S for wait in waits)
    waits = [min(wait, MAX_FIRST_EVENT_DELAY_S) for wait in waits]
    row = {"key": origin_key("0" * 32), "value": encode_origin(ORIGIN), "lease": 1_000_000}
    return {
        "entries": entries,
        "streams_per_s": per_s,
        "writes_per_s": round(calls * entries / seconds, 1),
        "origins_per_write": round(origins / max(1, calls), 2),
        "bytes_per_origin": len(orjson.dumps(row)),
        "share_delayed": round(sum(wait > 0 for wait in waits) / len(waits), 3),
        "mean_delay_ms": round(1_000 * sum(waits) / len(waits), 1),
        "p99_delay_ms": round(1_000 * waits[int(len(waits) * 0.99)], 1),
        "share_written_after_the_first_event": round(late / len(waits), 3),
    }


def main() -> None:
    """Print the figures for fleets of three sizes; the last line is one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    args = parser.parse_args()
    rng = random.Random(args.seed)
    seconds = 200.0 if args.quick else 2_000.0
    rows = [
        simulate(entries, per_s, seconds, rng)
        for entries in (3, 68, 370)
        for per_s in (STREAMS_PER_S, 2.5 * STREAMS_PER_S)
    ]
    for row in rows:
        print(row)
    print(orjson.dumps({"seed": args.seed, "rows": rows}).decode())


if __name__ == "__main__":
    main()
