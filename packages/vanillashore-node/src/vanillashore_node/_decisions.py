"""A bounded log of the decisions on recent requests, for ``explain``."""

import time
from collections import OrderedDict

import attrs

MAX_REQUESTS = 5_000


@attrs.frozen
class Decision:
    """One decision; ``at`` is seconds since the epoch.

    ``runs_as`` is set only in a decision recorded under a caller's own id: the fleet's id for that
    request.
    """

    at: float
    node: str
    step: str
    text: str
    runs_as: str = ""


class DecisionLog:
    """Keeps the decisions of the newest requests."""

    def __init__(self, node: str, max_requests: int = MAX_REQUESTS) -> None:
        self._node = node
        self._max_requests = max_requests
        self._decisions: OrderedDict[str, list[Decision]] = OrderedDict()

    def record(self, request_id: str, step: str, text: str) -> None:
        """Record a decision."""
        self._add(request_id, Decision(time.time(), self._node, step, text))

    def record_alias(self, given_id: str, request_id: str) -> None:
        """Record that the request with the caller's id ``given_id`` runs as ``request_id``."""
        text = f"runs as {request_id}"
        self._add(given_id, Decision(time.time(), self._node, "request", text, request_id))

    def explain(self, request_id: str) -> list[Decision]:
        """Return the decisions of a request, oldest first."""
        return list(self._decisions.get(request_id, ()))

    def _add(self, request_id: str, decision: Decision) -> None:
        self._decisions.setdefault(request_id, []).append(decision)
        if len(self._decisions) > self._max_requests:
            self._decisions.popitem(last=False)
