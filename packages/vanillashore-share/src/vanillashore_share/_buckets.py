"""The token buckets of one share: one for each workspace of its partition.

Only workspaces whose bucket is not full take memory; the level of every other follows from how
long the share has gained tokens.
"""

import math

import attrs

from vanillashore_share._peaks import PeakHistory
from vanillashore_share._rates import RateBook
from vanillashore_wire import ShareLevels, WorkspaceLevel

LONG_IDLE_S = 1e9


@attrs.define
class _Bucket:
    level: float
    updated: float
    peaks: PeakHistory = attrs.Factory(PeakHistory)


class ShareBuckets:
    """Buckets that gain tokens from ``now`` on, starting from ``levels``.

    Every method takes the time in seconds of the clock of the process that holds the buckets.
    """

    def __init__(self, book: RateBook, levels: ShareLevels, now: float) -> None:
        self._book = book
        self._since = now - levels.idle_s
        self._buckets = {item.workspace: _Bucket(item.tokens, now) for item in levels.levels}

    def level(self, workspace: str, now: float) -> float:
        """Return the tokens that are there for a workspace."""
        rate = self._book.get(workspace)
        if rate is None:
            return 0.0
        bucket = self._buckets.get(workspace)
        level, updated = (0.0, self._since) if bucket is None else (bucket.level, bucket.updated)
        level = min(rate.capacity, level + max(0.0, now - updated) * rate.tokens_per_s)
        if bucket is not None:
            bucket.level = level
            bucket.updated = max(updated, now)
        return level

    def take(self, workspace: str, tokens: float, now: float) -> float:
        """Take at most ``tokens``; return how many were there."""
        level = self.level(workspace, now)
        taken = min(level, tokens)
        if taken > 0:
            self._put(workspace, level - taken, now).peaks.add(now, level)
        return taken

    def put_back(self, workspace: str, tokens: float, taken_at: float, now: float) -> None:
        """Put back unused tokens that were taken from here at ``taken_at``.

        What would have run over since, had they never been taken, is lost.
        """
        rate = self._book.get(workspace)
        bucket = self._buckets.get(workspace)
        if rate is None or bucket is None:
            return
        level = self.level(workspace, now)
        peak = max(level, bucket.peaks.since(taken_at))
        room = min(tokens, rate.capacity - peak)
        if room > 0:
            bucket.peaks.raise_since(taken_at, room)
            bucket.level = level + room

    def settle(self, workspace: str, now: float) -> None:
        """Account for the time up to now at the rate in force, before that rate changes."""
        self._put(workspace, self.level(workspace, now), now)

    def export(self, now: float) -> ShareLevels:
        """Return the levels for another process to go on from."""
        self.forget_full(now)
        items = tuple(
            WorkspaceLevel(workspace, _rounded_down(self.level(workspace, now)))
            for workspace in self._buckets
        )
        idle_s = min(LONG_IDLE_S, _rounded_down(now - self._since))
        return ShareLevels(idle_s, items)

    def forget_full(self, now: float) -> None:
        """Drop the buckets that are no different from an idle one."""
        idle = [name for name in self._buckets if self._is_idle(name, now)]
        for name in idle:
            del self._buckets[name]

    def _is_idle(self, workspace: str, now: float) -> bool:
        rate = self._book.get(workspace)
        if rate is None or self.level(workspace, now) < rate.capacity:
            return False
        return (now - self._since) * rate.tokens_per_s >= rate.capacity

    def _put(self, workspace: str, level: float, now: float) -> _Bucket:
        bucket = self._buckets.setdefault(workspace, _Bucket(level, now))
        bucket.level = level
        bucket.updated = max(bucket.updated, now)
        return bucket


def _rounded_down(value: float) -> float:
    return math.floor(value * 100) / 100


FULL = ShareLevels(LONG_IDLE_S)
EMPTY = ShareLevels()
