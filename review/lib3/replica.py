"""Stand-ins of replicas: a plain service, registered in the store under heartbeats."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lib3.http import Answer, Message, Server
from lib3.store import Store

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
HEARTBEAT_S = 1.2


@dataclass
class Run:
    """A request that a replica began to work on."""

    request_id: str
    replica: str
    at: float
    target: str


class PlainReplica:
    """Answers after ``work_s``; runs ``slots`` requests at a time, and sheds beyond a queue."""

    def __init__(
        self, store: Store, instance: str, service: str, runs: list[Run], work_s: float = 0.0225
    ) -> None:
        self.store, self.instance, self.service = store, instance, service
        self.runs, self.work_s = runs, work_s
        self.slots = 6
        self.running = self.waiting = 0
        self.body: Callable[[Message], bytes] = lambda message: b"x" * 800
        # The status of a sealed answer to a request that has run; 200 unless it fails.
        self.status: Callable[[Message], int] = lambda message: 200
        # A request that crashes the replica as it begins; it is back ``down_s`` later.
        self.crashes: Callable[[Message], bool] = lambda message: False
        self.down_s = 1.2
        self.is_leaving = False
        self._slots = asyncio.Semaphore(self.slots)
        self.server = Server(self._handle)
        self.state = "ready"
        self._tasks: set[asyncio.Task[None]] = set()
        self._beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve, and register."""
        await self.server.start()
        self._beat = asyncio.ensure_future(self._heartbeat())

    async def _heartbeat(self) -> None:
        while True:
            if not self.store.is_away:
                self.write()
            await asyncio.sleep(HEARTBEAT_S)

    def write(self) -> None:
        """Write the entry in the store."""
        self.store.put(f"servers/{self.instance}", self.record(0))

    def leave(self) -> None:
        """Remove the entry in the store, say so in all answers, and go on serving."""
        self.is_leaving = True
        self._beat.cancel()
        self.store.remove(f"servers/{self.instance}")

    async def _crash(self) -> None:
        port = int(self.server.address.rpartition(":")[2])
        self.server.stop()
        await asyncio.sleep(self.down_s)
        await self.server.start(port)

    def record(self, sequence: int) -> dict[str, object]:
        """Return the entry in the store."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": "z-1",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": sequence,
            "born": 1_700_000_000_000,
        }

    async def _handle(self, message: Message, writer: asyncio.StreamWriter) -> Answer:
        request_id = message.headers.get("x-request-id", "")
        if message.headers.get("x-expect-instance", self.instance) != self.instance:
            return Answer(421, {"X-Instance-Id": self.instance})
        load = f"{self.running},{self.waiting},{self.slots}"
        own = {"X-Request-Id": request_id, "X-Server-Load": load}
        if self.is_leaving:
            own["Server-Leaving"] = "1"
        if self.waiting >= 2 * self.slots:
            return Answer(503, own | {"X-Not-Executed": "1"})
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            now = asyncio.get_running_loop().time()
            self.runs.append(Run(request_id, self.instance, now, message.first[1]))
            if self.crashes(message):
                self._tasks.add(asyncio.ensure_future(self._crash()))
                await asyncio.sleep(3_600)
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self._slots.release()
        return Answer(self.status(message), own | {"X-Server-Seal": SEAL}, self.body(message))
