"""A share at a holder that borrows it."""

import attrs

from vanillashore_share._buckets import ShareBuckets
from vanillashore_share._rates import RateBook
from vanillashore_share._timing import ShareTiming
from vanillashore_wire import LoanAnswer, LoanAsk, LoanReturn, ShareLevels

RETRY_S = 0.25


@attrs.frozen
class _Asked:
    at: float
    loan: int


class BorrowedShare:
    """A share of another owner, which this holder tries to have on loan.

    The loan counts from when this process asked, the owner's from when it answered, so it ends
    here first.
    """

    def __init__(
        self, book: RateBook, cfg: ShareTiming, partition: int, index: int, epoch: int
    ) -> None:
        self.epoch = epoch
        self._book = book
        self._cfg = cfg
        self._partition = partition
        self._index = index
        self._asked: dict[int, _Asked] = {}
        self._ask_due = 0.0
        self._loan = 0
        self._ends_at = 0.0
        self._buckets: ShareBuckets | None = None

    def buckets(self, now: float) -> ShareBuckets | None:
        """Return the buckets if the loan runs; the clock is checked at each use."""
        if self._buckets is not None and self._has_ended(now):
            self._end()
        return self._buckets

    def next_ask(self, ask_id: int, now: float) -> LoanAsk | None:
        """Return the ask that is due now, if one is."""
        if now < self._ask_due:
            return None
        self.buckets(now)
        self._forget_old_asks(now)
        self._asked[ask_id] = _Asked(now, self._loan)
        self._ask_due = self._next_renewal(now) if self._loan else now + RETRY_S
        return LoanAsk(self._partition, self._index, self.epoch, self._loan)

    def take_answer(self, ask_id: int, answer: LoanAnswer, now: float) -> LoanReturn | None:
        """Start, renew or end the loan; an answer counts once.

        Returns the loan if its owner wants it back.
        """
        asked = self._asked.pop(ask_id, None)
        if asked is None:
            return None
        has_loan = self.buckets(now) is not None
        ends_at = asked.at + self._cfg.loan_s * (1 - self._cfg.clock_rate_bound)
        if answer.loan and has_loan and answer.loan == self._loan:
            self._ends_at = max(self._ends_at, ends_at)
        elif answer.levels is not None and not has_loan:
            self._start(answer.loan, answer.levels, ends_at, now)
        elif not answer.loan and has_loan and asked.loan == self._loan:
            return self.release(now)
        return None

    def release(self, now: float) -> LoanReturn | None:
        """Stop using the loan and return it."""
        self._ask_due = now + RETRY_S
        buckets = self.buckets(now)
        if buckets is None:
            return None
        returned = LoanReturn(self._partition, self._index, self._loan, buckets.export(now))
        self._end()
        return returned

    def _start(self, loan: int, levels: ShareLevels, ends_at: float, now: float) -> None:
        self._loan = loan
        self._ends_at = ends_at
        self._buckets = ShareBuckets(self._book, levels, now)
        self._ask_due = self._next_renewal(now)
        self.buckets(now)

    def _next_renewal(self, now: float) -> float:
        """Return the next time at which all loans are renewed, so that asks share messages."""
        return (now // self._cfg.renewal_s + 1) * self._cfg.renewal_s

    def _has_ended(self, now: float) -> bool:
        return now >= self._ends_at

    def _end(self) -> None:
        self._buckets = None
        self._loan = 0

    def _forget_old_asks(self, now: float) -> None:
        cut = now - self._cfg.loan_s
        self._asked = {ask: asked for ask, asked in self._asked.items() if asked.at > cut}
