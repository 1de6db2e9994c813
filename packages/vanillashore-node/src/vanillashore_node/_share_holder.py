"""The task that owns an entry's shares and answers requests for grants and loans over links."""

import asyncio
import time
from typing import Any

import attrs
from loguru import logger as log

from vanillashore_node._core import NodeCore
from vanillashore_share import HolderActions, HolderStatus, ShareHolder, holder_status
from vanillashore_wire import (
    Ack,
    ErrorCode,
    Grant,
    GrantRefund,
    GrantRequest,
    GrantWait,
    LoanRequests,
    LoanReturn,
    LoanReturns,
    RefusalError,
    Refused,
    ShareHandover,
    ShareProbe,
)

BUSY_TICK_S = 0.02
IDLE_TICK_S = 0.1


@attrs.define
class HolderStats:
    """Counts of a holder's answers since it started."""

    granted: int = 0
    refused: int = 0
    unreachable_loans: int = 0


class ShareHolderTask:
    """Passes the messages and the clock of this process to a `ShareHolder`."""

    def __init__(self, core: NodeCore, incarnation: int) -> None:
        self.stats = HolderStats()
        self._core = core
        self._incarnation = incarnation
        self._name = core.cfg.node.name
        self.holder = ShareHolder(self._name, incarnation, core.cfg.share, time.monotonic())
        self._pending: dict[tuple[str, int], asyncio.Future[Any]] = {}
        self._wake = asyncio.Event()
        core.hub.on(GrantRequest, self.request_grant)
        core.hub.on(GrantRefund, self.refund)
        core.hub.on(LoanRequests, self._handle_loan_requests)
        core.hub.on(LoanReturns, self._handle_returns)
        core.hub.on(ShareHandover, self._handle_handover)
        core.hub.on(ShareProbe, self._handle_probe)
        core.directory.on_change(lambda _: self._apply_rates())

    async def request_grant(
        self, request: GrantRequest, sender: str
    ) -> Grant | GrantWait | Refused:
        """Answer a request for a grant, at the latest when its hold time has passed."""
        fut = asyncio.get_running_loop().create_future()
        previous = self._pending.pop((sender, request.grant), None)
        if previous is not None:
            previous.cancel()
        self._pending[sender, request.grant] = fut
        self.apply(self.holder.handle_grant_request(sender, request, time.monotonic()))
        self._wake.set()
        return await fut

    async def refund(self, refund: GrantRefund, sender: str) -> None:
        """Credit unused tokens, or drop a pending request for a grant."""
        fut = self._pending.pop((sender, refund.grant), None)
        if fut is not None:
            fut.cancel()
        self.apply(self.holder.refund(sender, refund, time.monotonic()))

    async def run(self) -> None:
        """Advance the holder's clock until cancelled."""
        while True:
            now = time.monotonic()
            if self._is_listed():
                self.holder.confirm(now)
            self.apply(self.holder.tick(now))
            pause_s = BUSY_TICK_S if self._pending else IDLE_TICK_S
            due_s = self.holder.next_due(now) - now
            await self._sleep(max(0.001, min(pause_s, due_s)))

    def status(self) -> HolderStatus:
        """Return the shares, loans and token levels that this process holds."""
        return holder_status(self.holder, time.monotonic())

    def release_all(self) -> None:
        """Return every loan to its owner."""
        self.apply(self.holder.release_all(time.monotonic()))

    def apply(self, actions: HolderActions) -> None:
        """Send the answers, loan requests and loan returns in ``actions``."""
        for outcome in actions.outcomes:
            self._count_answer(outcome.answer)
            fut = self._pending.pop((outcome.sender, outcome.grant), None)
            if fut is not None and not fut.done():
                fut.set_result(outcome.answer)
        for owner, loan_requests in actions.loan_requests.items():
            message = LoanRequests(actions.loan_request_id, self._incarnation, tuple(loan_requests))
            self._core.tasks.start(self._request_loans(owner, message), "loan request")
        for owner, returns in actions.returns.items():
            self._return_loans(owner, tuple(returns))

    async def _sleep(self, seconds: float) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return

    def _is_listed(self) -> bool:
        return any(vm.name == self._name for vm in self._core.directory.vms)

    def _count_answer(self, answer: Grant | GrantWait | Refused) -> None:
        if isinstance(answer, Grant):
            self.stats.granted += 1
        elif isinstance(answer, Refused):
            self.stats.refused += 1

    async def _request_loans(self, owner: str, message: LoanRequests) -> None:
        address = self._core.directory.address_of(owner)
        if address is None:
            return
        try:
            answers = await self._core.hub.ask(address, message, self._core.cfg.share.loan_s)
        except RefusalError as exc:
            self.stats.unreachable_loans += 1
            log.bind(owner=owner, error=str(exc)).debug("a loan request failed")
            return
        self.apply(self.holder.handle_loan_answers(owner, answers, time.monotonic()))

    def _return_loans(self, owner: str, returns: tuple[LoanReturn, ...]) -> None:
        address = self._core.directory.address_of(owner)
        if address is not None:
            self._core.hub.send(address, LoanReturns(returns))

    async def _handle_loan_requests(self, message: LoanRequests, sender: str) -> object:
        if self._core.state.closed:
            raise RefusalError(Refused(ErrorCode.SHUTTING_DOWN, "the process has stopped"))
        return self.holder.lend(sender, message, time.monotonic())

    async def _handle_returns(self, message: LoanReturns, sender: str) -> None:
        self.apply(self.holder.handle_loan_returns(message, time.monotonic()))

    async def _handle_handover(self, message: ShareHandover, sender: str) -> None:
        self.holder.handle_handover(message, time.monotonic())

    async def _handle_probe(self, message: ShareProbe, sender: str) -> Ack:
        if message.vm != self._name:
            raise RefusalError(Refused(ErrorCode.ROLE_MISMATCH, f"this process is {self._name}"))
        if not self._core.state.ready:
            raise RefusalError(Refused(ErrorCode.SHUTTING_DOWN, f"{self._name} is shutting down"))
        return Ack()

    def _apply_rates(self) -> None:
        workspaces = self._core.directory.snapshot.configuration.workspace
        self.holder.apply_rates(workspaces, time.monotonic())
