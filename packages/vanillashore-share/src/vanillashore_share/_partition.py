"""One partition at one of its holders: its shares, its loans and the asks that wait."""

from collections.abc import Iterator

import attrs

from vanillashore_share._borrowed import BorrowedShare
from vanillashore_share._buckets import ShareBuckets
from vanillashore_share._ledger import GivenGrant, GrantLedger, GrantPart
from vanillashore_share._owned import OwnedShare
from vanillashore_share._rates import SHARES, RateBook
from vanillashore_share._timing import ShareTiming
from vanillashore_share._waiting import WaitingAsk, WaitingQueue
from vanillashore_wire import (
    ErrorCode,
    Grant,
    GrantAsk,
    GrantWait,
    LoanAsk,
    LoanReturn,
    Refused,
)

NEVER = float("inf")
EPSILON_TOKENS = 1e-9


@attrs.frozen
class GrantOutcome:
    """The answer to one ask for a grant."""

    sender: str
    grant: int
    answer: Grant | GrantWait | Refused


class PartitionHolder:
    """Grants the tokens of the shares that are here; waits for those that are not."""

    def __init__(self, book: RateBook, cfg: ShareTiming, ledger: GrantLedger) -> None:
        self.owned: dict[int, OwnedShare] = {}
        self.borrowed: dict[int, BorrowedShare] = {}
        self.waiting = WaitingQueue()
        self.refused_short = 0
        self._book = book
        self._cfg = cfg
        self._ledger = ledger
        self._asked_at = -NEVER

    def has_demand(self, now: float) -> bool:
        """Whether entries ask here for grants."""
        return bool(len(self.waiting)) or now - self._asked_at < self._cfg.demand_s

    def usable(self, now: float) -> list[ShareBuckets]:
        """Return the buckets that may be used here now, borrowed ones first."""
        shares = [*self.borrowed.values(), *self.owned.values()]
        buckets = [share.buckets(now) for share in shares]
        return [found for found in buckets if found is not None]

    def level(self, workspace: str, now: float) -> float:
        """Return the tokens that are here for a workspace."""
        return sum(buckets.level(workspace, now) for buckets in self.usable(now))

    def ask(self, sender: str, ask: GrantAsk, now: float) -> list[GrantOutcome]:
        """Handle an ask, new or repeated; return every answer that is ready."""
        self._asked_at = now
        given = self._ledger.find(sender, ask.grant)
        if given is not None:
            return [GrantOutcome(sender, ask.grant, Grant(given.waited_s))]
        waiting = self.waiting.find(sender, ask)
        if waiting is not None:
            waiting.parked = False
            waiting.answer_by = now + self._cfg.ask_hold_s
            return self.serve(now)
        return self._enqueue(sender, ask, now) or self.serve(now)

    def put_back(self, given: GivenGrant, tokens: float, now: float) -> None:
        """Put refunded tokens back where they came from, if those shares are still here."""
        usable = self.usable(now)
        for part in reversed(given.parts):
            refunded = min(tokens, part.tokens)
            tokens -= refunded
            if any(part.buckets is buckets for buckets in usable):
                part.buckets.put_back(given.workspace, refunded, given.given_at, now)

    def serve(self, now: float) -> list[GrantOutcome]:
        """Grant what can be granted, and answer whoever has waited long enough."""
        if not len(self.waiting):
            return []
        self.waiting.drop_abandoned(now)
        outcomes = list(self._grant_heads(now))
        for waiting in self.waiting:
            if now >= waiting.gives_up_at:
                self.waiting.remove(waiting)
                outcomes.append(self._refusal(waiting, now))
            elif now >= waiting.answer_by and not waiting.parked:
                waiting.parked = True
                wait_s = max(0.0, min(self._wait_s(waiting.ask, now), waiting.gives_up_at - now))
                outcomes.append(_outcome(waiting, GrantWait(round(wait_s, 3))))
        return outcomes

    def next_due(self, now: float) -> float:
        """Return when `serve` may next have something to do."""
        due = NEVER
        for waiting in self.waiting.heads():
            wait_s = self._shortfall_s(waiting.ask.workspace, waiting.ask.tokens, now)
            due = min(due, now + wait_s)
        for waiting in self.waiting:
            due = min(due, waiting.gives_up_at)
            if not waiting.parked:
                due = min(due, waiting.answer_by)
        return due

    def loan_asks(self, ask_id: int, now: float) -> list[LoanAsk]:
        """Return the asks for loans that are due."""
        found = []
        for share in self.borrowed.values():
            ask = share.next_ask(ask_id, now)
            if ask is not None:
                found.append(ask)
        return found

    def release_loans(self, now: float) -> list[LoanReturn]:
        """Stop using all loans and return them."""
        released = [share.release(now) for share in self.borrowed.values()]
        return [returned for returned in released if returned is not None]

    def _enqueue(self, sender: str, ask: GrantAsk, now: float) -> list[GrantOutcome]:
        rate = self._book.get(ask.workspace)
        if rate is None:
            text = f"no workspace {ask.workspace!r} here"
            return [GrantOutcome(sender, ask.grant, Refused(ErrorCode.REVISION_STALE, text))]
        gives_up_at = now + ask.patience_s
        answer_by = now + self._cfg.ask_hold_s
        waiting = WaitingAsk(sender, ask, now, gives_up_at, answer_by)
        if ask.tokens > rate.capacity * SHARES:
            return [self._refusal(waiting, now)]
        wait_s = self._wait_s(ask, now, is_new=True)
        if wait_s > ask.patience_s and len(self.usable(now)) == SHARES:
            return [self._refusal(waiting, now)]
        self.waiting.add(waiting)
        return []

    def _grant_heads(self, now: float) -> Iterator[GrantOutcome]:
        for head in self.waiting.heads():
            waiting: WaitingAsk | None = head
            while waiting is not None and not waiting.parked:
                parts = self._take(waiting.ask, now)
                if parts is None:
                    break
                self.waiting.remove(waiting)
                yield self._granted(waiting, parts, now)
                waiting = self._head_of(waiting.ask.workspace)

    def _head_of(self, workspace: str) -> WaitingAsk | None:
        heads = [head for head in self.waiting.heads() if head.ask.workspace == workspace]
        return heads[0] if heads else None

    def _granted(
        self, waiting: WaitingAsk, parts: tuple[GrantPart, ...], now: float
    ) -> GrantOutcome:
        ask = waiting.ask
        waited_s = int((now - waiting.received_at) * 1_000) / 1_000
        given = GivenGrant(ask.workspace, parts, waited_s, now)
        self._ledger.add(waiting.sender, ask.grant, given)
        return _outcome(waiting, Grant(waited_s))

    def _take(self, ask: GrantAsk, now: float) -> tuple[GrantPart, ...] | None:
        if self.level(ask.workspace, now) + EPSILON_TOKENS < ask.tokens:
            return None
        missing = ask.tokens
        parts = []
        for buckets in self.usable(now):
            taken = buckets.take(ask.workspace, missing, now)
            missing -= taken
            parts.append(GrantPart(buckets, taken))
        return tuple(parts)

    def _refusal(self, waiting: WaitingAsk, now: float) -> GrantOutcome:
        workspace = waiting.ask.workspace
        rate = self._book.get(workspace)
        if rate is None or waiting.ask.tokens > rate.capacity * SHARES:
            text = f"the request needs more tokens than the burst of workspace {workspace}"
            return _outcome(waiting, Refused(ErrorCode.RATE_LIMITED, text))
        if len(self.usable(now)) < SHARES:
            self.refused_short += 1
        wait_s = self._wait_s(waiting.ask, now, is_new=True)
        retry_s = round(min(wait_s, self._cfg.grace_s), 2)
        text = f"workspace {workspace} is over its rate"
        return _outcome(waiting, Refused(ErrorCode.RATE_LIMITED, text, retry_after_s=retry_s))

    def _wait_s(self, ask: GrantAsk, now: float, is_new: bool = False) -> float:
        ahead = self.waiting.tokens_ahead(ask.workspace)
        own = ask.tokens if is_new else 0.0
        return self._shortfall_s(ask.workspace, ahead + own, now)

    def _shortfall_s(self, workspace: str, tokens: float, now: float) -> float:
        missing = tokens - self.level(workspace, now)
        if missing <= 0:
            return 0.0
        rate = self._book.get(workspace)
        here = len(self.usable(now))
        return missing / (rate.tokens_per_s * here) if rate and here else NEVER


def _outcome(waiting: WaitingAsk, answer: Grant | GrantWait | Refused) -> GrantOutcome:
    return GrantOutcome(waiting.sender, waiting.ask.grant, answer)
