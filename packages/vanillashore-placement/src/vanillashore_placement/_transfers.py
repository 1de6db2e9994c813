"""Pacing of KV cache transfers into an endpoint at the rate of its link."""


class TransferPacer:
    """Assigns each transfer a start time on the link.

    Start times depend only on the sizes of earlier transfers, not on when they end, so a stalled
    transfer does not delay others::

        wait_s = pacer.start_in(pieces=12, now=now)
    """

    def __init__(self, pieces_per_s: float) -> None:
        self._pieces_per_s = pieces_per_s
        self._free_at = 0.0

    def expected_s(self, pieces: int) -> float:
        """Return how long a transfer takes on an idle link."""
        return pieces / self._pieces_per_s

    def start_in(self, pieces: int, now: float) -> float:
        """Schedule a transfer; return in how many seconds it may start."""
        start = max(now, self._free_at)
        self._free_at = start + self.expected_s(pieces)
        return start - now
