"""Whether and after which pause a failed attempt is followed by another."""

import attrs

from vanillashore_resilience import RetryBudget
from vanillashore_wire import ErrorCode, Refused, WasExecuted

MAX_ATTEMPTS = 6
FIRST_PAUSE_S = 0.05
PAUSE_GROWTH = 3.0
MAX_PAUSE_S = 1.0
RETRY_AFTER_S = 1.0
RETRIED_CODES = frozenset(
    {
        ErrorCode.ENDPOINT_CRASHED,
        ErrorCode.ENDPOINT_FAILED,
        ErrorCode.ISOLATED,
        ErrorCode.PEER_UNREACHABLE,
        ErrorCode.RESERVATION_UNKNOWN,
        ErrorCode.REVISION_STALE,
        ErrorCode.ROLE_MISMATCH,
        ErrorCode.SHUTTING_DOWN,
    }
)
RETRIED_MID_ANSWER_CODES = RETRIED_CODES | {ErrorCode.OVERLOADED, ErrorCode.NO_ENDPOINT}


@attrs.frozen
class Failure:
    """A failed attempt; ``emitted`` tokens of the answer have been forwarded to the caller."""

    attempt: int
    refused: Refused
    emitted: int
    time_left_s: float


class RetryPolicy:
    """Decides whether and when a failed attempt is repeated.

    More error codes are retried once tokens of the answer have been forwarded to the caller.
    """

    def __init__(self, budget: RetryBudget) -> None:
        self._budget = budget

    def pause_s(self, failure: Failure) -> float | None:
        """Return the pause before the next attempt, or None if there is none."""
        codes = RETRIED_MID_ANSWER_CODES if failure.emitted else RETRIED_CODES
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * PAUSE_GROWTH ** (failure.attempt - 1))
        if failure.refused.code not in codes or failure.attempt >= MAX_ATTEMPTS:
            return None
        if pause_s >= failure.time_left_s or not self._budget.spend():
            return None
        return pause_s


def final_refusal(refused: Refused, was_dispatched: bool) -> Refused:
    """Return the refusal for the caller: whether the request may have run, and when to retry."""
    ran = WasExecuted.UNKNOWN if was_dispatched else refused.ran
    retry_after_s = refused.retry_after_s
    if retry_after_s is None and refused.code in RETRIED_CODES:
        retry_after_s = RETRY_AFTER_S
    return attrs.evolve(refused, ran=ran, retry_after_s=retry_after_s)
