"""A share as seen by a holder that borrows it."""

import attrs

from vanillashore_share._buckets import ShareBuckets
from vanillashore_share._rates import RateTable
from vanillashore_share._timing import ShareTiming
from vanillashore_wire import LoanAnswer, LoanRequest, LoanReturn, ShareLevels

LOAN_RETRY_S = 0.25


@attrs.frozen
class _SentRequest:
    sent_at: float
    loan: int


class BorrowedShare:
    """A share of another owner that this holder requests on loan.

    The borrower counts the loan from when it sent the request, the owner from when it answered, so
    the loan expires at the borrower first.
    """

    def __init__(
        self, rates: RateTable, cfg: ShareTiming, partition: int, index: int, epoch: int
    ) -> None:
        self.epoch = epoch
        self._rates = rates
        self._cfg = cfg
        self._partition = partition
        self._index = index
        self._sent: dict[int, _SentRequest] = {}
        self._next_request_at = 0.0
        self._loan = 0
        self._ends_at = 0.0
        self._buckets: ShareBuckets | None = None

    def buckets(self, now: float) -> ShareBuckets | None:
        """Return the buckets if the loan has not expired; every use checks the clock."""
        if self._buckets is not None and self._has_ended(now):
            self._end()
        return self._buckets

    def next_request(self, loan_request_id: int, now: float) -> LoanRequest | None:
        """Return a loan or renewal request if one is due."""
        if now < self._next_request_at:
            return None
        self.buckets(now)
        self._forget_old_requests(now)
        self._sent[loan_request_id] = _SentRequest(now, self._loan)
        self._next_request_at = self._next_renewal(now) if self._loan else now + LOAN_RETRY_S
        return LoanRequest(self._partition, self._index, self.epoch, self._loan)

    def handle_answer(
        self, loan_request_id: int, answer: LoanAnswer, now: float
    ) -> LoanReturn | None:
        """Start, renew or end the loan; repeated answers are ignored.

        Returns the message that returns the loan if its owner refused to renew it.
        """
        sent = self._sent.pop(loan_request_id, None)
        if sent is None:
            return None
        has_loan = self.buckets(now) is not None
        ends_at = sent.sent_at + self._cfg.loan_s * (1 - self._cfg.clock_rate_bound)
        if answer.loan and has_loan and answer.loan == self._loan:
            self._ends_at = max(self._ends_at, ends_at)
        elif answer.levels is not None and not has_loan:
            self._start(answer.loan, answer.levels, ends_at, now)
        elif not answer.loan and has_loan and sent.loan == self._loan:
            return self.release(now)
        return None

    def release(self, now: float) -> LoanReturn | None:
        """Stop using the loan and return the message that returns it, or None without a loan."""
        self._next_request_at = now + LOAN_RETRY_S
        buckets = self.buckets(now)
        if buckets is None:
            return None
        returned = LoanReturn(self._partition, self._index, self._loan, buckets.export(now))
        self._end()
        return returned

    def _start(self, loan: int, levels: ShareLevels, ends_at: float, now: float) -> None:
        self._loan = loan
        self._ends_at = ends_at
        self._buckets = ShareBuckets(self._rates, levels, now)
        self._next_request_at = self._next_renewal(now)
        self.buckets(now)

    def _next_renewal(self, now: float) -> float:
        """Return the next common renewal time, so that renewals to one owner share a message."""
        return (now // self._cfg.renewal_s + 1) * self._cfg.renewal_s

    def _has_ended(self, now: float) -> bool:
        return now >= self._ends_at

    def _end(self) -> None:
        self._buckets = None
        self._loan = 0

    def _forget_old_requests(self, now: float) -> None:
        cutoff = now - self._cfg.loan_s
        self._sent = {
            loan_request_id: sent
            for loan_request_id, sent in self._sent.items()
            if sent.sent_at > cutoff
        }
