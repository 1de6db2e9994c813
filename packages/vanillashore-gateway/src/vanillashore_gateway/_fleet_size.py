"""How many entries the fleet has, which limits for all entries together are divided by.

As registrations lapse in an outage of the store, the lists of all entries get short at once, and
stay so until the entries have registered again and the store is there to tell it. If each divided
a limit by the length of its list then, their parts would add up to a multiple of the limit.
"""

from collections import deque
from collections.abc import Callable

MEMORY_S = 120.0  # For all entries to come back after an outage, a restart or a release.
SETTLE_S = 4.0  # An entry whose lease has expired registers again in 3 s (`RENEW_EVERY_S`).
YOUNG_S = 10.0  # Within one window of the retry budget, little can be saved up.
# A deployment names three entries at most, however many it has.
MAX_NAMED_ENTRIES = 3


class FleetSize:
    """The number of entries, as far as this one knows.

    It is the largest number that was listed, or told by another entry, in the last `MEMORY_S`, and
    it does not fall until the list has been up to date and the same for `SETTLE_S`. Until then a
    process that has just started does not know the number either (``is_known``): its list may be
    short for the moment. With ``min_entries`` below `MAX_NAMED_ENTRIES`, the deployment has named
    all entries. ``is_list_fresh`` tells whether the list is up to date. Example::

        fleet = FleetSize(3, now)
        fleet.update(28)
        fleet.update(2)
        fleet.count  # 28
        fleet.part_listed  # 2 / 28
    """

    def __init__(self, min_entries: int, clock: Callable[[], float]) -> None:
        self.is_list_fresh: Callable[[], bool] = lambda: True
        self._min_entries = max(1, min_entries)
        self._clock = clock
        self._started_at = self._steady_since = clock()
        self._is_known = self._min_entries < MAX_NAMED_ENTRIES
        self._listed = 0
        # Larger numbers than the present one, in falling order, with the time that each was seen.
        self._seen: deque[tuple[float, int]] = deque()

    @property
    def count(self) -> int:
        """The number of entries, at least ``min_entries``."""
        if self._seen and self._is_steady():
            while self._seen and self._seen[0][0] < self._clock() - MEMORY_S:
                self._seen.popleft()
        seen = self._seen[0][1] if self._seen else 0
        return max(self._min_entries, self._listed, seen)

    @property
    def part_listed(self) -> float:
        """The part of the fleet that this entry lists."""
        return max(1, self._listed) / self.count

    @property
    def is_known(self) -> bool:
        """Whether the number is not just that of a list which may be short for the moment."""
        self._is_known = self._is_known or self._is_steady()
        return self._is_known

    @property
    def is_young(self) -> bool:
        """Whether the process has just started."""
        return self._clock() < self._started_at + YOUNG_S

    def update(self, listed: int) -> None:
        """Set the number of listed entries."""
        if listed == self._listed:
            return
        self._remember(self._listed)
        self._listed = listed
        self._steady_since = self._clock()

    def learn(self, count: int) -> None:
        """Take over the number that an entry has told which knows it."""
        self._remember(count)
        self._is_known = True

    def _is_steady(self) -> bool:
        """Whether the list has been up to date and the same for a while."""
        now = self._clock()
        if not self.is_list_fresh():
            self._steady_since = now
        return now - self._steady_since >= SETTLE_S

    def _remember(self, count: int) -> None:
        while self._seen and self._seen[-1][1] <= count:
            self._seen.pop()
        self._seen.append((self._clock(), count))
