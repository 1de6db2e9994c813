"""The entries that are registered at the store, with their addresses."""

from collections.abc import Callable, Mapping

from vanillashore_gateway._home_ranking import Address

# After an outage of the store, an entry whose lease has expired registers again in 3 s.
RETURN_GRACE_S = 4.0


class EntryList:
    """The registered entries, and for a while those that lapsed in an outage of the store.

    As the store returns after an outage, the registrations of all entries may be gone at once, and
    come back one by one. Without a grace time, each entry would have another short list meanwhile,
    and keep it if the store went away again. A short loss of contact lets no registration lapse, so
    it adds no more than its own length: an entry that has left is not kept by a watch that is cut
    again and again. Example::

        entries = EntryList(now)
        entries.put("a", ("10.0.0.1", 7500))
        entries.record_store_return()
        entries.remove("a")  # False: it is kept until `RETURN_GRACE_S` have passed
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._addresses: dict[str, Address] = {}
        self._lapsed: set[str] = set()
        self._grace_until = float("-inf")

    def __len__(self) -> int:
        return len(self._addresses)

    @property
    def addresses(self) -> Mapping[str, Address]:
        """The addresses of the entries by their names."""
        return self._addresses

    @property
    def next_expiry(self) -> float | None:
        """When entries that stay lapsed are dropped; ``None`` if there are none."""
        return self._grace_until if self._lapsed else None

    def record_store_return(self) -> None:
        """Start the grace time: the store is back after an outage."""
        self._grace_until = self._clock() + RETURN_GRACE_S

    def record_short_loss(self, lost_s: float) -> None:
        """Keep lapsed entries for the time in which their return could not be seen."""
        self._grace_until += lost_s

    def put(self, name: str, address: Address) -> None:
        """Add an entry, or change its address."""
        self._addresses[name] = address
        self._lapsed.discard(name)

    def remove(self, name: str) -> bool:
        """Remove an entry; return False if it is unknown, or kept as it may come back."""
        if name not in self._addresses:
            return False
        if self._clock() < self._grace_until:
            self._lapsed.add(name)
            return False
        del self._addresses[name]
        self._lapsed.discard(name)
        return True

    def replace_all(self, addresses: Mapping[str, Address]) -> None:
        """Replace the list by that of a snapshot."""
        for name in set(self._addresses) - set(addresses):
            self.remove(name)
        for name, address in addresses.items():
            self.put(name, address)

    def expire(self) -> list[str]:
        """Drop the entries that have not come back in time; return their names."""
        if self._clock() < self._grace_until:
            return []
        dropped = sorted(self._lapsed)
        self._lapsed.clear()
        for name in dropped:
            del self._addresses[name]
        return dropped
