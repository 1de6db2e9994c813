"""The task that owns an entry's shares: it answers asks for grants and loans over links."""

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
    GrantAsk,
    GrantRefund,
    GrantWait,
    LoanAsks,
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
    """What a holder has answered since it started."""

    granted: int = 0
    refused: int = 0
    unreachable_loans: int = 0


class ShareHolderTask:
    """Drives a `ShareHolder` with the messages and the clock of this process."""

    def __init__(self, core: NodeCore, incarnation: int) -> None:
        self.stats = HolderStats()
        self._core = core
        self._incarnation = incarnation
        self._name = core.cfg.node.name
        self.holder = ShareHolder(self._name, incarnation, core.cfg.share, time.monotonic())
        self._waiting: dict[tuple[str, int], asyncio.Future[Any]] = {}
        self._wake = asyncio.Event()
        core.hub.on(GrantAsk, self.ask)
        core.hub.on(GrantRefund, self.refund)
        core.hub.on(LoanAsks, self._lend)
        core.hub.on(LoanReturns, self._take_returns)
        core.hub.on(ShareHandover, self._take_handover)
        core.hub.on(ShareProbe, self._probe)
        core.directory.on_change(lambda _: self._take_rates())

    async def ask(self, ask: GrantAsk, sender: str) -> Grant | GrantWait | Refused:
        """Answer an ask for a grant, at the latest when it has been held for long enough."""
        fut = asyncio.get_running_loop().create_future()
        earlier = self._waiting.pop((sender, ask.grant), None)
        if earlier is not None:
            earlier.cancel()
        self._waiting[sender, ask.grant] = fut
        self.act(self.holder.ask(sender, ask, time.monotonic()))
        self._wake.set()
        return await fut

    async def refund(self, refund: GrantRefund, sender: str) -> None:
        """Take back unused tokens, or drop an ask that waits."""
        fut = self._waiting.pop((sender, refund.grant), None)
        if fut is not None:
            fut.cancel()
        self.act(self.holder.refund(sender, refund, time.monotonic()))

    async def run(self) -> None:
        """Let time pass for the shares until cancelled."""
        while True:
            now = time.monotonic()
            if self._is_listed():
                self.holder.confirm(now)
            self.act(self.holder.tick(now))
            pause_s = BUSY_TICK_S if self._waiting else IDLE_TICK_S
            due_s = self.holder.next_due(now) - now
            await self._sleep(max(0.001, min(pause_s, due_s)))

    def status(self) -> HolderStatus:
        """Return the shares, loans and levels that are here."""
        return holder_status(self.holder, time.monotonic())

    def release_all(self) -> None:
        """Return every loan to its owner."""
        self.act(self.holder.release_all(time.monotonic()))

    def act(self, actions: HolderActions) -> None:
        """Send what the state machine wants sent."""
        for outcome in actions.outcomes:
            self._count(outcome.answer)
            fut = self._waiting.pop((outcome.sender, outcome.grant), None)
            if fut is not None and not fut.done():
                fut.set_result(outcome.answer)
        for owner, asks in actions.asks.items():
            message = LoanAsks(actions.ask_id, self._incarnation, tuple(asks))
            self._core.tasks.start(self._borrow(owner, message), "loan ask")
        for owner, returns in actions.returns.items():
            self._return(owner, tuple(returns))

    async def _sleep(self, seconds: float) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return

    def _is_listed(self) -> bool:
        return any(vm.name == self._name for vm in self._core.directory.vms)

    def _count(self, answer: Grant | GrantWait | Refused) -> None:
        if isinstance(answer, Grant):
            self.stats.granted += 1
        elif isinstance(answer, Refused):
            self.stats.refused += 1

    async def _borrow(self, owner: str, message: LoanAsks) -> None:
        address = self._core.directory.address_of(owner)
        if address is None:
            return
        try:
            answers = await self._core.hub.ask(address, message, self._core.cfg.share.loan_s)
        except RefusalError as exc:
            self.stats.unreachable_loans += 1
            log.bind(owner=owner, error=str(exc)).debug("a loan could not be asked for")
            return
        self.act(self.holder.handle_loan_answers(owner, answers, time.monotonic()))

    def _return(self, owner: str, returns: tuple[LoanReturn, ...]) -> None:
        address = self._core.directory.address_of(owner)
        if address is not None:
            self._core.hub.send(address, LoanReturns(returns))

    async def _lend(self, message: LoanAsks, sender: str) -> object:
        if self._core.state.closed:
            raise RefusalError(Refused(ErrorCode.SHUTTING_DOWN, "the process has stopped"))
        return self.holder.lend(sender, message, time.monotonic())

    async def _take_returns(self, message: LoanReturns, sender: str) -> None:
        self.act(self.holder.handle_loan_returns(message, time.monotonic()))

    async def _take_handover(self, message: ShareHandover, sender: str) -> None:
        self.holder.handle_handover(message, time.monotonic())

    async def _probe(self, message: ShareProbe, sender: str) -> Ack:
        if message.vm != self._name:
            raise RefusalError(Refused(ErrorCode.ROLE_MISMATCH, f"this is {self._name}"))
        if not self._core.state.ready:
            raise RefusalError(Refused(ErrorCode.SHUTTING_DOWN, f"{self._name} is leaving"))
        return Ack()

    def _take_rates(self) -> None:
        workspaces = self._core.directory.snapshot.configuration.workspace
        self.holder.apply_rates(workspaces, time.monotonic())
