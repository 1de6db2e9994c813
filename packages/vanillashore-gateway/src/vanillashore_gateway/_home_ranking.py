"""Choice of the home: the entry that keeps a count for all entries.

Each entry computes the same ranking from the list of entries (rendezvous hashing).
"""

from collections.abc import Sequence

import xxhash

Address = tuple[str, int]


def rank_homes(name: str, entries: Sequence[str]) -> list[str]:
    """Return the entries in the order in which they serve as the home of ``name``."""
    digest = xxhash.xxh64_intdigest(name.encode())

    def weight(entry: str) -> int:
        return xxhash.xxh64_intdigest(entry.encode(), seed=digest)

    return sorted(entries, key=weight, reverse=True)
