"""Start-time fair queuing over workspaces, earliest deadline first within each."""

import math
from collections.abc import Iterator

import attrs
from sortedcontainers import SortedKeyList

from vanillashore_wire import ReserveRequest

BURST_REQUESTS = 4


@attrs.define(eq=False)
class QueuedRequest:
    """A reservation request in the queue, with times of the scheduler's clock.

    ``sender`` is the entry that sent it. ``cost`` is charged to its workspace when it is served.
    """

    request: ReserveRequest
    sender: str
    arrived_at: float
    patience_ends_at: float
    renewed_at: float
    cost: float
    weight: float = 1.0

    @property
    def credit(self) -> float:
        """How far behind the virtual time its workspace may start after a pause."""
        return BURST_REQUESTS * self.cost / self.weight


@attrs.define(eq=False)
class _Flow:
    start: float
    credit: float = 0.0
    items: SortedKeyList = attrs.field(
        factory=lambda: SortedKeyList(key=lambda w: (w.patience_ends_at, w.arrived_at))
    )


class FairQueue:
    """Requests of one class; workspaces are served in proportion to their weights.

    Each backlogged workspace has a start tag in virtual time, and the smallest tag is served next.
    After a pause, a workspace's start tag is at most the weighted cost of `BURST_REQUESTS` requests
    behind the virtual time. So a short burst of a workspace with a small weight is served quickly,
    and a longer pause gives no further advantage::

        queue.add(queued)
        served = queue.take(queue.head())
    """

    def __init__(self) -> None:
        self._virtual = 0.0
        self._flows: dict[str, _Flow] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[QueuedRequest]:
        for flow in self._flows.values():
            yield from flow.items

    def add(self, queued: QueuedRequest) -> None:
        """Add a request to its workspace's queue."""
        flow = self._flows.setdefault(queued.request.workspace, _Flow(-math.inf))
        if not flow.items:
            flow.start = self._start_tag(flow, queued)
            flow.credit = queued.credit
        self._size += 1
        flow.items.add(queued)

    def head(self) -> QueuedRequest | None:
        """Return the request to serve next."""
        backlogged = [flow for flow in self._flows.values() if flow.items]
        if not backlogged:
            return None
        return min(backlogged, key=lambda flow: flow.start).items[0]

    def take(self, queued: QueuedRequest) -> QueuedRequest:
        """Remove a request to serve it; charge its workspace."""
        flow = self._flows[queued.request.workspace]
        flow.items.remove(queued)
        self._size -= 1
        self._virtual = max(self._virtual, flow.start)
        flow.start += queued.cost / queued.weight
        self._drop_idle()
        return queued

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request without serving it."""
        self._flows[queued.request.workspace].items.remove(queued)
        self._size -= 1
        self._drop_idle()

    def ahead_of(self, queued: QueuedRequest) -> int:
        """Return how many requests would be served before ``queued`` if it were added now."""
        own = self._flows.get(queued.request.workspace, _Flow(-math.inf))
        tag = own.start if own.items else self._start_tag(own, queued)
        ahead = 0
        for item in own.items:
            if item.patience_ends_at > queued.patience_ends_at:
                break
            tag += item.cost / item.weight
            ahead += 1
        others = (flow for flow in self._flows.values() if flow is not own)
        return ahead + sum(_served_before(flow, tag) for flow in others)

    def _start_tag(self, flow: _Flow, queued: QueuedRequest) -> float:
        return max(flow.start, self._virtual - queued.credit)

    def _drop_idle(self) -> None:
        idle = [
            name
            for name, flow in self._flows.items()
            if not flow.items and flow.start + flow.credit <= self._virtual
        ]
        for name in idle:
            del self._flows[name]


def _served_before(flow: _Flow, tag: float) -> int:
    start = flow.start
    count = 0
    for item in flow.items:
        if start >= tag:
            break
        count += 1
        start += item.cost / item.weight
    return count
