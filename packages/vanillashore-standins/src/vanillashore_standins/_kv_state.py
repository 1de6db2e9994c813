"""State of the key-value stand-in: versioned values, leases, watchers and call counts."""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Callable

import attrs

MAX_VALUE_BYTES = 1_000_000


@attrs.define
class KvItem:
    """A stored value; ``lease`` is 0 if it is attached to no lease."""

    value: bytes
    version: int
    lease: int


@attrs.define
class KvLease:
    """A lease and the time at which it expires unless it is renewed."""

    ttl_s: float
    expires_at: float


class KvState:
    """Values with compare-and-swap, leases and watches; ``clock`` returns seconds."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._base_clock = clock
        self._clock_offset_s = 0.0
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
        """Advance the clock of the leases without waiting."""
        self._clock_offset_s += seconds

    def get(self, key: str) -> KvItem | None:
        """Return the item of ``key`` if it exists and its lease has not expired."""
        self._drop_expired()
        return self._items.get(key)

    def compare_and_swap(self, key: str, expected: int, value: bytes, lease: int) -> bool:
        """Write if the version of ``key`` is ``expected`` (0: absent); return whether it did.

        Raise ValueError if the value is too large or the lease has expired.
        """
        current = self.get(key)
        if (current.version if current else 0) != expected:
            return False
        if len(value) > MAX_VALUE_BYTES or (lease and lease not in self._leases):
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
        """Renew a lease and return its time to live, or 0 if it has expired."""
        self._drop_expired()
        found = self._leases.get(lease)
        if found is None:
            return 0
        found.expires_at = self._clock() + found.ttl_s
        return found.ttl_s

    def subscribe(self, key: str) -> asyncio.Queue[KvItem]:
        """Return a queue that receives each new item of ``key``."""
        queue: asyncio.Queue[KvItem] = asyncio.Queue()
        self._watchers.setdefault(key, []).append(queue)
        return queue

    def watchers(self, key: str) -> int:
        """Return the number of open watches on ``key``."""
        return len(self._watchers.get(key, ()))

    def unsubscribe(self, key: str, queue: asyncio.Queue[KvItem]) -> None:
        """Stop sending new items of ``key`` to ``queue``."""
        self._watchers[key].remove(queue)

    def _clock(self) -> float:
        return self._base_clock() + self._clock_offset_s

    def _drop_expired(self) -> None:
        now = self._clock()
        expired = {lease for lease, found in self._leases.items() if found.expires_at <= now}
        if not expired:
            return
        for lease in expired:
            del self._leases[lease]
        self._items = {k: item for k, item in self._items.items() if item.lease not in expired}
