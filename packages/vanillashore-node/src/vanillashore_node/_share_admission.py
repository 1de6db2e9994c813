"""Admission by fleet-wide rates: an entry asks the holders of the workspace's partition."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from loguru import logger as log

from vanillashore_node._admission import Admitted
from vanillashore_node._core import NodeCore
from vanillashore_node._share_holder import ShareHolderTask
from vanillashore_schema import WorkspaceConfig
from vanillashore_share import HolderSelector, grant_valid_s, partition_of, usable_until
from vanillashore_wire import (
    ErrorCode,
    Grant,
    GrantAsk,
    GrantRefund,
    RefusalError,
    Refused,
    RouteClass,
    ShareRow,
)

ROW_POLL_S = 0.02
UNREACHED_RETRY_S = 1.0
MAX_REPEAT_S = 0.6
REFUND_POLL_S = 0.5
REPEAT_EARLY_PART = 0.8
RowOf = Callable[[int], ShareRow | None]


@attrs.define
class AdmissionStats:
    """What an entry met when it asked for grants."""

    admitted: int = 0
    refused: int = 0
    unreached: int = 0
    expired: int = 0


class ShareAdmission:
    """An `Admission` that asks the first holder that it reaches.

    A grant that comes too late to be used is given back, and the entry asks again.
    """

    def __init__(
        self, core: NodeCore, holder: ShareHolderTask, row_of: RowOf, incarnation: int
    ) -> None:
        self.stats = AdmissionStats()
        self._core = core
        self._cfg = core.cfg.share
        self._name = core.cfg.node.name
        self._holder = holder
        self._row_of = row_of
        self._choice = HolderSelector()
        self._grants = itertools.count(incarnation)
        self._refunds: dict[str, list[GrantRefund]] = {}
        self._refunds_due: dict[str, float] = {}

    async def admit(
        self,
        workspace: WorkspaceConfig,
        tokens: float,
        route_class: RouteClass = RouteClass.INTERACTIVE,
    ) -> Admitted:
        """Grant ``tokens``; raise RefusalError with the time to come back if there are none."""
        gives_up_at = time.monotonic() + self._patience_s(route_class)
        row = await self._row(partition_of(workspace.name), gives_up_at)
        while True:
            admitted = await self._round(row, workspace, tokens, gives_up_at)
            if admitted is not None:
                self.stats.admitted += 1
                return admitted
            if time.monotonic() >= gives_up_at:
                self.stats.unreached += 1
                raise _unreached(workspace.name)
            await asyncio.sleep(ROW_POLL_S)
            row = await self._row(partition_of(workspace.name), gives_up_at)

    def refund(self, admitted: Admitted, tokens: float) -> None:
        """Take back tokens that a request did not use."""
        if tokens > 0 and admitted.grant:
            self._keep_refund(admitted.holder, GrantRefund(admitted.grant, _lean(tokens)))

    async def run(self) -> None:
        """Send, until cancelled, the refunds that no ask to their holder has taken along."""
        while True:
            await asyncio.sleep(REFUND_POLL_S)
            now = time.monotonic()
            for holder, due in list(self._refunds_due.items()):
                if now >= due:
                    self._send_refunds(holder)

    def flush(self) -> None:
        """Send all refunds now."""
        for holder in list(self._refunds):
            self._send_refunds(holder)

    async def _row(self, partition: int, gives_up_at: float) -> ShareRow:
        row = self._row_of(partition)
        while row is None:
            if time.monotonic() >= gives_up_at:
                self.stats.unreached += 1
                raise _unreached("no share table yet")
            await asyncio.sleep(ROW_POLL_S)
            row = self._row_of(partition)
        return row

    async def _round(
        self, row: ShareRow, workspace: WorkspaceConfig, tokens: float, gives_up_at: float
    ) -> Admitted | None:
        for holder in self._choice.candidates(row, time.monotonic()):
            grant = next(self._grants)
            try:
                admitted = await self._ask(holder, grant, workspace, tokens, gives_up_at)
            except RefusalError as exc:
                if exc.code is ErrorCode.RATE_LIMITED:
                    self._choice.record_success(holder)
                    self.stats.refused += 1
                    raise
                log.bind(holder=holder, error=str(exc)).debug("a holder was not reached")
                self._choice.record_failure(holder, time.monotonic())
                self._give_back(holder, grant, tokens)
                continue
            except asyncio.CancelledError:
                self._give_back(holder, grant, tokens)
                raise
            self._choice.record_success(holder)
            return admitted
        return None

    async def _ask(
        self,
        holder: str,
        grant: int,
        workspace: WorkspaceConfig,
        tokens: float,
        gives_up_at: float,
    ) -> Admitted | None:
        asked_at = time.monotonic()
        while True:
            patience_s = round(max(0.0, gives_up_at - time.monotonic()), 1)
            ask = GrantAsk(grant, workspace.name, _lean(tokens), patience_s)
            answer = await self._ask_once(holder, ask)
            if isinstance(answer, Grant):
                break
            await asyncio.sleep(min(answer.wait_s, MAX_REPEAT_S) * REPEAT_EARLY_PART)
        valid_s = grant_valid_s(workspace, self._cfg)
        if time.monotonic() < usable_until(asked_at, answer, valid_s, self._cfg):
            return Admitted(workspace.name, tokens, holder, grant)
        self.stats.expired += 1
        self._give_back(holder, grant, tokens)
        return None

    async def _ask_once(self, holder: str, ask: GrantAsk) -> Any:
        if holder == self._name:
            return await _checked(self._holder.ask(ask, self._name), self._cfg.ask_timeout_s)
        address = self._core.directory.address_of(holder)
        if address is None:
            raise RefusalError(Refused(ErrorCode.PEER_UNREACHABLE, f"{holder} is not listed"))
        self._send_refunds(holder)
        return await self._core.hub.ask(address, ask, self._cfg.ask_timeout_s)

    def _give_back(self, holder: str, grant: int, tokens: float) -> None:
        self._keep_refund(holder, GrantRefund(grant, _lean(tokens)))
        self._send_refunds(holder)

    def _keep_refund(self, holder: str, refund: GrantRefund) -> None:
        self._refunds.setdefault(holder, []).append(refund)
        due = time.monotonic() + self._cfg.refund_delay_s
        self._refunds_due.setdefault(holder, due)

    def _send_refunds(self, holder: str) -> None:
        refunds = self._refunds.pop(holder, [])
        self._refunds_due.pop(holder, None)
        address = self._core.directory.address_of(holder)
        for refund in refunds:
            if holder == self._name:
                self._core.tasks.start(self._holder.refund(refund, self._name), "refund")
            elif address is not None:
                self._core.hub.send(address, refund)

    def _patience_s(self, route_class: RouteClass) -> float:
        if route_class is RouteClass.BATCH:
            return self._cfg.batch_patience_s
        return self._cfg.interactive_patience_s


async def _checked(answer: Awaitable[Any], timeout_s: float) -> Any:
    try:
        async with asyncio.timeout(timeout_s):
            result = await answer
    except TimeoutError as exc:
        refused = Refused(ErrorCode.PEER_UNREACHABLE, "the share went elsewhere")
        raise RefusalError(refused) from exc
    if isinstance(result, Refused):
        raise RefusalError(result)
    return result


def _lean(tokens: float) -> float:
    """Return a whole number as an int, which is shorter in JSON."""
    return int(tokens) if tokens == int(tokens) else tokens


def _unreached(what: str) -> RefusalError:
    text = f"no holder of the rate can be reached: {what}"
    refused = Refused(ErrorCode.SHARE_UNREACHABLE, text, retry_after_s=UNREACHED_RETRY_S)
    return RefusalError(refused)
