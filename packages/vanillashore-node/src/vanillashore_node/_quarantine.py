"""An engine that is watched for crashes, and the isolation of requests that may cause them."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import attrs
from loguru import logger as log

from vanillashore_node._core import NodeCore
from vanillashore_node._engine import Engine, EngineToken
from vanillashore_node._shared_exclusive_lock import SharedExclusiveLock
from vanillashore_outcome import CrashFinding, Running, Standing, SuspectBook
from vanillashore_store import (
    QuarantineStore,
    StoreUnavailableError,
    TrialState,
    TrialStore,
    TrialTurn,
)
from vanillashore_wire import (
    CrashNotice,
    DecodeOrder,
    ErrorCode,
    NoticedRequest,
    PrefillDone,
    PrefillOrder,
    Ran,
    RefusalError,
    Refused,
)

ISOLATED_RETRY_S = 1.0
PROGRESS_TOKENS = 4


@attrs.define(eq=False)
class _Flight:
    """A request in flight, and the tokens that it has got from this engine."""

    running: Running
    tokens: int = 0
    has_crashed: bool = False

    def evidence(self) -> Running:
        """Return the request; one that got well past its last crash is not on trial any more."""
        if self.tokens < PROGRESS_TOKENS:
            return self.running
        return attrs.evolve(self.running, on_trial=False)


class WatchedEngine:
    """An `Engine` that finds out which request crashes it.

    After a crash each request that was in flight is a suspect. A suspect runs on trial: one
    turn over the whole fleet, alone in a prefill engine, apart from other suspects in a decode
    engine.
    """

    def __init__(self, core: NodeCore, engine: Engine, clock: Callable[[], float]) -> None:
        self._core = core
        self._engine = engine
        self._clock = clock
        self._book = SuspectBook()
        self._trials = TrialStore(core.store)
        self._quarantine = QuarantineStore(core.store)
        self._prefill_turns = SharedExclusiveLock()
        self._decode_turns = SharedExclusiveLock()
        self._in_flight: set[_Flight] = set()
        self._is_down = False
        core.hub.on(CrashNotice, self._take_notice)

    async def start(self) -> None:
        """Learn what was quarantined before this process began."""
        try:
            known = await self._quarantine.read()
        except StoreUnavailableError as exc:
            log.bind(error=exc.text).warning("the quarantine cannot be read on start")
            return
        self._book.note(CrashFinding((), _running(known)), self._clock())

    async def prefill(self, order: PrefillOrder) -> PrefillDone:
        """Compute a prompt's KV cache and export it."""
        async with self._watch(order, "prefill"):
            return await self._engine.prefill(order)

    async def decode(self, order: DecodeOrder) -> AsyncIterator[EngineToken]:
        """Import a KV cache and stream the answer."""
        async with self._watch(order, "decode") as flight:
            async for token in self._engine.decode(order):
                flight.tokens += 1
                yield token

    async def abort(self, engine_request_id: str) -> None:
        """Cancel a request and free all that it holds."""
        await self._engine.abort(engine_request_id)

    async def holdings(self) -> dict[str, int]:
        """Return the pieces that each request holds."""
        return await self._engine.holdings()

    @asynccontextmanager
    async def _watch(
        self, order: PrefillOrder | DecodeOrder, phase: str
    ) -> AsyncIterator["_Flight"]:
        running = Running(order.fingerprint, order.workspace)
        standing = self._check(running)
        if self._is_down or standing is Standing.SUSPECT:
            await self._check_up()
        if standing is not Standing.SUSPECT:
            async with self._shared(phase), self._noted(running) as flight:
                yield flight
            return
        turn = await self._begin_trial(running, phase)
        tried = attrs.evolve(running, on_trial=True)
        async with self._alone(phase), self._tried(turn, tried) as flight:
            yield flight

    def _shared(self, phase: str) -> AbstractAsyncContextManager[None]:
        return self._prefill_turns.shared() if phase == "prefill" else self._decode_turns.free()

    def _alone(self, phase: str) -> AbstractAsyncContextManager[None]:
        turns = self._prefill_turns if phase == "prefill" else self._decode_turns
        return turns.alone()

    def _check(self, running: Running) -> Standing:
        now = self._clock()
        standing = self._book.standing(running, now)
        if standing is Standing.QUARANTINED:
            raise _quarantined(None)
        if standing is Standing.CONTAINED:
            raise _quarantined(self._book.contained_for_s(running.workspace, now))
        return standing

    async def _check_up(self) -> None:
        """Raise RefusalError if the engine is down already, which is not this request's doing."""
        await self._engine.holdings()
        self._is_down = False

    async def _begin_trial(self, running: Running, phase: str) -> TrialTurn:
        try:
            turn = await self._trials.begin(f"{phase}/{running.fingerprint}")
        except StoreUnavailableError as exc:
            text = f"the request may crash engines, and cannot be tried alone: {exc.text}"
            refused = Refused(ErrorCode.ISOLATED, text, retry_after_s=ISOLATED_RETRY_S)
            raise RefusalError(refused) from exc
        if turn.is_own:
            return turn
        if turn.trial.state is TrialState.CONVICTED:
            self._book.convict(running, self._clock())
            raise _quarantined(None)
        text = "the request may crash engines, and a copy of it is tried alone now"
        raise RefusalError(Refused(ErrorCode.ISOLATED, text, retry_after_s=ISOLATED_RETRY_S))

    @asynccontextmanager
    async def _tried(self, turn: TrialTurn, running: Running) -> AsyncIterator["_Flight"]:
        state = TrialState.OPEN
        try:
            async with self._noted(running) as flight:
                yield flight
            state = TrialState.CLEARED
            self._book.clear(running.fingerprint)
        except RefusalError as exc:
            if exc.code is ErrorCode.QUARANTINED:
                state = TrialState.CONVICTED
            raise
        finally:
            self._core.tasks.start(self._end_trial(turn, state, running), "end of a trial")

    async def _end_trial(self, turn: TrialTurn, state: TrialState, running: Running) -> None:
        try:
            if state is TrialState.CONVICTED:
                await self._quarantine.add(NoticedRequest(running.fingerprint, running.workspace))
            await self._trials.end(turn, state)
        except StoreUnavailableError as exc:
            log.bind(trial=turn.name, error=exc.text).error("a trial's end is not stored")

    @asynccontextmanager
    async def _noted(self, running: Running) -> AsyncIterator["_Flight"]:
        """Keep a request in flight; turn a failure into what a crash says of it."""
        flight = _Flight(running)
        self._in_flight.add(flight)
        try:
            yield flight
        except RefusalError as exc:
            if exc.code is not ErrorCode.ENDPOINT_FAILED:
                raise
            await self._look_for_crash(flight)
            if not flight.has_crashed:
                raise
            if self._book.standing(running, self._clock()) is Standing.QUARANTINED:
                raise _quarantined(None) from exc
            text = f"the engine crashed with this request in flight: {exc.text}"
            refused = Refused(ErrorCode.ENDPOINT_CRASHED, text, Ran.UNKNOWN)
            raise RefusalError(refused) from exc
        finally:
            self._in_flight.discard(flight)

    async def _look_for_crash(self, flight: "_Flight") -> None:
        """Find out whether the engine went down while a request was in flight."""
        if self._is_down or flight.has_crashed:
            return
        try:
            await self._engine.holdings()
        except RefusalError:
            if not self._is_down:
                self._note_crash()

    def _note_crash(self) -> None:
        self._is_down = True
        for flight in self._in_flight:
            flight.has_crashed = True
        finding = self._book.find(tuple(flight.evidence() for flight in self._in_flight))
        self._book.note(finding, self._clock())
        log.bind(
            suspects=[r.fingerprint for r in finding.suspects],
            convicted=[r.fingerprint for r in finding.convicted],
        ).error("the engine crashed")
        self._tell_others(finding)

    def _tell_others(self, finding: CrashFinding) -> None:
        """Tell the other endpoints of the same model and role at once."""
        own = self._core.directory.endpoint_config(self._core.cfg.node.name)
        if own is None:
            return
        notice = CrashNotice(_noticed(finding.suspects), _noticed(finding.convicted))
        for endpoint in self._core.directory.endpoints(own.role, own.model):
            if endpoint.vm != own.vm:
                self._core.hub.send(endpoint.address, notice)

    async def _take_notice(self, notice: CrashNotice, sender: str) -> None:
        finding = CrashFinding(_running(notice.suspects), _running(notice.convicted))
        self._book.note(finding, self._clock())


def _noticed(requests: tuple[Running, ...]) -> tuple[NoticedRequest, ...]:
    return tuple(NoticedRequest(r.fingerprint, r.workspace) for r in requests)


def _running(requests: tuple[NoticedRequest, ...]) -> tuple[Running, ...]:
    return tuple(Running(r.fingerprint, r.workspace) for r in requests)


def _quarantined(retry_after_s: float | None) -> RefusalError:
    text = "this request crashed engines, and is not run again"
    if retry_after_s is not None:
        text = "requests of this workspace crashed engines; it is contained for a while"
    return RefusalError(Refused(ErrorCode.QUARANTINED, text, Ran.UNKNOWN, retry_after_s))
