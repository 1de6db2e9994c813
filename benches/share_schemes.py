"""The schemes that the share bench compares."""

import itertools

from share_sim import SERVICE_S, UNUSED_PART, Request, Sim
from vanillashore_schema import ShareSettings, WorkspaceConfig
from vanillashore_share import (
    HolderActions,
    HolderSelector,
    HolderVm,
    ShareHolder,
    apply_moves,
    grant_valid_s,
    initial_rows,
    partition_of,
    replacement_moves,
    usable_until,
)
from vanillashore_wire import (
    Grant,
    GrantRefund,
    GrantRequest,
    GrantWait,
    LoanAnswers,
    LoanRequests,
    LoanReturns,
    Refused,
    ShareTable,
)

CFG = ShareSettings()
TICK_S = 0.02
LIST_LAG_S = 5.0
LEASE_S = 3.0
RETRY_S = 0.1


class Vanillashore:
    """Shares, loans and grants, by the state machines of the product."""

    name = "vanillashore"

    def begin(self, sim: Sim) -> None:
        """Set up the nodes."""
        self._sim = sim
        plan = sim.plan
        self._config = tuple(
            WorkspaceConfig(f"workspace-{w}", plan.rate, plan.burst) for w in range(plan.workspaces)
        )
        self._vms = [HolderVm(str(n), f"dc-{n % 3}") for n in range(plan.nodes)]
        self._table = ShareTable(1, "", initial_rows(self._vms))
        self._grants = itertools.count(1_000_000_000)
        self._choices = [HolderSelector() for _ in range(plan.nodes)]
        self._asks: dict[int, Request] = {}
        self._asked_at: dict[int, float] = {}
        self._refunds: dict[tuple[int, int], list[GrantRefund]] = {}
        self.holders = [ShareHolder(str(n), _incarnation(n), CFG, 0.0) for n in range(plan.nodes)]
        for node, holder in enumerate(self.holders):
            holder.record_missing_table()
            holder.apply_rates(self._config, 0.0)
            holder.apply_table(self._table, 0.0, 0.0)
            self._tick(node)

    def ask(self, req: Request) -> None:
        """Decide about a request."""
        self._try(req, 0)

    def died(self, node: int) -> None:
        """Replace the node in the table once it has been gone for the grace time."""
        self._sim.later(LIST_LAG_S + CFG.grace_s, lambda: self._replace(node))

    def _replace(self, node: int) -> None:
        rows = self._table.rows
        moves = replacement_moves(rows, {str(node)}, [v for v in self._vms if v.name != str(node)])
        self._table = ShareTable(2, "", apply_moves(rows, moves))
        for other, holder in enumerate(self.holders):
            if other != node:
                holder.apply_table(self._table, self._sim.now, self._sim.now)

    def _tick(self, node: int) -> None:
        sim = self._sim
        if sim.is_dead(node):
            return
        if sim.wakes_at(node) <= sim.now:
            holder = self.holders[node]
            holder.confirm(sim.now)
            self._act(node, holder.tick(sim.now))
        due = min(TICK_S, max(0.001, self.holders[node].next_due(sim.now) - sim.now))
        sim.later(due, lambda: self._tick(node))

    def _try(self, req: Request, failed: int) -> None:
        sim = self._sim
        if sim.now - req.at >= CFG.interactive_patience_s:
            sim.refuse(req)
            return
        row = self._table.rows[partition_of(self._config[req.workspace].name)]
        holders = self._choices[req.entry].candidates(row, sim.now)
        holder = int(holders[failed % len(holders)])
        grant = next(self._grants)
        self._asks[grant] = req
        self._asked_at[grant] = sim.now
        self._send_ask(req, holder, grant, failed)

    def _send_ask(self, req: Request, holder: int, grant: int, failed: int) -> None:
        sim = self._sim
        patience_s = round(req.at + CFG.interactive_patience_s - sim.now, 1)
        name = self._config[req.workspace].name
        ask = GrantRequest(grant, name, req.tokens, max(0.0, patience_s))

        def handle() -> None:
            self._act(
                holder, self.holders[holder].handle_grant_request(str(req.entry), ask, sim.now)
            )

        for refund in self._refunds.pop((req.entry, holder), ()):
            self._refund(req.entry, holder, refund)
        sim.send(req.entry, holder, ask, handle)
        sent = sim.now
        delay_s = 0.001 if sim.is_dead(holder) else CFG.ask_timeout_s
        sim.later(delay_s, lambda: self._time_out(req, holder, grant, failed, sent))

    def _time_out(self, req: Request, holder: int, grant: int, failed: int, sent: float) -> None:
        if grant not in self._asks or self._asked_at[grant] > sent or sent < self._last(grant):
            return
        del self._asks[grant]
        self._choices[req.entry].record_failure(str(holder), self._sim.now)
        self._refund(req.entry, holder, GrantRefund(grant, req.tokens))
        self._try(req, failed + 1)

    def _last(self, grant: int) -> float:
        return self._answered.get(grant, 0.0)

    @property
    def _answered(self) -> dict[int, float]:
        return self.__dict__.setdefault("_answered_at", {})

    def _act(self, node: int, actions: HolderActions) -> None:
        for outcome in actions.outcomes:
            self._send_answer(node, int(outcome.sender), outcome.grant, outcome.answer)
        for owner, asks in actions.loan_requests.items():
            self._ask_loans(
                node,
                int(owner),
                LoanRequests(actions.loan_request_id, _incarnation(node), tuple(asks)),
            )
        for owner, returns in actions.returns.items():
            message = LoanReturns(tuple(returns))
            self._send_returns(node, int(owner), message)

    def _send_returns(self, node: int, owner: int, message: LoanReturns) -> None:
        def handle() -> None:
            self._act(owner, self.holders[owner].handle_loan_returns(message, self._sim.now))

        self._sim.send(node, owner, message, handle)

    def _ask_loans(self, node: int, owner: int, message: LoanRequests) -> None:
        def handle() -> None:
            answers = self.holders[owner].lend(str(node), message, self._sim.now)
            self._sim.send(owner, node, answers, lambda: self._take_answers(node, owner, answers))

        self._sim.send(node, owner, message, handle)

    def _take_answers(self, node: int, owner: int, answers: LoanAnswers) -> None:
        self._act(node, self.holders[node].handle_loan_answers(str(owner), answers, self._sim.now))

    def _send_answer(
        self, holder: int, entry: int, grant: int, answer: Grant | GrantWait | Refused
    ) -> None:
        self._sim.send(holder, entry, answer, lambda: self._answer(holder, grant, answer))

    def _answer(self, holder: int, grant: int, answer: Grant | GrantWait | Refused) -> None:
        sim = self._sim
        req = self._asks.get(grant)
        if req is None:
            return
        self._choices[req.entry].record_success(str(holder))
        if isinstance(answer, GrantWait):
            self._answered[grant] = sim.now
            pause_s = min(answer.wait_s, 0.6) * 0.8
            sim.later(pause_s, lambda: self._send_ask(req, holder, grant, 0))
            return
        del self._asks[grant]
        if isinstance(answer, Refused):
            sim.refuse(req)
            return
        valid_s = grant_valid_s(self._config[req.workspace], CFG)
        if sim.now < usable_until(self._asked_at[grant], answer, valid_s, CFG):
            sim.admit(req)
            unused = round(req.tokens * UNUSED_PART)
            refund = GrantRefund(grant, unused)
            sim.later(SERVICE_S, lambda: self._keep_refund(req.entry, holder, refund))
        else:
            self._refund(req.entry, holder, GrantRefund(grant, req.tokens))
            self._try(req, 0)

    def _keep_refund(self, entry: int, holder: int, refund: GrantRefund) -> None:
        kept = self._refunds.setdefault((entry, holder), [])
        kept.append(refund)
        if len(kept) == 1:
            self._sim.later(CFG.refund_delay_s, lambda: self._send_refunds(entry, holder, kept))

    def _send_refunds(self, entry: int, holder: int, kept: list[GrantRefund]) -> None:
        if self._refunds.get((entry, holder)) is kept:
            del self._refunds[entry, holder]
            for refund in kept:
                self._refund(entry, holder, refund)

    def _refund(self, entry: int, holder: int, refund: GrantRefund) -> None:
        def handle() -> None:
            self._act(holder, self.holders[holder].refund(str(entry), refund, self._sim.now))

        self._sim.send(entry, holder, refund, handle)


def _incarnation(node: int) -> int:
    return 100_000_000 + node * 1_000_000


class _Bucket:
    def __init__(self, rate: float, capacity: float, level: float, now: float) -> None:
        self._rate = rate
        self._capacity = capacity
        self._level = level
        self._at = now

    def take(self, tokens: float, now: float) -> bool:
        self._level = min(self._capacity, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < tokens:
            return False
        self._level -= tokens
        return True


class StaticSplit:
    """Each node applies an equal part of each rate and burst by itself."""

    name = "static split"

    def begin(self, sim: Sim) -> None:
        """Set up the nodes."""
        self._sim = sim
        plan = sim.plan
        part = 1 / plan.nodes
        self._buckets = {
            (n, w): _Bucket(plan.rate * part, plan.burst * part, plan.burst * part, 0.0)
            for n in range(plan.nodes)
            for w in range(plan.workspaces)
        }

    def ask(self, req: Request) -> None:
        """Decide about a request; one that must wait tries again until its patience is over."""
        sim = self._sim
        if self._buckets[req.entry, req.workspace].take(req.tokens, sim.now):
            sim.admit(req)
        elif sim.now - req.at >= CFG.interactive_patience_s:
            sim.refuse(req)
        else:
            sim.later(RETRY_S, lambda: self.ask(req))

    def died(self, node: int) -> None:
        """Do nothing: the node's part is lost."""


class SingleOwner:
    """One node owns each workspace's bucket under a lease in the store."""

    name = "single owner"

    def begin(self, sim: Sim) -> None:
        """Set up the nodes."""
        self._sim = sim
        plan = sim.plan
        self._owner = {w: w % plan.nodes for w in range(plan.workspaces)}
        self._lease_ends = dict.fromkeys(range(plan.nodes), LEASE_S)
        self._buckets = {
            w: _Bucket(plan.rate, plan.burst, plan.burst, 0.0) for w in range(plan.workspaces)
        }
        for node in range(plan.nodes):
            self._renew(node)

    def ask(self, req: Request) -> None:
        """Decide about a request; one that must wait tries again until its patience is over."""
        sim = self._sim
        owner = self._owner_of(req.workspace)
        if owner is not None and self._buckets[req.workspace].take(req.tokens, sim.now):
            sim.later(2 * (0.0005 + 0.002), lambda: sim.admit(req))
        elif sim.now - req.at >= CFG.interactive_patience_s:
            sim.refuse(req)
        else:
            sim.later(RETRY_S, lambda: self.ask(req))

    def died(self, node: int) -> None:
        """Do nothing: the lease lapses."""

    def _renew(self, node: int) -> None:
        sim = self._sim
        is_running = not sim.is_dead(node) and sim.wakes_at(node) <= sim.now
        if is_running and not sim.is_store_down():
            self._lease_ends[node] = sim.now + LEASE_S
        sim.later(LEASE_S / 3, lambda: self._renew(node))

    def _owner_of(self, workspace: int) -> int | None:
        sim = self._sim
        owner = self._owner[workspace]
        if self._lease_ends[owner] <= sim.now:
            if sim.is_store_down():
                return None
            owner = self._next_owner(owner)
            self._owner[workspace] = owner
            plan = sim.plan
            self._buckets[workspace] = _Bucket(plan.rate, plan.burst, 0.0, sim.now)
        is_stopped = sim.is_dead(owner) or sim.wakes_at(owner) > sim.now
        return None if is_stopped else owner

    def _next_owner(self, owner: int) -> int:
        nodes = self._sim.plan.nodes
        return next(
            n % nodes
            for n in range(owner + 1, owner + nodes + 1)
            if self._lease_ends[n % nodes] > self._sim.now
        )
