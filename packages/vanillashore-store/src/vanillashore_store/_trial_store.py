"""Trials of suspect requests, recorded in the platform's store.

A suspect is a request that may have caused an engine crash. Its trial, which finds out whether it
did, runs only once at a time in the whole fleet.
"""

import contextlib
import secrets
from enum import StrEnum

import attrs

from vanillashore_store._store import KeyValueStore, StoreUnavailableError
from vanillashore_wire import decode, encode

TRIAL_PREFIX = "vanillashore/trial/"
TRIAL_TTL_S = 60
VERDICT_TTL_S = 86_400
MAX_END_TRIES = 3


class TrialState(StrEnum):
    """State of a suspect's trial."""

    OPEN = "open"
    RUNNING = "running"
    CLEARED = "cleared"
    CONVICTED = "convicted"


_AVAILABLE_STATES = frozenset({TrialState.OPEN, TrialState.CLEARED})


@attrs.frozen
class Trial:
    """A suspect's record; ``token`` identifies its last writer."""

    state: TrialState
    token: str


@attrs.frozen
class TrialAttempt:
    """Result of `TrialStore.begin`; the caller is to run the trial if ``is_own``."""

    name: str
    trial: Trial
    version: int
    is_own: bool


class TrialStore:
    """Assigns trials by compare-and-swap; a trial expires in a minute if its process dies."""

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def begin(self, name: str) -> TrialAttempt:
        """Start the trial of a suspect, unless it is running or the suspect is convicted."""
        token = secrets.token_hex(8)
        stored = await self._store.get(TRIAL_PREFIX + name)
        if stored is not None:
            found = decode(stored.value, Trial)
            if found.state not in _AVAILABLE_STATES:
                return TrialAttempt(name, found, stored.version, False)
        version = stored.version if stored else 0
        return await self._swap(name, version, Trial(TrialState.RUNNING, token), TRIAL_TTL_S)

    async def end(self, attempt: TrialAttempt, state: TrialState) -> None:
        """Write the result of a trial run here; raise StoreUnavailableError if every try fails."""
        trial = attrs.evolve(attempt.trial, state=state)
        for _ in range(MAX_END_TRIES - 1):
            with contextlib.suppress(StoreUnavailableError):
                await self._swap(attempt.name, attempt.version, trial, VERDICT_TTL_S)
                return
        await self._swap(attempt.name, attempt.version, trial, VERDICT_TTL_S)

    async def _swap(self, name: str, version: int, trial: Trial, ttl_s: int) -> TrialAttempt:
        lease = await self._store.grant_lease(ttl_s)
        key = TRIAL_PREFIX + name
        result = await self._store.compare_and_swap(key, version, encode(trial), lease)
        if result.current is None:
            raise StoreUnavailableError(f"{key} expired during the write")
        current = decode(result.current.value, Trial)
        return TrialAttempt(name, current, result.current.version, current.token == trial.token)
