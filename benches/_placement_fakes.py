"""Fakes of the placement bench: a simulated clock, engines and plain services."""

import heapq
import itertools
import math
from collections import OrderedDict, deque
from collections.abc import Callable

import attrs

from _placement_load import Request

PREFILL_TOKENS_PER_S = 40_000
LINK_PIECES_PER_S = 500.0
EXPORT_KEPT_S = 0.8
CACHE_PIECES = 100
ENGINE_PIECES = 200
IMPORTS_AHEAD = 4
PIECE_TOKENS = 1_000
Callback = Callable[[], None]


class Clock:
    """Runs callbacks in the order of their simulated time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callback]] = []
        self._numbers = itertools.count()

    def after(self, seconds: float, callback: Callback) -> None:
        """Run a callback later."""
        heapq.heappush(self._events, (self.now + seconds, next(self._numbers), callback))

    def run(self, until: float) -> None:
        """Run everything up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until


@attrs.define(eq=False)
class Job:
    """Work at an endpoint; exactly one of ``on_done`` and ``on_failed`` is called, unless aborted.

    ``on_failed`` gets whether the cause was an evicted cache.
    """

    req: Request
    on_done: Callback
    on_failed: Callable[[bool], None]
    on_first: Callback = lambda: None
    evicted_at: float = 0.0
    aborted: bool = False
    holds: int = 0


class FakePrefill:
    """One prefill at a time, with a prefix cache."""

    def __init__(self, clock: Clock, name: str) -> None:
        self.name = name
        self.died_at = math.inf
        self.tokens = 0
        self.prefix_pieces = 0
        self.hit_pieces = 0
        self._clock = clock
        self._queue: deque[Job] = deque()
        self._running: Job | None = None
        self._cache: OrderedDict[tuple[str, int], None] = OrderedDict()

    @property
    def work(self) -> int:
        """Prefills running and waiting."""
        return len(self._queue) + (self._running is not None)

    def submit(self, job: Job) -> None:
        """Queue a prefill."""
        if self.died_at <= self._clock.now:
            self._clock.after(0.001, lambda: job.on_failed(False))
            return
        self._queue.append(job)
        self._next()

    def die(self) -> None:
        """Fail all work, and all later work until `revive`."""
        self.died_at = self._clock.now
        lost = [*self._queue, *([self._running] if self._running else [])]
        self._queue.clear()
        self._running = None
        self._cache.clear()
        for job in lost:
            if not job.aborted:
                job.on_failed(False)

    def _next(self) -> None:
        if self._running is not None or not self._queue:
            return
        job = self._queue.popleft()
        if job.aborted:
            self._next()
            return
        self._running = job
        fresh = job.req.prompt_tokens + job.req.emitted - PIECE_TOKENS * self._hits(job.req)
        self._clock.after(max(1, fresh) / PREFILL_TOKENS_PER_S, lambda: self._finish(job))

    def _finish(self, job: Job) -> None:
        if self._running is not job:
            return
        self._running = None
        self.tokens += job.req.prompt_tokens
        if not job.aborted:
            job.req.prefills += 1
            job.on_done()
        self._next()

    def _hits(self, req: Request) -> int:
        hits = 0
        for piece in range(req.prefix_pieces):
            key = (req.prefix, piece)
            hits += key in self._cache and hits == piece
            self._cache[key] = None
            self._cache.move_to_end(key)
        for piece in range(req.prefix_pieces, req.prompt_pieces):
            self._cache[req.id, piece] = None
        while len(self._cache) > CACHE_PIECES:
            self._cache.popitem(last=False)
        self.prefix_pieces += req.prefix_pieces
        self.hit_pieces += hits
        return hits


class FakeDecode:
    """Decode slots; an import needs KV pieces and room ahead of a slot, or its export ages."""

    def __init__(self, clock: Clock, name: str, slots: int, step_s: float) -> None:
        self.name = name
        self.died_at = math.inf
        self.held: dict[Job, int] = {}
        self._clock = clock
        self._slots = slots
        self._step_s = step_s
        self._imports: deque[Job] = deque()
        self._ready: deque[Job] = deque()
        self._running: dict[Job, float] = {}
        self._link_free_at = 0.0

    @property
    def work(self) -> int:
        """Answers running and waiting."""
        return len(self.held) + len(self._imports)

    def submit(self, job: Job) -> None:
        """Queue an import."""
        if self.died_at <= self._clock.now:
            self._clock.after(0.001, lambda: job.on_failed(False))
            return
        self._imports.append(job)
        self._clock.after(max(0.0, job.evicted_at - self._clock.now) + 1e-6, self._next)
        self._next()

    def abort(self, job: Job) -> None:
        """Free whatever a job holds."""
        job.aborted = True
        self.held.pop(job, None)
        self._running.pop(job, None)
        self._next()

    def die(self) -> None:
        """Fail all work, and all later work until revived."""
        self.died_at = self._clock.now
        lost = [*self.held, *self._imports]
        for job, started in self._running.items():
            job.req.emitted += int((self._clock.now - started) / self._step_s)
        for container in (self.held, self._imports, self._ready, self._running):
            container.clear()
        for job in lost:
            job.on_failed(False)

    def _next(self) -> None:
        while self._imports and self._take_import(self._imports[0]):
            self._imports.popleft()
        while self._ready and len(self._running) < self._slots:
            job = self._ready.popleft()
            if job in self.held:
                self._start(job)

    def _take_import(self, job: Job) -> bool:
        if job.aborted:
            return True
        start = max(self._clock.now, self._link_free_at)
        if start > job.evicted_at:
            self._clock.after(0.0, lambda: job.on_failed(True))
            return True
        free = ENGINE_PIECES - sum(self.held.values())
        if len(self.held) >= self._slots + IMPORTS_AHEAD or free < job.req.pieces:
            return False
        self.held[job] = job.req.pieces
        self._link_free_at = start + job.req.prompt_pieces / LINK_PIECES_PER_S
        self._clock.after(self._link_free_at - self._clock.now, lambda: self._imported(job))
        return True

    def _imported(self, job: Job) -> None:
        if job in self.held:
            self._ready.append(job)
            self._next()

    def _start(self, job: Job) -> None:
        self._running[job] = self._clock.now
        self._clock.after(self._step_s, lambda: self._first(job))
        left = job.req.output - job.req.emitted
        self._clock.after(max(1, left) * self._step_s, lambda: self._finish(job))

    def _first(self, job: Job) -> None:
        if job in self._running:
            job.on_first()

    def _finish(self, job: Job) -> None:
        if self._running.pop(job, None) is None:
            return
        self.held.pop(job, None)
        job.on_done()
        self._next()


class FakeService:
    """A plain service that runs calls in the order in which they come."""

    def __init__(self, clock: Clock, name: str, slots: int) -> None:
        self.name = name
        self.died_at = math.inf
        self._clock = clock
        self._slots = slots
        self._queue: deque[Job] = deque()
        self._running = 0

    @property
    def work(self) -> int:
        """Calls running and waiting."""
        return self._running + len(self._queue)

    def submit(self, job: Job) -> None:
        """Queue a call."""
        self._queue.append(job)
        self._next()

    def _next(self) -> None:
        while self._queue and self._running < self._slots:
            job = self._queue.popleft()
            self._running += 1
            self._clock.after(job.req.work_s, lambda job=job: self._finish(job))

    def _finish(self, job: Job) -> None:
        self._running -= 1
        job.on_done()
        self._next()
