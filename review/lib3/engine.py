"""Stand-in of a model replica: reservations, prefills, and streams of events."""

import asyncio
import itertools
import json
from dataclasses import dataclass, field

from lib3.http import Answer, Message, Server, json_answer, render
from lib3.replica import HEARTBEAT_S, SEAL
from lib3.store import Store

EVENTS = 66
STEP_S = 0.04


@dataclass
class StreamRun:
    """One run of a request at an engine: when it began, and when each of its events was made."""

    request_id: str
    engine: str
    began: float
    after: int
    worked: list[float] = field(default_factory=list)
    ended: str = ""


class Engine:
    """Runs streams of `EVENTS` events, and drops a request when its connection closes."""

    def __init__(
        self,
        store: Store,
        instance: str,
        service: str,
        stage: str,
        runs: list[StreamRun],
    ) -> None:
        self.store, self.instance, self.service, self.stage = store, instance, service, stage
        self.runs = runs
        self.slots = 16
        self.calls: list[tuple[float, str]] = []
        self.server = Server(self._handle)
        self._ids = itertools.count(1)
        self._running = 0
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
        self.store.put(f"servers/{self.instance}", self.record())

    def record(self) -> dict[str, object]:
        """Return the entry in the store."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": "z-1",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": 0,
            "born": 1_700_000_000_000,
        }

    async def _handle(self, message: Message, writer: asyncio.StreamWriter) -> Answer | None:
        now = asyncio.get_running_loop().time()
        if message.headers.get("x-expect-instance", self.instance) != self.instance:
            return Answer(421, {"X-Instance-Id": self.instance})
        if message.path.startswith("/-/"):
            self.calls.append((now, f"{message.first[0]} {message.path}"))
            return self._call(message)
        request_id = message.headers.get("x-request-id", "")
        own = {"X-Request-Id": request_id, "X-Server-Load": f"{self._running},0,{self.slots}"}
        if (message.headers.get("x-stage") == "prefill") != (self.stage == "prefill"):
            return Answer(421, own)
        if self.stage == "prefill":
            await asyncio.sleep(0.05)
            handle = {"kv_handle": f"{self.instance}x{next(self._ids)}", "tokens": 3_000}
            answer = json_answer(handle | {"version": 1})
            answer.headers |= own
            return answer
        run = StreamRun(
            request_id, self.instance, now, int(message.headers.get("last-event-id", 0))
        )
        self.runs.append(run)
        head = own | {"X-Server-Seal": SEAL, "Content-Type": "text/event-stream"}
        await self._stream(run, head, writer)
        return None

    async def _stream(
        self, run: StreamRun, head: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        self._running += 1
        try:
            await asyncio.sleep(0.1)
            writer.write(render(200, head | {"X-Weight-Versions": "1"}, None))
            for number in range(run.after + 1, EVENTS + 1):
                run.worked.append(asyncio.get_running_loop().time())
                event = f"id: {number}\ndata: piece {number} of {run.request_id}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await asyncio.sleep(STEP_S)
            writer.write(b"0\r\n\r\n")
            run.ended = "complete"
        finally:
            self._running -= 1

    def _call(self, message: Message) -> Answer:
        if message.path == "/-/hold-take":
            return json_answer({"hold": f"{self.instance}h{next(self._ids)}"})
        if message.path == "/-/report":
            runs = [[r.request_id, 0, len(r.worked), 5] for r in self.runs if not r.ended]
            mine = {"stage": self.stage, "busy": False, "sequence": 0, "born": 1_700_000_000_000}
            return json_answer(mine | {"running_requests": self._running, "runs": runs})
        if message.path == "/-/order":
            self.stage = json.loads(message.body)["stage"]
            return json_answer({}, 202)
        return json_answer({})
