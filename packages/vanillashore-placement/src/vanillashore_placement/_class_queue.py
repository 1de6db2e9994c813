"""A queue per class: interactive requests come first, batch requests get a minimum share."""

from collections.abc import Iterator

from vanillashore_placement._fair_queue import FairQueue, QueuedRequest
from vanillashore_wire import RouteClass

BATCH_FLOOR = 0.1


class ClassQueue:
    """A fair queue for each class.

    While batch requests are queued, each interactive request served earns them credit, so that
    batch gets `BATCH_FLOOR` of the service. A batch request is served first once the credit covers
    its cost.
    """

    def __init__(self) -> None:
        self._queues = {route_class: FairQueue() for route_class in RouteClass}
        self._credit = 0.0

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self) -> Iterator[QueuedRequest]:
        for queue in self._queues.values():
            yield from queue

    def add(self, queued: QueuedRequest) -> None:
        """Add a request to the queue of its class."""
        self._queues[queued.request.route_class].add(queued)

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request without serving it."""
        self._queues[queued.request.route_class].remove(queued)

    def head(self, batch_may_run: bool) -> QueuedRequest | None:
        """Return the request to serve next."""
        interactive = self._queues[RouteClass.INTERACTIVE].head()
        batch = self._queues[RouteClass.BATCH].head() if batch_may_run else None
        if interactive is None or batch is None:
            return interactive or batch
        return batch if self._credit >= batch.cost else interactive

    def take(self, queued: QueuedRequest) -> QueuedRequest:
        """Remove a request to serve it; charge its workspace and class."""
        self._queues[queued.request.route_class].take(queued)
        if not len(self._queues[RouteClass.BATCH]):
            self._credit = 0.0
        elif queued.request.route_class is RouteClass.BATCH:
            self._credit = max(0.0, self._credit - queued.cost)
        else:
            self._credit += queued.cost * BATCH_FLOOR / (1 - BATCH_FLOOR)
        return queued

    def ahead_of(self, queued: QueuedRequest) -> int:
        """Return how many requests would be served before ``queued`` if it were added now."""
        ahead = self._queues[queued.request.route_class].ahead_of(queued)
        if queued.request.route_class is RouteClass.BATCH:
            ahead += len(self._queues[RouteClass.INTERACTIVE])
        return ahead
