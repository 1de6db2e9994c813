"""One partition at one of its holders: its shares, loans and queued grant requests."""

from collections.abc import Iterator

import attrs

from vanillashore_share._borrowed import BorrowedShare
from vanillashore_share._buckets import ShareBuckets
from vanillashore_share._grant_queue import GrantQueue, QueuedGrantRequest
from vanillashore_share._ledger import GrantLedger, GrantPart, IssuedGrant
from vanillashore_share._owned import OwnedShare
from vanillashore_share._rates import SHARES_PER_PARTITION, RateTable
from vanillashore_share._timing import ShareTiming
from vanillashore_wire import (
    ErrorCode,
    Grant,
    GrantRequest,
    GrantWait,
    LoanRequest,
    LoanReturn,
    Refused,
)

NEVER = float("inf")
EPSILON_TOKENS = 1e-9


@attrs.frozen
class GrantOutcome:
    """The answer to one grant request."""

    sender: str
    grant: int
    answer: Grant | GrantWait | Refused


class PartitionHolder:
    """Grants tokens from the usable shares; queues requests that need more tokens."""

    def __init__(self, rates: RateTable, cfg: ShareTiming, ledger: GrantLedger) -> None:
        self.owned: dict[int, OwnedShare] = {}
        self.borrowed: dict[int, BorrowedShare] = {}
        self.queue = GrantQueue()
        self.refused_short = 0
        self._rates = rates
        self._cfg = cfg
        self._ledger = ledger
        self._last_request_at = -NEVER

    def has_demand(self, now: float) -> bool:
        """Whether grant requests are queued or arrived recently."""
        return bool(len(self.queue)) or now - self._last_request_at < self._cfg.demand_s

    def usable(self, now: float) -> list[ShareBuckets]:
        """Return the buckets that this holder may use now, borrowed ones first."""
        shares = [*self.borrowed.values(), *self.owned.values()]
        buckets = [share.buckets(now) for share in shares]
        return [found for found in buckets if found is not None]

    def level(self, workspace: str, now: float) -> float:
        """Return the tokens available to a workspace at this holder."""
        return sum(buckets.level(workspace, now) for buckets in self.usable(now))

    def handle_grant_request(
        self, sender: str, request: GrantRequest, now: float
    ) -> list[GrantOutcome]:
        """Handle a new or repeated request; return all answers that are ready."""
        self._last_request_at = now
        issued = self._ledger.find(sender, request.grant)
        if issued is not None:
            return [GrantOutcome(sender, request.grant, Grant(issued.waited_s))]
        queued = self.queue.find(sender, request)
        if queued is not None:
            queued.awaiting_repeat = False
            queued.reply_due_at = now + self._cfg.ask_hold_s
            return self.serve(now)
        return self._enqueue(sender, request, now) or self.serve(now)

    def refund(self, issued: IssuedGrant, tokens: float, now: float) -> None:
        """Refund tokens to the buckets they came from, if those are still usable here."""
        usable = self.usable(now)
        for part in reversed(issued.parts):
            refunded = min(tokens, part.tokens)
            tokens -= refunded
            if any(part.buckets is buckets for buckets in usable):
                part.buckets.refund(issued.workspace, refunded, issued.issued_at, now)

    def serve(self, now: float) -> list[GrantOutcome]:
        """Grant the requests that tokens suffice for, and answer those whose reply is due.

        A request whose patience has ended is refused; one that has waited `ask_hold_s` is answered
        with `GrantWait`, upon which its sender repeats it.
        """
        if not len(self.queue):
            return []
        self.queue.drop_abandoned(now)
        outcomes = list(self._grant_heads(now))
        for queued in self.queue:
            if now >= queued.patience_ends_at:
                self.queue.remove(queued)
                outcomes.append(self._refusal(queued, now))
            elif now >= queued.reply_due_at and not queued.awaiting_repeat:
                queued.awaiting_repeat = True
                wait_s = max(
                    0.0, min(self._wait_s(queued.request, now), queued.patience_ends_at - now)
                )
                outcomes.append(_outcome(queued, GrantWait(round(wait_s, 3))))
        return outcomes

    def next_due(self, now: float) -> float:
        """Return the earliest time at which `serve` may have something to do."""
        due = NEVER
        for queued in self.queue.heads():
            wait_s = self._shortfall_s(queued.request.workspace, queued.request.tokens, now)
            due = min(due, now + wait_s)
        for queued in self.queue:
            due = min(due, queued.patience_ends_at)
            if not queued.awaiting_repeat:
                due = min(due, queued.reply_due_at)
        return due

    def due_loan_requests(self, loan_request_id: int, now: float) -> list[LoanRequest]:
        """Return the loan and renewal requests that are due."""
        found = []
        for share in self.borrowed.values():
            request = share.next_request(loan_request_id, now)
            if request is not None:
                found.append(request)
        return found

    def release_loans(self, now: float) -> list[LoanReturn]:
        """Stop using all loans and return the messages that return them."""
        released = [share.release(now) for share in self.borrowed.values()]
        return [returned for returned in released if returned is not None]

    def _enqueue(self, sender: str, request: GrantRequest, now: float) -> list[GrantOutcome]:
        rate = self._rates.get(request.workspace)
        if rate is None:
            text = f"workspace {request.workspace!r} is not in this configuration"
            return [GrantOutcome(sender, request.grant, Refused(ErrorCode.REVISION_STALE, text))]
        patience_ends_at = now + request.patience_s
        reply_due_at = now + self._cfg.ask_hold_s
        queued = QueuedGrantRequest(sender, request, now, patience_ends_at, reply_due_at)
        if request.tokens > rate.capacity * SHARES_PER_PARTITION:
            return [self._refusal(queued, now)]
        wait_s = self._wait_s(request, now, is_new=True)
        if wait_s > request.patience_s and len(self.usable(now)) == SHARES_PER_PARTITION:
            return [self._refusal(queued, now)]
        self.queue.add(queued)
        return []

    def _grant_heads(self, now: float) -> Iterator[GrantOutcome]:
        for head in self.queue.heads():
            queued: QueuedGrantRequest | None = head
            while queued is not None and not queued.awaiting_repeat:
                parts = self._take(queued.request, now)
                if parts is None:
                    break
                self.queue.remove(queued)
                yield self._granted(queued, parts, now)
                queued = self._head_of(queued.request.workspace)

    def _head_of(self, workspace: str) -> QueuedGrantRequest | None:
        heads = [head for head in self.queue.heads() if head.request.workspace == workspace]
        return heads[0] if heads else None

    def _granted(
        self, queued: QueuedGrantRequest, parts: tuple[GrantPart, ...], now: float
    ) -> GrantOutcome:
        request = queued.request
        waited_s = int((now - queued.received_at) * 1_000) / 1_000
        issued = IssuedGrant(request.workspace, parts, waited_s, now)
        self._ledger.add(queued.sender, request.grant, issued)
        return _outcome(queued, Grant(waited_s))

    def _take(self, request: GrantRequest, now: float) -> tuple[GrantPart, ...] | None:
        if self.level(request.workspace, now) + EPSILON_TOKENS < request.tokens:
            return None
        missing = request.tokens
        parts = []
        for buckets in self.usable(now):
            taken = buckets.take(request.workspace, missing, now)
            missing -= taken
            parts.append(GrantPart(buckets, taken))
        return tuple(parts)

    def _refusal(self, queued: QueuedGrantRequest, now: float) -> GrantOutcome:
        workspace = queued.request.workspace
        rate = self._rates.get(workspace)
        if rate is None or queued.request.tokens > rate.capacity * SHARES_PER_PARTITION:
            text = f"the request needs more tokens than the burst of workspace {workspace}"
            return _outcome(queued, Refused(ErrorCode.RATE_LIMITED, text))
        if len(self.usable(now)) < SHARES_PER_PARTITION:
            self.refused_short += 1
        wait_s = self._wait_s(queued.request, now, is_new=True)
        retry_s = round(min(wait_s, self._cfg.grace_s), 2)
        text = f"workspace {workspace} is over its rate"
        return _outcome(queued, Refused(ErrorCode.RATE_LIMITED, text, retry_after_s=retry_s))

    def _wait_s(self, request: GrantRequest, now: float, is_new: bool = False) -> float:
        ahead = self.queue.queued_tokens(request.workspace)
        own = request.tokens if is_new else 0.0
        return self._shortfall_s(request.workspace, ahead + own, now)

    def _shortfall_s(self, workspace: str, tokens: float, now: float) -> float:
        missing = tokens - self.level(workspace, now)
        if missing <= 0:
            return 0.0
        rate = self._rates.get(workspace)
        usable_count = len(self.usable(now))
        return missing / (rate.tokens_per_s * usable_count) if rate and usable_count else NEVER


def _outcome(queued: QueuedGrantRequest, answer: Grant | GrantWait | Refused) -> GrantOutcome:
    return GrantOutcome(queued.sender, queued.request.grant, answer)
