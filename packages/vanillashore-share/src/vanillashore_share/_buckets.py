"""The token buckets of one share: one for each workspace of its partition.

Only buckets that are not full are stored. The level of any other workspace follows from how long
the share has been accruing tokens.
"""

import math

import attrs

from vanillashore_share._peaks import PeakHistory
from vanillashore_share._rates import RateTable
from vanillashore_wire import ShareLevels, WorkspaceLevel

LONG_IDLE_S = 1e9


@attrs.define
class _Bucket:
    level: float
    updated_at: float
    peaks: PeakHistory = attrs.Factory(PeakHistory)


class ShareBuckets:
    """Buckets that accrue tokens from ``now`` on, starting from ``levels``.

    All times are in seconds of the clock of the process that uses the buckets.
    """

    def __init__(self, rates: RateTable, levels: ShareLevels, now: float) -> None:
        self._rates = rates
        self._since = now - levels.idle_s
        self._buckets = {item.workspace: _Bucket(item.tokens, now) for item in levels.levels}

    def level(self, workspace: str, now: float) -> float:
        """Return the tokens available to a workspace."""
        rate = self._rates.get(workspace)
        if rate is None:
            return 0.0
        bucket = self._buckets.get(workspace)
        level, updated_at = (
            (0.0, self._since) if bucket is None else (bucket.level, bucket.updated_at)
        )
        level = min(rate.capacity, level + max(0.0, now - updated_at) * rate.tokens_per_s)
        if bucket is not None:
            bucket.level = level
            bucket.updated_at = max(updated_at, now)
        return level

    def take(self, workspace: str, tokens: float, now: float) -> float:
        """Take at most ``tokens``; return how many were taken."""
        level = self.level(workspace, now)
        taken = min(level, tokens)
        if taken > 0:
            self._set_level(workspace, level - taken, now).peaks.add(now, level)
        return taken

    def refund(self, workspace: str, tokens: float, taken_at: float, now: float) -> None:
        """Return unused tokens that were taken at ``taken_at``.

        Tokens that would have overflowed since then, had they never been taken, are lost.
        """
        rate = self._rates.get(workspace)
        bucket = self._buckets.get(workspace)
        if rate is None or bucket is None:
            return
        level = self.level(workspace, now)
        peak = max(level, bucket.peaks.since(taken_at))
        room = min(tokens, rate.capacity - peak)
        if room > 0:
            bucket.peaks.raise_since(taken_at, room)
            bucket.level = level + room

    def accrue(self, workspace: str, now: float) -> None:
        """Add the tokens accrued up to ``now`` at the current rate, before that rate changes."""
        self._set_level(workspace, self.level(workspace, now), now)

    def export(self, now: float) -> ShareLevels:
        """Return the levels from which another process continues, rounded down."""
        self.drop_full(now)
        items = tuple(
            WorkspaceLevel(workspace, _rounded_down(self.level(workspace, now)))
            for workspace in self._buckets
        )
        idle_s = min(LONG_IDLE_S, _rounded_down(now - self._since))
        return ShareLevels(idle_s, items)

    def drop_full(self, now: float) -> None:
        """Drop the buckets whose level equals that of a workspace that has no bucket."""
        idle = [name for name in self._buckets if self._is_idle(name, now)]
        for name in idle:
            del self._buckets[name]

    def _is_idle(self, workspace: str, now: float) -> bool:
        rate = self._rates.get(workspace)
        if rate is None or self.level(workspace, now) < rate.capacity:
            return False
        return (now - self._since) * rate.tokens_per_s >= rate.capacity

    def _set_level(self, workspace: str, level: float, now: float) -> _Bucket:
        bucket = self._buckets.setdefault(workspace, _Bucket(level, now))
        bucket.level = level
        bucket.updated_at = max(bucket.updated_at, now)
        return bucket


def _rounded_down(value: float) -> float:
    return math.floor(value * 100) / 100


FULL = ShareLevels(LONG_IDLE_S)
EMPTY = ShareLevels()
