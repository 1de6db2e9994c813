"""The retry budget of a service: an entry's own share and the pool that its home lends from.

Retries are only moved between entries, never made twice: each request earns a fraction of a retry
at its entry, and what the entry cannot keep goes to the pool of the service's home. So the retries
of all entries in a window are at most what its requests earned and what was saved up before it.
The caps below add up to one, which bounds the latter by ``max_saved``. A home that lists a part of
the fleet only keeps that part of the pool, as the other entries may have other homes.
"""

import math

import attrs

OWN_SHARE = 0.35  # Of `max_saved`, divided among all entries.
SURPLUS_SHARE = 0.05  # Divided among all entries: earned and not yet passed on to the home.
HOME_SHARE = 0.4
# For the second in the ranking, and for a home whose registration may have expired, as another
# entry may then be the home too.
SUBSTITUTE_SHARE = 0.2
# A new entry that knows the size of the fleet begins with this share of `max_saved`, divided among
# all entries. The gateway leaves a fifth of the fleet's slack unused, which covers four restarts of
# all entries in one window.
INITIAL_SHARE = 0.0625
# An entry that does not know the size of the fleet keeps this many, and lends as many at most.
MAX_UNCERTAIN = 1.0


@attrs.frozen
class RetryLimits:
    """The limits of a service's retries, for all entries together.

    They are divided by the number of ``entries``. An entry keeps at most ``max_kept``, whatever its
    share is.
    """

    per_request: float
    max_saved: float
    entries: int = 1
    max_kept: float = math.inf

    @property
    def own_cap(self) -> float:
        """How many retries an entry keeps for itself."""
        return min(self.max_kept, self.max_saved * OWN_SHARE / self.entries)

    def pool_cap(self, share: float, part_listed: float) -> float:
        """How much a home keeps that lists a part of the fleet."""
        return min(self.max_kept, self.max_saved * share * part_listed)

    @property
    def surplus_cap(self) -> float:
        """How much an entry holds until it passes it on."""
        return self.max_saved * SURPLUS_SHARE / self.entries

    @property
    def initial(self) -> float:
        """How many retries a new entry begins with."""
        return self.max_saved * INITIAL_SHARE / self.entries


@attrs.define
class OwnShare:
    """The retries of one service that an entry has earned and may use without asking."""

    saved: float = 0.0
    surplus: float = 0.0

    def earn(self, limits: RetryLimits) -> None:
        """Add what a new request earns; what exceeds the share is surplus for the home."""
        total = self.saved + limits.per_request
        self.saved = min(limits.own_cap, total)
        self.surplus = min(limits.surplus_cap, self.surplus + total - self.saved)

    def reserve(self) -> float:
        """Take up to one retry from the share; return how much there was."""
        taken = min(1.0, self.saved)
        self.saved -= taken
        return taken

    def give_back(self, amount: float, limits: RetryLimits) -> None:
        """Return what was reserved for a retry that is not made."""
        self.saved = min(limits.own_cap, self.saved + amount)

    def take_surplus(self) -> float:
        """Remove the surplus, to be passed on to the home."""
        surplus, self.surplus = self.surplus, 0.0
        return surplus

    def resize(self, limits: RetryLimits) -> None:
        """Apply new limits."""
        self.saved = min(limits.own_cap, self.saved)
        self.surplus = min(limits.surplus_cap, self.surplus)


class RetryPool:
    """The retries of services whose home is here; ``cap`` depends on this entry's rank.

    Example::

        pool.add("models", 0.3, cap=30.0)
        pool.lend("models", 0.2, cap=30.0)  # True
    """

    def __init__(self, max_services: int) -> None:
        self._max_services = max_services
        self._levels: dict[str, float] = {}

    def add(self, service: str, amount: float, cap: float) -> None:
        """Add what an entry did not keep."""
        if not math.isfinite(amount) or amount <= 0:
            return
        if service not in self._levels and len(self._levels) >= self._max_services:
            return
        self._levels[service] = min(cap, self._levels.get(service, 0.0) + amount)

    def lend(self, service: str, amount: float, cap: float) -> bool:
        """Lend part of a retry, at most one; return False if the pool has less."""
        level = min(cap, self._levels.get(service, 0.0))
        if service in self._levels:
            self._levels[service] = level
        if not 0 < amount <= min(1.0, level):
            return False
        self._levels[service] = level - amount
        return True

    def clear(self, service: str) -> None:
        """Drop the pool of a service whose home is no longer here."""
        self._levels.pop(service, None)

    def services(self) -> list[str]:
        """Return the services with a pool."""
        return list(self._levels)

    def level(self, service: str) -> float:
        """Return how many retries the pool of a service holds."""
        return self._levels.get(service, 0.0)
