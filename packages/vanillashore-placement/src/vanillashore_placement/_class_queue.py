"""The classes of a keeper's queue: interactive work goes first, and batch work has a floor."""

from collections.abc import Iterator

from vanillashore_placement._fair_queue import FairQueue, Waiting
from vanillashore_wire import RouteClass

BATCH_FLOOR = 0.1


class ClassQueue:
    """A fair queue for each class.

    While batch work waits, every interactive ask that is served earns it credit worth
    `BATCH_FLOOR` of all service; batch work with enough credit for its next ask goes first.
    """

    def __init__(self) -> None:
        self._queues = {route_class: FairQueue() for route_class in RouteClass}
        self._credit = 0.0

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self) -> Iterator[Waiting]:
        for queue in self._queues.values():
            yield from queue

    def add(self, waiting: Waiting) -> None:
        """Queue an ask in its class."""
        self._queues[waiting.request.route_class].add(waiting)

    def remove(self, waiting: Waiting) -> None:
        """Remove an ask that was not served."""
        self._queues[waiting.request.route_class].remove(waiting)

    def head(self, batch_may_run: bool) -> Waiting | None:
        """Return the ask that is to be served next."""
        interactive = self._queues[RouteClass.INTERACTIVE].head()
        batch = self._queues[RouteClass.BATCH].head() if batch_may_run else None
        if interactive is None or batch is None:
            return interactive or batch
        return batch if self._credit >= batch.cost else interactive

    def take(self, waiting: Waiting) -> Waiting:
        """Serve an ask: remove it and charge its workspace and class."""
        self._queues[waiting.request.route_class].take(waiting)
        if not len(self._queues[RouteClass.BATCH]):
            self._credit = 0.0
        elif waiting.request.route_class is RouteClass.BATCH:
            self._credit = max(0.0, self._credit - waiting.cost)
        else:
            self._credit += waiting.cost * BATCH_FLOOR / (1 - BATCH_FLOOR)
        return waiting

    def ahead_of(self, waiting: Waiting) -> int:
        """Return how many asks would be served before ``waiting`` if it were queued now."""
        ahead = self._queues[waiting.request.route_class].ahead_of(waiting)
        if waiting.request.route_class is RouteClass.BATCH:
            ahead += len(self._queues[RouteClass.INTERACTIVE])
        return ahead
