"""A share at its owner, which uses it or lends it."""

import attrs

from vanillashore_share._buckets import EMPTY, ShareBuckets
from vanillashore_share._rates import RateBook
from vanillashore_share._timing import ShareTiming
from vanillashore_wire import LoanAnswer, LoanAsk, LoanReturn, ShareLevels


@attrs.frozen
class Borrower:
    """A process that borrows; ``order`` is its place among the partition's holders."""

    name: str
    incarnation: int
    order: int

    def is_process(self, other: "Borrower") -> bool:
        """Whether this is the same process, not another one under the same name."""
        return (self.name, self.incarnation) == (other.name, other.incarnation)


@attrs.define
class _Loan:
    id: int
    borrower: Borrower
    lapses_at: float
    recalled: bool = False


class OwnedShare:
    """A share that this process owns as ``epoch``.

    It is used here, or lent to one borrower, or not in use at all. While ``recalled`` is set it is
    not lent, and a borrower is told to return it when it asks to renew. The levels of a loan that
    was not returned are unknown, so after it the buckets begin empty.
    """

    def __init__(
        self,
        book: RateBook,
        cfg: ShareTiming,
        epoch: int,
        levels: ShareLevels,
        usable_at: float,
        awaits_handover: bool = False,
    ) -> None:
        self.epoch = epoch
        self.recalled = False
        self.suspended = False
        self._book = book
        self._cfg = cfg
        self._first_levels = levels
        self._usable_at = usable_at
        self._buckets: ShareBuckets | None = None
        self._loan: _Loan | None = None
        self._awaits_handover = awaits_handover

    def buckets(self, now: float) -> ShareBuckets | None:
        """Return the buckets if they may be used here now."""
        if self.suspended:
            return None
        if self._loan is not None and now >= self._loan.lapses_at:
            self._usable_at = self._loan.lapses_at
            self._first_levels = EMPTY
            self._loan = None
        if self._loan is None and self._buckets is None and now >= self._usable_at:
            self._buckets = ShareBuckets(self._book, self._first_levels, self._usable_at)
        return self._buckets

    def borrower(self, now: float) -> str:
        """Return who has the share on loan; empty if nobody."""
        self.buckets(now)
        return self._loan.borrower.name if self._loan else ""

    def lend(self, ask: LoanAsk, borrower: Borrower, loan_id: int, now: float) -> LoanAnswer:
        """Lend the share or renew its loan, unless another has it or it was recalled."""
        buckets = self.buckets(now)
        if self.suspended or ask.epoch != self.epoch:
            return _refused(ask)
        if self._loan is not None:
            return self._renew(ask, borrower, now)
        if buckets is None or self.recalled or ask.loan:
            return _refused(ask)
        self._buckets = None
        self._loan = _Loan(loan_id, borrower, self._lapse_after(now))
        return LoanAnswer(ask.partition, ask.index, loan_id, buckets.export(now))

    def take_back(self, returned: LoanReturn, now: float) -> bool:
        """Take a loan back with its levels; return whether it was still running."""
        self.buckets(now)
        if self._loan is None or self._loan.id != returned.loan:
            return False
        self._loan = None
        self._buckets = ShareBuckets(self._book, returned.levels, now)
        return True

    def suspend(self, now: float) -> ShareLevels | None:
        """Stop using the share for good; ``None`` if it is not here to be given away."""
        buckets = self.buckets(now)
        if buckets is None:
            return None
        self.suspended = True
        self._buckets = None
        return buckets.export(now)

    def recall_loan(self, loan_id: int) -> None:
        """Do not renew a loan again."""
        if self._loan is not None and self._loan.id == loan_id:
            self._loan.recalled = True

    def handle_handover(self, levels: ShareLevels, now: float) -> None:
        """Begin with what the previous owner left, unless the share is in use already."""
        if self._awaits_handover and now < self._usable_at:
            self._first_levels = levels
            self._usable_at = now
        self._awaits_handover = False

    def _renew(self, ask: LoanAsk, borrower: Borrower, now: float) -> LoanAnswer:
        loan = self._loan
        is_same = loan.id == ask.loan and loan.borrower.is_process(borrower)
        if not is_same:
            loan.recalled = loan.recalled or borrower.order < loan.borrower.order
            return _refused(ask)
        if self.recalled or loan.recalled:
            return _refused(ask)
        loan.lapses_at = max(loan.lapses_at, self._lapse_after(now))
        return LoanAnswer(ask.partition, ask.index, loan.id)

    def _lapse_after(self, now: float) -> float:
        return now + self._cfg.loan_s * (1 + self._cfg.clock_rate_bound)


def _refused(ask: LoanAsk) -> LoanAnswer:
    return LoanAnswer(ask.partition, ask.index, 0)
