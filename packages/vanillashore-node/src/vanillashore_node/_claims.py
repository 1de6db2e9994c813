"""At-most-once calls at the sidecar: claim the call, run it and store the answer."""

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
    ClaimState,
    ClaimStatus,
    ClaimStatusRequest,
    ErrorCode,
    RefusalError,
    Refused,
    WasExecuted,
)

CLAIM_TIMEOUT_S = 1.0
END_STORE_TIMEOUT_S = 600.0
END_STORE_WAIT_S = 0.5
OWNER_RESPONSE_TIMEOUT_S = 1.0
MAX_OWNER_WAIT_S = 30.0
RELEASE_RETRY_DELAY_S = 0.5
MAX_CLAIM_ROUNDS = 3
RETRY_AFTER_S = 1.0
Serve = Callable[[CallOrder], Awaitable[CallDone]]


class ClaimedCalls:
    """Runs each claimed call in its own task, which continues if the entry that sent it fails."""

    def __init__(self, core: NodeCore, updater: ClaimUpdater, serve: Serve) -> None:
        self._core = core
        self._updater = updater
        self._serve = serve
        self._running: dict[str, asyncio.Event] = {}

    async def run(self, order: CallOrder) -> CallDone:
        """Run the call unless it ran before; the RefusalError raised states whether it ran."""
        task = self._core.tasks.start(self._run_as_active(order), "claimed call")
        outcome = await asyncio.shield(task)
        if isinstance(outcome, Refused):
            raise RefusalError(outcome)
        return outcome

    async def status(self, request: ClaimStatusRequest, sender: str) -> ClaimStatus:
        """Wait up to ``wait_s`` for a run of this process to end; return whether it still runs."""
        ended = self._running.get(request.token)
        if ended is None:
            return ClaimStatus(False)
        try:
            async with asyncio.timeout(min(request.wait_s, MAX_OWNER_WAIT_S)):
                await ended.wait()
        except TimeoutError:
            return ClaimStatus(True)
        return ClaimStatus(False)

    async def _run_as_active(self, order: CallOrder) -> CallDone | Refused:
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
        for _ in range(MAX_CLAIM_ROUNDS):
            start = self._new_start(order)
            result = await self._start(order, name, start)
            self._core.decisions.record(order.request_id, "claim", result.verdict.value)
            if result.verdict is ClaimVerdict.WON:
                return await self._serve_won(order, deadline, _WonClaim(name, start, result.stored))
            self._finish_run(start.token)
            done = await self._answer_of_other_run(order, name, result)
            if done is not None:
                return done
        text = (
            "the call could not be claimed, since other requests with the same key failed meanwhile"
        )
        raise RefusalError(Refused(ErrorCode.IN_PROGRESS, text, WasExecuted.UNKNOWN, RETRY_AFTER_S))

    def _new_start(self, order: CallOrder) -> Start:
        token = secrets.token_hex(16)
        self._running[token] = asyncio.Event()
        return Start(call_fingerprint(order), order.run_id, token, self._core.cfg.node.name)

    def _finish_run(self, token: str) -> None:
        self._running.pop(token).set()

    async def _start(self, order: CallOrder, name: str, start: Start) -> ClaimResult:
        timeout_s = min(CLAIM_TIMEOUT_S, order.deadline_s)
        try:
            return await self._updater.update(name, start, timeout_s)
        except StoreUnavailableError as exc:
            self._core.tasks.start(self._release(name, start), "claim release")
            text = f"the call was not started, since it cannot be claimed: {exc.text}"
            refused = Refused(ErrorCode.STORE_UNAVAILABLE, text, retry_after_s=RETRY_AFTER_S)
            raise RefusalError(refused) from exc

    async def _serve_won(self, order: CallOrder, deadline: float, won: "_WonClaim") -> CallDone:
        left_s = deadline - time.monotonic()
        try:
            if left_s <= 0:
                text = "the deadline passed before the call was started"
                raise RefusalError(Refused(ErrorCode.DEADLINE_EXCEEDED, text))
            done = await self._serve(attrs.evolve(order, deadline_s=left_s))
        except RefusalError as exc:
            await self._store_end(
                won, End(won.start, never_started=exc.refused.ran is WasExecuted.NO)
            )
            raise
        except BaseException:
            self._finish_run(won.start.token)
            raise
        await self._store_end(won, End(won.start, done))
        return done

    async def _store_end(self, won: "_WonClaim", end: End) -> None:
        """Store the result of a run; wait at most `END_STORE_WAIT_S`, to not delay the answer."""
        task = self._core.tasks.start(self._write_end(won, end), "claim end")
        await asyncio.wait({task}, timeout=END_STORE_WAIT_S)

    async def _write_end(self, won: "_WonClaim", end: End) -> None:
        self._core.state.active += 1
        try:
            await self._updater.update(won.name, end, END_STORE_TIMEOUT_S, won.stored)
        except StoreUnavailableError as exc:
            log.bind(claim=won.name, error=str(exc)).error(
                "the result of a call could not be stored"
            )
        finally:
            self._core.state.active -= 1
            self._finish_run(won.start.token)

    async def _release(self, name: str, start: Start) -> None:
        """Reopen a claim whose write got no response, since it may have taken effect."""
        ends = time.monotonic() + END_STORE_TIMEOUT_S
        try:
            while time.monotonic() < ends:
                await asyncio.sleep(RELEASE_RETRY_DELAY_S)
                with contextlib.suppress(StoreUnavailableError):
                    seen = await self._updater.read(name)
                    end = End(start, never_started=True)
                    await self._updater.update(name, end, CLAIM_TIMEOUT_S, seen)
                    return
        finally:
            self._finish_run(start.token)

    async def _answer_of_other_run(
        self, order: CallOrder, name: str, result: ClaimResult
    ) -> CallDone | None:
        """Return the answer of the run that has the claim; None if the claim is open again."""
        claim = result.stored.claim
        if result.verdict is not ClaimVerdict.RUNNING:
            return stored_answer(claim, result.verdict)
        if await self._is_still_running(order, claim):
            text = "the first request with this key is still running"
            refused = Refused(ErrorCode.IN_PROGRESS, text, WasExecuted.UNKNOWN, RETRY_AFTER_S)
            raise RefusalError(refused)
        claim = await self._read(name)
        if claim is None or claim.state is ClaimState.OPEN:
            return None
        return stored_answer(claim, result.verdict)

    async def _is_still_running(self, order: CallOrder, claim: Claim) -> bool:
        is_same_run = claim.run_id == order.run_id
        wait_s = min(order.deadline_s, MAX_OWNER_WAIT_S) if is_same_run else 0.0
        request = ClaimStatusRequest(claim.token, wait_s)
        if claim.owner == self._core.cfg.node.name:
            return (await self.status(request, claim.owner)).running
        address = self._core.directory.address_of(claim.owner)
        if address is None:
            return False
        try:
            status = await self._core.hub.ask(address, request, wait_s + OWNER_RESPONSE_TIMEOUT_S)
        except RefusalError:
            return False
        return status.running

    async def _read(self, name: str) -> Claim | None:
        try:
            return (await self._updater.read(name)).claim
        except StoreUnavailableError as exc:
            text = f"the result of the call cannot be read from the store: {exc.text}"
            raise RefusalError(
                Refused(ErrorCode.OUTCOME_UNKNOWN, text, WasExecuted.UNKNOWN, RETRY_AFTER_S)
            ) from exc


@attrs.frozen
class _WonClaim:
    name: str
    start: Start
    stored: StoredClaim


def stored_answer(claim: Claim | None, verdict: ClaimVerdict) -> CallDone:
    """Return the stored answer of a claim that was not won; raise RefusalError without one."""
    if verdict is ClaimVerdict.MISMATCH:
        text = "this idempotency key was used before with a different call"
        raise RefusalError(Refused(ErrorCode.IDEMPOTENCY_MISMATCH, text))
    if verdict is ClaimVerdict.BARRED:
        text = "this request was cancelled before it could start"
        raise RefusalError(Refused(ErrorCode.CANCELLED, text))
    if claim is not None and claim.answer is not None:
        return attrs.evolve(claim.answer, replayed=True)
    text = "the call was started, but its answer was lost; it is not run again"
    raise RefusalError(Refused(ErrorCode.OUTCOME_UNKNOWN, text, WasExecuted.UNKNOWN))
