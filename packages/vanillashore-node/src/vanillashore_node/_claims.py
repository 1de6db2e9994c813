"""Calls that may run at most once, at the sidecar: claim, call, keep the answer."""

import asyncio
import contextlib
import secrets
import time
from collections.abc import Awaitable, Callable

import attrs
from loguru import logger as log

from vanillashore_node._claim_updater import ClaimResult, ClaimUpdater
from vanillashore_node._core import NodeCore
from vanillashore_outcome import ClaimVerdict, End, Start, call_fingerprint, claim_name
from vanillashore_store import StoredClaim, StoreUnavailableError
from vanillashore_wire import (
    CallDone,
    CallOrder,
    Claim,
    ClaimAsk,
    ClaimState,
    ClaimStatus,
    ErrorCode,
    Ran,
    RefusalError,
    Refused,
)

CLAIM_PATIENCE_S = 1.0
KEEP_PATIENCE_S = 600.0
KEEP_WAIT_S = 0.5
OWNER_ANSWER_S = 1.0
MAX_OWNER_WAIT_S = 30.0
RELEASE_PAUSE_S = 0.5
MAX_ROUNDS = 3
RETRY_AFTER_S = 1.0
Serve = Callable[[CallOrder], Awaitable[CallDone]]


class ClaimedCalls:
    """Runs each claimed call in a task of its own, which outlives the entry that ordered it."""

    def __init__(self, core: NodeCore, desk: ClaimUpdater, serve: Serve) -> None:
        self._core = core
        self._desk = desk
        self._serve = serve
        self._running: dict[str, asyncio.Event] = {}

    async def run(self, order: CallOrder) -> CallDone:
        """Run the call unless it ran before; raise RefusalError with what is known of it."""
        task = self._core.tasks.start(self._run_counted(order), "claimed call")
        outcome = await asyncio.shield(task)
        if isinstance(outcome, Refused):
            raise RefusalError(outcome)
        return outcome

    async def status(self, ask: ClaimAsk, sender: str) -> ClaimStatus:
        """Answer whether a run of this process goes on, after waiting for its end."""
        ended = self._running.get(ask.token)
        if ended is None:
            return ClaimStatus(False)
        try:
            async with asyncio.timeout(min(ask.wait_s, MAX_OWNER_WAIT_S)):
                await ended.wait()
        except TimeoutError:
            return ClaimStatus(True)
        return ClaimStatus(False)

    async def _run_counted(self, order: CallOrder) -> CallDone | Refused:
        self._core.state.active += 1
        try:
            return await self._claim_and_serve(order)
        except RefusalError as exc:
            return exc.refused
        finally:
            self._core.state.active -= 1

    async def _claim_and_serve(self, order: CallOrder) -> CallDone:
        deadline = time.monotonic() + order.deadline_s
        name = claim_name(order)
        for _ in range(MAX_ROUNDS):
            start = self._new_start(order)
            result = await self._start(order, name, start)
            self._core.decisions.note(order.request_id, "claim", result.verdict.value)
            if result.verdict is ClaimVerdict.WON:
                return await self._serve_won(order, deadline, _Won(name, start, result.stored))
            self._forget(start.token)
            done = await self._answer_of_other(order, name, result)
            if done is not None:
                return done
        text = "the call could not be claimed, since others with the same key failed meanwhile"
        raise RefusalError(Refused(ErrorCode.IN_PROGRESS, text, Ran.UNKNOWN, RETRY_AFTER_S))

    def _new_start(self, order: CallOrder) -> Start:
        token = secrets.token_hex(16)
        self._running[token] = asyncio.Event()
        return Start(call_fingerprint(order), order.run_id, token, self._core.cfg.node.name)

    def _forget(self, token: str) -> None:
        self._running.pop(token).set()

    async def _start(self, order: CallOrder, name: str, start: Start) -> ClaimResult:
        patience_s = min(CLAIM_PATIENCE_S, order.deadline_s)
        try:
            return await self._desk.settle(name, start, patience_s)
        except StoreUnavailableError as exc:
            self._core.tasks.start(self._release(name, start), "claim release")
            text = f"the call was not started, since it cannot be claimed: {exc.text}"
            refused = Refused(ErrorCode.STORE_UNAVAILABLE, text, retry_after_s=RETRY_AFTER_S)
            raise RefusalError(refused) from exc

    async def _serve_won(self, order: CallOrder, deadline: float, won: "_Won") -> CallDone:
        left_s = deadline - time.monotonic()
        try:
            if left_s <= 0:
                text = "the deadline passed before the call was started"
                raise RefusalError(Refused(ErrorCode.DEADLINE_EXCEEDED, text))
            done = await self._serve(attrs.evolve(order, deadline_s=left_s))
        except RefusalError as exc:
            await self._keep(won, End(won.start, never_started=exc.refused.ran is Ran.NO))
            raise
        except BaseException:
            self._forget(won.start.token)
            raise
        await self._keep(won, End(won.start, done))
        return done

    async def _keep(self, won: "_Won", end: End) -> None:
        """Write how a run ended; a slow store does not hold the answer back for long."""
        task = self._core.tasks.start(self._write_end(won, end), "claim end")
        await asyncio.wait({task}, timeout=KEEP_WAIT_S)

    async def _write_end(self, won: "_Won", end: End) -> None:
        self._core.state.active += 1
        try:
            await self._desk.settle(won.name, end, KEEP_PATIENCE_S, won.stored)
        except StoreUnavailableError as exc:
            log.bind(claim=won.name, error=str(exc)).error("the end of a call is not stored")
        finally:
            self._core.state.active -= 1
            self._forget(won.start.token)

    async def _release(self, name: str, start: Start) -> None:
        """Open a claim again whose write may have taken effect without an answer."""
        ends = time.monotonic() + KEEP_PATIENCE_S
        try:
            while time.monotonic() < ends:
                await asyncio.sleep(RELEASE_PAUSE_S)
                with contextlib.suppress(StoreUnavailableError):
                    seen = await self._desk.read(name)
                    end = End(start, never_started=True)
                    await self._desk.settle(name, end, CLAIM_PATIENCE_S, seen)
                    return
        finally:
            self._forget(start.token)

    async def _answer_of_other(
        self, order: CallOrder, name: str, result: ClaimResult
    ) -> CallDone | None:
        """Return the answer of the run that holds the claim; None if the claim is open again."""
        claim = result.stored.claim
        if result.verdict is not ClaimVerdict.RUNNING:
            return answer_of(claim, result.verdict)
        if await self._goes_on(order, claim):
            text = "the first request with this key is still running"
            refused = Refused(ErrorCode.IN_PROGRESS, text, Ran.UNKNOWN, RETRY_AFTER_S)
            raise RefusalError(refused)
        claim = await self._read(name)
        if claim is None or claim.state is ClaimState.OPEN:
            return None
        return answer_of(claim, result.verdict)

    async def _goes_on(self, order: CallOrder, claim: Claim) -> bool:
        is_same_run = claim.run_id == order.run_id
        wait_s = min(order.deadline_s, MAX_OWNER_WAIT_S) if is_same_run else 0.0
        ask = ClaimAsk(claim.token, wait_s)
        if claim.owner == self._core.cfg.node.name:
            return (await self.status(ask, claim.owner)).running
        address = self._core.directory.address_of(claim.owner)
        if address is None:
            return False
        try:
            status = await self._core.hub.ask(address, ask, wait_s + OWNER_ANSWER_S)
        except RefusalError:
            return False
        return status.running

    async def _read(self, name: str) -> Claim | None:
        try:
            return (await self._desk.read(name)).claim
        except StoreUnavailableError as exc:
            text = f"the store cannot tell what became of the call: {exc.text}"
            raise RefusalError(
                Refused(ErrorCode.OUTCOME_UNKNOWN, text, Ran.UNKNOWN, RETRY_AFTER_S)
            ) from exc


@attrs.frozen
class _Won:
    name: str
    start: Start
    stored: StoredClaim


def answer_of(claim: Claim | None, verdict: ClaimVerdict) -> CallDone:
    """Return the kept answer of a claim that was not won; raise RefusalError if there is none."""
    if verdict is ClaimVerdict.MISMATCH:
        text = "this idempotency key came with another call before"
        raise RefusalError(Refused(ErrorCode.IDEMPOTENCY_MISMATCH, text))
    if verdict is ClaimVerdict.BARRED:
        text = "this request was given up on before it could start"
        raise RefusalError(Refused(ErrorCode.CANCELLED, text))
    if claim is not None and claim.answer is not None:
        return attrs.evolve(claim.answer, replayed=True)
    text = "the call was started, and its answer is lost; it is not run again"
    raise RefusalError(Refused(ErrorCode.OUTCOME_UNKNOWN, text, Ran.UNKNOWN))
