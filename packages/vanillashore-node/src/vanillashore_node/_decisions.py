"""A bounded record of the decisions that recent requests met, for ``explain``."""

import time
from collections import OrderedDict

import attrs

MAX_REQUESTS = 5_000


@attrs.frozen
class Decision:
    """One decision; ``at`` is seconds since the epoch."""

    at: float
    node: str
    step: str
    text: str


class DecisionLog:
    """Keeps the decisions of the newest requests."""

    def __init__(self, node: str, max_requests: int = MAX_REQUESTS) -> None:
        self._node = node
        self._max_requests = max_requests
        self._decisions: OrderedDict[str, list[Decision]] = OrderedDict()

    def note(self, request_id: str, step: str, text: str) -> None:
        """Record a decision."""
        decisions = self._decisions.setdefault(request_id, [])
        decisions.append(Decision(time.time(), self._node, step, text))
        if len(self._decisions) > self._max_requests:
            self._decisions.popitem(last=False)

    def explain(self, request_id: str) -> list[Decision]:
        """Return the decisions of a request, oldest first."""
        return list(self._decisions.get(request_id, ()))
