"""Virtual time, links and load for the share bench; schemes plug in as `Scheme`."""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

import attrs

from vanillashore_wire import Batch, Envelope, encode_batch

LINK_DELAY_S = 0.0005
COALESCE_S = 0.002
IP_TCP_HEADER_BYTES = 52
WEBSOCKET_HEADER_BYTES = 8
UNUSED_PART = 0.3
SERVICE_S = 1.0


@attrs.frozen
class Plan:
    """One case: its fleet, its load and what fails."""

    case: str
    nodes: int = 6
    workspaces: int = 20
    rate: float = 1_000.0
    burst: float = 4_000.0
    load: float = 0.5
    noisy: float = 1.0
    skew: float = 0.0
    seconds: float = 30.0
    counted_from: float = 0.0
    killed_at: float | None = None
    frozen_at: float | None = None
    frozen_s: float = 5.0
    outage_at: float | None = None
    outage_s: float = 60.0


@attrs.define
class Request:
    """One request and what became of it."""

    workspace: int
    entry: int
    tokens: float
    at: float
    inside: bool
    admitted_at: float | None = None
    refused_at: float | None = None


class Scheme(Protocol):
    """A way to keep rates; it calls `Sim.admit` or `Sim.refuse` once for each request."""

    def begin(self, sim: "Sim") -> None:
        """Set up the nodes."""

    def ask(self, req: Request) -> None:
        """Decide about a request."""

    def died(self, node: int) -> None:
        """Take note that a node was killed."""


class Sim:
    """Runs one scheme through one plan."""

    def __init__(self, plan: Plan, scheme: Scheme, seed: int) -> None:
        self.plan = plan
        self.scheme = scheme
        self.now = 0.0
        self.rng = random.Random(seed)
        self.requests: list[Request] = []
        self.bytes: dict[int, int] = defaultdict(int)
        self.frames: dict[int, int] = defaultdict(int)
        self._seed = seed
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._outboxes: dict[tuple[int, int], list[tuple[Envelope, Callable[[], None]]]] = {}
        self._ideal = {w: [plan.burst, 0.0] for w in range(plan.workspaces)}

    def run(self) -> "Sim":
        """Run to the end of the plan."""
        self.scheme.begin(self)
        for workspace in range(self.plan.workspaces):
            self._arrivals(workspace)
        if self.plan.killed_at is not None:
            self.later(self.plan.killed_at, lambda: self.scheme.died(0))
        while self._events and self._events[0][0] < self.plan.seconds + 10.0:
            self.now, _, event = heapq.heappop(self._events)
            event()
        return self

    def later(self, delay_s: float, event: Callable[[], None]) -> None:
        """Run ``event`` after a time."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), event))

    def is_dead(self, node: int) -> bool:
        """Whether a node was killed."""
        killed_at = self.plan.killed_at
        return node == 0 and killed_at is not None and self.now >= killed_at

    def wakes_at(self, node: int) -> float:
        """Return when a frozen node goes on; now if it is not frozen."""
        at = self.plan.frozen_at
        if node != 0 or at is None or not at <= self.now < at + self.plan.frozen_s:
            return self.now
        return at + self.plan.frozen_s

    def is_store_down(self) -> bool:
        """Whether the store has an outage."""
        at = self.plan.outage_at
        return at is not None and at <= self.now < at + self.plan.outage_s

    def send(self, source: int, target: int, body: object, handle: Callable[[], None]) -> None:
        """Carry a message; what is sent within a moment shares a frame, as on a real link."""
        if source == target:
            self.later(0.0, handle)
            return
        box = self._outboxes.get((source, target))
        if box is None:
            box = self._outboxes[source, target] = []
            self.later(COALESCE_S, lambda: self._flush(source, target))
        correlation = next(self._order) % 1_000
        box.append((Envelope(correlation, 0, body), handle))

    def admit(self, req: Request) -> None:
        """Note that a request was admitted."""
        req.admitted_at = self.now

    def refuse(self, req: Request) -> None:
        """Note that a request was refused."""
        req.refused_at = self.now

    def _flush(self, source: int, target: int) -> None:
        box = self._outboxes.pop((source, target))
        batch = Batch("", 123, tuple(envelope for envelope, _ in box))
        size = len(encode_batch(batch)) + IP_TCP_HEADER_BYTES + WEBSOCKET_HEADER_BYTES
        is_counted = self.plan.counted_from <= self.now < self.plan.seconds
        for node in (source, target) if is_counted else ():
            self.bytes[node] += size
            self.frames[node] += 1
        self.later(LINK_DELAY_S, lambda: self._deliver(target, [h for _, h in box]))

    def _deliver(self, node: int, handlers: list[Callable[[], None]]) -> None:
        if self.is_dead(node):
            return
        wait_s = self.wakes_at(node) - self.now
        if wait_s > 0:
            self.later(wait_s, lambda: self._deliver(node, handlers))
            return
        for handle in handlers:
            handle()

    def _arrivals(self, workspace: int) -> None:
        plan = self.plan
        rng = random.Random(self._seed * 1_000 + workspace)
        mean_tokens = 200.0
        factor = plan.noisy / plan.load if workspace == 0 and plan.noisy > 1 else 1.0
        gap_s = mean_tokens / (plan.rate * plan.load * factor)
        at = 0.0
        while True:
            at += rng.expovariate(1 / gap_s)
            if at >= plan.seconds:
                return
            tokens = rng.randint(50, 350)
            pick = rng.random()
            self.later(at, lambda t=tokens, p=pick: self._arrive(workspace, t, p))

    def _arrive(self, workspace: int, tokens: float, pick: float) -> None:
        live = [
            n
            for n in range(self.plan.nodes)
            if not self.is_dead(n) and self.wakes_at(n) <= self.now
        ]
        entry = live[-1] if pick < self.plan.skew else live[int(pick * 1e6) % len(live)]
        req = Request(workspace, entry, tokens, self.now, self._take_ideal(workspace, tokens))
        self.requests.append(req)
        self.scheme.ask(req)

    def _take_ideal(self, workspace: int, tokens: float) -> bool:
        bucket = self._ideal[workspace]
        gained = (self.now - bucket[1]) * self.plan.rate
        bucket[0] = min(self.plan.burst, bucket[0] + gained)
        bucket[1] = self.now
        if bucket[0] < tokens:
            return False
        bucket[0] -= tokens
        return True
