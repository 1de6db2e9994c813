"""How much memory to reserve for answers whose length callers only estimate.

Answers load that fills the engines' memory: an engine preempts a generation that outgrows its
reservation and reads its whole prompt again later. Callers' estimates are right at the median, so
half of the answers are longer.
"""

from collections import defaultdict, deque

RECENT_ANSWERS = 200
MIN_ANSWERS = 20  # Fewer say little about the spread.
INITIAL_FACTOR = 1.3
# Share of the answers that fit into their reservations. A larger one leaves memory unused.
COVERED_SHARE = 0.7


class OutputSizes:
    """Compares answers with their estimates, for each service.

    Events may hold several tokens, so only the spread of the ratio between events and estimated
    tokens counts, not its value.

    Example::

        sizes.record("models", estimated_tokens=400, events=60)
        tokens = sizes.reserved_tokens("models", estimated_tokens=400, max_tokens=1_000)
    """

    def __init__(self) -> None:
        self._ratios: dict[str, deque[float]] = defaultdict(lambda: deque(maxlen=RECENT_ANSWERS))
        self._factors: dict[str, float] = {}

    def record(self, service: str, estimated_tokens: int, events: int) -> None:
        """Record a complete answer."""
        if estimated_tokens <= 0 or events <= 0:
            return
        ratios = self._ratios[service]
        ratios.append(events / estimated_tokens)
        if len(ratios) >= MIN_ANSWERS:
            ordered = sorted(ratios)
            covered = ordered[int(len(ordered) * COVERED_SHARE)]
            self._factors[service] = covered / ordered[len(ordered) // 2]

    def reserved_tokens(self, service: str, estimated_tokens: int, max_tokens: int) -> int:
        """Return the tokens to reserve for an answer."""
        factor = self._factors.get(service, INITIAL_FACTOR)
        return min(max_tokens, int(estimated_tokens * factor))
