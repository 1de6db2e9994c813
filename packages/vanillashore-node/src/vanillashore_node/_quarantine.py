"""Crash detection for an engine, and isolation of the requests that may cause crashes."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import attrs
from loguru import logger as log

from vanillashore_node._core import NodeCore
from vanillashore_node._engine import Engine, EngineToken
from vanillashore_node._shared_exclusive_lock import SharedExclusiveLock
from vanillashore_outcome import CrashFinding, InFlightRequest, IsolationStatus, SuspectRegistry
from vanillashore_store import (
    QuarantineStore,
    StoreUnavailableError,
    TrialAttempt,
    TrialState,
    TrialStore,
)
from vanillashore_wire import (
    CrashNotice,
    DecodeOrder,
    ErrorCode,
    NoticedRequest,
    PrefillDone,
    PrefillOrder,
    RefusalError,
    Refused,
    WasExecuted,
)

ISOLATED_RETRY_S = 1.0
PROGRESS_TOKENS = 4


@attrs.define(eq=False)
class _InFlight:
    """A request in flight and the number of tokens that this engine has produced for it."""

    request: InFlightRequest
    tokens: int = 0
    has_crashed: bool = False

    def for_crash_finding(self) -> InFlightRequest:
        """Return the request; after `PROGRESS_TOKENS` tokens it is not marked as on trial."""
        if self.tokens < PROGRESS_TOKENS:
            return self.request
        return attrs.evolve(self.request, on_trial=False)


class WatchedEngine:
    """An `Engine` that determines which request crashes it.

    After a crash the requests that were in flight are suspects; one that was the only request on
    trial is quarantined. A suspect runs on trial: only once at a time in the whole fleet, and alone
    in a prefill engine. A decode engine runs one suspect at a time, together with requests that are
    not suspects.
    """

    def __init__(self, core: NodeCore, engine: Engine, clock: Callable[[], float]) -> None:
        self._core = core
        self._engine = engine
        self._clock = clock
        self._suspects = SuspectRegistry()
        self._trials = TrialStore(core.store)
        self._quarantine = QuarantineStore(core.store)
        self._prefill_lock = SharedExclusiveLock()
        self._decode_lock = SharedExclusiveLock()
        self._in_flight: set[_InFlight] = set()
        self._is_down = False
        core.hub.on(CrashNotice, self._handle_notice)

    async def start(self) -> None:
        """Load the requests that were quarantined before this process started."""
        try:
            known = await self._quarantine.read()
        except StoreUnavailableError as exc:
            log.bind(error=exc.text).warning("the quarantine could not be read at startup")
            return
        self._suspects.record_finding(CrashFinding((), _from_noticed(known)), self._clock())

    async def prefill(self, order: PrefillOrder) -> PrefillDone:
        """Compute a prompt's KV cache and export it."""
        async with self._watch(order, "prefill"):
            return await self._engine.prefill(order)

    async def decode(self, order: DecodeOrder) -> AsyncIterator[EngineToken]:
        """Import a KV cache and stream the answer."""
        async with self._watch(order, "decode") as in_flight:
            async for token in self._engine.decode(order):
                in_flight.tokens += 1
                yield token

    async def abort(self, engine_request_id: str) -> None:
        """Cancel a request and free its memory."""
        await self._engine.abort(engine_request_id)

    async def holdings(self) -> dict[str, int]:
        """Return the number of KV cache pieces that each request holds."""
        return await self._engine.holdings()

    @asynccontextmanager
    async def _watch(
        self, order: PrefillOrder | DecodeOrder, phase: str
    ) -> AsyncIterator["_InFlight"]:
        request = InFlightRequest(order.fingerprint, order.workspace)
        isolation_status = self._check(request)
        if self._is_down or isolation_status is IsolationStatus.SUSPECT:
            await self._check_engine_is_up()
        if isolation_status is not IsolationStatus.SUSPECT:
            async with self._shared(phase), self._tracked(request) as in_flight:
                yield in_flight
            return
        attempt = await self._begin_trial(request, phase)
        trial_request = attrs.evolve(request, on_trial=True)
        async with self._exclusive(phase), self._on_trial(attempt, trial_request) as in_flight:
            yield in_flight

    def _shared(self, phase: str) -> AbstractAsyncContextManager[None]:
        return self._prefill_lock.shared() if phase == "prefill" else self._decode_lock.bypassed()

    def _exclusive(self, phase: str) -> AbstractAsyncContextManager[None]:
        lock = self._prefill_lock if phase == "prefill" else self._decode_lock
        return lock.exclusive()

    def _check(self, request: InFlightRequest) -> IsolationStatus:
        now = self._clock()
        isolation_status = self._suspects.isolation_status(request, now)
        if isolation_status is IsolationStatus.QUARANTINED:
            raise _quarantined(None)
        if isolation_status is IsolationStatus.CONTAINED:
            raise _quarantined(self._suspects.contained_for_s(request.workspace, now))
        return isolation_status

    async def _check_engine_is_up(self) -> None:
        """Raise RefusalError if the engine is already down, which is no fault of this request."""
        await self._engine.holdings()
        self._is_down = False

    async def _begin_trial(self, request: InFlightRequest, phase: str) -> TrialAttempt:
        try:
            attempt = await self._trials.begin(f"{phase}/{request.fingerprint}")
        except StoreUnavailableError as exc:
            text = f"the request may crash engines and cannot be run in isolation: {exc.text}"
            refused = Refused(ErrorCode.ISOLATED, text, retry_after_s=ISOLATED_RETRY_S)
            raise RefusalError(refused) from exc
        if attempt.is_own:
            return attempt
        if attempt.trial.state is TrialState.CONVICTED:
            self._suspects.convict(request, self._clock())
            raise _quarantined(None)
        text = "the request may crash engines, and a duplicate of it is running in isolation"
        raise RefusalError(Refused(ErrorCode.ISOLATED, text, retry_after_s=ISOLATED_RETRY_S))

    @asynccontextmanager
    async def _on_trial(
        self, attempt: TrialAttempt, request: InFlightRequest
    ) -> AsyncIterator["_InFlight"]:
        state = TrialState.OPEN
        try:
            async with self._tracked(request) as in_flight:
                yield in_flight
            state = TrialState.CLEARED
            self._suspects.clear(request.fingerprint)
        except RefusalError as exc:
            if exc.code is ErrorCode.QUARANTINED:
                state = TrialState.CONVICTED
            raise
        finally:
            self._core.tasks.start(self._end_trial(attempt, state, request), "end of a trial")

    async def _end_trial(
        self, attempt: TrialAttempt, state: TrialState, request: InFlightRequest
    ) -> None:
        try:
            if state is TrialState.CONVICTED:
                await self._quarantine.add(NoticedRequest(request.fingerprint, request.workspace))
            await self._trials.end(attempt, state)
        except StoreUnavailableError as exc:
            log.bind(trial=attempt.name, error=exc.text).error(
                "the result of a trial could not be stored"
            )

    @asynccontextmanager
    async def _tracked(self, request: InFlightRequest) -> AsyncIterator["_InFlight"]:
        """Track a request while it is in flight; report its failure as a crash if it is one."""
        in_flight = _InFlight(request)
        self._in_flight.add(in_flight)
        try:
            yield in_flight
        except RefusalError as exc:
            if exc.code is not ErrorCode.ENDPOINT_FAILED:
                raise
            await self._detect_crash(in_flight)
            if not in_flight.has_crashed:
                raise
            if (
                self._suspects.isolation_status(request, self._clock())
                is IsolationStatus.QUARANTINED
            ):
                raise _quarantined(None) from exc
            text = f"the engine crashed with this request in flight: {exc.text}"
            refused = Refused(ErrorCode.ENDPOINT_CRASHED, text, WasExecuted.UNKNOWN)
            raise RefusalError(refused) from exc
        finally:
            self._in_flight.discard(in_flight)

    async def _detect_crash(self, in_flight: "_InFlight") -> None:
        """Check whether the engine went down while a request was in flight."""
        if self._is_down or in_flight.has_crashed:
            return
        try:
            await self._engine.holdings()
        except RefusalError:
            if not self._is_down:
                self._record_crash()

    def _record_crash(self) -> None:
        self._is_down = True
        for in_flight in self._in_flight:
            in_flight.has_crashed = True
        finding = self._suspects.assess_crash(
            tuple(in_flight.for_crash_finding() for in_flight in self._in_flight)
        )
        self._suspects.record_finding(finding, self._clock())
        log.bind(
            suspects=[r.fingerprint for r in finding.suspects],
            convicted=[r.fingerprint for r in finding.convicted],
        ).error("the engine crashed")
        self._notify_peers(finding)

    def _notify_peers(self, finding: CrashFinding) -> None:
        """Notify the other endpoints of the same model and role at once."""
        own = self._core.directory.endpoint_config(self._core.cfg.node.name)
        if own is None:
            return
        notice = CrashNotice(_to_noticed(finding.suspects), _to_noticed(finding.convicted))
        for endpoint in self._core.directory.endpoints(own.role, own.model):
            if endpoint.vm != own.vm:
                self._core.hub.send(endpoint.address, notice)

    async def _handle_notice(self, notice: CrashNotice, sender: str) -> None:
        finding = CrashFinding(_from_noticed(notice.suspects), _from_noticed(notice.convicted))
        self._suspects.record_finding(finding, self._clock())


def _to_noticed(requests: tuple[InFlightRequest, ...]) -> tuple[NoticedRequest, ...]:
    return tuple(NoticedRequest(r.fingerprint, r.workspace) for r in requests)


def _from_noticed(requests: tuple[NoticedRequest, ...]) -> tuple[InFlightRequest, ...]:
    return tuple(InFlightRequest(r.fingerprint, r.workspace) for r in requests)


def _quarantined(retry_after_s: float | None) -> RefusalError:
    text = "this request crashed engines and is not run again"
    if retry_after_s is not None:
        text = "requests of this workspace crashed engines; it is temporarily blocked"
    return RefusalError(Refused(ErrorCode.QUARANTINED, text, WasExecuted.UNKNOWN, retry_after_s))
