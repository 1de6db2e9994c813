"""Admission: whether a workspace's rate allows a request."""

import time
from typing import Protocol

import attrs

from vanillashore_schema import WorkspaceConfig
from vanillashore_share import TokenBucket
from vanillashore_wire import ErrorCode, RefusalError, Refused


@attrs.frozen
class Admitted:
    """Tokens that were granted to one request."""

    workspace: str
    tokens: float


class Admission(Protocol):
    """Grants tokens to requests and takes unused ones back."""

    async def admit(self, workspace: WorkspaceConfig, tokens: float) -> Admitted:
        """Grant ``tokens``; raise RefusalError with the time to come back if there are none."""

    def refund(self, admitted: Admitted, tokens: float) -> None:
        """Take back tokens that a request did not use."""


class LocalAdmission:
    """An `Admission` of this process alone, with one bucket a workspace."""

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}

    async def admit(self, workspace: WorkspaceConfig, tokens: float) -> Admitted:
        """Grant ``tokens``; raise RefusalError with the time to come back if there are none."""
        now = time.monotonic()
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = TokenBucket(workspace.rate_tokens_per_s, workspace.burst_tokens, now)
            self._buckets[workspace.name] = bucket
        if not bucket.take(tokens, now):
            wait_s = bucket.wait_for(tokens, now)
            retry_after_s = None if wait_s == float("inf") else wait_s
            text = f"workspace {workspace.name} is over its rate"
            refused = Refused(ErrorCode.RATE_LIMITED, text, retry_after_s=retry_after_s)
            raise RefusalError(refused)
        return Admitted(workspace.name, tokens)

    def refund(self, admitted: Admitted, tokens: float) -> None:
        """Take back tokens that a request did not use."""
        bucket = self._buckets.get(admitted.workspace)
        if bucket is not None and tokens > 0:
            bucket.put_back(tokens, time.monotonic())
