"""Simulated clock, links and load of the share bench; schemes implement `Scheme`."""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

import attrs

from vanillashore_wire import Batch, Envelope, encode_batch

LINK_DELAY_S = 0.0005
COALESCE_WINDOW_S = 0.002
IP_TCP_HEADER_BYTES = 52
WEBSOCKET_HEADER_BYTES = 8
UNUSED_FRACTION = 0.3
SERVICE_TIME_S = 1.0


@attrs.frozen
class Plan:
    """One case: its fleet, load and failures.

    Each workspace has ``rate`` tokens per second and a ``burst`` in tokens, and offers
    ``utilization`` of its rate; workspace 0 offers ``noisy_factor`` times its rate if that is
    above 1. Node 0 is the one that is killed or frozen. ``skewed_share`` of the requests arrive at
    the last live node, the others at random nodes.
    """

    case: str
    nodes: int = 6
    workspaces: int = 20
    rate: float = 1_000.0
    burst: float = 4_000.0
    utilization: float = 0.5
    noisy_factor: float = 1.0
    skewed_share: float = 0.0
    seconds: float = 30.0
    counted_from: float = 0.0
    killed_at: float | None = None
    frozen_at: float | None = None
    frozen_s: float = 5.0
    outage_at: float | None = None
    outage_s: float = 60.0


@attrs.define
class Request:
    """One request and its outcome.

    ``is_within_rate`` states whether an ideal token bucket would have admitted it.
    """

    workspace: int
    entry: int
    tokens: float
    arrived_at: float
    is_within_rate: bool
    admitted_at: float | None = None
    refused_at: float | None = None


class Scheme(Protocol):
    """A way to enforce rates; it calls `Sim.admit` or `Sim.refuse` once for each request."""

    def set_up(self, sim: "Sim") -> None:
        """Set up the nodes."""

    def decide(self, req: Request) -> None:
        """Admit or refuse a request, at once or later."""

    def handle_node_killed(self, node: int) -> None:
        """React to the death of a node."""


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
        self._sequence = itertools.count()
        self._outboxes: dict[tuple[int, int], list[tuple[Envelope, Callable[[], None]]]] = {}
        self._ideal_buckets = {w: [plan.burst, 0.0] for w in range(plan.workspaces)}

    def run(self) -> "Sim":
        """Run to the end of the plan."""
        self.scheme.set_up(self)
        for workspace in range(self.plan.workspaces):
            self._schedule_arrivals(workspace)
        if self.plan.killed_at is not None:
            self.call_later(self.plan.killed_at, lambda: self.scheme.handle_node_killed(0))
        while self._events and self._events[0][0] < self.plan.seconds + 10.0:
            self.now, _, event = heapq.heappop(self._events)
            event()
        return self

    def call_later(self, delay_s: float, event: Callable[[], None]) -> None:
        """Schedule ``event`` after a delay."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._sequence), event))

    def is_killed(self, node: int) -> bool:
        """Whether a node was killed."""
        killed_at = self.plan.killed_at
        return node == 0 and killed_at is not None and self.now >= killed_at

    def resumes_at(self, node: int) -> float:
        """Return when a frozen node resumes; the current time if it is not frozen."""
        at = self.plan.frozen_at
        if node != 0 or at is None or not at <= self.now < at + self.plan.frozen_s:
            return self.now
        return at + self.plan.frozen_s

    def is_store_down(self) -> bool:
        """Whether the store has an outage."""
        at = self.plan.outage_at
        return at is not None and at <= self.now < at + self.plan.outage_s

    def send(self, source: int, target: int, body: object, handle: Callable[[], None]) -> None:
        """Send a message; those within ``COALESCE_WINDOW_S`` share a frame, as on a real link."""
        if source == target:
            self.call_later(0.0, handle)
            return
        outbox = self._outboxes.get((source, target))
        if outbox is None:
            outbox = self._outboxes[source, target] = []
            self.call_later(COALESCE_WINDOW_S, lambda: self._flush(source, target))
        correlation = next(self._sequence) % 1_000
        outbox.append((Envelope(correlation, 0, body), handle))

    def admit(self, req: Request) -> None:
        """Record that a request was admitted."""
        req.admitted_at = self.now

    def refuse(self, req: Request) -> None:
        """Record that a request was refused."""
        req.refused_at = self.now

    def _flush(self, source: int, target: int) -> None:
        outbox = self._outboxes.pop((source, target))
        batch = Batch("", 123, tuple(envelope for envelope, _ in outbox))
        size = len(encode_batch(batch)) + IP_TCP_HEADER_BYTES + WEBSOCKET_HEADER_BYTES
        is_counted = self.plan.counted_from <= self.now < self.plan.seconds
        for node in (source, target) if is_counted else ():
            self.bytes[node] += size
            self.frames[node] += 1
        self.call_later(LINK_DELAY_S, lambda: self._deliver(target, [h for _, h in outbox]))

    def _deliver(self, node: int, handlers: list[Callable[[], None]]) -> None:
        if self.is_killed(node):
            return
        wait_s = self.resumes_at(node) - self.now
        if wait_s > 0:
            self.call_later(wait_s, lambda: self._deliver(node, handlers))
            return
        for handle in handlers:
            handle()

    def _schedule_arrivals(self, workspace: int) -> None:
        plan = self.plan
        rng = random.Random(self._seed * 1_000 + workspace)
        mean_tokens = 200.0
        factor = (
            plan.noisy_factor / plan.utilization
            if workspace == 0 and plan.noisy_factor > 1
            else 1.0
        )
        gap_s = mean_tokens / (plan.rate * plan.utilization * factor)
        at = 0.0
        while True:
            at += rng.expovariate(1 / gap_s)
            if at >= plan.seconds:
                return
            tokens = rng.randint(50, 350)
            entry_draw = rng.random()
            self.call_later(
                at, lambda t=tokens, p=entry_draw: self._handle_arrival(workspace, t, p)
            )

    def _handle_arrival(self, workspace: int, tokens: float, entry_draw: float) -> None:
        live = [
            n
            for n in range(self.plan.nodes)
            if not self.is_killed(n) and self.resumes_at(n) <= self.now
        ]
        entry = (
            live[-1]
            if entry_draw < self.plan.skewed_share
            else live[int(entry_draw * 1e6) % len(live)]
        )
        req = Request(
            workspace, entry, tokens, self.now, self._charge_ideal_bucket(workspace, tokens)
        )
        self.requests.append(req)
        self.scheme.decide(req)

    def _charge_ideal_bucket(self, workspace: int, tokens: float) -> bool:
        bucket = self._ideal_buckets[workspace]
        gained = (self.now - bucket[1]) * self.plan.rate
        bucket[0] = min(self.plan.burst, bucket[0] + gained)
        bucket[1] = self.now
        if bucket[0] < tokens:
            return False
        bucket[0] -= tokens
        return True
