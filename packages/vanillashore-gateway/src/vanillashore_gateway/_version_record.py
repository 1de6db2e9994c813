"""Which software versions of a service count: the listed ones, and those that left lately.

An entry remembers the versions that left. Entries that have just started do not, so while several
versions count they are also kept in the store, under leases.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from vanillashore_gateway._membership import Membership
from vanillashore_gateway._stream_origins import MAX_KEPT_S

VERSION_LEASE_S = 120.0
# Two rewrites may fail before a version that is still listed is lost.
REWRITE_EVERY_S = 40.0
# Between two entries that write the same version: longer than a watch takes to tell of a write.
RANK_DELAY_S = 2.0
MAX_RANK = 20  # The entries after that do not write.


class ServiceVersion(NamedTuple):
    """A version of a service's software."""

    service: str
    software: str


class VersionRecord:
    """Decides which versions count, and when this entry writes one of them to the store.

    ``rank_of`` returns this entry's place among the homes of a name. The first one writes a version
    at once; each other one only if its predecessors have not.
    """

    def __init__(self, membership: Membership, rank_of: Callable[[str], int]) -> None:
        self._membership = membership
        self._rank_of = rank_of
        self._recorded: dict[ServiceVersion, float] = {}  # With the time of the last write.
        self._missing_since: dict[ServiceVersion, float] = {}

    def put(self, version: ServiceVersion, now: float) -> None:
        """Note that a version was written to the store."""
        self._recorded[version] = now
        self._missing_since.pop(version, None)

    def remove(self, version: ServiceVersion) -> None:
        """Note that a version has expired in the store."""
        self._recorded.pop(version, None)

    def replace_all(self, versions: Iterable[ServiceVersion], now: float) -> None:
        """Note what a snapshot holds; when it was written is not known, so it is due again."""
        self._recorded = dict.fromkeys(versions, now - REWRITE_EVERY_S)

    def counted(self, service: str, now: float) -> set[str]:
        """Return the versions of a service of which a stream may be."""
        recorded = {v.software for v in self._recorded if v.service == service}
        return recorded | self._membership.versions(service, now - MAX_KEPT_S)

    def due(self, services: Iterable[str], now: float) -> list[ServiceVersion]:
        """Return the versions that this entry has to write now.

        A version that has left is only written if the store never had it. Otherwise it expires.
        """
        due = []
        for service in services:
            counted = self.counted(service, now)
            if len(counted) < 2:
                continue
            listed = self._membership.versions(service, now)
            known = self._membership.versions(service, now - REWRITE_EVERY_S)
            for version in (ServiceVersion(service, software) for software in sorted(counted)):
                due_at = self._due_at(version, version.software in listed, now)
                if version.software in known and due_at is not None and now >= due_at:
                    due.append(version)
        return due

    def _due_at(self, version: ServiceVersion, is_listed: bool, now: float) -> float | None:
        rank = self._rank_of("/".join(version))
        if rank > MAX_RANK:
            return None
        written_at = self._recorded.get(version)
        if written_at is None:
            return self._missing_since.setdefault(version, now) + rank * RANK_DELAY_S
        return written_at + REWRITE_EVERY_S + rank * RANK_DELAY_S if is_listed else None
