"""Trials of suspect requests in the platform's store: one at a time over the whole fleet."""

import contextlib
import secrets
from enum import StrEnum

import attrs

from vanillashore_store._store import KeyValueStore, StoreUnavailableError
from vanillashore_wire import decode, encode

TRIAL_PREFIX = "vanillashore/trial/"
TRIAL_S = 60
VERDICT_S = 86_400
END_TRIES = 3


class TrialState(StrEnum):
    """State of a suspect's trial."""

    OPEN = "open"
    RUNNING = "running"
    CLEARED = "cleared"
    CONVICTED = "convicted"


_FREE_STATES = frozenset({TrialState.OPEN, TrialState.CLEARED})


@attrs.frozen
class Trial:
    """A suspect's record; ``token`` is its last writer's."""

    state: TrialState
    token: str


@attrs.frozen
class TrialAttempt:
    """What `TrialStore.begin` found; the turn is the caller's own if ``is_own``."""

    name: str
    trial: Trial
    version: int
    is_own: bool


class TrialStore:
    """Gives turns by compare-and-swap; a turn whose holder dies is over after a minute."""

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def begin(self, name: str) -> TrialAttempt:
        """Take the turn of a suspect, unless it is taken or the suspect is judged."""
        token = secrets.token_hex(8)
        stored = await self._store.get(TRIAL_PREFIX + name)
        if stored is not None:
            found = decode(stored.value, Trial)
            if found.state not in _FREE_STATES:
                return TrialAttempt(name, found, stored.version, False)
        version = stored.version if stored else 0
        return await self._swap(name, version, Trial(TrialState.RUNNING, token), TRIAL_S)

    async def end(self, turn: TrialAttempt, state: TrialState) -> None:
        """Write how an own turn ended; raise StoreUnavailableError if the store stays silent."""
        trial = attrs.evolve(turn.trial, state=state)
        for _ in range(END_TRIES - 1):
            with contextlib.suppress(StoreUnavailableError):
                await self._swap(turn.name, turn.version, trial, VERDICT_S)
                return
        await self._swap(turn.name, turn.version, trial, VERDICT_S)

    async def _swap(self, name: str, version: int, trial: Trial, ttl_s: int) -> TrialAttempt:
        lease = await self._store.grant_lease(ttl_s)
        key = TRIAL_PREFIX + name
        result = await self._store.compare_and_swap(key, version, encode(trial), lease)
        if result.current is None:
            raise StoreUnavailableError(f"{key} lapsed meanwhile")
        current = decode(result.current.value, Trial)
        return TrialAttempt(name, current, result.current.version, current.token == trial.token)
