"""Load generator for streamed completions; it uses plain sockets to keep its own cost low.

Example::

    plan = LoadPlan(addresses=("http://127.0.0.1:8080",), requests_per_s=14, seconds=10)
    report = await run_load(plan)
    report.first_token_ms.at(50)
"""

import asyncio
import random
import time
from collections.abc import Iterator

import attrs
import orjson

EVENT_START = b"data: "
STREAM_END = b"data: [DONE]"
STATUS_OK = b"HTTP/1.1 200"
HEAD_BYTES = 400
CONNECT_TIMEOUT_S = 5.0
FINISH_TIMEOUT_S = 60.0


@attrs.frozen
class LoadPlan:
    """The load to generate: ``requests_per_s`` or, if that is 0, ``concurrency`` parallel requests.

    Parallel requests start spread over the first ``warm_up_s`` of the ``seconds`` and are
    cancelled at the end; rates exclude the warm-up. ``addresses`` are used round robin.
    ``non_token_events`` is the number of events of a stream that carry no token.
    """

    addresses: tuple[str, ...]
    model: str
    key: str = ""
    requests_per_s: float = 0.0
    concurrency: int = 0
    seconds: float = 10.0
    warm_up_s: float = 1.0
    max_tokens: int = 293
    prompt_chars: int = 2_000
    non_token_events: int = 2
    seed: int = 1


@attrs.frozen
class Quantiles:
    """A sorted sample; ``at(95)`` is its 95th percentile."""

    values: tuple[float, ...]

    def at(self, percent: float) -> float:
        """Return a percentile, or 0 for an empty sample."""
        if not self.values:
            return 0.0
        return self.values[min(len(self.values) - 1, int(len(self.values) * percent / 100))]


@attrs.define
class LoadReport:
    """Results of a run; the rates count what arrived between warm-up and end of the load."""

    finished: int = 0
    failed: int = 0
    seconds: float = 0.0
    tokens_in_time: int = 0
    finished_in_time: int = 0
    first_tokens_ms: list[float] = attrs.field(factory=list)
    token_gaps_ms: list[float] = attrs.field(factory=list)
    failures: list[str] = attrs.field(factory=list)

    @property
    def first_token_ms(self) -> Quantiles:
        """Time to first token."""
        return Quantiles(tuple(sorted(self.first_tokens_ms)))

    @property
    def token_gap_ms(self) -> Quantiles:
        """Time between tokens."""
        return Quantiles(tuple(sorted(self.token_gaps_ms)))

    @property
    def tokens_per_s(self) -> float:
        """Tokens per second."""
        return self.tokens_in_time / self.seconds

    @property
    def requests_per_s(self) -> float:
        """Finished requests per second."""
        return self.finished_in_time / self.seconds


async def run_load(plan: LoadPlan) -> LoadReport:
    """Generate the load, wait for the requests to end, and report."""
    run = _LoadRun(plan)
    return await run.run()


class _LoadRun:
    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._report = LoadReport()
        self._addresses = self._round_robin()
        self._measured_from = 0.0
        self._ends_at = 0.0

    async def run(self) -> LoadReport:
        started = time.monotonic()
        self._measured_from = started + self._plan.warm_up_s
        self._ends_at = started + self._plan.seconds
        if self._plan.requests_per_s:
            await self._run_open_loop(started)
        else:
            await self._run_closed_loop()
        self._report.seconds = self._plan.seconds - self._plan.warm_up_s
        return self._report

    async def _run_open_loop(self, started: float) -> None:
        tasks = []
        due = started
        while due < self._ends_at:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.append(asyncio.create_task(self._run_request()))
            due += self._rng.expovariate(self._plan.requests_per_s)
        await asyncio.gather(*tasks)

    async def _run_closed_loop(self) -> None:
        count = self._plan.concurrency
        delays = [self._plan.warm_up_s * i / count for i in range(count)]
        tasks = [asyncio.create_task(self._repeat(delay_s)) for delay_s in delays]
        await asyncio.sleep(self._plan.seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _repeat(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        while time.monotonic() < self._ends_at:
            await self._run_request()

    async def _run_request(self) -> None:
        stream = _Stream(self._request(), self._measured_from, self._ends_at)
        host, _, port = next(self._addresses).removeprefix("http://").partition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: stream, host, int(port))
            async with asyncio.timeout(FINISH_TIMEOUT_S):
                await stream.ended.wait()
        except (OSError, TimeoutError) as exc:
            stream.failure = repr(exc)
        finally:
            self._report.tokens_in_time += min(stream.events_in_time, self._plan.max_tokens)
            stream.close()
        self._record_result(stream)

    def _record_result(self, stream: "_Stream") -> None:
        report = self._report
        tokens = stream.events - self._plan.non_token_events
        if stream.failure or tokens != self._plan.max_tokens:
            report.failed += 1
            report.failures.append(stream.failure or f"{tokens} tokens received")
            return
        report.finished += 1
        report.finished_in_time += self._measured_from <= stream.last_at <= self._ends_at
        report.first_tokens_ms.append((stream.first_at - stream.sent_at) * 1_000)
        report.token_gaps_ms.extend(gap * 1_000 for gap in stream.gaps)

    def _request(self) -> bytes:
        plan = self._plan
        words = f"{self._rng.random()} "
        body = orjson.dumps(
            {
                "model": plan.model,
                "request_id": f"load-{self._rng.getrandbits(64):x}",
                "prompt": (words * (plan.prompt_chars // len(words) + 1))[: plan.prompt_chars],
                "max_tokens": plan.max_tokens,
                "stream": True,
            }
        )
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n"
            f"Authorization: Bearer {plan.key}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def _round_robin(self) -> Iterator[str]:
        while True:
            yield from self._plan.addresses


class _Stream(asyncio.Protocol):
    """Connection of one request; counts events on arrival and records the gaps between them."""

    def __init__(self, request: bytes, measured_from: float, measured_until: float) -> None:
        self._request = request
        self._measured_from = measured_from
        self._measured_until = measured_until
        self._transport: asyncio.WriteTransport | None = None
        self._tail = b""
        self._head = b""
        self.ended = asyncio.Event()
        self.failure = ""
        self.sent_at = 0.0
        self.first_at = 0.0
        self.last_at = 0.0
        self.events = 0
        self.events_in_time = 0
        self.gaps: list[float] = []

    def connection_made(self, transport: asyncio.WriteTransport) -> None:
        self._transport = transport
        self.sent_at = time.monotonic()
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        if len(self._head) < HEAD_BYTES:
            self._head = (self._head + data)[:HEAD_BYTES]
        received = self._tail + data
        count = received.count(EVENT_START) - self._tail.count(EVENT_START)
        self._tail = received[-(len(STREAM_END) - 1) :]
        if count:
            self._count(count, time.monotonic())
        if STREAM_END in received:
            self._end("" if self._head.startswith(STATUS_OK) else repr(self._head))

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.ended.is_set():
            self._end(f"connection closed early after {self._head!r}")

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _count(self, count: int, now: float) -> None:
        if self.events:
            self.gaps.append(now - self.last_at)
            self.gaps.extend([0.0] * (count - 1))
        else:
            self.first_at = now
        self.events += count
        self.last_at = now
        if self._measured_from <= now <= self._measured_until:
            self.events_in_time += count

    def _end(self, failure: str) -> None:
        self.failure = failure
        self.ended.set()
