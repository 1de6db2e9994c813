"""The client side of grants: which holder to ask, and how long a grant may be used."""

from vanillashore_share._timing import ShareTiming
from vanillashore_wire import Grant, ShareRow

FIRST_AVOID_S = 1.0
MAX_AVOID_S = 8.0


class HolderSelector:
    """Orders the holders of a partition; those that failed recently come last."""

    def __init__(self) -> None:
        self._failures: dict[str, int] = {}
        self._avoided_until: dict[str, float] = {}

    def candidates(self, row: ShareRow, now: float) -> list[str]:
        """Return all holders in the order in which to ask them; avoided ones come last."""
        owners = list(dict.fromkeys(row.owners))
        return sorted(owners, key=lambda name: self._avoided_until.get(name, 0.0) > now)

    def record_failure(self, holder: str, now: float) -> None:
        """Avoid a holder for a time that doubles with each consecutive failure."""
        failures = self._failures.get(holder, 0)
        self._failures[holder] = failures + 1
        self._avoided_until[holder] = now + min(MAX_AVOID_S, FIRST_AVOID_S * 2**failures)

    def record_success(self, holder: str) -> None:
        """Stop avoiding a holder."""
        self._failures.pop(holder, None)
        self._avoided_until.pop(holder, None)


def usable_until(requested_at: float, grant: Grant, valid_s: float, cfg: ShareTiming) -> float:
    """Return when a grant expires.

    The holder took the tokens ``grant.waited_s`` after it received the request, and it received the
    request no earlier than ``requested_at``. The validity is counted from the sum of both, so the
    network delay shortens it, but the time in the holder's queue does not.
    """
    bound = cfg.clock_rate_bound
    return requested_at + grant.waited_s * (1 - bound) + valid_s * (1 - bound)
