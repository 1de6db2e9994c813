"""A settings reload keeps replicas in use that have left, for longer than ``drain_ms``."""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import stage  # noqa: E402  (needs sys.path from above)

# Two of twelve replicas leave at once: `scale_in` with share 0.167, the largest in the site's days.
REPLICAS, ENTRIES, ROUNDS = 12, 3, 6
RELOADED = 2  # Of three entries: `hup` with share 0.67; the largest in the days is 0.694.
REQUESTS_PER_S = 90.0
DRAIN_S = 2.0  # bounds.drain_ms
BETWEEN_S = 0.25  # Between the two replicas that leave, and until the reload.
SERVES_ON_S = 6.0  # "a little longer (at times many seconds)"
ROUND_S = 12.0
WORK_S = 0.06


async def case(fleet):
    """Let replicas leave as the settings are reloaded; look at what reaches them later."""
    record, rng = fleet.record, random.Random(1)

    async def add(count):
        for i in range(count):
            zone = f"zone-{'abc'[i % 3]}"
            await fleet.add_replica(stage.APP, zone, slots=6, work_s=WORK_S)

    await add(REPLICAS)
    await fleet.start_entries(ENTRIES)
    await asyncio.sleep(3.0)  # contact_ms: all machines are in touch.
    acknowledged = {}

    async def send(number):
        request_id = f"{number:016x}"
        entry = rng.choice(fleet.entries)
        method, path = ("GET", stage.SAFE_PATH) if number % 2 else ("POST", stage.UNSAFE_PATH)
        answer = await stage.ask(entry.front, method, path + "2f", request_id, 1_500)
        record.write(f"{request_id} by {entry.name} answered {answer.status}")

    async def traffic():
        number = 0
        while True:
            number += 1
            sends.add(task := asyncio.ensure_future(send(number)))
            task.add_done_callback(sends.discard)
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))

    sends = set()
    load = asyncio.ensure_future(traffic())
    left = []
    for _ in range(ROUNDS):
        # Replicas that never report `draining`: the entry is removed, and they serve on.
        for replica in rng.sample([r for r in fleet.replicas if r not in left], 2):
            left.append(replica)
            acknowledged[replica] = fleet.unlist_replica(replica)
            record.write(f"{replica.instance} has left; the store has acknowledged it")
            asyncio.get_running_loop().call_later(SERVES_ON_S, replica.stop)
            await asyncio.sleep(BETWEEN_S)
        if stage.TROUBLE:
            for entry in fleet.entries[:RELOADED]:
                entry.write_settings(**{"limits.max_fds": "4200"})
                entry.signal(signal.SIGHUP)
        await asyncio.sleep(ROUND_S / 2)
        await add(2)
        await asyncio.sleep(ROUND_S / 2)
    load.cancel()
    await asyncio.sleep(1.0)
    late = 0
    for replica, at in acknowledged.items():
        for arrival in replica.arrivals:
            if arrival.at > at + DRAIN_S:
                late += 1
                text = f"{arrival.at - at:.3f} s after its leaving was acknowledged"
                record.write(f"{arrival.request_id} reached {replica.instance} {text}")
    record.write(f"{late} requests reached replicas later than drain_ms after they had left")
    return stage.BROKEN if late else stage.HELD


stage.play(__file__, case)
