"""Rates of workspaces over all entries, kept by each entry on its own.

Answers the load of a workspace that sends many times its rate, through any of the entries. Each
entry grants a part of the rate and of the platform's tolerance; parts add up to the whole without
a message between entries.
"""

import attrs

from vanillashore_gateway._domain import Workspace

SLACK_SHARE = 0.5  # Of the tolerance; the rest covers entries that are not counted yet.
MIN_ENTRIES = 1


@attrs.frozen
class QuotaSettings:
    """How strictly rates are judged: ``slack_tokens`` more in each window of ``window_s``."""

    window_s: float = 8.0
    slack_tokens: float = 0.0


@attrs.define
class _Bucket:
    level: float
    filled_at: float


class QuotaBook:
    """Token buckets of the workspaces at one entry."""

    def __init__(self, settings: QuotaSettings) -> None:
        self._settings = settings
        self._buckets: dict[str, _Bucket] = {}
        self.entries = MIN_ENTRIES

    def take(self, workspace: Workspace, tokens: int, now: float) -> float | None:
        """Take tokens; return ``None`` if they are granted, else the seconds until they may be."""
        if workspace.tokens_per_s <= 0:
            return None
        rate, capacity = self._part_of(workspace)
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = self._buckets[workspace.name] = _Bucket(capacity, now)
        passed_s = max(0.0, now - bucket.filled_at)
        bucket.level = min(capacity, bucket.level + rate * passed_s)
        bucket.filled_at = now
        if bucket.level < min(tokens, capacity):
            return (min(tokens, capacity) - bucket.level) / rate
        bucket.level -= tokens
        return None

    def keep_only(self, names: set[str]) -> None:
        """Forget workspaces that are gone."""
        self._buckets = {name: b for name, b in self._buckets.items() if name in names}

    def _part_of(self, workspace: Workspace) -> tuple[float, float]:
        """Return this entry's part of the rate, in tokens a second, and of the burst."""
        entries = max(MIN_ENTRIES, self.entries)
        slack = self._settings.slack_tokens * SLACK_SHARE
        rate = workspace.tokens_per_s + slack / self._settings.window_s / 2
        return rate / entries, (workspace.burst_tokens + slack / 2) / entries
