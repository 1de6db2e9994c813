"""A share at its owner, which uses or lends it."""

import attrs

from vanillashore_share._buckets import EMPTY, ShareBuckets
from vanillashore_share._rates import RateTable
from vanillashore_share._timing import ShareTiming
from vanillashore_wire import LoanAnswer, LoanRequest, LoanReturn, ShareLevels


@attrs.frozen
class Borrower:
    """A process that borrows; ``order`` is its position among the partition's owners."""

    name: str
    incarnation: int
    order: int

    def is_process(self, other: "Borrower") -> bool:
        """Whether this is the same process, not just one of the same name."""
        return (self.name, self.incarnation) == (other.name, other.incarnation)


@attrs.define
class _Loan:
    id: int
    borrower: Borrower
    expires_at: float
    recalled: bool = False


class OwnedShare:
    """A share that this process owns in ``epoch``.

    It is used here, lent to one borrower, or unused. While ``recalled`` is set, it is not lent and
    renewals are refused, so a borrower returns it. The levels of a loan that expired without being
    returned are unknown, so the buckets then start empty.
    """

    def __init__(
        self,
        rates: RateTable,
        cfg: ShareTiming,
        epoch: int,
        levels: ShareLevels,
        usable_at: float,
        awaits_handover: bool = False,
    ) -> None:
        self.epoch = epoch
        self.recalled = False
        self.suspended = False
        self._rates = rates
        self._cfg = cfg
        self._first_levels = levels
        self._usable_at = usable_at
        self._buckets: ShareBuckets | None = None
        self._loan: _Loan | None = None
        self._awaits_handover = awaits_handover

    def buckets(self, now: float) -> ShareBuckets | None:
        """Return the buckets if the owner may use them now."""
        if self.suspended:
            return None
        if self._loan is not None and now >= self._loan.expires_at:
            self._usable_at = self._loan.expires_at
            self._first_levels = EMPTY
            self._loan = None
        if self._loan is None and self._buckets is None and now >= self._usable_at:
            self._buckets = ShareBuckets(self._rates, self._first_levels, self._usable_at)
        return self._buckets

    def borrower(self, now: float) -> str:
        """Return the name of the borrower; empty if the share is not lent."""
        self.buckets(now)
        return self._loan.borrower.name if self._loan else ""

    def lend(
        self, request: LoanRequest, borrower: Borrower, loan_id: int, now: float
    ) -> LoanAnswer:
        """Lend the share or renew its loan, unless it is lent to another or recalled."""
        buckets = self.buckets(now)
        if self.suspended or request.epoch != self.epoch:
            return _refused(request)
        if self._loan is not None:
            return self._renew(request, borrower, now)
        if buckets is None or self.recalled or request.loan:
            return _refused(request)
        self._buckets = None
        self._loan = _Loan(loan_id, borrower, self._loan_end(now))
        return LoanAnswer(request.partition, request.index, loan_id, buckets.export(now))

    def accept_return(self, returned: LoanReturn, now: float) -> bool:
        """Continue from the levels of a returned loan; return whether the loan was current."""
        self.buckets(now)
        if self._loan is None or self._loan.id != returned.loan:
            return False
        self._loan = None
        self._buckets = ShareBuckets(self._rates, returned.levels, now)
        return True

    def suspend(self, now: float) -> ShareLevels | None:
        """Stop using the share and return its levels; ``None`` if it is lent or not usable yet."""
        buckets = self.buckets(now)
        if buckets is None:
            return None
        self.suspended = True
        self._buckets = None
        return buckets.export(now)

    def recall_loan(self, loan_id: int) -> None:
        """Refuse all further renewals of a loan."""
        if self._loan is not None and self._loan.id == loan_id:
            self._loan.recalled = True

    def handle_handover(self, levels: ShareLevels, now: float) -> None:
        """Start from the previous owner's levels, unless the share is already usable."""
        if self._awaits_handover and now < self._usable_at:
            self._first_levels = levels
            self._usable_at = now
        self._awaits_handover = False

    def _renew(self, request: LoanRequest, borrower: Borrower, now: float) -> LoanAnswer:
        loan = self._loan
        is_same = loan.id == request.loan and loan.borrower.is_process(borrower)
        if not is_same:
            loan.recalled = loan.recalled or borrower.order < loan.borrower.order
            return _refused(request)
        if self.recalled or loan.recalled:
            return _refused(request)
        loan.expires_at = max(loan.expires_at, self._loan_end(now))
        return LoanAnswer(request.partition, request.index, loan.id)

    def _loan_end(self, now: float) -> float:
        return now + self._cfg.loan_s * (1 + self._cfg.clock_rate_bound)


def _refused(request: LoanRequest) -> LoanAnswer:
    return LoanAnswer(request.partition, request.index, 0)
