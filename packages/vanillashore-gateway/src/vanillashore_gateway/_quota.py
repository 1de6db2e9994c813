"""Rate limits of workspaces over all entries.

Limits a workspace that sends many times its rate through any of the entries, without refusing one
that stays within its rate but uses a few of many entries. One entry is the home of a workspace and
grants tokens to the others. An entry that reaches no home grants a small part of the rate by
itself, so that all entries together stay within the platform's tolerance.
"""

import attrs

from vanillashore_gateway._domain import Workspace

# Share of the platform's tolerance that a home's buckets allow for bursts; the rest covers tokens
# that substitute and new homes grant in addition.
SLACK_SHARE = 0.35
SUBSTITUTE_SHARE = 0.5  # Of the rate; the home may still be granting to other entries.
ISOLATED_SHARE = 0.25  # Of the rate, divided among all entries, for those that reach no home.
# A new home has no record of earlier use. Its buckets start with the tokens that accrue in
# `INITIAL_LEVEL_S` or, if more, with this share of the tolerance (at most one second of the rate),
# as callers that waited for a restart all send at once.
INITIAL_LEVEL_S = 0.25
INITIAL_SLACK_SHARE = 0.15
# A request that needs fewer tokens asks the home for this many, so that later small requests can
# use the spare ones without another call.
SPARE_TOKENS = 2_000
# Spare tokens that are not used are lost to the workspace, so none are granted from this share of a
# bucket. With many entries, they would otherwise be most of what a workspace at its rate gets.
SPARE_RESERVE_SHARE = 0.7
CREDIT_TTL_S = 1.0  # Spare tokens expire, so that they cannot add up to a burst.


@attrs.frozen
class QuotaSettings:
    """How far rates may be exceeded, and how long a home may take to answer.

    In each window of ``window_s`` the platform tolerates ``slack_tokens`` more than a rate allows.
    ``ask_timeout_s`` is some round trips between data centres, and a fraction of any target.
    """

    window_s: float = 8.0
    slack_tokens: float = 0.0
    ask_timeout_s: float = 0.04


@attrs.frozen
class Grant:
    """Tokens that were granted; if there are too few, retry after ``wait_s``."""

    tokens: int
    wait_s: float = 0.0


@attrs.define
class _Bucket:
    level: float
    filled_at: float

    def fill(self, rate: float, capacity: float, now: float) -> None:
        """Add the tokens that have accrued since the last call."""
        passed_s = max(0.0, now - self.filled_at)
        self.level = min(capacity, self.level + rate * passed_s)
        self.filled_at = now


class QuotaHome:
    """Token buckets of the workspaces whose home is here; callers pass in the current time."""

    def __init__(self, settings: QuotaSettings) -> None:
        self._slack = settings.slack_tokens * SLACK_SHARE
        self._first_level = settings.slack_tokens * INITIAL_SLACK_SHARE
        self._buckets: dict[str, _Bucket] = {}

    def grant(
        self, workspace: Workspace, need: int, spare: int, now: float, share: float = 1.0
    ) -> Grant:
        """Grant ``need`` tokens and as many of ``spare`` as are left, or nothing.

        A request larger than the bucket is granted when the bucket is full, and leaves it negative.
        Another entry may still ask for tokens of a workspace that has no limit any more.
        """
        if workspace.tokens_per_s <= 0:
            return Grant(need)
        rate = workspace.tokens_per_s * share
        capacity = (workspace.burst_tokens + self._slack) * share
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            level = max(rate * INITIAL_LEVEL_S, min(rate, self._first_level * share))
            bucket = self._buckets[workspace.name] = _Bucket(level, now)
        bucket.fill(rate, capacity, now)
        needed_level = min(need, capacity)
        if bucket.level < needed_level:
            return Grant(0, (needed_level - bucket.level) / rate)
        extra = int(max(0.0, min(spare, bucket.level - need - SPARE_RESERVE_SHARE * capacity)))
        bucket.level -= need + extra
        return Grant(need + extra)

    def keep_only(self, names: set[str]) -> None:
        """Drop the buckets of removed workspaces."""
        self._buckets = {name: b for name, b in self._buckets.items() if name in names}


class CreditCache:
    """Spare tokens that an entry was granted and has not used yet."""

    def __init__(self) -> None:
        self._credits: dict[str, tuple[int, float]] = {}

    def spend(self, workspace: str, tokens: int, now: float) -> bool:
        """Use spare tokens; return False if there are not enough."""
        left, expires_at = self._credits.get(workspace, (0, 0.0))
        if now >= expires_at or left < tokens:
            return False
        self._credits[workspace] = (left - tokens, expires_at)
        return True

    def add(self, workspace: str, tokens: int, requested_at: float) -> None:
        """Replace the spare tokens; they expire ``CREDIT_TTL_S`` after they were requested."""
        self._credits[workspace] = (tokens, requested_at + CREDIT_TTL_S)
