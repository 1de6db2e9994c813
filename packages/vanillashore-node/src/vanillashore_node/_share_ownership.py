"""The task that follows the share table and changes it: first table, takeover, gifts, farewell."""

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
    ShareTableAsk,
    VanillashoreError,
)

ENTRY_KIND = "entry"
FOLLOW_RETRY_S = 0.5
FIRST_RETRY_S = 0.05
MAINTAIN_S = 0.5
RECALL_WAIT_S = 1.5
RECALL_POLL_S = 0.05
PROBE_TIMEOUT_S = 1.0
JITTER_S = 1.0


class _Probed(Enum):
    RUNS = "runs"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.frozen
class _Gift:
    """Shares that are not used here any more and are to be given away from ``table`` on."""

    table: ShareTable
    levels: dict[Move, ShareLevels]


class ShareOwnership:
    """Keeps the share table known here, and every share with an owner that runs."""

    def __init__(self, core: NodeCore, holder: ShareHolderTask, rng: random.Random) -> None:
        self._core = core
        self._name = core.cfg.node.name
        self._task = holder
        self._rng = rng
        self._store = ShareTableStore(core.store)
        self._table: ShareTable | None = None
        self._missing_since: dict[str, float] = {}
        self._leaving = False
        self._gift: _Gift | None = None
        core.hub.on(ShareTableAsk, self._answer_table_ask)

    @property
    def table(self) -> ShareTable | None:
        """The newest table that is known here."""
        return self._table

    def row_of(self, partition: int) -> ShareRow | None:
        """Return who holds a partition, or ``None`` before the first table."""
        return self._table.rows[partition] if self._table else None

    async def follow(self) -> None:
        """Follow the table until cancelled; ask peers for it while the store cannot be reached."""
        while True:
            try:
                await self._follow()
            except (VanillashoreError, ValueError) as exc:
                log.bind(error=str(exc)).debug("following the share table was interrupted")
                if self._table is None:
                    await self._ask_peers()
            await asyncio.sleep(FOLLOW_RETRY_S if self._table else FIRST_RETRY_S)

    async def maintain(self) -> None:
        """Look after the table until cancelled."""
        while True:
            await asyncio.sleep(MAINTAIN_S * (0.5 + self._rng.random()))
            try:
                await self._maintain()
            except VanillashoreError as exc:
                log.bind(error=str(exc)).debug("the share table was not looked after")

    async def leave(self) -> None:
        """Give all shares away before this process stops; keep them if the store is down."""
        self._leaving = True
        self._task.release_all()
        table = self._table
        live = [vm for vm in self._live() if vm.name != self._name]
        if table is None or not live:
            return
        try:
            await self._give(table, departure_moves(table.rows, self._name, live))
        except VanillashoreError as exc:
            log.bind(error=str(exc)).warning("the shares were not given away")

    async def _follow(self) -> None:
        read_started_at = time.monotonic()
        table = await self._store.read()
        if table is None:
            self._task.holder.record_missing_table()
            table = await self._create()
        if table is None:
            return
        self._take(table, read_started_at)
        async for newer in self._store.watch(table.version):
            self._take(newer, float("-inf"))

    async def _create(self) -> ShareTable | None:
        live = self._live()
        if all(vm.name != self._name for vm in live):
            return None
        log.bind(holders=[vm.name for vm in live]).info("creating the share table")
        return await self._store.write(initial_rows(live), 0)

    def _take(self, table: ShareTable, read_started_at: float) -> None:
        if self._table is None or table.version >= self._table.version:
            self._table = table
        self._task.holder.apply_table(table, read_started_at, time.monotonic())

    async def _ask_peers(self) -> None:
        peers = [vm.name for vm in self._live() if vm.name != self._name]
        self._rng.shuffle(peers)
        for peer in peers:
            address = self._core.directory.address_of(peer)
            try:
                table = await self._core.hub.ask(address, ShareTableAsk(), PROBE_TIMEOUT_S)
            except RefusalError:
                continue
            self._table = table
            return

    async def _answer_table_ask(self, ask: ShareTableAsk, sender: str) -> ShareTable:
        if self._table is None:
            raise RefusalError(Refused(ErrorCode.NOT_CONFIGURED, "no share table yet"))
        return self._table

    async def _maintain(self) -> None:
        if self._table is None or self._leaving:
            return
        if self._gift is not None:
            await self._finish_gift(self._gift)
        if self._task.holder.is_fenced or self._task.holder.version == 0:
            await self._read_again()
        await self._replace_gone(self._table)
        moves = rebalancing_moves(self._table.rows, self._name, self._live())
        if moves:
            await self._give(self._table, moves)

    async def _read_again(self) -> None:
        read_started_at = time.monotonic()
        table = await self._store.read()
        if table is not None:
            self._take(table, read_started_at)

    async def _replace_gone(self, table: ShareTable) -> None:
        gone = await self._gone(table)
        if not gone:
            return
        await asyncio.sleep(self._rng.random() * JITTER_S)
        if self._table is not table:
            return
        log.bind(gone=sorted(gone)).info("taking over the shares of VMs that are gone")
        moves = replacement_moves(table.rows, gone, self._live())
        written = await self._store.write(apply_moves(table.rows, moves), table.version)
        if written is not None:
            self._take(written, float("-inf"))

    async def _gone(self, table: ShareTable) -> set[str]:
        now = time.monotonic()
        owners = {owner for row in table.rows for owner in row.owners}
        listed = {vm.name for vm in self._core.directory.vms}
        for name in listed & self._missing_since.keys():
            del self._missing_since[name]
        missing = owners - listed
        for name in missing:
            self._missing_since.setdefault(name, now)
        limit_s = self._core.cfg.share.grace_s * (1 + self._core.cfg.share.clock_rate_bound)
        late = {name for name in missing if now - self._missing_since[name] > limit_s}
        return {name for name in late if await self._probe(name) is _Probed.GONE}

    async def _probe(self, name: str) -> _Probed:
        address = self._core.directory.last_address_of(name)
        if address is None:
            return _Probed.GONE
        try:
            await self._core.hub.ask(address, ShareProbe(name), PROBE_TIMEOUT_S)
        except RefusalError as exc:
            is_leaving = exc.code is ErrorCode.SHUTTING_DOWN
            return _Probed.LEAVING if is_leaving else _Probed.GONE
        return _Probed.RUNS

    async def _receivable(self, moves: list[Move]) -> list[Move]:
        receivers = {move.to for move in moves}
        ready = {name for name in receivers if await self._probe(name) is _Probed.RUNS}
        return [move for move in moves if move.to in ready]

    async def _give(self, table: ShareTable, moves: list[Move]) -> None:
        levels = await self._stop_using(await self._receivable(moves))
        if levels:
            self._gift = _Gift(table, levels)
            await self._finish_gift(self._gift)

    async def _finish_gift(self, gift: _Gift) -> None:
        """Write a gift until it is certain whether it took effect; meanwhile nobody uses it."""
        rows = apply_moves(gift.table.rows, gift.levels)
        written = await self._store.write(rows, gift.table.version)
        if written is None:
            await self._read_again()
        else:
            self._take(written, float("-inf"))
        self._gift = None
        now = time.monotonic()
        for move, levels in gift.levels.items():
            epoch = rows[move.partition].epochs[move.index]
            row = self._table.rows[move.partition]
            if row.owners[move.index] == move.to and row.epochs[move.index] == epoch:
                self._hand_over(move, epoch, levels)
            elif row.owners[move.index] == self._name:
                self._task.holder.keep(move.partition, move.index, levels, now)

    async def _stop_using(self, moves: list[Move]) -> dict[Move, ShareLevels]:
        levels: dict[Move, ShareLevels] = {}
        ends = time.monotonic() + RECALL_WAIT_S
        while True:
            now = time.monotonic()
            for move in moves:
                if move not in levels:
                    found = self._task.holder.suspend_for_handover(move.partition, move.index, now)
                    if found is not None:
                        levels[move] = found
            if len(levels) == len(moves) or now >= ends:
                break
            await asyncio.sleep(RECALL_POLL_S)
        for move in moves:
            if move not in levels:
                self._task.holder.cancel_recall(move.partition, move.index)
        return levels

    def _hand_over(self, move: Move, epoch: int, levels: ShareLevels) -> None:
        address = self._core.directory.address_of(move.to)
        if address is not None:
            handover = ShareHandover(move.partition, move.index, epoch, levels)
            self._core.hub.send(address, handover)

    def _live(self) -> list[HolderVm]:
        return [
            HolderVm(vm.name, vm.data_centre, vm.region)
            for vm in self._core.directory.vms
            if vm.kind == ENTRY_KIND and vm.state is VmState.LIVE
        ]
