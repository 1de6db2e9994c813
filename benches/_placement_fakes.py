"""Fakes for the placement bench: a simulated clock, engines and services."""

import heapq
import itertools
import math
from collections import OrderedDict, deque
from collections.abc import Callable

import attrs

from _placement_load import Request

PREFILL_TOKENS_PER_S = 40_000
LINK_PIECES_PER_S = 500.0
EXPORT_RETENTION_S = 0.8
PREFIX_CACHE_PIECES = 100
ENGINE_CAPACITY_PIECES = 200
IMPORTS_BEYOND_SLOTS = 4
PIECE_TOKENS = 1_000
Callback = Callable[[], None]


class Clock:
    """Runs callbacks in order of simulated time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callback]] = []
        self._sequence = itertools.count()

    def call_later(self, seconds: float, callback: Callback) -> None:
        """Schedule a callback after a delay."""
        heapq.heappush(self._events, (self.now + seconds, next(self._sequence), callback))

    def run(self, until: float) -> None:
        """Run all callbacks up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until


@attrs.define(eq=False)
class Job:
    """Work at an endpoint; ``on_done`` or ``on_failed`` is called once unless it is aborted.

    The argument of ``on_failed`` is whether the export was evicted before its import.
    """

    req: Request
    on_done: Callback
    on_failed: Callable[[bool], None]
    on_first_token: Callback = lambda: None
    evicted_at: float = 0.0
    aborted: bool = False
    holds: int = 0


class FakePrefill:
    """A prefill engine that runs one prefill at a time, with a prefix cache."""

    def __init__(self, clock: Clock, name: str) -> None:
        self.name = name
        self.failed_at = math.inf
        self.tokens = 0
        self.prefix_pieces = 0
        self.hit_pieces = 0
        self._clock = clock
        self._queue: deque[Job] = deque()
        self._running: Job | None = None
        self._cache: OrderedDict[tuple[str, int], None] = OrderedDict()

    @property
    def pending_count(self) -> int:
        """Number of prefills running and waiting."""
        return len(self._queue) + (self._running is not None)

    def submit(self, job: Job) -> None:
        """Queue a prefill."""
        if self.failed_at <= self._clock.now:
            self._clock.call_later(0.001, lambda: job.on_failed(False))
            return
        self._queue.append(job)
        self._start_next()

    def fail(self) -> None:
        """Fail all current and later work."""
        self.failed_at = self._clock.now
        failed_jobs = [*self._queue, *([self._running] if self._running else [])]
        self._queue.clear()
        self._running = None
        self._cache.clear()
        for job in failed_jobs:
            if not job.aborted:
                job.on_failed(False)

    def _start_next(self) -> None:
        if self._running is not None or not self._queue:
            return
        job = self._queue.popleft()
        if job.aborted:
            self._start_next()
            return
        self._running = job
        uncached_tokens = (
            job.req.prompt_tokens
            + job.req.generated_tokens
            - PIECE_TOKENS * self._count_cache_hits(job.req)
        )
        self._clock.call_later(
            max(1, uncached_tokens) / PREFILL_TOKENS_PER_S, lambda: self._finish(job)
        )

    def _finish(self, job: Job) -> None:
        if self._running is not job:
            return
        self._running = None
        self.tokens += job.req.prompt_tokens
        if not job.aborted:
            job.req.completed_prefills += 1
            job.on_done()
        self._start_next()

    def _count_cache_hits(self, req: Request) -> int:
        hits = 0
        for piece in range(req.prefix_pieces):
            key = (req.prefix, piece)
            hits += key in self._cache and hits == piece
            self._cache[key] = None
            self._cache.move_to_end(key)
        for piece in range(req.prefix_pieces, req.prompt_pieces):
            self._cache[req.id, piece] = None
        while len(self._cache) > PREFIX_CACHE_PIECES:
            self._cache.popitem(last=False)
        self.prefix_pieces += req.prefix_pieces
        self.hit_pieces += hits
        return hits


class FakeDecode:
    """A decode engine that imports KV pieces from a prefill engine and then decodes.

    An import waits until enough pieces are free and fewer jobs hold pieces than there are slots
    plus ``IMPORTS_BEYOND_SLOTS``. During the wait the prefill engine may evict its export.
    """

    def __init__(self, clock: Clock, name: str, slots: int, step_s: float) -> None:
        self.name = name
        self.failed_at = math.inf
        self.held_pieces: dict[Job, int] = {}
        self._clock = clock
        self._slots = slots
        self._step_s = step_s
        self._imports: deque[Job] = deque()
        self._ready: deque[Job] = deque()
        self._running: dict[Job, float] = {}
        self._link_free_at = 0.0

    @property
    def pending_count(self) -> int:
        """Number of answers running and waiting."""
        return len(self.held_pieces) + len(self._imports)

    def submit(self, job: Job) -> None:
        """Queue a KV import and its decode."""
        if self.failed_at <= self._clock.now:
            self._clock.call_later(0.001, lambda: job.on_failed(False))
            return
        self._imports.append(job)
        self._clock.call_later(max(0.0, job.evicted_at - self._clock.now) + 1e-6, self._start_next)
        self._start_next()

    def abort(self, job: Job) -> None:
        """Abort a job and free its pieces and slot."""
        job.aborted = True
        self.held_pieces.pop(job, None)
        self._running.pop(job, None)
        self._start_next()

    def fail(self) -> None:
        """Fail all current and later work."""
        self.failed_at = self._clock.now
        failed_jobs = [*self.held_pieces, *self._imports]
        for job, started in self._running.items():
            job.req.generated_tokens += int((self._clock.now - started) / self._step_s)
        for container in (self.held_pieces, self._imports, self._ready, self._running):
            container.clear()
        for job in failed_jobs:
            job.on_failed(False)

    def _start_next(self) -> None:
        while self._imports and self._try_import(self._imports[0]):
            self._imports.popleft()
        while self._ready and len(self._running) < self._slots:
            job = self._ready.popleft()
            if job in self.held_pieces:
                self._start(job)

    def _try_import(self, job: Job) -> bool:
        if job.aborted:
            return True
        start = max(self._clock.now, self._link_free_at)
        if start > job.evicted_at:
            self._clock.call_later(0.0, lambda: job.on_failed(True))
            return True
        free_pieces = ENGINE_CAPACITY_PIECES - sum(self.held_pieces.values())
        if (
            len(self.held_pieces) >= self._slots + IMPORTS_BEYOND_SLOTS
            or free_pieces < job.req.pieces
        ):
            return False
        self.held_pieces[job] = job.req.pieces
        self._link_free_at = start + job.req.prompt_pieces / LINK_PIECES_PER_S
        self._clock.call_later(
            self._link_free_at - self._clock.now, lambda: self._finish_import(job)
        )
        return True

    def _finish_import(self, job: Job) -> None:
        if job in self.held_pieces:
            self._ready.append(job)
            self._start_next()

    def _start(self, job: Job) -> None:
        self._running[job] = self._clock.now
        self._clock.call_later(self._step_s, lambda: self._report_first_token(job))
        remaining_tokens = job.req.output_tokens - job.req.generated_tokens
        self._clock.call_later(max(1, remaining_tokens) * self._step_s, lambda: self._finish(job))

    def _report_first_token(self, job: Job) -> None:
        if job in self._running:
            job.on_first_token()

    def _finish(self, job: Job) -> None:
        if self._running.pop(job, None) is None:
            return
        self.held_pieces.pop(job, None)
        job.on_done()
        self._start_next()


class FakeService:
    """A service that runs calls in order of arrival."""

    def __init__(self, clock: Clock, name: str, slots: int) -> None:
        self.name = name
        self.failed_at = math.inf
        self._clock = clock
        self._slots = slots
        self._queue: deque[Job] = deque()
        self._running = 0

    @property
    def pending_count(self) -> int:
        """Number of calls running and waiting."""
        return self._running + len(self._queue)

    def submit(self, job: Job) -> None:
        """Queue a call."""
        self._queue.append(job)
        self._start_next()

    def _start_next(self) -> None:
        while self._queue and self._running < self._slots:
            job = self._queue.popleft()
            self._running += 1
            self._clock.call_later(job.req.service_time_s, lambda job=job: self._finish(job))

    def _finish(self, job: Job) -> None:
        self._running -= 1
        job.on_done()
        self._start_next()
