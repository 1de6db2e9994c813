"""Peak levels of a token bucket, which limit how much a late refund may add."""

import attrs

MAX_PEAKS = 32


@attrs.define
class _Peak:
    at: float
    level: float


class PeakHistory:
    """Levels just before tokens were taken, the highest first; lower, older ones are dropped.

    A refund reduces a past grant. Had the grant been smaller from the start, the bucket would have
    held more tokens since, but never more than its capacity; any overflow would have been lost. So
    a refund adds at most the capacity minus the highest level since the grant.
    """

    def __init__(self) -> None:
        self._peaks: list[_Peak] = []

    def add(self, at: float, level: float) -> None:
        """Record the level just before tokens were taken."""
        self._peaks.append(_Peak(at, level))
        self._normalize()

    def since(self, at: float) -> float:
        """Return the highest level recorded after ``at``, or 0."""
        return max((peak.level for peak in self._peaks if peak.at > at), default=0.0)

    def raise_since(self, at: float, tokens: float) -> None:
        """Add refunded tokens of a grant issued at ``at`` to all later peaks."""
        for peak in self._peaks:
            if peak.at > at:
                peak.level += tokens
        self._normalize()

    def _normalize(self) -> None:
        kept: list[_Peak] = []
        for peak in self._peaks:
            while kept and kept[-1].level <= peak.level:
                kept.pop()
            kept.append(peak)
        while len(kept) > MAX_PEAKS:
            first = kept.pop(0)
            kept[0].level = first.level
        self._peaks = kept
