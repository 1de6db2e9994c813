"""Keys withdrawn by announced changes whose acceptance is not known yet."""

import attrs

from vanillashore_wire import Withdrawal

# Expiry is checked only after the head was read from the store. An apply gives up after 20 tries:
# after 10 s of pauses, or 50 s if every try takes the default store timeout of 2 s.
ANNOUNCEMENT_VALID_S = 30.0


@attrs.define
class _Announcement:
    withdrawal: Withdrawal
    seen_at: float


class PendingWithdrawals:
    """One process's copy of the announcements for revisions that it does not have yet.

    Concurrent changes may announce the same revision, so all announcements are kept. A dropped
    announcement is kept without its keys, so that peers drop it too and none can add it again.
    Times are passed in, in seconds.
    """

    def __init__(self) -> None:
        self._announcements: dict[str, _Announcement] = {}

    def handle_announcement(self, withdrawal: Withdrawal, revision: int, now: float) -> bool:
        """Record an announcement if it is for a later revision than ``revision``, the one in force.

        Returns whether it changed the copy.
        """
        known = self._announcements.get(withdrawal.apply_id)
        has_known_keys = known is not None and bool(known.withdrawal.key_hashes)
        if withdrawal.revision <= revision:
            return False
        if known is not None and not (has_known_keys and not withdrawal.key_hashes):
            return False
        self._announcements[withdrawal.apply_id] = _Announcement(withdrawal, now)
        return True

    def remove_decided(self, revision: int) -> None:
        """Remove the announcements of ``revision`` and earlier ones, once it is in force."""
        self._announcements = {
            name: announcement
            for name, announcement in self._announcements.items()
            if announcement.withdrawal.revision > revision
        }

    def drop_expired(self, now: float) -> list[Withdrawal]:
        """Drop the keys of expired announcements; return these as they were announced."""
        dropped = []
        for announcement in self._announcements.values():
            if (
                announcement.withdrawal.key_hashes
                and now - announcement.seen_at > ANNOUNCEMENT_VALID_S
            ):
                dropped.append(announcement.withdrawal)
                announcement.withdrawal = attrs.evolve(announcement.withdrawal, key_hashes=())
        return dropped

    def current(self) -> tuple[Withdrawal, ...]:
        """Return all announcements, for peers."""
        return tuple(announcement.withdrawal for announcement in self._announcements.values())

    def state_labels(self) -> tuple[str, ...]:
        """Return labels that are equal for processes with the same announcements and keys."""
        return tuple(sorted(f"{w.apply_id}/{len(w.key_hashes)}" for w in self.current()))

    def find(self, key_hash: str) -> Withdrawal | None:
        """Return the announcement that withdraws a key, or ``None``."""
        return next((w for w in self.current() if key_hash in w.key_hashes), None)
