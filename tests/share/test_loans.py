"""Single loans, refunds and grants."""

import pytest

from vanillashore_schema import ShareSettings, WorkspaceConfig
from vanillashore_share import usable_until
from vanillashore_share._borrowed import BorrowedShare
from vanillashore_share._buckets import EMPTY, FULL, ShareBuckets
from vanillashore_share._owned import Borrower, OwnedShare
from vanillashore_share._rates import RateTable
from vanillashore_wire import Grant, LoanAnswer, LoanRequest

CFG = ShareSettings(clock_rate_bound=0.0)
NAME = "w"
BORROWER = Borrower("b", 1, 0)


def rate_table(rate: float = 3.0, burst: float = 30.0) -> RateTable:
    rates = RateTable(CFG)
    rates.replace([WorkspaceConfig(NAME, rate, burst)])
    return rates


def test_duplicate_answer_does_not_restart_a_returned_loan() -> None:
    share = BorrowedShare(rate_table(), CFG, 0, 1, 0)
    share.next_request(7, 0.0)
    answer = LoanAnswer(0, 1, 5, FULL)
    share.handle_answer(7, answer, 0.1)
    assert share.buckets(0.1) is not None
    share.release(0.2)
    share.handle_answer(7, answer, 0.3)
    assert share.buckets(0.3) is None


def test_loan_is_timed_from_the_request() -> None:
    share = BorrowedShare(rate_table(), CFG, 0, 1, 0)
    share.next_request(7, 0.0)
    share.handle_answer(7, LoanAnswer(0, 1, 5, FULL), 1.9)
    assert share.buckets(1.99) is not None
    assert share.buckets(2.0) is None


@pytest.mark.parametrize(
    ("borrower", "loan"),
    [
        (Borrower("b", 2, 0), 5),
        (Borrower("c", 1, 0), 5),
        (Borrower("b", 1, 0), 6),
    ],
)
def test_active_loan_is_not_renewed_for_another_borrower_or_loan(
    borrower: Borrower, loan: int
) -> None:
    owned = OwnedShare(rate_table(), CFG, 0, FULL, 0.0)
    assert owned.lend(LoanRequest(0, 1, 0, 0), BORROWER, 5, 0.0).loan == 5
    assert owned.lend(LoanRequest(0, 1, 0, loan), borrower, 9, 1.0).loan == 0
    assert owned.buckets(1.9) is None
    assert owned.buckets(2.0).level(NAME, 2.0) == 0.0


def test_late_refund_does_not_exceed_the_level_without_the_grant() -> None:
    buckets = ShareBuckets(rate_table(), FULL, 0.0)
    full = buckets.level(NAME, 0.0)
    buckets.take(NAME, full, 0.0)
    assert buckets.level(NAME, 60.0) == full
    buckets.take(NAME, full, 60.0)
    buckets.refund(NAME, full, 0.0, 60.0)
    assert buckets.level(NAME, 60.0) == 0.0


def test_refund_adds_the_tokens_that_would_not_have_overflowed() -> None:
    buckets = ShareBuckets(rate_table(), FULL, 0.0)
    full = buckets.level(NAME, 0.0)
    buckets.take(NAME, full, 0.0)
    buckets.refund(NAME, 4.0, 0.0, 1.0)
    assert buckets.level(NAME, 1.0) == pytest.approx(5.0)


def test_changed_rate_applies_from_its_change() -> None:
    rates = rate_table(rate=3.0, burst=30.0)
    buckets = ShareBuckets(rates, EMPTY, 0.0)
    buckets.accrue(NAME, 1.0)
    rates.replace([WorkspaceConfig(NAME, 300.0, 3_000.0)])
    assert buckets.level(NAME, 1.0) == pytest.approx(1.0)


def test_grant_validity_starts_at_the_earliest_time_of_issue() -> None:
    assert usable_until(10.0, Grant(2.0), 0.5, CFG) == 12.5
