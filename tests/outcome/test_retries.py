import pytest

from vanillashore_outcome import MAX_ATTEMPTS, Failure, RetryPolicy, final_refusal
from vanillashore_resilience import RetryBudget
from vanillashore_wire import ErrorCode, Refused, WasExecuted

FAILED = Refused(ErrorCode.ENDPOINT_FAILED, "")
OVERLOADED = Refused(ErrorCode.OVERLOADED, "", retry_after_s=7.0)
MALFORMED = Refused(ErrorCode.BAD_REQUEST, "")


@pytest.mark.parametrize(
    ("failure", "pause_s"),
    [
        (Failure(1, FAILED, 0, 60.0), 0.05),
        (Failure(2, FAILED, 0, 60.0), 0.15),
        (Failure(5, FAILED, 0, 60.0), 1.0),
        (Failure(MAX_ATTEMPTS, FAILED, 0, 60.0), None),
        (Failure(1, FAILED, 0, 0.01), None),
        (Failure(1, OVERLOADED, 0, 60.0), None),
        (Failure(1, OVERLOADED, 3, 60.0), 0.05),
        (Failure(1, MALFORMED, 3, 60.0), None),
    ],
)
def test_pause_before_the_next_attempt(failure: Failure, pause_s: float | None) -> None:
    got = RetryPolicy(RetryBudget()).pause_s(failure)
    assert got == (None if pause_s is None else pytest.approx(pause_s))


def test_during_an_outage_retries_are_limited_to_the_budget_and_a_fifth_of_the_requests() -> None:
    budget = RetryBudget()
    retries = 0
    for _ in range(1_000):
        budget.earn()
        while budget.spend():
            retries += 1
    assert retries == pytest.approx(50 + 200, abs=1)


@pytest.mark.parametrize(
    ("refused", "was_dispatched", "ran", "retry_after_s"),
    [
        (FAILED, True, WasExecuted.UNKNOWN, 1.0),
        (FAILED, False, WasExecuted.NO, 1.0),
        (OVERLOADED, True, WasExecuted.UNKNOWN, 7.0),
        (MALFORMED, False, WasExecuted.NO, None),
    ],
)
def test_final_refusal_states_whether_the_request_ran_and_when_to_retry(
    refused: Refused, was_dispatched: bool, ran: WasExecuted, retry_after_s: float | None
) -> None:
    final = final_refusal(refused, was_dispatched)
    assert (final.ran, final.retry_after_s) == (ran, retry_after_s)
