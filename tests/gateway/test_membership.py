"""The list of endpoints, also during and after outages of the store."""

import attrs

from vanillashore_gateway import Endpoint
from vanillashore_gateway._membership import RETURN_GRACE_S, Membership


def _endpoint(name: str, **changes: object) -> Endpoint:
    return attrs.evolve(Endpoint(name, "s", "10.0.0.1", 80, "dc", 8), **changes)


def _names(members: Membership) -> set[str]:
    return {e.instance for e in members.usable("s")}


def test_removed_and_leaving_endpoints_are_not_usable() -> None:
    members = Membership()
    members.replace_all([_endpoint("a"), _endpoint("b"), _endpoint("c")], 0.0)
    members.put(_endpoint("b", is_leaving=True), 0.0)
    assert members.remove("c", 1.0)
    assert _names(members) == {"a"}
    assert members.get("b") is not None


def test_endpoints_missing_after_an_outage_are_kept_for_the_grace_time() -> None:
    members = Membership()
    members.replace_all([_endpoint("a"), _endpoint("b")], 0.0)
    members.record_store_return(10.0)
    assert members.replace_all([], 10.0) == []
    assert _names(members) == {"a", "b"}
    members.put(_endpoint("a"), 0.0)
    assert members.expire(10.0 + RETURN_GRACE_S / 2) == []
    assert members.expire(10.0 + RETURN_GRACE_S) == ["b"]
    assert _names(members) == {"a"}


def test_removal_right_after_an_outage_takes_effect_after_the_grace_time() -> None:
    members = Membership()
    members.replace_all([_endpoint("a")], 0.0)
    members.record_store_return(10.0)
    assert not members.remove("a", 10.5)
    assert members.expire(10.0 + RETURN_GRACE_S) == ["a"]


def test_endpoint_that_is_removed_is_not_kept_by_a_watch_that_is_cut_again_and_again() -> None:
    members = Membership()
    members.replace_all([_endpoint("a")], 0.0)
    members.record_store_return(9.8)
    assert not members.remove("a", 10.0)
    for cut in range(1, 10):
        members.record_store_return(10.0 + cut)
    assert members.next_expiry <= 10.0 + RETURN_GRACE_S
    assert members.expire(10.0 + RETURN_GRACE_S) == ["a"]
    assert members.next_expiry is None


def test_endpoints_removed_after_different_returns_have_their_own_grace_times() -> None:
    members = Membership()
    members.replace_all([_endpoint("a"), _endpoint("b")], 0.0)
    members.record_store_return(10.0)
    members.remove("a", 10.1)
    members.record_store_return(11.0)
    members.remove("b", 11.1)
    assert members.expire(10.0 + RETURN_GRACE_S) == ["a"]
    assert members.expire(11.0 + RETURN_GRACE_S) == ["b"]


def test_leaving_takes_effect_at_once_even_right_after_an_outage() -> None:
    members = Membership()
    members.replace_all([_endpoint("a")], 0.0)
    members.record_store_return(10.0)
    members.put(_endpoint("a", is_leaving=True), 0.0)
    assert _names(members) == set()


def test_removal_without_an_outage_takes_effect_at_once() -> None:
    members = Membership()
    members.replace_all([_endpoint("a")], 0.0)
    assert members.remove("a", 5.0)
    assert not members.remove("a", 5.0)
    assert len(members) == 0


def test_endpoint_that_has_started_again_is_outdated_until_its_record_is_written() -> None:
    members = Membership()
    members.put(_endpoint("a", started_ms=1), 0.0)
    members.record_connection_lost("a")
    members.record_connection_lost("unknown")
    assert members.may_have_restarted(_endpoint("a"))
    assert not members.may_have_restarted(_endpoint("unknown"))
    members.record_start(_endpoint("a"), 1)
    assert not members.may_have_restarted(_endpoint("a"))
    assert not members.is_outdated(_endpoint("a"))
    members.record_start(_endpoint("a"), 2)
    assert members.is_outdated(_endpoint("a"))
    members.put(_endpoint("a", started_ms=1, is_leaving=True), 10.5)
    assert members.is_outdated(_endpoint("a"))
    members.put(_endpoint("a", started_ms=2), 10.6)
    assert not members.is_outdated(_endpoint("a"))


def test_versions_count_for_a_while_after_their_endpoints_have_left() -> None:
    members = Membership()
    for name, version in (("a", "v1"), ("b", "v2")):
        members.put(attrs.evolve(_endpoint(name), software=version), 0.0)
    service = _endpoint("a").service
    members.remove("a", 10.0)
    assert members.versions(service, since=10.0) == {"v1", "v2"}
    assert members.versions(service, since=10.1) == {"v2"}


def test_record_in_a_restored_list_replaces_what_is_known_of_an_earlier_start() -> None:
    members = Membership()
    members.put(_endpoint("a", started_ms=1), 0.0)
    members.put(_endpoint("b", started_ms=5), 0.0)
    members.put(_endpoint("c", started_ms=5), 0.0)
    members.record_start(_endpoint("c", started_ms=5), 4)
    members.put(_endpoint("d", started_ms=1, is_leaving=True), 0.0)
    restored = [_endpoint("a", started_ms=2, software="v2"), _endpoint("b", started_ms=4)]
    restored += [_endpoint("c", started_ms=4), _endpoint("d", started_ms=1)]
    members.merge_restored(restored, 1.0)
    starts = {name: members.get(name).started_ms for name in "abcd"}
    assert starts == {"a": 2, "b": 5, "c": 4, "d": 1}
    assert members.get("d").is_leaving
    assert not members.is_outdated(members.get("c"))
