"""All partitions of which this process is a holder."""

import itertools

import attrs

from vanillashore_share._borrowed import BorrowedShare
from vanillashore_share._buckets import EMPTY, FULL
from vanillashore_share._ledger import GrantLedger
from vanillashore_share._owned import Borrower, OwnedShare
from vanillashore_share._partition import GrantOutcome, PartitionHolder
from vanillashore_share._rates import RateBook, partition_of
from vanillashore_share._timing import RatedWorkspace, ShareTiming
from vanillashore_wire import (
    ErrorCode,
    GrantAsk,
    GrantRefund,
    LoanAnswer,
    LoanAnswers,
    LoanAsk,
    LoanAsks,
    LoanReturn,
    LoanReturns,
    Refused,
    ShareHandover,
    ShareLevels,
    ShareRow,
    ShareTable,
)

UNCONFIRMED_PART_OF_GRACE = 0.5
HANDOVER_WAIT_S = 0.3


@attrs.define
class HolderActions:
    """What a call to a `ShareHolder` asks its owner to do; messages are keyed by their receiver.

    ``ask_id`` goes with all ``asks``.
    """

    outcomes: list[GrantOutcome] = attrs.Factory(list)
    ask_id: int = 0
    asks: dict[str, list[LoanAsk]] = attrs.Factory(dict)
    returns: dict[str, list[LoanReturn]] = attrs.Factory(dict)


class ShareHolder:
    """Owns, lends and borrows shares and grants their tokens.

    It opens no sockets and reads no clock. ``incarnation`` tells this process apart from earlier
    ones under the same name; ``now`` is in seconds of its own clock::

        holder.apply_table(table, now)
        actions = holder.ask("entry-2", GrantAsk(7, "workspace-a", 900, 4.0), now)
    """

    def __init__(self, name: str, incarnation: int, cfg: ShareTiming, now: float) -> None:
        self.name = name
        self.book = RateBook(cfg)
        self.ledger = GrantLedger()
        self.partitions: dict[int, PartitionHolder] = {}
        self._incarnation = incarnation
        self._cfg = cfg
        self._active: set[int] = set()
        self._rows: tuple[ShareRow, ...] = ()
        self._version = 0
        self._saw_absence = False
        self._ids = itertools.count(incarnation)
        self._handovers: dict[tuple[int, int, int], ShareLevels] = {}
        self._confirmed_at = now
        self._fenced_at: float | None = None

    def record_missing_table(self) -> None:
        """Note that the store held no table, so that shares in the first one are unspent."""
        self._saw_absence = self._version == 0

    def apply_table(self, table: ShareTable, read_started_at: float, now: float) -> None:
        """Take over the shares that a table read from the store gives to this process.

        ``read_started_at`` is when the reading began. Only a table that was read after this process
        was fenced ends that; one that waited in a socket while the process was paused does not.
        """
        self._check_pause(now)
        if table.version < self._version:
            return
        if self._fenced_at is not None and read_started_at >= self._fenced_at:
            self._fenced_at = None
            self._confirmed_at = now
        is_first = self._version == 0 and not self._saw_absence
        self._version = table.version
        self._rows = table.rows
        for partition, row in enumerate(table.rows):
            if self.name in row.owners:
                self._take_row(partition, row, is_first, now)
            else:
                self.partitions.pop(partition, None)
                self._active.discard(partition)

    def apply_rates(self, workspaces: tuple[RatedWorkspace, ...], now: float) -> None:
        """Put rates into force; the time up to now counts at the old ones."""
        for name in self.book.changed(workspaces):
            holder = self.partitions.get(partition_of(name))
            if holder is not None:
                for buckets in holder.usable(now):
                    buckets.settle(name, now)
        self.book.replace(workspaces)

    def confirm(self, now: float) -> None:
        """Note that the VM list names this process's VM.

        A process that was paused, or not listed, for so long that others may soon take its shares
        over uses none until it has read the table again.
        """
        self._check_pause(now)
        self._confirmed_at = max(now, self._confirmed_at)

    @property
    def is_fenced(self) -> bool:
        """Whether the table has to be read before any share is used."""
        return self._fenced_at is not None

    @property
    def version(self) -> int:
        """Version of the table in force here; 0 before the first."""
        return self._version

    def ask(self, sender: str, ask: GrantAsk, now: float) -> HolderActions:
        """Handle an ask for a grant."""
        self._check_pause(now)
        partition = partition_of(ask.workspace)
        holder = self.partitions.get(partition)
        if holder is None or self.is_fenced:
            refused = Refused(ErrorCode.SHARE_UNREACHABLE, f"{self.name} holds no share of it")
            return HolderActions([GrantOutcome(sender, ask.grant, refused)])
        self._active.add(partition)
        actions = HolderActions(holder.ask(sender, ask, now), next(self._ids))
        self._add_loan_asks(partition, holder, actions, now)
        return actions

    def refund(self, sender: str, refund: GrantRefund, now: float) -> HolderActions:
        """Take back the unused tokens of a grant, once, or drop an ask that still waits."""
        given = self.ledger.settle(sender, refund.grant)
        if given is None:
            for partition in self._active:
                self.partitions[partition].waiting.remove_grant(sender, refund.grant)
            return HolderActions()
        holder = self.partitions.get(partition_of(given.workspace))
        if holder is None:
            return HolderActions()
        holder.put_back(given, refund.tokens, now)
        return HolderActions(self._serve(holder, now))

    def lend(self, borrower: str, message: LoanAsks, now: float) -> LoanAnswers:
        """Answer a borrower's asks."""
        self._check_pause(now)
        answers = (self._lend(borrower, message.incarnation, ask, now) for ask in message.asks)
        return LoanAnswers(message.ask, tuple(answers))

    def handle_loan_answers(self, owner: str, message: LoanAnswers, now: float) -> HolderActions:
        """Start, renew or end loans as their owner answered."""
        actions = HolderActions()
        for answer in message.answers:
            holder = self.partitions.get(answer.partition)
            share = holder.borrowed.get(answer.index) if holder else None
            if share is None:
                continue
            returned = share.take_answer(message.ask, answer, now)
            if returned is not None:
                actions.returns.setdefault(owner, []).append(returned)
            actions.outcomes += self._serve(holder, now)
        return actions

    def handle_loan_returns(self, message: LoanReturns, now: float) -> HolderActions:
        """Take loans back."""
        actions = HolderActions()
        for returned in message.returns:
            holder = self.partitions.get(returned.partition)
            share = holder.owned.get(returned.index) if holder else None
            if share is not None and share.take_back(returned, now):
                actions.outcomes += self._serve(holder, now)
        return actions

    def suspend_for_handover(self, partition: int, index: int, now: float) -> ShareLevels | None:
        """Stop using a share so that it can be given away.

        ``None`` means that it is not here yet; it has then been recalled.
        """
        holder = self.partitions.get(partition)
        share = holder.owned.get(index) if holder else None
        if share is None:
            return None
        share.recalled = True
        return share.suspend(now)

    def cancel_recall(self, partition: int, index: int) -> None:
        """Lend a share again that could not be given away in time."""
        holder = self.partitions.get(partition)
        share = holder.owned.get(index) if holder else None
        if share is not None:
            share.recalled = False

    def keep(self, partition: int, index: int, levels: ShareLevels, now: float) -> None:
        """Go on using a share whose giving away is known to have failed."""
        holder = self.partitions.get(partition)
        share = holder.owned.get(index) if holder else None
        if share is not None and share.suspended:
            kept = OwnedShare(self.book, self._cfg, share.epoch, levels, now)
            holder.owned[index] = kept

    def handle_handover(self, handover: ShareHandover, now: float) -> None:
        """Take the levels that a share's previous owner left, once."""
        key = (handover.partition, handover.index, handover.epoch)
        holder = self.partitions.get(handover.partition)
        share = holder.owned.get(handover.index) if holder else None
        if share is not None and share.epoch == handover.epoch:
            share.handle_handover(handover.levels, now)
        elif share is None or share.epoch < handover.epoch:
            self._handovers[key] = handover.levels

    def release_all(self, now: float) -> HolderActions:
        """Return every loan, before this process leaves."""
        actions = HolderActions()
        for partition in self._active:
            holder = self.partitions[partition]
            self._add_returns(partition, holder, actions, now)
        return actions

    def tick(self, now: float) -> HolderActions:
        """Let time pass: serve waiting asks, renew loans, return those without demand."""
        self._check_pause(now)
        self.ledger.forget_old(now)
        actions = HolderActions(ask_id=next(self._ids))
        if self.is_fenced:
            return actions
        for partition in list(self._active):
            holder = self.partitions[partition]
            actions.outcomes += holder.serve(now)
            if holder.has_demand(now):
                self._add_loan_asks(partition, holder, actions, now)
            else:
                self._add_returns(partition, holder, actions, now)
                self._active.discard(partition)
        return actions

    def next_due(self, now: float) -> float:
        """Return when waiting asks next need `tick`."""
        holders = [self.partitions[partition] for partition in self._active]
        return min((h.next_due(now) for h in holders if len(h.waiting)), default=float("inf"))

    def _take_row(self, partition: int, row: ShareRow, is_first: bool, now: float) -> None:
        holder = self.partitions.get(partition)
        if holder is None:
            holder = PartitionHolder(self.book, self._cfg, self.ledger)
            self.partitions[partition] = holder
        for index, (owner, epoch) in enumerate(zip(row.owners, row.epochs, strict=True)):
            if owner == self.name:
                holder.borrowed.pop(index, None)
                known = holder.owned.get(index)
                if known is None or known.epoch != epoch:
                    holder.owned[index] = self._new_share(partition, index, epoch, is_first, now)
                continue
            holder.owned.pop(index, None)
            borrowed = holder.borrowed.get(index)
            if borrowed is None or borrowed.epoch != epoch:
                share = BorrowedShare(self.book, self._cfg, partition, index, epoch)
                holder.borrowed[index] = share

    def _new_share(
        self, partition: int, index: int, epoch: int, is_first: bool, now: float
    ) -> OwnedShare:
        if is_first:
            return OwnedShare(self.book, self._cfg, epoch, EMPTY, now + self._restart_wait_s())
        handover = self._handovers.pop((partition, index, epoch), None)
        if epoch == 0 or handover is not None:
            return OwnedShare(self.book, self._cfg, epoch, handover or FULL, now)
        usable_at = now + HANDOVER_WAIT_S
        return OwnedShare(self.book, self._cfg, epoch, EMPTY, usable_at, awaits_handover=True)

    def _restart_wait_s(self) -> float:
        return self._cfg.loan_s * (1 + self._cfg.clock_rate_bound)

    def _lend(self, borrower: str, incarnation: int, ask: LoanAsk, now: float) -> LoanAnswer:
        holder = self.partitions.get(ask.partition)
        share = holder.owned.get(ask.index) if holder else None
        if share is None or self.is_fenced:
            return LoanAnswer(ask.partition, ask.index, 0)
        if holder.has_demand(now) and not ask.loan and share.buckets(now) is not None:
            return LoanAnswer(ask.partition, ask.index, 0)
        if holder.has_demand(now) and ask.loan:
            share.recall_loan(ask.loan)
        owners = self._rows[ask.partition].owners
        order = owners.index(borrower) if borrower in owners else len(owners)
        return share.lend(ask, Borrower(borrower, incarnation, order), next(self._ids), now)

    def _check_pause(self, now: float) -> None:
        limit_s = self._cfg.grace_s * UNCONFIRMED_PART_OF_GRACE
        if self._fenced_at is None and now - self._confirmed_at > limit_s:
            self._fenced_at = now

    def _serve(self, holder: PartitionHolder, now: float) -> list[GrantOutcome]:
        self._check_pause(now)
        return [] if self.is_fenced else holder.serve(now)

    def _add_loan_asks(
        self, partition: int, holder: PartitionHolder, actions: HolderActions, now: float
    ) -> None:
        owners = self._rows[partition].owners
        for ask in holder.loan_asks(actions.ask_id, now):
            actions.asks.setdefault(owners[ask.index], []).append(ask)

    def _add_returns(
        self, partition: int, holder: PartitionHolder, actions: HolderActions, now: float
    ) -> None:
        owners = self._rows[partition].owners
        for returned in holder.release_loans(now):
            actions.returns.setdefault(owners[returned.index], []).append(returned)
