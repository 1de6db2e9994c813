"""Tasks that follow the share table and write to it.

An entry writes the first table, takes over the shares of unreachable owners, moves shares to other
entries to balance the load, and moves all its shares away when it leaves.
"""

import asyncio
import random
import time
from enum import Enum

import attrs
from loguru import logger as log

from vanillashore_node._core import NodeCore
from vanillashore_node._share_holder import ShareHolderTask
from vanillashore_share import (
    HolderVm,
    Move,
    apply_moves,
    departure_moves,
    initial_rows,
    rebalancing_moves,
    replacement_moves,
)
from vanillashore_store import ShareTableStore, VmState
from vanillashore_wire import (
    ErrorCode,
    RefusalError,
    Refused,
    ShareHandover,
    ShareLevels,
    ShareProbe,
    ShareRow,
    ShareTable,
    ShareTableRequest,
    VanillashoreError,
)

ENTRY_KIND = "entry"
FOLLOW_RETRY_S = 0.5
FIRST_TABLE_RETRY_S = 0.05
MAINTAIN_INTERVAL_S = 0.5
RECALL_TIMEOUT_S = 1.5
RECALL_POLL_S = 0.05
PROBE_TIMEOUT_S = 1.0
TAKEOVER_JITTER_S = 1.0


class _ProbeResult(Enum):
    RUNNING = "runs"
    LEAVING = "leaving"
    UNREACHABLE = "gone"


@attrs.frozen
class _PendingTransfer:
    """Suspended shares, with their levels, that the version after ``table`` moves to others."""

    table: ShareTable
    levels: dict[Move, ShareLevels]


class ShareOwnership:
    """Keeps a current copy of the share table and replaces owners that are unreachable."""

    def __init__(self, core: NodeCore, holder: ShareHolderTask, rng: random.Random) -> None:
        self._core = core
        self._name = core.cfg.node.name
        self._holder_task = holder
        self._rng = rng
        self._store = ShareTableStore(core.store)
        self._table: ShareTable | None = None
        self._missing_since: dict[str, float] = {}
        self._leaving = False
        self._pending_transfer: _PendingTransfer | None = None
        core.hub.on(ShareTableRequest, self._handle_table_request)

    @property
    def table(self) -> ShareTable | None:
        """The newest table that this process has."""
        return self._table

    def row_of(self, partition: int) -> ShareRow | None:
        """Return the owners of a partition's shares, or ``None`` before the first table."""
        return self._table.rows[partition] if self._table else None

    async def follow(self) -> None:
        """Follow the table until cancelled; if the store fails at first, request it from peers."""
        while True:
            try:
                await self._follow()
            except (VanillashoreError, ValueError) as exc:
                log.bind(error=str(exc)).debug("following the share table was interrupted")
                if self._table is None:
                    await self._request_table_from_peers()
            await asyncio.sleep(FOLLOW_RETRY_S if self._table else FIRST_TABLE_RETRY_S)

    async def maintain(self) -> None:
        """Replace unreachable owners and rebalance shares until cancelled."""
        while True:
            await asyncio.sleep(MAINTAIN_INTERVAL_S * (0.5 + self._rng.random()))
            try:
                await self._maintain()
            except VanillashoreError as exc:
                log.bind(error=str(exc)).debug("maintaining the share table failed")

    async def leave(self) -> None:
        """Transfer all shares before this process stops, unless the store is unavailable.

        An attempt leaves those that are still lent, and all if another process has changed the
        table meanwhile, so attempts go on until every loan has surely ended.
        """
        self._leaving = True
        self._holder_task.release_all()
        share = self._core.cfg.share
        loans_end_at = time.monotonic() + share.loan_s * (1 + share.clock_rate_bound)
        try:
            while moves := self._departure_moves():
                is_last = time.monotonic() > loans_end_at
                await self._transfer(self._table, moves)
                if is_last:
                    break
                await asyncio.sleep(RECALL_POLL_S)
        except VanillashoreError as exc:
            log.bind(error=str(exc)).warning("the shares were not transferred")
            return
        if remaining := len(self._departure_moves()):
            log.bind(shares=remaining).warning("some shares were not transferred")

    def _departure_moves(self) -> list[Move]:
        live = [vm for vm in self._live_entries() if vm.name != self._name]
        if self._table is None or not live:
            return []
        return departure_moves(self._table.rows, self._name, live)

    async def _follow(self) -> None:
        read_started_at = time.monotonic()
        table = await self._store.read()
        if table is None:
            self._holder_task.holder.record_missing_table()
            table = await self._create()
        if table is None:
            return
        self._apply_table(table, read_started_at)
        async for newer in self._store.watch(table.version):
            self._apply_table(newer, float("-inf"))

    async def _create(self) -> ShareTable | None:
        live = self._live_entries()
        if all(vm.name != self._name for vm in live):
            return None
        log.bind(holders=[vm.name for vm in live]).info("creating the share table")
        return await self._store.write(initial_rows(live), 0)

    def _apply_table(self, table: ShareTable, read_started_at: float) -> None:
        if self._table is None or table.version >= self._table.version:
            self._table = table
        self._holder_task.holder.apply_table(table, read_started_at, time.monotonic())

    async def _request_table_from_peers(self) -> None:
        peers = [vm.name for vm in self._live_entries() if vm.name != self._name]
        self._rng.shuffle(peers)
        for peer in peers:
            address = self._core.directory.address_of(peer)
            try:
                table = await self._core.hub.ask(address, ShareTableRequest(), PROBE_TIMEOUT_S)
            except RefusalError:
                continue
            self._table = table
            return

    async def _handle_table_request(self, request: ShareTableRequest, sender: str) -> ShareTable:
        if self._table is None:
            raise RefusalError(Refused(ErrorCode.NOT_CONFIGURED, "no share table yet"))
        return self._table

    async def _maintain(self) -> None:
        if self._table is None or self._leaving:
            return
        if self._pending_transfer is not None:
            await self._finish_transfer(self._pending_transfer)
        if self._holder_task.holder.is_fenced or self._holder_task.holder.version == 0:
            await self._reread_table()
        await self._replace_unreachable(self._table)
        moves = rebalancing_moves(self._table.rows, self._name, self._live_entries())
        if moves:
            await self._transfer(self._table, moves)

    async def _reread_table(self) -> None:
        read_started_at = time.monotonic()
        table = await self._store.read()
        if table is not None:
            self._apply_table(table, read_started_at)

    async def _replace_unreachable(self, table: ShareTable) -> None:
        unreachable = await self._unreachable_owners(table)
        if not unreachable:
            return
        await asyncio.sleep(self._rng.random() * TAKEOVER_JITTER_S)
        if self._table is not table:
            return
        log.bind(gone=sorted(unreachable)).info("taking over the shares of unreachable VMs")
        moves = replacement_moves(table.rows, unreachable, self._live_entries())
        written = await self._store.write(apply_moves(table.rows, moves), table.version)
        if written is not None:
            self._apply_table(written, float("-inf"))

    async def _unreachable_owners(self, table: ShareTable) -> set[str]:
        now = time.monotonic()
        owners = {owner for row in table.rows for owner in row.owners}
        listed = {vm.name for vm in self._core.directory.vms}
        for name in listed & self._missing_since.keys():
            del self._missing_since[name]
        missing = owners - listed
        for name in missing:
            self._missing_since.setdefault(name, now)
        limit_s = self._core.cfg.share.grace_s * (1 + self._core.cfg.share.clock_rate_bound)
        overdue = {name for name in missing if now - self._missing_since[name] > limit_s}
        return {name for name in overdue if await self._probe(name) is _ProbeResult.UNREACHABLE}

    async def _probe(self, name: str) -> _ProbeResult:
        address = self._core.directory.last_address_of(name)
        if address is None:
            return _ProbeResult.UNREACHABLE
        try:
            await self._core.hub.ask(address, ShareProbe(name), PROBE_TIMEOUT_S)
        except RefusalError as exc:
            is_leaving = exc.code is ErrorCode.SHUTTING_DOWN
            return _ProbeResult.LEAVING if is_leaving else _ProbeResult.UNREACHABLE
        return _ProbeResult.RUNNING

    async def _moves_to_running(self, moves: list[Move]) -> list[Move]:
        receivers = {move.to for move in moves}
        running = {name for name in receivers if await self._probe(name) is _ProbeResult.RUNNING}
        return [move for move in moves if move.to in running]

    async def _transfer(self, table: ShareTable, moves: list[Move]) -> None:
        levels = await self._suspend_shares(await self._moves_to_running(moves))
        if levels:
            self._pending_transfer = _PendingTransfer(table, levels)
            await self._finish_transfer(self._pending_transfer)

    async def _finish_transfer(self, transfer: _PendingTransfer) -> None:
        """Write a transfer and settle it by the current table.

        If the store fails, the transfer stays pending until it is certain whether it took effect;
        meanwhile no process uses its shares.
        """
        rows = apply_moves(transfer.table.rows, transfer.levels)
        written = await self._store.write(rows, transfer.table.version)
        if written is None:
            await self._reread_table()
        else:
            self._apply_table(written, float("-inf"))
        self._pending_transfer = None
        now = time.monotonic()
        for move, levels in transfer.levels.items():
            epoch = rows[move.partition].epochs[move.index]
            row = self._table.rows[move.partition]
            if row.owners[move.index] == move.to and row.epochs[move.index] == epoch:
                self._send_handover(move, epoch, levels)
            elif row.owners[move.index] == self._name:
                self._holder_task.holder.keep(move.partition, move.index, levels, now)

    async def _suspend_shares(self, moves: list[Move]) -> dict[Move, ShareLevels]:
        levels: dict[Move, ShareLevels] = {}
        deadline = time.monotonic() + RECALL_TIMEOUT_S
        while True:
            now = time.monotonic()
            for move in moves:
                if move not in levels:
                    share_levels = self._holder_task.holder.suspend_for_handover(
                        move.partition, move.index, now
                    )
                    if share_levels is not None:
                        levels[move] = share_levels
            if len(levels) == len(moves) or now >= deadline:
                break
            await asyncio.sleep(RECALL_POLL_S)
        for move in moves:
            if move not in levels:
                self._holder_task.holder.cancel_recall(move.partition, move.index)
        return levels

    def _send_handover(self, move: Move, epoch: int, levels: ShareLevels) -> None:
        address = self._core.directory.address_of(move.to)
        if address is not None:
            handover = ShareHandover(move.partition, move.index, epoch, levels)
            self._core.hub.send(address, handover)

    def _live_entries(self) -> list[HolderVm]:
        return [
            HolderVm(vm.name, vm.data_centre, vm.region)
            for vm in self._core.directory.vms
            if vm.kind == ENTRY_KIND and vm.state is VmState.LIVE
        ]
