"""Attempts, claims, stream assembly and poison handling."""

from vanillashore_outcome._assembly import Assembly, AssemblyCounts
from vanillashore_outcome._budget import RetryBudget
from vanillashore_outcome._claims import (
    MAX_BARRED_RUNS,
    Bar,
    ClaimProcess,
    ClaimVerdict,
    Decision,
    End,
    Start,
    call_fingerprint,
    claim_name,
)

__all__ = [
    "MAX_BARRED_RUNS",
    "Assembly",
    "AssemblyCounts",
    "Bar",
    "ClaimProcess",
    "ClaimVerdict",
    "Decision",
    "End",
    "RetryBudget",
    "Start",
    "call_fingerprint",
    "claim_name",
]
