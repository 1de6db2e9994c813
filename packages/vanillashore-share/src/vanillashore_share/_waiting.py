"""Asks that wait at a holder, in order within each workspace."""

from collections import deque
from collections.abc import Iterator

import attrs

from vanillashore_wire import GrantAsk

PARKED_S = 1.0


@attrs.define
class WaitingAsk:
    """An ask in the queue.

    While it is parked, its asker has been told to repeat the ask and has not done so yet.
    """

    sender: str
    ask: GrantAsk
    received_at: float
    gives_up_at: float
    answer_by: float
    parked: bool = False

    @property
    def id(self) -> tuple[str, int]:
        """What tells the ask apart from all others."""
        return self.sender, self.ask.grant


class WaitingQueue:
    """Queues of one partition, one for each workspace that waits."""

    def __init__(self) -> None:
        self._queues: dict[str, deque[WaitingAsk]] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self) -> Iterator[WaitingAsk]:
        for queue in list(self._queues.values()):
            yield from list(queue)

    def add(self, waiting: WaitingAsk) -> None:
        """Put an ask at the end of its workspace's queue."""
        self._queues.setdefault(waiting.ask.workspace, deque()).append(waiting)

    def find(self, sender: str, ask: GrantAsk) -> WaitingAsk | None:
        """Return the entry of an ask that is repeated."""
        for waiting in self._queues.get(ask.workspace, ()):
            if waiting.id == (sender, ask.grant):
                return waiting
        return None

    def remove(self, waiting: WaitingAsk) -> None:
        """Take an ask out."""
        queue = self._queues.get(waiting.ask.workspace)
        if queue is None or waiting not in queue:
            return
        queue.remove(waiting)
        if not queue:
            del self._queues[waiting.ask.workspace]

    def remove_grant(self, sender: str, grant: int) -> bool:
        """Take out an ask that its asker gave up; return whether it was there."""
        for waiting in self:
            if waiting.id == (sender, grant):
                self.remove(waiting)
                return True
        return False

    def heads(self) -> list[WaitingAsk]:
        """Return the first ask of each workspace."""
        return [queue[0] for queue in self._queues.values()]

    def count(self, workspace: str) -> int:
        """Return how many asks of a workspace wait."""
        return len(self._queues.get(workspace, ()))

    def tokens_ahead(self, workspace: str) -> float:
        """Return the tokens that all waiting asks of a workspace want."""
        return sum(waiting.ask.tokens for waiting in self._queues.get(workspace, ()))

    def drop_abandoned(self, now: float) -> None:
        """Drop the asks whose askers did not repeat them."""
        for waiting in self:
            if waiting.parked and now >= waiting.answer_by + PARKED_S:
                self.remove(waiting)
