"""Grants issued by a holder, recorded so that each is refunded at most once."""

import attrs

from vanillashore_share._buckets import ShareBuckets

MAX_GRANT_AGE_S = 900.0


@attrs.frozen
class GrantPart:
    """The tokens of a grant that were taken from one share."""

    buckets: ShareBuckets
    tokens: float


@attrs.frozen
class IssuedGrant:
    """An issued grant; ``waited_s`` is how long its request waited for the tokens."""

    workspace: str
    parts: tuple[GrantPart, ...]
    waited_s: float
    issued_at: float


class GrantLedger:
    """Stores each grant until it is refunded or older than `MAX_GRANT_AGE_S`."""

    def __init__(self) -> None:
        self._grants: dict[tuple[str, int], IssuedGrant] = {}

    def __len__(self) -> int:
        return len(self._grants)

    def add(self, sender: str, grant: int, issued: IssuedGrant) -> None:
        """Record a grant under its request's sender and number."""
        self._grants[sender, grant] = issued

    def find(self, sender: str, grant: int) -> IssuedGrant | None:
        """Return a grant, or None if it was refunded or has expired."""
        return self._grants.get((sender, grant))

    def settle(self, sender: str, grant: int) -> IssuedGrant | None:
        """Remove and return a grant for its refund, so that further refunds are ignored."""
        return self._grants.pop((sender, grant), None)

    def forget_old(self, now: float) -> None:
        """Drop grants that are too old to be refunded; the oldest come first."""
        for key, issued in list(self._grants.items()):
            if now - issued.issued_at < MAX_GRANT_AGE_S:
                return
            del self._grants[key]
