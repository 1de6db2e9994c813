"""Grant requests queued at a holder, first in, first out within each workspace."""

from collections import deque
from collections.abc import Iterator

import attrs

from vanillashore_wire import GrantRequest

REPEAT_GRACE_S = 1.0


@attrs.define
class QueuedGrantRequest:
    """A grant request in the queue.

    ``awaiting_repeat`` is set while the sender has been answered with `GrantWait` and has not
    repeated the request yet.
    """

    sender: str
    request: GrantRequest
    received_at: float
    patience_ends_at: float
    reply_due_at: float
    awaiting_repeat: bool = False

    @property
    def id(self) -> tuple[str, int]:
        """Unique ID of the request: its sender and grant number."""
        return self.sender, self.request.grant


class GrantQueue:
    """The queues of one partition, one for each workspace with queued requests."""

    def __init__(self) -> None:
        self._queues: dict[str, deque[QueuedGrantRequest]] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self) -> Iterator[QueuedGrantRequest]:
        for queue in list(self._queues.values()):
            yield from list(queue)

    def add(self, queued: QueuedGrantRequest) -> None:
        """Append a request to its workspace's queue."""
        self._queues.setdefault(queued.request.workspace, deque()).append(queued)

    def find(self, sender: str, request: GrantRequest) -> QueuedGrantRequest | None:
        """Return the queued original of a repeated request."""
        for queued in self._queues.get(request.workspace, ()):
            if queued.id == (sender, request.grant):
                return queued
        return None

    def remove(self, queued: QueuedGrantRequest) -> None:
        """Remove a request if it is queued."""
        queue = self._queues.get(queued.request.workspace)
        if queue is None or queued not in queue:
            return
        queue.remove(queued)
        if not queue:
            del self._queues[queued.request.workspace]

    def remove_grant(self, sender: str, grant: int) -> bool:
        """Remove a request that its sender cancelled; return whether it was queued."""
        for queued in self:
            if queued.id == (sender, grant):
                self.remove(queued)
                return True
        return False

    def heads(self) -> list[QueuedGrantRequest]:
        """Return the first queued request of each workspace."""
        return [queue[0] for queue in self._queues.values()]

    def count(self, workspace: str) -> int:
        """Return how many requests of a workspace are queued."""
        return len(self._queues.get(workspace, ()))

    def queued_tokens(self, workspace: str) -> float:
        """Return the tokens that all queued requests of a workspace need."""
        return sum(queued.request.tokens for queued in self._queues.get(workspace, ()))

    def drop_abandoned(self, now: float) -> None:
        """Drop the requests that were not repeated in time."""
        for queued in self:
            if queued.awaiting_repeat and now >= queued.reply_due_at + REPEAT_GRACE_S:
                self.remove(queued)
