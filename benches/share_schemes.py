"""The schemes that the share bench compares."""

import itertools

from share_sim import SERVICE_TIME_S, UNUSED_FRACTION, Request, Sim
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

SETTINGS = ShareSettings()
TICK_INTERVAL_S = 0.02
VM_LIST_DELAY_S = 5.0
LEASE_TTL_S = 3.0
RETRY_INTERVAL_S = 0.1


class Vanillashore:
    """Shares, loans and grants, with the state machines of the product."""

    name = "vanillashore"

    def set_up(self, sim: Sim) -> None:
        """Set up the nodes."""
        self._sim = sim
        plan = sim.plan
        self._config = tuple(
            WorkspaceConfig(f"workspace-{w}", plan.rate, plan.burst) for w in range(plan.workspaces)
        )
        self._vms = [HolderVm(str(n), f"dc-{n % 3}") for n in range(plan.nodes)]
        self._table = ShareTable(1, "", initial_rows(self._vms))
        self._grant_ids = itertools.count(1_000_000_000)
        self._holder_choices = [HolderSelector() for _ in range(plan.nodes)]
        self._pending: dict[int, Request] = {}
        self._requested_at: dict[int, float] = {}
        self._refunds: dict[tuple[int, int], list[GrantRefund]] = {}
        self.holders = [
            ShareHolder(str(n), _incarnation(n), SETTINGS, 0.0) for n in range(plan.nodes)
        ]
        for node, holder in enumerate(self.holders):
            holder.record_missing_table()
            holder.apply_rates(self._config, 0.0)
            holder.apply_table(self._table, 0.0, 0.0)
            self._tick(node)

    def decide(self, req: Request) -> None:
        """Request a grant for a request."""
        self._request_grant(req, 0)

    def handle_node_killed(self, node: int) -> None:
        """Replace the node in the table after it was missing from the VM list for ``grace_s``."""
        self._sim.call_later(VM_LIST_DELAY_S + SETTINGS.grace_s, lambda: self._replace_node(node))

    def _replace_node(self, node: int) -> None:
        rows = self._table.rows
        moves = replacement_moves(rows, {str(node)}, [v for v in self._vms if v.name != str(node)])
        self._table = ShareTable(2, "", apply_moves(rows, moves))
        for other, holder in enumerate(self.holders):
            if other != node:
                holder.apply_table(self._table, self._sim.now, self._sim.now)

    def _tick(self, node: int) -> None:
        sim = self._sim
        if sim.is_killed(node):
            return
        if sim.resumes_at(node) <= sim.now:
            holder = self.holders[node]
            holder.confirm(sim.now)
            self._apply_actions(node, holder.tick(sim.now))
        delay_s = min(TICK_INTERVAL_S, max(0.001, self.holders[node].next_due(sim.now) - sim.now))
        sim.call_later(delay_s, lambda: self._tick(node))

    def _request_grant(self, req: Request, failures: int) -> None:
        sim = self._sim
        if sim.now - req.arrived_at >= SETTINGS.interactive_patience_s:
            sim.refuse(req)
            return
        row = self._table.rows[partition_of(self._config[req.workspace].name)]
        holders = self._holder_choices[req.entry].candidates(row, sim.now)
        holder = int(holders[failures % len(holders)])
        grant_id = next(self._grant_ids)
        self._pending[grant_id] = req
        self._requested_at[grant_id] = sim.now
        self._send_grant_request(req, holder, grant_id, failures)

    def _send_grant_request(self, req: Request, holder: int, grant_id: int, failures: int) -> None:
        sim = self._sim
        patience_s = round(req.arrived_at + SETTINGS.interactive_patience_s - sim.now, 1)
        name = self._config[req.workspace].name
        grant_request = GrantRequest(grant_id, name, req.tokens, max(0.0, patience_s))

        def handle() -> None:
            self._apply_actions(
                holder,
                self.holders[holder].handle_grant_request(str(req.entry), grant_request, sim.now),
            )

        for refund in self._refunds.pop((req.entry, holder), ()):
            self._refund(req.entry, holder, refund)
        sim.send(req.entry, holder, grant_request, handle)
        sent_at = sim.now
        delay_s = 0.001 if sim.is_killed(holder) else SETTINGS.ask_timeout_s
        sim.call_later(
            delay_s, lambda: self._handle_timeout(req, holder, grant_id, failures, sent_at)
        )

    def _handle_timeout(
        self, req: Request, holder: int, grant_id: int, failures: int, sent_at: float
    ) -> None:
        if (
            grant_id not in self._pending
            or self._requested_at[grant_id] > sent_at
            or sent_at < self._last_wait_at(grant_id)
        ):
            return
        del self._pending[grant_id]
        self._holder_choices[req.entry].record_failure(str(holder), self._sim.now)
        self._refund(req.entry, holder, GrantRefund(grant_id, req.tokens))
        self._request_grant(req, failures + 1)

    def _last_wait_at(self, grant_id: int) -> float:
        return self._wait_times.get(grant_id, 0.0)

    @property
    def _wait_times(self) -> dict[int, float]:
        return self.__dict__.setdefault("_answered_at", {})

    def _apply_actions(self, node: int, actions: HolderActions) -> None:
        for outcome in actions.outcomes:
            self._send_answer(node, int(outcome.sender), outcome.grant, outcome.answer)
        for owner, asks in actions.loan_requests.items():
            self._request_loans(
                node,
                int(owner),
                LoanRequests(actions.loan_request_id, _incarnation(node), tuple(asks)),
            )
        for owner, returns in actions.returns.items():
            message = LoanReturns(tuple(returns))
            self._send_returns(node, int(owner), message)

    def _send_returns(self, node: int, owner: int, message: LoanReturns) -> None:
        def handle() -> None:
            self._apply_actions(
                owner, self.holders[owner].handle_loan_returns(message, self._sim.now)
            )

        self._sim.send(node, owner, message, handle)

    def _request_loans(self, node: int, owner: int, message: LoanRequests) -> None:
        def handle() -> None:
            answers = self.holders[owner].lend(str(node), message, self._sim.now)
            self._sim.send(
                owner, node, answers, lambda: self._handle_loan_answers(node, owner, answers)
            )

        self._sim.send(node, owner, message, handle)

    def _handle_loan_answers(self, node: int, owner: int, answers: LoanAnswers) -> None:
        self._apply_actions(
            node, self.holders[node].handle_loan_answers(str(owner), answers, self._sim.now)
        )

    def _send_answer(
        self, holder: int, entry: int, grant_id: int, answer: Grant | GrantWait | Refused
    ) -> None:
        self._sim.send(holder, entry, answer, lambda: self._handle_answer(holder, grant_id, answer))

    def _handle_answer(
        self, holder: int, grant_id: int, answer: Grant | GrantWait | Refused
    ) -> None:
        sim = self._sim
        req = self._pending.get(grant_id)
        if req is None:
            return
        self._holder_choices[req.entry].record_success(str(holder))
        if isinstance(answer, GrantWait):
            self._wait_times[grant_id] = sim.now
            pause_s = min(answer.wait_s, 0.6) * 0.8
            sim.call_later(pause_s, lambda: self._send_grant_request(req, holder, grant_id, 0))
            return
        del self._pending[grant_id]
        if isinstance(answer, Refused):
            sim.refuse(req)
            return
        valid_s = grant_valid_s(self._config[req.workspace], SETTINGS)
        if sim.now < usable_until(self._requested_at[grant_id], answer, valid_s, SETTINGS):
            sim.admit(req)
            unused = round(req.tokens * UNUSED_FRACTION)
            refund = GrantRefund(grant_id, unused)
            sim.call_later(SERVICE_TIME_S, lambda: self._queue_refund(req.entry, holder, refund))
        else:
            self._refund(req.entry, holder, GrantRefund(grant_id, req.tokens))
            self._request_grant(req, 0)

    def _queue_refund(self, entry: int, holder: int, refund: GrantRefund) -> None:
        queued = self._refunds.setdefault((entry, holder), [])
        queued.append(refund)
        if len(queued) == 1:
            self._sim.call_later(
                SETTINGS.refund_delay_s, lambda: self._send_refunds(entry, holder, queued)
            )

    def _send_refunds(self, entry: int, holder: int, queued: list[GrantRefund]) -> None:
        if self._refunds.get((entry, holder)) is queued:
            del self._refunds[entry, holder]
            for refund in queued:
                self._refund(entry, holder, refund)

    def _refund(self, entry: int, holder: int, refund: GrantRefund) -> None:
        def handle() -> None:
            self._apply_actions(
                holder, self.holders[holder].refund(str(entry), refund, self._sim.now)
            )

        self._sim.send(entry, holder, refund, handle)


def _incarnation(node: int) -> int:
    return 100_000_000 + node * 1_000_000


class _Bucket:
    def __init__(self, rate: float, capacity: float, level: float, now: float) -> None:
        self._rate = rate
        self._capacity = capacity
        self._level = level
        self._at = now

    def try_charge(self, tokens: float, now: float) -> bool:
        self._level = min(self._capacity, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < tokens:
            return False
        self._level -= tokens
        return True


class StaticSplit:
    """Each node enforces an equal part of each rate and burst on its own."""

    name = "static split"

    def set_up(self, sim: Sim) -> None:
        """Set up the nodes."""
        self._sim = sim
        plan = sim.plan
        fraction = 1 / plan.nodes
        self._buckets = {
            (n, w): _Bucket(plan.rate * fraction, plan.burst * fraction, plan.burst * fraction, 0.0)
            for n in range(plan.nodes)
            for w in range(plan.workspaces)
        }

    def decide(self, req: Request) -> None:
        """Admit a request, or retry until its patience is over."""
        sim = self._sim
        if self._buckets[req.entry, req.workspace].try_charge(req.tokens, sim.now):
            sim.admit(req)
        elif sim.now - req.arrived_at >= SETTINGS.interactive_patience_s:
            sim.refuse(req)
        else:
            sim.call_later(RETRY_INTERVAL_S, lambda: self.decide(req))

    def handle_node_killed(self, node: int) -> None:
        """Do nothing: the node's part of the rates is lost."""


class SingleOwner:
    """One node owns each workspace's bucket under a lease in the store."""

    name = "single owner"

    def set_up(self, sim: Sim) -> None:
        """Set up the nodes."""
        self._sim = sim
        plan = sim.plan
        self._owner = {w: w % plan.nodes for w in range(plan.workspaces)}
        self._lease_ends_at = dict.fromkeys(range(plan.nodes), LEASE_TTL_S)
        self._buckets = {
            w: _Bucket(plan.rate, plan.burst, plan.burst, 0.0) for w in range(plan.workspaces)
        }
        for node in range(plan.nodes):
            self._renew(node)

    def decide(self, req: Request) -> None:
        """Admit a request, or retry until its patience is over."""
        sim = self._sim
        owner = self._owner_of(req.workspace)
        if owner is not None and self._buckets[req.workspace].try_charge(req.tokens, sim.now):
            sim.call_later(2 * (0.0005 + 0.002), lambda: sim.admit(req))
        elif sim.now - req.arrived_at >= SETTINGS.interactive_patience_s:
            sim.refuse(req)
        else:
            sim.call_later(RETRY_INTERVAL_S, lambda: self.decide(req))

    def handle_node_killed(self, node: int) -> None:
        """Do nothing: the lease expires."""

    def _renew(self, node: int) -> None:
        sim = self._sim
        is_running = not sim.is_killed(node) and sim.resumes_at(node) <= sim.now
        if is_running and not sim.is_store_down():
            self._lease_ends_at[node] = sim.now + LEASE_TTL_S
        sim.call_later(LEASE_TTL_S / 3, lambda: self._renew(node))

    def _owner_of(self, workspace: int) -> int | None:
        sim = self._sim
        owner = self._owner[workspace]
        if self._lease_ends_at[owner] <= sim.now:
            if sim.is_store_down():
                return None
            owner = self._next_live_owner(owner)
            self._owner[workspace] = owner
            plan = sim.plan
            self._buckets[workspace] = _Bucket(plan.rate, plan.burst, 0.0, sim.now)
        is_stopped = sim.is_killed(owner) or sim.resumes_at(owner) > sim.now
        return None if is_stopped else owner

    def _next_live_owner(self, owner: int) -> int:
        nodes = self._sim.plan.nodes
        return next(
            n % nodes
            for n in range(owner + 1, owner + nodes + 1)
            if self._lease_ends_at[n % nodes] > self._sim.now
        )
