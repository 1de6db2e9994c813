"""Claims: at most one run of a call, whoever asks for it and whatever answer is lost.

The record of a call changes by compare-and-swap only. Each step here is a pure decision on the
record as it was last seen; `ClaimUpdate` drives one step against a store that may stay silent.
"""

import hashlib
from collections.abc import Callable
from enum import StrEnum

import attrs

from vanillashore_wire import CallDone, CallOrder, Claim, ClaimState

MAX_BARRED_RUNS = 64
_SEPARATOR = b"\0"


class ClaimVerdict(StrEnum):
    """How a step on a claim ended.

    Of the steps' own successes: ``WON`` lets the run start, ``BARRED`` means that the run never
    starts, ``STORED`` that a record was written. The others tell what the record holds instead.
    """

    WON = "won"
    BARRED = "barred"
    STORED = "stored"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    FULL = "full"
    SUPERSEDED = "superseded"


Step = Claim | ClaimVerdict
Decision = Callable[[Claim | None], Step]

_VERDICT_OF_STATE = {
    ClaimState.RUNNING: ClaimVerdict.RUNNING,
    ClaimState.FINISHED: ClaimVerdict.FINISHED,
    ClaimState.UNKNOWN: ClaimVerdict.UNKNOWN,
}


def claim_name(order: CallOrder) -> str:
    """Return the name of an order's claim: by its idempotency key, else by its run."""
    if order.idempotency_key:
        return _digest(b"key", order.workspace.encode(), order.idempotency_key.encode())
    return _digest(b"run", order.run_id.encode())


def call_fingerprint(order: CallOrder) -> str:
    """Return what tells two different calls under one idempotency key apart."""
    kinds = [h.value for h in order.headers if h.name.lower() == "content-type"]
    parts = (order.method, order.path, *kinds, order.body_base64)
    return _digest(*(part.encode() for part in parts))


@attrs.frozen
class Start:
    """Decides whether a run may start; an allowed one is written as ``RUNNING`` first.

    ``token`` is new for each try, so that a try whose answer was lost knows its own record.
    """

    fingerprint: str
    run_id: str
    token: str
    owner: str

    def __call__(self, current: Claim | None) -> Step:
        """Return the record to write, or the verdict."""
        if current is None:
            return self._running(())
        if current.token == self.token and current.state is ClaimState.RUNNING:
            return ClaimVerdict.WON
        if current.fingerprint != self.fingerprint:
            return ClaimVerdict.MISMATCH
        if current.state is not ClaimState.OPEN:
            return _VERDICT_OF_STATE[current.state]
        if self.run_id in current.barred:
            return ClaimVerdict.BARRED
        return self._running(current.barred)

    def _running(self, barred: tuple[str, ...]) -> Claim:
        return Claim(
            ClaimState.RUNNING, self.fingerprint, self.run_id, self.token, self.owner, barred
        )


@attrs.frozen
class End:
    """Writes how a run ended, over its own ``RUNNING`` record only.

    An ``answer`` makes it ``FINISHED`` and none ``UNKNOWN``; ``never_started`` opens it again.
    """

    start: Start
    answer: CallDone | None = None
    never_started: bool = False

    def __call__(self, current: Claim | None) -> Step:
        """Return the record to write, or the verdict."""
        if current is None:
            return ClaimVerdict.SUPERSEDED
        if current.state is not ClaimState.RUNNING or current.token != self.start.token:
            is_own = current.run_id == self.start.run_id and current.state is self._state
            return ClaimVerdict.STORED if is_own else ClaimVerdict.SUPERSEDED
        if self.never_started:
            return attrs.evolve(current, state=ClaimState.OPEN, run_id="", token="", owner="")
        return attrs.evolve(current, state=self._state, answer=self.answer)

    @property
    def _state(self) -> ClaimState:
        return ClaimState.FINISHED if self.answer else ClaimState.UNKNOWN


@attrs.frozen
class Bar:
    """Bars a run for good, so that it is certain that it does not run."""

    fingerprint: str
    run_id: str

    def __call__(self, current: Claim | None) -> Step:
        """Return the record to write, or the verdict."""
        if current is None:
            return Claim(ClaimState.OPEN, self.fingerprint, barred=(self.run_id,))
        if current.state is not ClaimState.OPEN:
            is_other = current.fingerprint != self.fingerprint
            return ClaimVerdict.MISMATCH if is_other else _VERDICT_OF_STATE[current.state]
        if self.run_id in current.barred:
            return ClaimVerdict.BARRED
        if len(current.barred) >= MAX_BARRED_RUNS:
            return ClaimVerdict.FULL
        return attrs.evolve(current, barred=(*current.barred, self.run_id))


class ClaimUpdate:
    """One step on one record: write, look at what the store then holds, and decide again.

    A silent store is asked again with the same write: if the first one took effect after all, the
    second fails and shows a record in which the decision knows its own mark.

    Example::

        process = ClaimUpdate(Start("fingerprint", "run-1", "token-1", "vm-1"))
        process.write  # the RUNNING record, at version 0
        process.take(process.write, 7)  # the store applied it as version 7
        process.verdict  # ClaimVerdict.WON
    """

    def __init__(self, decide: Decision, current: Claim | None = None, version: int = 0) -> None:
        self._decide = decide
        self.current = current
        self.version = version
        self.write: Claim | None = None
        self.verdict: ClaimVerdict | None = None
        self._step()

    def take(self, current: Claim | None, version: int) -> None:
        """Note what the store holds now, and decide on it; an absent record has version 0."""
        self.current = current
        self.version = version
        self._step()

    def _step(self) -> None:
        step = self._decide(self.current)
        if isinstance(step, ClaimVerdict):
            self.verdict = step
            self.write = None
        else:
            self.write = step


def _digest(*parts: bytes) -> str:
    return hashlib.sha256(_SEPARATOR.join(parts)).hexdigest()
