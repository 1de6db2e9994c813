"""Announced withdrawals that are concurrent, arrive late or are never carried out."""

import attrs
import pytest

from vanillashore_store import PendingWithdrawals
from vanillashore_wire import Withdrawal

MINE = Withdrawal(3, "mine", ("a", "b"))
OTHER = Withdrawal(3, "other", ("c",))


def test_keys_are_pending_until_the_revision_is_in_force() -> None:
    pending = PendingWithdrawals()
    assert pending.handle_announcement(MINE, 2, 0.0)
    pending.remove_decided(2)
    assert pending.find("a") == MINE
    pending.remove_decided(3)
    assert pending.find("a") is None
    assert not pending.handle_announcement(MINE, 3, 1.0)


def test_concurrent_changes_of_one_revision_are_all_pending() -> None:
    pending = PendingWithdrawals()
    pending.handle_announcement(MINE, 2, 0.0)
    pending.handle_announcement(OTHER, 2, 0.1)
    assert [pending.find(key) for key in "abcd"] == [MINE, MINE, OTHER, None]


@pytest.mark.parametrize("late", [MINE, attrs.evolve(MINE, key_hashes=())])
def test_dropped_announcement_is_not_added_again_by_a_peer(late: Withdrawal) -> None:
    pending = PendingWithdrawals()
    pending.handle_announcement(MINE, 2, 0.0)
    assert pending.drop_expired(29.0) == []
    assert pending.drop_expired(31.0) == [MINE]
    assert not pending.handle_announcement(late, 2, 32.0)
    assert pending.find("a") is None


def test_peers_receive_dropped_announcements() -> None:
    relay, follower = PendingWithdrawals(), PendingWithdrawals()
    relay.handle_announcement(MINE, 2, 0.0)
    follower.handle_announcement(MINE, 2, 0.0)
    relay.drop_expired(31.0)
    assert relay.state_labels() != follower.state_labels()
    assert all(follower.handle_announcement(withdrawal, 2, 31.0) for withdrawal in relay.current())
    assert follower.find("a") is None
