"""Start-time fair queuing over workspaces, with the earliest deadline first inside each."""

import math
from collections.abc import Iterator

import attrs
from sortedcontainers import SortedKeyList

from vanillashore_wire import ReserveAsk

BURST_ASKS = 4


@attrs.define(eq=False)
class Waiting:
    """An ask in the queue; ``sender`` is the entry that sent it, times are of the keeper's clock.

    ``cost`` is what the workspace is charged when the ask is served.
    """

    request: ReserveAsk
    sender: str
    arrived: float
    patience_ends: float
    renewed_at: float
    cost: float
    weight: float = 1.0

    @property
    def credit(self) -> float:
        """Virtual time that its workspace may be ahead after a pause."""
        return BURST_ASKS * self.cost / self.weight


@attrs.define(eq=False)
class _Flow:
    start: float
    credit: float = 0.0
    items: SortedKeyList = attrs.field(
        factory=lambda: SortedKeyList(key=lambda w: (w.patience_ends, w.arrived))
    )


class FairQueue:
    """Asks of one class; a workspace is served in proportion to its weight.

    Each backlogged workspace has a start tag in virtual time, and the smallest tag is served next.
    A workspace that comes back after a pause starts at most `BURST_ASKS` asks behind the present
    virtual time. So a short burst of a small workspace is not spread over the long time in which
    its weight earns that much, and yet a pause saves up no more than that::

        queue.add(waiting)
        served = queue.take(queue.head())
    """

    def __init__(self) -> None:
        self._virtual = 0.0
        self._flows: dict[str, _Flow] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Waiting]:
        for flow in self._flows.values():
            yield from flow.items

    def add(self, waiting: Waiting) -> None:
        """Queue an ask."""
        flow = self._flows.setdefault(waiting.request.workspace, _Flow(-math.inf))
        if not flow.items:
            flow.start = self._start_of(flow, waiting)
            flow.credit = waiting.credit
        self._size += 1
        flow.items.add(waiting)

    def head(self) -> Waiting | None:
        """Return the ask that is to be served next."""
        backlogged = [flow for flow in self._flows.values() if flow.items]
        if not backlogged:
            return None
        return min(backlogged, key=lambda flow: flow.start).items[0]

    def take(self, waiting: Waiting) -> Waiting:
        """Serve an ask: remove it and charge its workspace."""
        flow = self._flows[waiting.request.workspace]
        flow.items.remove(waiting)
        self._size -= 1
        self._virtual = max(self._virtual, flow.start)
        flow.start += waiting.cost / waiting.weight
        self._forget_idle()
        return waiting

    def remove(self, waiting: Waiting) -> None:
        """Remove an ask that was not served."""
        self._flows[waiting.request.workspace].items.remove(waiting)
        self._size -= 1
        self._forget_idle()

    def ahead_of(self, waiting: Waiting) -> int:
        """Return how many asks would be served before ``waiting`` if it were queued now."""
        own = self._flows.get(waiting.request.workspace, _Flow(-math.inf))
        tag = own.start if own.items else self._start_of(own, waiting)
        ahead = 0
        for item in own.items:
            if item.patience_ends > waiting.patience_ends:
                break
            tag += item.cost / item.weight
            ahead += 1
        others = (flow for flow in self._flows.values() if flow is not own)
        return ahead + sum(_served_before(flow, tag) for flow in others)

    def _start_of(self, flow: _Flow, waiting: Waiting) -> float:
        return max(flow.start, self._virtual - waiting.credit)

    def _forget_idle(self) -> None:
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
