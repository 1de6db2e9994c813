"""All partitions of which this process holds shares."""

import itertools

import attrs

from vanillashore_share._borrowed import BorrowedShare
from vanillashore_share._buckets import EMPTY, FULL
from vanillashore_share._ledger import GrantLedger
from vanillashore_share._owned import Borrower, OwnedShare
from vanillashore_share._partition import GrantOutcome, PartitionHolder
from vanillashore_share._rates import RateTable, partition_of
from vanillashore_share._timing import RatedWorkspace, ShareTiming
from vanillashore_wire import (
    ErrorCode,
    GrantRefund,
    GrantRequest,
    LoanAnswer,
    LoanAnswers,
    LoanRequest,
    LoanRequests,
    LoanReturn,
    LoanReturns,
    Refused,
    ShareHandover,
    ShareLevels,
    ShareRow,
    ShareTable,
)

FENCE_AFTER_GRACE_FRACTION = 0.5
HANDOVER_WAIT_S = 0.3


@attrs.define
class HolderActions:
    """Messages that the caller of a `ShareHolder` has to send.

    ``outcomes`` answer grant requests. ``loan_requests`` and ``returns`` are keyed by the receiving
    holder; all ``loan_requests`` are sent with the ID ``loan_request_id``.
    """

    outcomes: list[GrantOutcome] = attrs.Factory(list)
    loan_request_id: int = 0
    loan_requests: dict[str, list[LoanRequest]] = attrs.Factory(dict)
    returns: dict[str, list[LoanReturn]] = attrs.Factory(dict)


class ShareHolder:
    """Owns, lends and borrows shares, and grants their tokens.

    It does no I/O and reads no clock: ``now`` is in seconds of this process's clock.
    ``incarnation`` distinguishes this process from earlier ones of the same name::

        holder.apply_table(table, read_started_at, now)
        request = GrantRequest(7, "workspace-a", 900, 4.0)
        actions = holder.handle_grant_request("entry-2", request, now)
    """

    def __init__(self, name: str, incarnation: int, cfg: ShareTiming, now: float) -> None:
        self.name = name
        self.rates = RateTable(cfg)
        self.ledger = GrantLedger()
        self.partitions: dict[int, PartitionHolder] = {}
        self._incarnation = incarnation
        self._cfg = cfg
        self._active: set[int] = set()
        self._rows: tuple[ShareRow, ...] = ()
        self._version = 0
        self._saw_missing_table = False
        self._ids = itertools.count(incarnation)
        self._handovers: dict[tuple[int, int, int], ShareLevels] = {}
        self._confirmed_at = now
        self._fenced_at: float | None = None

    def record_missing_table(self) -> None:
        """Record that the store has no table yet, so shares of the first table start full."""
        self._saw_missing_table = self._version == 0

    def apply_table(self, table: ShareTable, read_started_at: float, now: float) -> None:
        """Apply a table read from the store: use the shares that it assigns to this process.

        ``read_started_at`` is when the read began. A fenced process stays fenced until it applies a
        table whose read began after it was fenced: a reply that waited in the socket during a pause
        may be out of date.
        """
        self._check_pause(now)
        if table.version < self._version:
            return
        if self._fenced_at is not None and read_started_at >= self._fenced_at:
            self._fenced_at = None
            self._confirmed_at = now
        is_first = self._version == 0 and not self._saw_missing_table
        self._version = table.version
        self._rows = table.rows
        for partition, row in enumerate(table.rows):
            if self.name in row.owners:
                self._apply_row(partition, row, is_first, now)
            else:
                self.partitions.pop(partition, None)
                self._active.discard(partition)

    def apply_rates(self, workspaces: tuple[RatedWorkspace, ...], now: float) -> None:
        """Apply new rates; tokens up to ``now`` accrue at the old rates."""
        for name in self.rates.changed(workspaces):
            holder = self.partitions.get(partition_of(name))
            if holder is not None:
                for buckets in holder.usable(now):
                    buckets.accrue(name, now)
        self.rates.replace(workspaces)

    def confirm(self, now: float) -> None:
        """Record that the VM list contains this process's VM.

        A process that was paused or unlisted for so long that others may soon take over its shares
        is fenced: it uses no share until it has read the table again.
        """
        self._check_pause(now)
        self._confirmed_at = max(now, self._confirmed_at)

    @property
    def is_fenced(self) -> bool:
        """Whether the table must be read again before any share is used."""
        return self._fenced_at is not None

    @property
    def version(self) -> int:
        """Version of the table last applied; 0 before the first."""
        return self._version

    def handle_grant_request(self, sender: str, request: GrantRequest, now: float) -> HolderActions:
        """Handle a grant request."""
        self._check_pause(now)
        partition = partition_of(request.workspace)
        holder = self.partitions.get(partition)
        if holder is None or self.is_fenced:
            refused = Refused(
                ErrorCode.SHARE_UNREACHABLE, f"{self.name} holds no share of the partition"
            )
            return HolderActions([GrantOutcome(sender, request.grant, refused)])
        self._active.add(partition)
        actions = HolderActions(holder.handle_grant_request(sender, request, now), next(self._ids))
        self._add_loan_requests(partition, holder, actions, now)
        return actions

    def refund(self, sender: str, refund: GrantRefund, now: float) -> HolderActions:
        """Refund the unused tokens of a grant, at most once, or cancel its queued request."""
        issued = self.ledger.settle(sender, refund.grant)
        if issued is None:
            for partition in self._active:
                self.partitions[partition].queue.remove_grant(sender, refund.grant)
            return HolderActions()
        holder = self.partitions.get(partition_of(issued.workspace))
        if holder is None:
            return HolderActions()
        holder.refund(issued, refund.tokens, now)
        return HolderActions(self._serve(holder, now))

    def lend(self, borrower: str, message: LoanRequests, now: float) -> LoanAnswers:
        """Answer a borrower's loan requests."""
        self._check_pause(now)
        answers = (
            self._lend(borrower, message.incarnation, request, now) for request in message.asks
        )
        return LoanAnswers(message.ask, tuple(answers))

    def handle_loan_answers(self, owner: str, message: LoanAnswers, now: float) -> HolderActions:
        """Start, renew or end loans according to their owner's answers."""
        actions = HolderActions()
        for answer in message.answers:
            holder = self.partitions.get(answer.partition)
            share = holder.borrowed.get(answer.index) if holder else None
            if share is None:
                continue
            returned = share.handle_answer(message.ask, answer, now)
            if returned is not None:
                actions.returns.setdefault(owner, []).append(returned)
            actions.outcomes += self._serve(holder, now)
        return actions

    def handle_loan_returns(self, message: LoanReturns, now: float) -> HolderActions:
        """Accept returned loans and serve the requests that waited for them."""
        actions = HolderActions()
        for returned in message.returns:
            holder = self.partitions.get(returned.partition)
            share = holder.owned.get(returned.index) if holder else None
            if share is not None and share.accept_return(returned, now):
                actions.outcomes += self._serve(holder, now)
        return actions

    def suspend_for_handover(self, partition: int, index: int, now: float) -> ShareLevels | None:
        """Stop using a share so that it can be handed over; return its levels.

        ``None`` means that the share is still lent; its loan is then not renewed.
        """
        holder = self.partitions.get(partition)
        share = holder.owned.get(index) if holder else None
        if share is None:
            return None
        share.recalled = True
        return share.suspend(now)

    def cancel_recall(self, partition: int, index: int) -> None:
        """Allow a share to be lent again after its handover was abandoned."""
        holder = self.partitions.get(partition)
        share = holder.owned.get(index) if holder else None
        if share is not None:
            share.recalled = False

    def keep(self, partition: int, index: int, levels: ShareLevels, now: float) -> None:
        """Use a suspended share again, after its handover is known to have failed."""
        holder = self.partitions.get(partition)
        share = holder.owned.get(index) if holder else None
        if share is not None and share.suspended:
            kept = OwnedShare(self.rates, self._cfg, share.epoch, levels, now)
            holder.owned[index] = kept

    def handle_handover(self, handover: ShareHandover, now: float) -> None:
        """Apply, at most once, the levels that a share's previous owner sent."""
        key = (handover.partition, handover.index, handover.epoch)
        holder = self.partitions.get(handover.partition)
        share = holder.owned.get(handover.index) if holder else None
        if share is not None and share.epoch == handover.epoch:
            share.handle_handover(handover.levels, now)
        elif share is None or share.epoch < handover.epoch:
            self._handovers[key] = handover.levels

    def release_all(self, now: float) -> HolderActions:
        """Return all loans, before this process shuts down."""
        actions = HolderActions()
        for partition in self._active:
            holder = self.partitions[partition]
            self._add_returns(partition, holder, actions, now)
        return actions

    def tick(self, now: float) -> HolderActions:
        """Serve queued requests, renew loans, and return loans of partitions without demand."""
        self._check_pause(now)
        self.ledger.forget_old(now)
        actions = HolderActions(loan_request_id=next(self._ids))
        if self.is_fenced:
            return actions
        for partition in list(self._active):
            holder = self.partitions[partition]
            actions.outcomes += holder.serve(now)
            if holder.has_demand(now):
                self._add_loan_requests(partition, holder, actions, now)
            else:
                self._add_returns(partition, holder, actions, now)
                self._active.discard(partition)
        return actions

    def next_due(self, now: float) -> float:
        """Return the time by which `tick` has to be called for queued requests."""
        holders = [self.partitions[partition] for partition in self._active]
        return min((h.next_due(now) for h in holders if len(h.queue)), default=float("inf"))

    def _apply_row(self, partition: int, row: ShareRow, is_first: bool, now: float) -> None:
        holder = self.partitions.get(partition)
        if holder is None:
            holder = PartitionHolder(self.rates, self._cfg, self.ledger)
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
                share = BorrowedShare(self.rates, self._cfg, partition, index, epoch)
                holder.borrowed[index] = share

    def _new_share(
        self, partition: int, index: int, epoch: int, is_first: bool, now: float
    ) -> OwnedShare:
        if is_first:
            return OwnedShare(self.rates, self._cfg, epoch, EMPTY, now + self._restart_wait_s())
        handover = self._handovers.pop((partition, index, epoch), None)
        if epoch == 0 or handover is not None:
            return OwnedShare(self.rates, self._cfg, epoch, handover or FULL, now)
        usable_at = now + HANDOVER_WAIT_S
        return OwnedShare(self.rates, self._cfg, epoch, EMPTY, usable_at, awaits_handover=True)

    def _restart_wait_s(self) -> float:
        return self._cfg.loan_s * (1 + self._cfg.clock_rate_bound)

    def _lend(
        self, borrower: str, incarnation: int, request: LoanRequest, now: float
    ) -> LoanAnswer:
        holder = self.partitions.get(request.partition)
        share = holder.owned.get(request.index) if holder else None
        if share is None or self.is_fenced:
            return LoanAnswer(request.partition, request.index, 0)
        if holder.has_demand(now) and not request.loan and share.buckets(now) is not None:
            return LoanAnswer(request.partition, request.index, 0)
        if holder.has_demand(now) and request.loan:
            share.recall_loan(request.loan)
        owners = self._rows[request.partition].owners
        order = owners.index(borrower) if borrower in owners else len(owners)
        return share.lend(request, Borrower(borrower, incarnation, order), next(self._ids), now)

    def _check_pause(self, now: float) -> None:
        limit_s = self._cfg.grace_s * FENCE_AFTER_GRACE_FRACTION
        if self._fenced_at is None and now - self._confirmed_at > limit_s:
            self._fenced_at = now

    def _serve(self, holder: PartitionHolder, now: float) -> list[GrantOutcome]:
        self._check_pause(now)
        return [] if self.is_fenced else holder.serve(now)

    def _add_loan_requests(
        self, partition: int, holder: PartitionHolder, actions: HolderActions, now: float
    ) -> None:
        owners = self._rows[partition].owners
        for request in holder.due_loan_requests(actions.loan_request_id, now):
            actions.loan_requests.setdefault(owners[request.index], []).append(request)

    def _add_returns(
        self, partition: int, holder: PartitionHolder, actions: HolderActions, now: float
    ) -> None:
        owners = self._rows[partition].owners
        for returned in holder.release_loans(now):
            actions.returns.setdefault(owners[returned.index], []).append(returned)
