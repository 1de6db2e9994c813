"""Loans, refunds and grants one at a time."""

import pytest

from vanillashore_schema import ShareSettings, WorkspaceConfig
from vanillashore_share import usable_until
from vanillashore_share._borrowed import BorrowedShare
from vanillashore_share._buckets import EMPTY, FULL, ShareBuckets
from vanillashore_share._owned import Borrower, OwnedShare
from vanillashore_share._rates import RateBook
from vanillashore_wire import Grant, LoanAnswer, LoanAsk

CFG = ShareSettings(clock_rate_bound=0.0)
NAME = "w"
BORROWER = Borrower("b", 1, 0)


def book(rate: float = 3.0, burst: float = 30.0) -> RateBook:
    rates = RateBook(CFG)
    rates.replace([WorkspaceConfig(NAME, rate, burst)])
    return rates


def test_doubled_answer_does_not_start_a_returned_loan_again() -> None:
    share = BorrowedShare(book(), CFG, 0, 1, 0)
    share.next_ask(7, 0.0)
    answer = LoanAnswer(0, 1, 5, FULL)
    share.take_answer(7, answer, 0.1)
    assert share.buckets(0.1) is not None
    share.release(0.2)
    share.take_answer(7, answer, 0.3)
    assert share.buckets(0.3) is None


def test_loan_counts_from_the_asking() -> None:
    share = BorrowedShare(book(), CFG, 0, 1, 0)
    share.next_ask(7, 0.0)
    share.take_answer(7, LoanAnswer(0, 1, 5, FULL), 1.9)
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
def test_running_loan_is_not_renewed_for_another(borrower: Borrower, loan: int) -> None:
    owned = OwnedShare(book(), CFG, 0, FULL, 0.0)
    assert owned.lend(LoanAsk(0, 1, 0, 0), BORROWER, 5, 0.0).loan == 5
    assert owned.lend(LoanAsk(0, 1, 0, loan), borrower, 9, 1.0).loan == 0
    assert owned.buckets(1.9) is None
    assert owned.buckets(2.0).level(NAME, 2.0) == 0.0


def test_late_refund_does_not_lift_the_bucket_above_what_it_would_have_held() -> None:
    buckets = ShareBuckets(book(), FULL, 0.0)
    full = buckets.level(NAME, 0.0)
    buckets.take(NAME, full, 0.0)
    assert buckets.level(NAME, 60.0) == full
    buckets.take(NAME, full, 60.0)
    buckets.put_back(NAME, full, 0.0, 60.0)
    assert buckets.level(NAME, 60.0) == 0.0


def test_refund_puts_back_what_there_was_room_for_since() -> None:
    buckets = ShareBuckets(book(), FULL, 0.0)
    full = buckets.level(NAME, 0.0)
    buckets.take(NAME, full, 0.0)
    buckets.put_back(NAME, 4.0, 0.0, 1.0)
    assert buckets.level(NAME, 1.0) == pytest.approx(5.0)


def test_changed_rate_counts_from_its_change() -> None:
    rates = book(rate=3.0, burst=30.0)
    buckets = ShareBuckets(rates, EMPTY, 0.0)
    buckets.settle(NAME, 1.0)
    rates.replace([WorkspaceConfig(NAME, 300.0, 3_000.0)])
    assert buckets.level(NAME, 1.0) == pytest.approx(1.0)


def test_grant_is_usable_from_the_earliest_time_at_which_it_was_taken() -> None:
    assert usable_until(10.0, Grant(2.0), 0.5, CFG) == 12.5
