"""State of the key-value stand-in: values with versions, leases, watchers and call counts."""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Callable

import attrs

VALUE_LIMIT_BYTES = 1_000_000


@attrs.define
class KvItem:
    """A stored value; ``lease`` is 0 if none holds it."""

    value: bytes
    version: int
    lease: int


@attrs.define
class KvLease:
    """A lease and the time at which it lapses unless it is renewed."""

    ttl_s: float
    lapses_at: float


class KvState:
    """Values with compare-and-swap, leases and watches; ``clock`` gives seconds."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._base_clock = clock
        self._ahead_s = 0.0
        self._items: dict[str, KvItem] = {}
        self._leases: dict[int, KvLease] = {}
        self._lease_ids = itertools.count(1)
        self._watchers: dict[str, list[asyncio.Queue[KvItem]]] = {}
        self.revision = 0
        self.calls: Counter[str] = Counter()
        self.write_requests: Counter[str] = Counter()
        self.read_requests: Counter[str] = Counter()
        self.traffic_bytes = 0

    def advance(self, seconds: float) -> None:
        """Let time pass for leases without waiting."""
        self._ahead_s += seconds

    def get(self, key: str) -> KvItem | None:
        """Return the live item of ``key``."""
        self._drop_lapsed()
        return self._items.get(key)

    def compare_and_swap(self, key: str, expected: int, value: bytes, lease: int) -> bool:
        """Write if the version of ``key`` is ``expected`` (0: absent) and the lease is alive."""
        current = self.get(key)
        if (current.version if current else 0) != expected:
            return False
        if len(value) > VALUE_LIMIT_BYTES or (lease and lease not in self._leases):
            raise ValueError("value too large or lease not found")
        self.revision += 1
        item = KvItem(value, self.revision, lease)
        self._items[key] = item
        for queue in self._watchers.get(key, ()):
            queue.put_nowait(item)
        return True

    def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        lease = next(self._lease_ids)
        self._leases[lease] = KvLease(ttl_s, self._clock() + ttl_s)
        return lease

    def renew_lease(self, lease: int) -> float:
        """Renew a lease and return its time to live, or 0 if it has lapsed."""
        self._drop_lapsed()
        found = self._leases.get(lease)
        if found is None:
            return 0
        found.lapses_at = self._clock() + found.ttl_s
        return found.ttl_s

    def subscribe(self, key: str) -> asyncio.Queue[KvItem]:
        """Return a queue that receives each new item of ``key``."""
        queue: asyncio.Queue[KvItem] = asyncio.Queue()
        self._watchers.setdefault(key, []).append(queue)
        return queue

    def watchers(self, key: str) -> int:
        """Return how many watches on ``key`` are open."""
        return len(self._watchers.get(key, ()))

    def unsubscribe(self, key: str, queue: asyncio.Queue[KvItem]) -> None:
        """Stop feeding ``queue``."""
        self._watchers[key].remove(queue)

    def _clock(self) -> float:
        return self._base_clock() + self._ahead_s

    def _drop_lapsed(self) -> None:
        now = self._clock()
        lapsed = {lease for lease, found in self._leases.items() if found.lapses_at <= now}
        if not lapsed:
            return
        for lease in lapsed:
            del self._leases[lease]
        self._items = {k: item for k, item in self._items.items() if item.lease not in lapsed}
