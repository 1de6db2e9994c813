"""Grants that a holder gave out, so that each is refunded at most once."""

import attrs

from vanillashore_share._buckets import ShareBuckets

MAX_AGE_S = 900.0


@attrs.frozen
class GrantPart:
    """Tokens of a grant that came from one share."""

    buckets: ShareBuckets
    tokens: float


@attrs.frozen
class GivenGrant:
    """A grant; ``waited_s`` is how long its ask had waited when the tokens were taken."""

    workspace: str
    parts: tuple[GrantPart, ...]
    waited_s: float
    given_at: float


class GrantLedger:
    """Remembers each grant until it is refunded or too old."""

    def __init__(self) -> None:
        self._grants: dict[tuple[str, int], GivenGrant] = {}

    def __len__(self) -> int:
        return len(self._grants)

    def add(self, sender: str, grant: int, given: GivenGrant) -> None:
        """Remember a grant."""
        self._grants[sender, grant] = given

    def find(self, sender: str, grant: int) -> GivenGrant | None:
        """Return a grant that was neither refunded nor forgotten."""
        return self._grants.get((sender, grant))

    def settle(self, sender: str, grant: int) -> GivenGrant | None:
        """Return a grant for its refund and forget it, so that no other refund counts."""
        return self._grants.pop((sender, grant), None)

    def forget_old(self, now: float) -> None:
        """Drop grants that are too old to be refunded; the oldest stand first."""
        for key, given in list(self._grants.items()):
            if now - given.given_at < MAX_AGE_S:
                return
            del self._grants[key]
