"""Shows that a failure after a run reaches the caller with a status that promises no run."""

import asyncio
import itertools
import os
import random
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lib3.entry import Entry, run_case  # noqa: E402
from lib3.http import Message, Outcome, call  # noqa: E402
from lib3.replica import PlainReplica, Run  # noqa: E402
from lib3.store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FAILING_SHARE = 0.4  # Of the requests of one replica of three.
PROMISES = (408, 421, 429, 503)
DEADLINE_S = 1.5
PAYMENTS = 240
PER_S = 20.0
HOST = "ficu95.example"
KEY = "3d3zji9n73hh2b9wu3fe"


def config() -> dict[str, object]:
    """Return a configuration with one route of requests that may run once at most."""
    route = {
        "name": "r-pay",
        "host": HOST,
        "path_prefix": "/pay/",
        "kind": "non_idempotent",
        "timeout_ms": 1_500,
        "target_latency_ms": 400,
        "priority": 2,
        "service": "wuno96b",
        "max_attempts": 1,
    }
    tenant = {"name": "huka270", "api_keys": [KEY], "unit": "token_stream", "plain_tokens": 200}
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "wuno96b", "health_path": "/healthz", "max_connections": 96}],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [tenant | {"rate_per_s": 470_000, "burst": 470_000}],
    }


@dataclass
class Attempt:
    """One attempt of a client to pay an order."""

    order: int
    request_id: str
    outcome: Outcome


class Clients:
    """Pay each order once, and come back once after an answer that promises no run."""

    def __init__(self, entries: list[Entry]) -> None:
        self.entries = entries
        self.attempts: list[Attempt] = []
        self._ids = itertools.count(1)

    async def pay(self, order: int) -> None:
        """Pay one order; a second attempt has its own id, and goes to another entry."""
        for attempt in range(2):
            request_id = f"{next(self._ids):016x}"
            headers = {
                "Host": HOST,
                "X-Request-Id": request_id,
                "X-Deadline-Ms": f"{int(DEADLINE_S * 1_000)}",
                "Authorization": f"Bearer {KEY}",
            }
            front = self.entries[(order + attempt) % len(self.entries)].front
            body = f"order {order}".encode()
            outcome = await call(front, "POST", f"/pay/{order}", headers, body, DEADLINE_S)
            self.attempts.append(Attempt(order, request_id, outcome))
            if outcome.status not in PROMISES:
                return
            await asyncio.sleep(min(0.3, float(outcome.headers.get("retry-after", 0.05))))


async def main() -> int:
    """Play the case; return the exit code."""
    runs: list[Run] = []
    rng = random.Random(11)
    with tempfile.TemporaryDirectory() as folder:
        store = Store()
        address = await store.start()
        store.put("op/config", config())
        replicas = [PlainReplica(store, f"i-{i}", "wuno96b", runs) for i in (1, 2, 3)]

        def fail_some(message: Message) -> int:
            return 503 if TROUBLE and rng.random() < FAILING_SHARE else 200

        replicas[0].status = fail_some
        for replica in replicas:
            await replica.start()
        entries = [Entry(f"edge-{i}", address, Path(folder)) for i in (1, 2)]
        try:
            await asyncio.gather(*(entry.start() for entry in entries))
            await asyncio.sleep(2.0)
            clients = Clients(entries)
            tasks = []
            for order in range(PAYMENTS):
                tasks.append(asyncio.ensure_future(clients.pay(order)))
                await asyncio.sleep(1 / PER_S)
            await asyncio.gather(*tasks)
        finally:
            for entry in entries:
                await entry.kill()
        return judge(clients.attempts, runs)


def judge(attempts: list[Attempt], runs: list[Run]) -> int:
    """Write the record, and check the rule REFUSED."""
    ran = {run.request_id: run.replica for run in runs}
    broken = 0
    charged: dict[int, int] = {}
    with (HERE / "record.txt").open("w", encoding="utf-8") as record:
        for attempt in attempts:
            status, replica = attempt.outcome.status, ran.get(attempt.request_id, "")
            charged[attempt.order] = charged.get(attempt.order, 0) + bool(replica)
            is_broken = status in PROMISES and bool(replica)
            broken += is_broken
            print(
                f"order {attempt.order} {attempt.request_id} status={status}"
                f" ran={replica or 'no'} {attempt.outcome.error}{' BROKEN' * is_broken}",
                file=record,
            )
        twice = sum(count > 1 for count in charged.values())
        paid = sum(attempt.outcome.status == 200 for attempt in attempts)
        summary = (
            f"{len(attempts)} attempts for {PAYMENTS} orders, {paid} answered with 200; {broken}"
            f" were answered as not run though they had run, and {twice} orders ran twice"
        )
        print(summary, file=record)
    print(summary)
    if paid < PAYMENTS / 2:
        return 2
    return 1 if broken else 0


run_case(main)
