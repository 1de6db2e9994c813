"""Stand-in of a replica that serves plain requests."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any

from reviewkit.record import Record
from reviewkit.wire import Message, answer_bytes, read_message

Run = tuple[float, str, str, dict[str, str]]  # Time, request id, replica, headers.


class PlainReplica:
    """Runs up to ``slots`` requests at once and queues some more; it rejects those beyond.

    ``sends_extra`` decides after each answer, by its status, whether a second copy of it arrives
    late, at the point where the next answer on the connection is expected.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        record: Record,
        slots: int,
        queue: int,
        work_s: tuple[float, float],
    ) -> None:
        self.instance = instance
        self.service = service
        self.address = ""
        self.runs: list[Run] = []
        self.bodies: dict[str, bytes] = {}
        self.sends_extra: Callable[[int], bool] = lambda status: False
        self.answers = 0
        self.extras = 0
        self._record = record
        self._slots = slots
        self._queue = queue
        self._work_s = work_s
        self._held = 0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the replica's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        } | changes

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        late, late_of = b"", ""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                request = await read_message(reader)
                if late:
                    self.extras += 1
                    request_id = request.headers.get("x-request-id")
                    self._record.add(
                        f"{self.instance}: a late copy of the answer to {late_of}, before the "
                        f"answer to {request_id}"
                    )
                    writer.write(late)
                    late = b""
                data = await self._answer(request)
                writer.write(data)
                await writer.drain()
                self.answers += 1
                if self.sends_extra(int(data[9:12])):
                    late, late_of = data, request.headers.get("x-request-id", "")
        writer.close()

    async def _answer(self, request: Message) -> bytes:
        request_id = request.headers.get("x-request-id", "")
        echoed = {"X-Request-Id": request_id}
        if request.headers.get("x-expect-instance", self.instance) != self.instance:
            return answer_bytes(421, echoed)
        if self._held >= self._slots + self._queue:
            self._record.add(f"{self.instance}: rejects {request_id}, full")
            return answer_bytes(503, echoed | {"X-Not-Executed": "1"} | self._load())
        self._held += 1
        try:
            async with self._free:
                at = self._record.add(f"{self.instance}: runs {request_id}")
                self.runs.append((at, request_id, self.instance, request.headers))
                self.bodies[request_id] = request.body
                await asyncio.sleep(random.uniform(*self._work_s))
            body = f"answer to {request_id} by {self.instance}\n".encode()
            seal = {"X-Server-Seal": f"{self.instance}.{request_id}"}
            return answer_bytes(200, echoed | seal | self._load(), body)
        finally:
            self._held -= 1

    def _load(self) -> dict[str, str]:
        running = min(self._held, self._slots)
        return {"X-Server-Load": f"{running},{self._held - running},{self._slots}"}
