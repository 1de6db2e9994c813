"""Admission by fleet-wide rates: an entry requests grants from a partition's holders."""

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
    GrantRefund,
    GrantRequest,
    RefusalError,
    Refused,
    RouteClass,
    ShareRow,
)

ROW_POLL_S = 0.02
UNREACHABLE_RETRY_AFTER_S = 1.0
MAX_RETRY_WAIT_S = 0.6
REFUND_POLL_S = 0.5
RETRY_WAIT_FACTOR = 0.8
RowLookup = Callable[[int], ShareRow | None]


@attrs.define
class AdmissionStats:
    """Outcomes of an entry's grant requests."""

    admitted: int = 0
    refused: int = 0
    unreached: int = 0
    expired: int = 0


class ShareAdmission:
    """An `Admission` that requests a grant from the first reachable holder.

    A grant that arrives too late to be used is refunded, and the entry requests another one.
    """

    def __init__(
        self, core: NodeCore, holder: ShareHolderTask, row_of: RowLookup, incarnation: int
    ) -> None:
        self.stats = AdmissionStats()
        self._core = core
        self._cfg = core.cfg.share
        self._name = core.cfg.node.name
        self._holder = holder
        self._row_of = row_of
        self._holder_selector = HolderSelector()
        self._grants = itertools.count(incarnation)
        self._refunds: dict[str, list[GrantRefund]] = {}
        self._refunds_due: dict[str, float] = {}

    async def admit(
        self,
        workspace: WorkspaceConfig,
        tokens: float,
        route_class: RouteClass = RouteClass.INTERACTIVE,
    ) -> Admitted:
        """Admit ``tokens``; raise RefusalError, with a retry delay, if that fails."""
        deadline = time.monotonic() + self._max_wait_s(route_class)
        row = await self._row(partition_of(workspace.name), deadline)
        while True:
            admitted = await self._try_holders(row, workspace, tokens, deadline)
            if admitted is not None:
                self.stats.admitted += 1
                return admitted
            if time.monotonic() >= deadline:
                self.stats.unreached += 1
                raise _unreachable_error(workspace.name)
            await asyncio.sleep(ROW_POLL_S)
            row = await self._row(partition_of(workspace.name), deadline)

    def refund(self, admitted: Admitted, tokens: float) -> None:
        """Return tokens that a request did not use to the holder that granted them."""
        if tokens > 0 and admitted.grant:
            self._queue_refund(
                admitted.holder, GrantRefund(admitted.grant, _compact_number(tokens))
            )

    async def run(self) -> None:
        """Send the refunds that are due until cancelled.

        A grant request to a remote holder first sends all refunds for that holder.
        """
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

    async def _row(self, partition: int, deadline: float) -> ShareRow:
        row = self._row_of(partition)
        while row is None:
            if time.monotonic() >= deadline:
                self.stats.unreached += 1
                raise _unreachable_error("no share table yet")
            await asyncio.sleep(ROW_POLL_S)
            row = self._row_of(partition)
        return row

    async def _try_holders(
        self, row: ShareRow, workspace: WorkspaceConfig, tokens: float, deadline: float
    ) -> Admitted | None:
        for holder in self._holder_selector.candidates(row, time.monotonic()):
            grant = next(self._grants)
            try:
                admitted = await self._request_grant(holder, grant, workspace, tokens, deadline)
            except RefusalError as exc:
                if exc.code is ErrorCode.RATE_LIMITED:
                    self._holder_selector.record_success(holder)
                    self.stats.refused += 1
                    raise
                log.bind(holder=holder, error=str(exc)).debug("a holder could not be reached")
                self._holder_selector.record_failure(holder, time.monotonic())
                self._refund_grant(holder, grant, tokens)
                continue
            except asyncio.CancelledError:
                self._refund_grant(holder, grant, tokens)
                raise
            self._holder_selector.record_success(holder)
            return admitted
        return None

    async def _request_grant(
        self,
        holder: str,
        grant: int,
        workspace: WorkspaceConfig,
        tokens: float,
        deadline: float,
    ) -> Admitted | None:
        requested_at = time.monotonic()
        while True:
            patience_s = round(max(0.0, deadline - time.monotonic()), 1)
            request = GrantRequest(grant, workspace.name, _compact_number(tokens), patience_s)
            answer = await self._send_request(holder, request)
            if isinstance(answer, Grant):
                break
            await asyncio.sleep(min(answer.wait_s, MAX_RETRY_WAIT_S) * RETRY_WAIT_FACTOR)
        valid_s = grant_valid_s(workspace, self._cfg)
        if time.monotonic() < usable_until(requested_at, answer, valid_s, self._cfg):
            return Admitted(workspace.name, tokens, holder, grant)
        self.stats.expired += 1
        self._refund_grant(holder, grant, tokens)
        return None

    async def _send_request(self, holder: str, request: GrantRequest) -> Any:
        if holder == self._name:
            return await _await_reply(
                self._holder.request_grant(request, self._name), self._cfg.ask_timeout_s
            )
        address = self._core.directory.address_of(holder)
        if address is None:
            raise RefusalError(
                Refused(ErrorCode.PEER_UNREACHABLE, f"{holder} is not in the VM list")
            )
        self._send_refunds(holder)
        return await self._core.hub.ask(address, request, self._cfg.ask_timeout_s)

    def _refund_grant(self, holder: str, grant: int, tokens: float) -> None:
        self._queue_refund(holder, GrantRefund(grant, _compact_number(tokens)))
        self._send_refunds(holder)

    def _queue_refund(self, holder: str, refund: GrantRefund) -> None:
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

    def _max_wait_s(self, route_class: RouteClass) -> float:
        if route_class is RouteClass.BATCH:
            return self._cfg.batch_patience_s
        return self._cfg.interactive_patience_s


async def _await_reply(answer: Awaitable[Any], timeout_s: float) -> Any:
    try:
        async with asyncio.timeout(timeout_s):
            result = await answer
    except TimeoutError as exc:
        refused = Refused(ErrorCode.PEER_UNREACHABLE, "the local holder did not decide in time")
        raise RefusalError(refused) from exc
    if isinstance(result, Refused):
        raise RefusalError(result)
    return result


def _compact_number(tokens: float) -> float:
    """Return a whole number as an int, which is shorter in JSON."""
    return int(tokens) if tokens == int(tokens) else tokens


def _unreachable_error(what: str) -> RefusalError:
    text = f"no holder of the rate can be reached: {what}"
    refused = Refused(ErrorCode.SHARE_UNREACHABLE, text, retry_after_s=UNREACHABLE_RETRY_AFTER_S)
    return RefusalError(refused)
