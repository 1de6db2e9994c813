"""Retries, claims, answer assembly and isolation of requests that crash engines."""

from vanillashore_outcome._assembly import Assembly, AssemblyCounts
from vanillashore_outcome._claims import (
    MAX_BARRED_RUNS,
    Bar,
    ClaimStep,
    ClaimUpdate,
    ClaimVerdict,
    End,
    Start,
    call_fingerprint,
    claim_name,
)
from vanillashore_outcome._retries import MAX_ATTEMPTS, Failure, RetryPolicy, final_refusal
from vanillashore_outcome._suspects import (
    MAX_CONVICTIONS,
    CrashFinding,
    InFlightRequest,
    IsolationStatus,
    SuspectRegistry,
)

__all__ = [
    "MAX_ATTEMPTS",
    "MAX_BARRED_RUNS",
    "MAX_CONVICTIONS",
    "Assembly",
    "AssemblyCounts",
    "Bar",
    "ClaimStep",
    "ClaimUpdate",
    "ClaimVerdict",
    "CrashFinding",
    "End",
    "Failure",
    "InFlightRequest",
    "IsolationStatus",
    "RetryPolicy",
    "Start",
    "SuspectRegistry",
    "call_fingerprint",
    "claim_name",
    "final_refusal",
]
