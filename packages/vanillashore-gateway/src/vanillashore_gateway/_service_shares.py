"""Which workspaces and sizes of generations get less than their share of the slots."""

from collections import deque
from typing import Protocol

import attrs

from vanillashore_gateway._domain import LOWEST_RANK

# A group that is served less often than this, compared with all, goes first inside its rank. The
# operators require a quarter for a workspace and half for the largest generations.
MIN_WORKSPACE_SHARE = 0.5
MIN_SIZE_SHARE = 0.75
DECAY_S = 4.0  # Half of the weight of what was asked and served lapses in this time.
MIN_ASKED = 3.0  # Fewer say nothing about a group.
MAX_GROUPS = 1_024
RECENT_SIZES = 400
MIN_SIZES = 40
# The largest tenth, and the fifth below it.
SIZE_QUANTILES = (0.7, 0.9)
QUANTILES_EVERY = 20  # Sizes between two computations of the quantiles.


@attrs.define
class _Counts:
    asked: float = 0.0
    served: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self.at) / DECAY_S)
        self.asked *= factor
        self.served *= factor
        self.at = now

    @property
    def share(self) -> float:
        return self.served / self.asked if self.asked else 1.0


class SizedAsk(Protocol):
    """A generation that asks for a slot."""

    @property
    def rank(self) -> int:
        """The urgency; 0 is the most urgent."""
        ...

    @property
    def workspace(self) -> str:
        """The name of the workspace."""
        ...

    @property
    def tokens(self) -> int:
        """The size."""
        ...


class ServiceShares:
    """How often groups of generations were asked for and served lately.

    Example::

        shares.record_asked(ask, now)
        if shares.is_behind(ask):
            ...  # goes first inside its rank
        shares.record_served(ask, now)
    """

    def __init__(self) -> None:
        self._counts: dict[tuple[int, str, str], _Counts] = {}
        self._sizes: deque[int] = deque(maxlen=RECENT_SIZES)
        self._limits: tuple[int, ...] = ()
        self._until_limits = 0

    def record_asked(self, ask: SizedAsk, now: float) -> None:
        """Record a generation that asks for a slot."""
        self._sizes.append(ask.tokens)
        self._until_limits -= 1
        if len(self._sizes) >= MIN_SIZES and self._until_limits <= 0:
            ordered = sorted(self._sizes)
            self._limits = tuple(ordered[int(len(ordered) * q)] for q in SIZE_QUANTILES)
            self._until_limits = QUANTILES_EVERY
        for counts in self._groups(ask, now):
            counts.asked += 1

    def record_served(self, ask: SizedAsk, now: float) -> None:
        """Record that one gets a slot."""
        for counts in self._groups(ask, now):
            counts.served += 1

    def is_behind(self, ask: SizedAsk) -> bool:
        """Whether a generation's workspace or size is served far less often than its rank."""
        total = self._counts.get((ask.rank, "", ""))
        if total is None or total.asked < MIN_ASKED:
            return False
        for key, least in (
            (self._workspace_key(ask), MIN_WORKSPACE_SHARE),
            (self._size_key(ask), MIN_SIZE_SHARE),
        ):
            counts = self._counts.get(key)
            is_known = counts is not None and counts.asked >= MIN_ASKED
            if is_known and counts.share < least * total.share:
                return True
        return False

    def _groups(self, ask: SizedAsk, now: float) -> list[_Counts]:
        found = []
        for key in ((ask.rank, "", ""), self._workspace_key(ask), self._size_key(ask)):
            counts = self._counts.get(key)
            if counts is None:
                if len(self._counts) >= MAX_GROUPS:
                    del self._counts[min(self._counts, key=lambda k: self._counts[k].at)]
                counts = self._counts[key] = _Counts(at=now)
            counts.decay(now)
            found.append(counts)
        return found

    def _workspace_key(self, ask: SizedAsk) -> tuple[int, str, str]:
        return min(ask.rank, LOWEST_RANK), "workspace", ask.workspace

    def _size_key(self, ask: SizedAsk) -> tuple[int, str, str]:
        level = sum(ask.tokens >= limit for limit in self._limits)
        return ask.rank, "size", str(level)
