"""Which versions of a service count, and who writes them to the store."""

from vanillashore_gateway import Endpoint
from vanillashore_gateway._membership import Membership
from vanillashore_gateway._stream_origins import MAX_KEPT_S
from vanillashore_gateway._version_record import (
    MAX_RANK,
    RANK_DELAY_S,
    REWRITE_EVERY_S,
    VERSION_LEASE_S,
    ServiceVersion,
    VersionRecord,
)

V1, V2 = ServiceVersion("llm", "v1"), ServiceVersion("llm", "v2")


class Rig:
    """A record with a list of endpoints and this entry's rank."""

    def __init__(self, *versions: str, rank: int = 0) -> None:
        self.membership = Membership()
        self.rank = rank
        for number, version in enumerate(versions):
            self.put(number, version, 0.0)
        self.record = VersionRecord(self.membership, lambda name: self.rank)

    def put(self, number: int, version: str, now: float) -> None:
        endpoint = Endpoint(f"i-{number}", "llm", "10.0.0.1", 80, "dc-a", 8, software=version)
        self.membership.put(endpoint, now)

    def due(self, now: float) -> list[ServiceVersion]:
        return self.record.due(["llm"], now)


def test_nothing_is_due_while_one_version_counts() -> None:
    """Guards against billed writes without a release."""
    assert Rig("v1", "v1").due(0.0) == []


def test_home_writes_at_once_and_others_only_if_it_has_not() -> None:
    """Guards against a write of each entry for each version."""
    assert Rig("v1", "v2").due(0.0) == [V1, V2]
    second = Rig("v1", "v2", rank=1)
    assert second.due(0.0) == []
    second.record.put(V1, 1.0)
    assert second.due(RANK_DELAY_S) == [V2]
    assert Rig("v1", "v2", rank=MAX_RANK + 1).due(0.0) == []


def test_listed_version_is_written_again_well_before_its_lease_ends() -> None:
    """Guards against a record that expires during a long release."""
    rig = Rig("v1", "v2")
    for version in (V1, V2):
        rig.record.put(version, 0.0)
    assert rig.due(REWRITE_EVERY_S - 1.0) == []
    assert rig.due(REWRITE_EVERY_S) == [V1, V2]
    assert 2 * REWRITE_EVERY_S < VERSION_LEASE_S


def test_version_that_has_left_expires_and_counts_as_long_as_it_is_recorded() -> None:
    """Guards against a version that is kept for ever, or forgotten by an entry that starts."""
    rig = Rig("v1", "v2")
    rig.record.put(V1, 0.0)
    rig.put(0, "v2", 10.0)
    assert rig.due(REWRITE_EVERY_S + 1.0) == [V2]
    started_later = Rig("v2")
    assert started_later.record.counted("llm", 11.0) == {"v2"}
    started_later.record.replace_all([V1, V2], 11.0)
    assert started_later.record.counted("llm", 11.0) == {"v1", "v2"}
    started_later.record.remove(V1)
    assert started_later.record.counted("llm", 11.0) == {"v2"}


def test_version_that_left_at_once_is_written_once_and_not_after_it_has_expired() -> None:
    """Guards against an in-place release that is over before its first version is recorded."""
    rig = Rig("v1")
    rig.put(0, "v2", 10.0)
    assert rig.due(10.0) == [V1, V2]
    rig.record.put(V1, 10.0)
    rig.record.remove(V1)
    assert rig.due(10.0 + MAX_KEPT_S - 1.0) == [V2]
