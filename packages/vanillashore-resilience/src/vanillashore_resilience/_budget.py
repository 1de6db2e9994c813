"""A retry budget, so that an outage does not multiply the load."""

import attrs

MAX_RETRIES_SAVED = 50.0
RETRIES_PER_REQUEST = 0.2


@attrs.define
class RetryBudget:
    """Each request earns a fraction of a retry, and each retry spends one.

    Example::

        budget = RetryBudget()
        budget.earn()
        if budget.spend():
            ...  # retry
    """

    earned_per_request: float = RETRIES_PER_REQUEST
    max_saved: float = MAX_RETRIES_SAVED
    saved: float = MAX_RETRIES_SAVED
    refused: int = 0

    def earn(self) -> None:
        """Add the fraction that a new request earns."""
        self.saved = min(self.max_saved, self.saved + self.earned_per_request)

    def spend(self) -> bool:
        """Spend one retry; return False if none is left."""
        if self.saved < 1.0:
            self.refused += 1
            return False
        self.saved -= 1.0
        return True
