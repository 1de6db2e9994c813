"""The peaks of a bucket's level, which bound what a late refund may still put back."""

import attrs

MAX_PEAKS = 32


@attrs.define
class _Peak:
    at: float
    level: float


class PeakHistory:
    """Peaks of a level that rises between takes, the highest first.

    A refund makes a past grant smaller. Had it been smaller from the start, the bucket would have
    held more since, but never more than its capacity; what would have run over is lost. So the
    refund may put back no more than the room that was left at the highest level since the grant.
    """

    def __init__(self) -> None:
        self._peaks: list[_Peak] = []

    def add(self, at: float, level: float) -> None:
        """Note the level just before tokens were taken."""
        self._peaks.append(_Peak(at, level))
        self._normalize()

    def since(self, at: float) -> float:
        """Return the highest level that was noted after ``at``."""
        return max((peak.level for peak in self._peaks if peak.at > at), default=0.0)

    def raise_since(self, at: float, tokens: float) -> None:
        """Account for a refund of a grant that was given at ``at``."""
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
