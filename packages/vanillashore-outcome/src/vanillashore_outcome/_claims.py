"""Claims: a call runs at most once, however often it is requested and whichever replies are lost.

The record of a call is changed only by compare-and-swap. Each step is a pure function of the record
last read; `ClaimUpdate` applies one step to a store whose replies may be lost.
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

    The steps succeed with ``WON`` (the run may start), ``BARRED`` (the run can never start) and
    ``STORED`` (the end of the run is recorded). The others report what the record contains instead.
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


StepResult = Claim | ClaimVerdict
ClaimStep = Callable[[Claim | None], StepResult]

_VERDICT_OF_STATE = {
    ClaimState.RUNNING: ClaimVerdict.RUNNING,
    ClaimState.FINISHED: ClaimVerdict.FINISHED,
    ClaimState.UNKNOWN: ClaimVerdict.UNKNOWN,
}


def claim_name(order: CallOrder) -> str:
    """Return the name of an order's claim, from its idempotency key or else its run ID."""
    if order.idempotency_key:
        return _digest(b"key", order.workspace.encode(), order.idempotency_key.encode())
    return _digest(b"run", order.run_id.encode())


def call_fingerprint(order: CallOrder) -> str:
    """Return a hash that distinguishes different calls with the same idempotency key."""
    kinds = [h.value for h in order.headers if h.name.lower() == "content-type"]
    parts = (order.method, order.path, *kinds, order.body_base64)
    return _digest(*(part.encode() for part in parts))


@attrs.frozen
class Start:
    """Step that starts a run, if allowed, by writing a ``RUNNING`` record.

    ``token`` is unique to each try, so that a try whose reply was lost recognizes its own record.
    """

    fingerprint: str
    run_id: str
    token: str
    owner: str

    def __call__(self, current: Claim | None) -> StepResult:
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
    """Step that records how a run ended, only over the run's own ``RUNNING`` record.

    The new state is ``FINISHED`` with an ``answer``, else ``UNKNOWN``. With ``never_started`` it is
    ``OPEN`` again.
    """

    start: Start
    answer: CallDone | None = None
    never_started: bool = False

    def __call__(self, current: Claim | None) -> StepResult:
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
    """Step that bars a run permanently, so that it is certain not to run."""

    fingerprint: str
    run_id: str

    def __call__(self, current: Claim | None) -> StepResult:
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
    """Applies a step to a record: write, read what the store then contains, and decide again.

    Without a reply, the caller repeats the same write. If the first one did take effect, the second
    fails and returns a record that the step recognizes as its own.

    Example::

        update = ClaimUpdate(Start("fingerprint", "run-1", "token-1", "vm-1"))
        update.write  # the RUNNING record, at version 0
        update.apply_stored(update.write, 7)  # the store wrote it as version 7
        update.verdict  # ClaimVerdict.WON
    """

    def __init__(self, step: ClaimStep, current: Claim | None = None, version: int = 0) -> None:
        self._step = step
        self.current = current
        self.version = version
        self.write: Claim | None = None
        self.verdict: ClaimVerdict | None = None
        self._run_step()

    def apply_stored(self, current: Claim | None, version: int) -> None:
        """Decide again on the store's current record; an absent one has version 0."""
        self.current = current
        self.version = version
        self._run_step()

    def _run_step(self) -> None:
        result = self._step(self.current)
        if isinstance(result, ClaimVerdict):
            self.verdict = result
            self.write = None
        else:
            self.write = result


def _digest(*parts: bytes) -> str:
    return hashlib.sha256(_SEPARATOR.join(parts)).hexdigest()
