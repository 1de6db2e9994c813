"""Settings and workspace configuration that the share state machines read."""

from typing import Protocol


class ShareTiming(Protocol):
    """Settings of shares, loans and grants; identical on all processes of a fleet.

    ``clock_rate_bound`` is the largest relative error of the rate of a process's clock.
    """

    loan_s: float
    renewal_s: float
    clock_rate_bound: float
    grant_valid_s: float
    ask_hold_s: float
    demand_s: float
    grace_s: float


class RatedWorkspace(Protocol):
    """A workspace with its fleet-wide rate and burst."""

    name: str
    rate_tokens_per_s: float
    burst_tokens: float
