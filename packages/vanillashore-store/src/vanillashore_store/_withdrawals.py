"""Keys that announced changes withdraw, while it is not known whether those are accepted."""

import attrs

from vanillashore_wire import Withdrawal

VALID_S = 30.0  # With the store in reach; an apply gives up after half of that.


@attrs.define
class _Announced:
    withdrawal: Withdrawal
    seen_at: float


class PendingWithdrawals:
    """One process's copy of the announcements for revisions that it does not have yet.

    Several changes that race for one revision may be announced at once, so all are kept. An
    announcement that is dropped stays known without its keys, so that peers drop it too and none
    brings it back. Time is passed in, in seconds.
    """

    def __init__(self) -> None:
        self._announced: dict[str, _Announced] = {}

    def handle_announcement(self, withdrawal: Withdrawal, revision: int, now: float) -> bool:
        """Take an announcement while ``revision`` is in force; return whether it is news."""
        known = self._announced.get(withdrawal.apply_id)
        is_drop = known is not None and bool(known.withdrawal.key_hashes)
        if withdrawal.revision <= revision:
            return False
        if known is not None and not (is_drop and not withdrawal.key_hashes):
            return False
        self._announced[withdrawal.apply_id] = _Announced(withdrawal, now)
        return True

    def remove_decided(self, revision: int) -> None:
        """Forget what ``revision``, now in force, has decided."""
        self._announced = {
            name: announced
            for name, announced in self._announced.items()
            if announced.withdrawal.revision > revision
        }

    def drop_expired(self, now: float) -> list[Withdrawal]:
        """Drop the keys of announcements whose change did not come, and return those."""
        dropped = []
        for announced in self._announced.values():
            if announced.withdrawal.key_hashes and now - announced.seen_at > VALID_S:
                dropped.append(announced.withdrawal)
                announced.withdrawal = attrs.evolve(announced.withdrawal, key_hashes=())
        return dropped

    def current(self) -> tuple[Withdrawal, ...]:
        """Return all announcements, for peers."""
        return tuple(announced.withdrawal for announced in self._announced.values())

    def state_labels(self) -> tuple[str, ...]:
        """Return what tells this state apart from others."""
        return tuple(sorted(f"{w.apply_id}/{len(w.key_hashes)}" for w in self.current()))

    def find(self, key_hash: str) -> Withdrawal | None:
        """Return the announcement that withdraws a key."""
        return next((w for w in self.current() if key_hash in w.key_hashes), None)
