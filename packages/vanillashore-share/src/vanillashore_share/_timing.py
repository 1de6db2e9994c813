"""What the state machines need to know of the settings and of the configuration."""

from typing import Protocol


class ShareTiming(Protocol):
    """Settings of shares, loans and grants; the same on all processes of a fleet.

    ``clock_rate_bound`` is the greatest share by which the rate of a process's clock may be off.
    """

    loan_s: float
    renewal_s: float
    clock_rate_bound: float
    grant_valid_s: float
    ask_hold_s: float
    demand_s: float
    grace_s: float


class RatedWorkspace(Protocol):
    """A workspace with its fleet-wide rate."""

    name: str
    rate_tokens_per_s: float
    burst_tokens: float
