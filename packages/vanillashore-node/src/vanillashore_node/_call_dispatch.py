"""Dispatch of calls to plain services: failover, and whether a failed call may have run."""

import time

import attrs

from vanillashore_node._claim_updater import ClaimResult, ClaimUpdater
from vanillashore_node._claims import stored_answer
from vanillashore_node._core import NodeCore
from vanillashore_node._placer import Placement, Placer
from vanillashore_node._sidecar_client import SidecarClient
from vanillashore_outcome import Bar, ClaimVerdict, call_fingerprint, claim_name
from vanillashore_resilience import RetryBudget
from vanillashore_schema import RouteConfig
from vanillashore_store import StoreUnavailableError
from vanillashore_wire import (
    NOT_EXECUTED_STATUSES,
    CallDone,
    CallOrder,
    ErrorCode,
    RefusalError,
    Refused,
    WasExecuted,
)

MAX_ATTEMPTS = 3
BAR_TIMEOUT_S = 1.0
BAR_TIME_RESERVE_S = 2.0
VERDICT_VALID_S = 1.0
RETRY_AFTER_S = 1.0
FAILOVER_CODES = frozenset(
    {
        ErrorCode.ENDPOINT_FAILED,
        ErrorCode.PEER_UNREACHABLE,
        ErrorCode.RESERVATION_UNKNOWN,
        ErrorCode.ROLE_MISMATCH,
        ErrorCode.SHUTTING_DOWN,
        ErrorCode.STORE_UNAVAILABLE,
        ErrorCode.REVISION_STALE,
    }
)
_FINAL_VERDICTS = frozenset({ClaimVerdict.FINISHED, ClaimVerdict.MISMATCH})


class VerifiedRefusalError(RefusalError):
    """A refusal whose ``ran`` was verified against the call's claim."""


class CallDispatch:
    """Sends calls to sidecars until one returns a final answer."""

    def __init__(
        self,
        core: NodeCore,
        sidecars: SidecarClient,
        updater: ClaimUpdater,
        budget: RetryBudget,
        placer: Placer,
    ) -> None:
        self._core = core
        self._sidecars = sidecars
        self._updater = updater
        self._budget = budget
        self._placer = placer

    async def run(self, order: CallOrder, route: RouteConfig) -> CallDone:
        """Run a call; the RefusalError raised states whether it ran, as far as that is known."""
        self._budget.earn()
        try:
            done = await self._attempts(order, route)
        finally:
            self._placer.forget(order.request_id)
        self._check_status(order, done)
        return done

    def _check_status(self, order: CallOrder, done: CallDone) -> None:
        """Raise RefusalError if the caller would take the answer for a word that nothing ran.

        Services do not state whether a call that they failed has run.
        """
        if order.idempotent or done.status not in NOT_EXECUTED_STATUSES:
            return
        self._core.decisions.record(order.request_id, "answer withheld", f"status {done.status}")
        text = f"the service failed with status {done.status}, and may have run the call"
        raise RefusalError(Refused(ErrorCode.OUTCOME_UNKNOWN, text, WasExecuted.UNKNOWN))

    async def _attempts(self, order: CallOrder, route: RouteConfig) -> CallDone:
        deadline = time.monotonic() + order.deadline_s
        ran = WasExecuted.NO
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                return await self._attempt(attrs.evolve(order, attempt=attempt), route, deadline)
            except RefusalError as exc:
                self._core.decisions.record(order.request_id, "call failed", str(exc))
                ran = WasExecuted.UNKNOWN if exc.refused.ran is WasExecuted.UNKNOWN else ran
                is_last = attempt == MAX_ATTEMPTS or not self._may_retry(order, exc)
                if is_last or time.monotonic() >= deadline or not self._budget.spend():
                    refused = attrs.evolve(exc.refused, ran=ran)
                    return await self._finish_unanswered(order, refused)
        raise AssertionError("unreachable")

    async def _attempt(self, order: CallOrder, route: RouteConfig, deadline: float) -> CallDone:
        placement = await self._reserve(order, route, deadline)
        code: ErrorCode | None = ErrorCode.CANCELLED
        try:
            done = await self._send(order, placement, deadline)
            code = None
            return done
        except RefusalError as exc:
            code = exc.code
            raise
        finally:
            self._placer.release_call(order.request_id, placement, code)

    async def _reserve(self, order: CallOrder, route: RouteConfig, deadline: float) -> Placement:
        """Reserve an endpoint; a call without a reservation certainly did not run."""
        try:
            return await self._placer.reserve_call(order, route, deadline - time.monotonic())
        except RefusalError as exc:
            raise RefusalError(attrs.evolve(exc.refused, ran=WasExecuted.NO)) from exc

    async def _send(self, order: CallOrder, placement: Placement, deadline: float) -> CallDone:
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            text = "the deadline passed before the call was sent"
            raise RefusalError(Refused(ErrorCode.DEADLINE_EXCEEDED, text))
        self._core.decisions.record(order.request_id, "call place", placement.endpoint.vm)
        order = attrs.evolve(
            order,
            reservation=placement.grant.reservation,
            deadline_s=max(left_s / 2, left_s - BAR_TIME_RESERVE_S),
            revision=self._core.directory.revision,
        )
        return await self._sidecars.call(placement.endpoint.address, order)

    def _may_retry(self, order: CallOrder, exc: RefusalError) -> bool:
        if order.idempotent and exc.code is ErrorCode.OUTCOME_UNKNOWN:
            return True
        return exc.code in FAILOVER_CODES

    async def _finish_unanswered(self, order: CallOrder, refused: Refused) -> CallDone:
        """Return the stored answer of a call that no endpoint answered, or raise RefusalError."""
        is_certain = refused.ran is WasExecuted.NO and not order.idempotency_key
        if order.idempotent or is_certain:
            raise RefusalError(refused)
        if refused.code is ErrorCode.IDEMPOTENCY_MISMATCH:
            raise VerifiedRefusalError(refused)
        try:
            result = await self._bar(order)
        except StoreUnavailableError:
            raise RefusalError(_unknown(refused)) from None
        self._core.decisions.record(order.request_id, "claim barred", result.verdict.value)
        if result.verdict is ClaimVerdict.BARRED:
            raise VerifiedRefusalError(attrs.evolve(refused, ran=WasExecuted.NO))
        if result.verdict in _FINAL_VERDICTS:
            return stored_answer(result.stored.claim, result.verdict)
        raise RefusalError(_unknown(refused))

    async def _bar(self, order: CallOrder) -> ClaimResult:
        """Bar this run from starting; repeat if a pause of this process made the result stale."""
        bar = Bar(call_fingerprint(order), order.run_id)
        while True:
            started_at = time.monotonic()
            result = await self._updater.update(claim_name(order), bar, BAR_TIMEOUT_S)
            if time.monotonic() - started_at <= BAR_TIMEOUT_S + VERDICT_VALID_S:
                return result


def _unknown(refused: Refused) -> Refused:
    """Return the refusal of a call that may have run, now or by an earlier call with its key.

    Its code is kept only if an attempt of this call cannot have run it, or the status says nothing
    of that.
    """
    retry_after_s = refused.retry_after_s
    may_have_run = refused.ran is WasExecuted.UNKNOWN
    is_misleading = may_have_run and refused.code.status in NOT_EXECUTED_STATUSES
    if retry_after_s is not None and not is_misleading:
        return attrs.evolve(refused, ran=WasExecuted.UNKNOWN)
    if retry_after_s is None:
        retry_after_s = RETRY_AFTER_S
    text = f"it is not known whether the call ran: {refused.code.value}: {refused.text}"
    return Refused(ErrorCode.OUTCOME_UNKNOWN, text, WasExecuted.UNKNOWN, retry_after_s)
