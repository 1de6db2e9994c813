"""A client offers an upgrade with its payments, and they run without their bodies."""

import asyncio
import os
import sys
import tempfile
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from reviewkit.client import Client  # noqa: E402
from reviewkit.fleet import Entry, run_case  # noqa: E402
from reviewkit.plain import PlainReplica  # noqa: E402
from reviewkit.record import Record  # noqa: E402
from reviewkit.store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE, HOST, KEY = "order-desk", "shop.example", "k3y0001"
PAYMENTS, EVERY_S = 40, 0.05
DEADLINE_MS, TARGET_MS = 600, 125
UPGRADE = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA",
}


def configuration() -> dict[str, object]:
    """Return the operator's configuration."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "order-payment",
                "host": HOST,
                "path_prefix": "/pay/",
                "service": SERVICE,
                "kind": "non_idempotent",
                "timeout_ms": DEADLINE_MS,
                "target_latency_ms": TARGET_MS,
                "max_attempts": 1,
            }
        ],
        "services": [{"name": SERVICE, "health_path": "/healthz", "max_connections": 96}],
        "tenants": [{"name": "tenant-1", "api_keys": [KEY]}],
        "limits": {"idle_timeout_ms": 15000, "header_timeout_ms": 2000},
    }


async def main() -> int:
    """Play the case."""
    record = Record(FOLDER)
    store = Store()
    await store.start("127.0.0.1")
    store.put("op/config", configuration())
    replicas = [PlainReplica(f"i-{n}", SERVICE, record, 6, 24, (0.01, 0.03)) for n in (1, 2, 3)]
    for replica in replicas:
        await replica.start("127.0.0.1")
        store.put(f"servers/{replica.instance}", replica.entry())
    sent: dict[str, bytes] = {}
    statuses: Counter[int] = Counter()
    with tempfile.TemporaryDirectory() as name:
        entry = Entry(1, store.address, Path(name))
        try:
            entry.start()
            await entry.wait_ready()
            for number in range(PAYMENTS):
                request_id = f"pay{number:05d}"
                sent[request_id] = f"member {number} pays {100 + number}\n".encode() * 20
                headers = {"X-Deadline-Ms": str(DEADLINE_MS), "Authorization": f"Bearer {KEY}"}
                headers |= UPGRADE if TROUBLE else {}
                record.add(f"client: {request_id} is sent, {len(sent[request_id])} bytes of body")
                client = Client(entry.front, HOST, record)
                _, answer = await client.send(
                    "POST", "/pay/order", headers, sent[request_id], request_id=request_id
                )
                client.close()
                status = answer.status if answer is not None else 0
                statuses[status] += 1
                record.add(f"client: {request_id} is answered {status}")
                await asyncio.sleep(EVERY_S)
        finally:
            entry.end()
    runs = [run for replica in replicas for run in replica.runs]
    changed = sorted(
        request_id
        for replica in replicas
        for request_id, body in replica.bodies.items()
        if body != sent[request_id]
    )
    record.add(f"answers: {dict(statuses)}; runs: {len(runs)}")
    record.add(f"UNASKED: {len(changed)} requests ran with another body: {changed}")
    record.save()
    print(f"UNASKED {len(changed)} of {len(runs)} runs")
    if not statuses.total():
        return 2
    return 1 if changed else 0


if __name__ == "__main__":
    run_case(main())
