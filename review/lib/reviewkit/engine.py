"""Stand-in of a model replica: it reads prompts, or streams answers."""

import asyncio
import contextlib
import itertools
import json
from collections.abc import Callable
from typing import Any

from reviewkit.record import Record
from reviewkit.wire import Message, answer_bytes, json_answer, read_message

PREFILL_S = 0.04
HOLD_S = 2.0
Run = tuple[float, str, str]  # Time, request id, engine.


class Engine:
    """Runs up to ``slots`` streams at once; holds take a slot too, for `HOLD_S` at most.

    ``sends_extra`` decides after each whole answer whether a second copy of it arrives late, at the
    point where the next answer on the connection is expected.
    """

    def __init__(
        self, instance: str, service: str, stage: str, record: Record, slots: int, stream_s: float
    ) -> None:
        self.instance = instance
        self.service = service
        self.stage = stage
        self.address = ""
        self.events = 6
        self.runs: list[Run] = []
        self.sends_extra: Callable[[], bool] = lambda: False
        self.answers = 0
        self.extras = 0
        self._record = record
        self._slots = slots
        self._stream_s = stream_s
        self._running = 0
        self._holds: dict[str, asyncio.TimerHandle] = {}
        self._numbers = itertools.count(1)
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the engine's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        } | changes

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        late, late_of = b"", ""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                request = await read_message(reader)
                name = f"{request.method} {request.target}"
                name += f" {request.headers.get('x-request-id', '')}".rstrip()
                if late:
                    self.extras += 1
                    self._record.add(
                        f"{self.instance}: a late copy of the answer to [{late_of}], before the "
                        f"answer to [{name}]"
                    )
                    writer.write(late)
                    late = b""
                data = self._call(request)
                if data is None:
                    data = await self._request(request, reader, writer)
                if not data:
                    continue
                writer.write(data)
                await writer.drain()
                self.answers += 1
                if self.sends_extra():
                    late, late_of = data, name
        writer.close()

    def _call(self, request: Message) -> bytes | None:
        """Answer a call of the system; return ``None`` if it is a client's request."""
        path = request.target
        if not path.startswith("/-/"):
            return None
        if request.headers.get("x-expect-instance", self.instance) != self.instance:
            return answer_bytes(421, {})
        if path == "/-/hold-take":
            if self._running + len(self._holds) >= self._slots:
                return answer_bytes(503, {})
            hold = f"hold-{self.instance}-{next(self._numbers)}"
            loop = asyncio.get_running_loop()
            self._holds[hold] = loop.call_later(HOLD_S, self._holds.pop, hold, None)
            return json_answer(200, {"hold": hold})
        if path.startswith("/-/hold-drop/"):
            self._drop(path.rpartition("/")[2])
            return json_answer(200, {})
        if path == "/-/report":
            report = {"stage": self.stage, "busy": False, "sequence": 0, "born": 1_700_000_000_000}
            return json_answer(200, report)
        return json_answer(200, {})

    def _drop(self, hold: str) -> bool:
        timer = self._holds.pop(hold, None)
        if timer is not None:
            timer.cancel()
        return timer is not None

    async def _request(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        """Answer a request; return ``b""`` if the answer was sent as a stream."""
        request_id = request.headers.get("x-request-id", "")
        echoed = {"X-Request-Id": request_id}
        not_run = echoed | {"X-Not-Executed": "1"}
        if request.headers.get("x-expect-instance", self.instance) != self.instance:
            return answer_bytes(421, echoed)
        seal = {"X-Server-Seal": f"{self.instance}.{request_id}"}
        if request.headers.get("x-stage") == "prefill":
            if self.stage != "prefill":
                return answer_bytes(421, echoed)
            await asyncio.sleep(PREFILL_S)
            handle = f"{self.instance}{next(self._numbers):06x}"
            return json_answer(200, {"kv_handle": handle, "tokens": 300, "version": 1}, echoed)
        if self.stage != "decode":
            return answer_bytes(421, echoed)
        has_hold = self._drop(request.headers.get("x-kv-hold", ""))
        if not has_hold and self._running + len(self._holds) >= self._slots:
            return answer_bytes(503, not_run)
        self._running += 1
        gone = asyncio.ensure_future(reader.read(1))
        try:
            at = self._record.add(f"{self.instance}: runs {request_id}")
            self.runs.append((at, request_id, self.instance))
            await self._stream(request, writer, echoed | seal, gone)
        finally:
            self._running -= 1
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await gone
        return b""

    async def _stream(
        self,
        request: Message,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        gone: "asyncio.Future[bytes]",
    ) -> None:
        """Stream events; drop the run when the connection closes."""
        lines = [f"{k}: {v}" for k, v in headers.items()]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
        for number in range(int(request.headers.get("last-event-id", "0")) + 1, self.events + 1):
            await asyncio.sleep(self._stream_s / self.events)
            if gone.done():
                raise ConnectionResetError("the caller has left")
            piece = json.dumps({"piece": number, "of": request.headers.get("x-request-id", "")})
            event = f"id: {number}\ndata: {piece}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
