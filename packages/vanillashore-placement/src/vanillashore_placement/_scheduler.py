"""The keeper of one endpoint's places: reservations, a fair queue and holds."""

import itertools
import math
from collections.abc import Callable

import attrs

from vanillashore_placement._class_queue import BATCH_FLOOR, ClassQueue
from vanillashore_placement._estimates import GrantAhead, QueuePace
from vanillashore_placement._fair_queue import Waiting
from vanillashore_placement._holds import Hold, HoldState, HoldTable, is_of
from vanillashore_wire import (
    AskRef,
    ErrorCode,
    HoldRenewal,
    Load,
    Refused,
    ReservationKind,
    ReserveAsk,
    ReserveGrant,
    ReserveWithdraw,
    RouteClass,
)

INTERACTIVE_HEADROOM = 0.1
HEADROOM_KEPT_S = 60.0
LEAD_MARGIN = 1.5
LEAVING_USE_S = 1.5
MIN_RETRY_AFTER_S = 0.1


@attrs.frozen
class SchedulerSettings:
    """What an endpoint has, and how long places live.

    ``slots`` are places for decoding or calls, ``prefill_turns`` how many prefills may be at the
    engine at once. ``name`` must differ between incarnations of a side process.
    """

    name: str
    slots: int = 20
    prefill_turns: int = 2
    pieces: int = 200
    reservation_valid_s: float = 3.0
    hold_valid_s: float = 4.0


@attrs.frozen
class Granted:
    """An ask got its place."""

    request: ReserveAsk
    grant: ReserveGrant


@attrs.frozen
class Rejected:
    """An ask is over without a place."""

    request: ReserveAsk
    refused: Refused


@attrs.frozen
class HoldExpired:
    """A hold ended without its entry's word; what it holds on the endpoint has to be freed."""

    hold: Hold


Outcome = Granted | Rejected | HoldExpired


class ReservationScheduler:
    """Grants places on one endpoint; the only one who does.

    Methods that may settle asks return outcomes. Time is in seconds and passed in; ``weight_of``
    gives a workspace's weight::

        outcomes = keeper.ask(ask, "entry-1", now)
    """

    def __init__(
        self, cfg: SchedulerSettings, weight_of: Callable[[str], float] = lambda workspace: 1.0
    ) -> None:
        self._cfg = cfg
        self._weight_of = weight_of
        self._numbers = itertools.count(1)
        self._queue = ClassQueue()
        self._holds = HoldTable()
        self._pace = QueuePace()
        self._ahead = GrantAhead(cfg.slots)
        self._leaving = False
        self._interactive_at = -math.inf

    @property
    def load(self) -> Load:
        """The occupancy as it is now."""
        return Load(
            running=self._holds.places_taken(),
            waiting=len(self._queue),
            slots=self._cfg.slots,
            free_pieces=self._cfg.pieces - self._holds.pieces(),
        )

    @property
    def holds(self) -> HoldTable:
        """The places granted and in use."""
        return self._holds

    @property
    def is_leaving(self) -> bool:
        """Whether new asks are refused."""
        return self._leaving

    def ask(self, ask: ReserveAsk, sender: str, now: float) -> list[Outcome]:
        """Queue an ask; it may be granted or turned away at once."""
        if self._leaving:
            return [Rejected(ask, _leaving())]
        if ask.pieces > self._cfg.pieces:
            text = f"needs {ask.pieces} pieces, the endpoint has {self._cfg.pieces}"
            return [Rejected(ask, Refused(ErrorCode.CONTEXT_TOO_LONG, text))]
        known = self._holds.of(ask.request_id, ask.attempt, ask.kind)
        if known is not None:
            return [self._granted(known)]
        self._forget_ask(ask.request_id, ask.attempt, ask.kind)
        if ask.route_class is RouteClass.INTERACTIVE:
            self._interactive_at = now
        waiting = self._waiting(ask, sender, now)
        outcomes = self._shed(waiting)
        if outcomes:
            return outcomes
        self._queue.add(waiting)
        return self._settle(now)

    def withdraw(self, message: ReserveWithdraw, now: float) -> list[Outcome]:
        """Forget an ask, or its reservation unless that is in use."""
        if self._forget_ask(message.request_id, message.attempt, message.kind):
            self._pace.note_left(granted=False)
        hold = self._holds.of(message.request_id, message.attempt, message.kind)
        if hold is not None and hold.state is HoldState.RESERVED:
            self._holds.pop(hold.reservation)
        return self._settle(now)

    def use(self, reservation: str, now: float) -> Hold | None:
        """Turn a reservation into a hold; None if it has lapsed or is used already."""
        hold = self._holds.get(reservation)
        if hold is None or hold.state is not HoldState.RESERVED or hold.is_over(now):
            return None
        hold.state = HoldState.IN_USE
        hold.used_at = now
        hold.lapses_at = now + self._cfg.hold_valid_s
        if hold.request.kind is ReservationKind.DECODE:
            self._ahead.note_used(now - hold.granted_at)
        return hold

    def record_started(self, waited_s: float) -> None:
        """Take in how long an imported cache waited at the engine before its first token."""
        self._ahead.record_started(waited_s)

    def record_evicted(self) -> None:
        """Take in that a cache was evicted before it could be imported."""
        self._ahead.record_evicted()

    def export(self, reservation: str, now: float) -> list[Outcome]:
        """End a prefill's turn, but keep the hold on the cache that it exported."""
        hold = self._holds.get(reservation)
        if hold is not None and hold.state is HoldState.IN_USE:
            hold.state = HoldState.EXPORTED
            self._pace.note_released(now - hold.used_at)
        return self._settle(now)

    def release(self, reservation: str, now: float) -> list[Outcome]:
        """End a hold and give its place to the next ask."""
        hold = self._holds.pop(reservation)
        if hold is not None and hold.state is HoldState.IN_USE:
            self._pace.note_released(now - hold.used_at)
        return self._settle(now)

    def renew(self, renewal: HoldRenewal, sender: str, now: float) -> tuple[str, ...]:
        """Prolong what an entry names; return the reservations that are not known."""
        unknown = []
        for reservation in renewal.reservations:
            hold = self._holds.get(reservation)
            if hold is None or hold.is_over(now):
                unknown.append(reservation)
            elif not (self._leaving and hold.state is HoldState.RESERVED):
                hold.lapses_at = now + self._cfg.hold_valid_s
        named = set(renewal.asks)
        for waiting in self._queue:
            ref = AskRef(waiting.request.request_id, waiting.request.attempt, waiting.request.kind)
            if waiting.sender == sender and ref in named:
                waiting.renewed_at = now
        return tuple(unknown)

    def tick(self, now: float) -> list[Outcome]:
        """Drop what has lapsed, and turn away asks whose patience is over."""
        outcomes: list[Outcome] = [HoldExpired(hold) for hold in self._holds.pop_over(now)]
        for waiting in list(self._queue):
            if waiting.patience_ends <= now:
                outcomes.append(self._turn_away(waiting))
            elif now - waiting.renewed_at >= self._cfg.hold_valid_s:
                self._queue.remove(waiting)
                text = "the entry no longer renews this"
                outcomes.append(Rejected(waiting.request, Refused(ErrorCode.CANCELLED, text)))
        return outcomes + self._settle(now)

    def leave(self, now: float) -> list[Outcome]:
        """Refuse all that waits and all new asks; reservations must be used within a moment."""
        if self._leaving:
            return []
        self._leaving = True
        for hold in self._holds:
            if hold.state is HoldState.RESERVED:
                hold.lapses_at = min(hold.lapses_at, now + LEAVING_USE_S)
        waiting = list(self._queue)
        for item in waiting:
            self._queue.remove(item)
        return [Rejected(item.request, _leaving()) for item in waiting]

    def rejoin(self) -> None:
        """Take new work again."""
        self._leaving = False

    def _waiting(self, ask: ReserveAsk, sender: str, now: float) -> Waiting:
        patience_ends = now + self._patience_s(ask)
        cost = float(max(1, ask.tokens))
        weight = self._weight_of(ask.workspace)
        return Waiting(ask, sender, now, patience_ends, now, cost, weight)

    def _patience_s(self, ask: ReserveAsk) -> float:
        """Return how long an ask may wait here and still have its first token in time."""
        patience_s = min(ask.patience_s, ask.deadline_s)
        if ask.kind is not ReservationKind.DECODE:
            return patience_s
        return max(patience_s / 4, patience_s - LEAD_MARGIN * self._ahead.lead_s)

    def _shed(self, waiting: Waiting) -> list[Outcome]:
        if self._may_grant(waiting) and not len(self._queue):
            return []
        ahead = self._queue.ahead_of(waiting)
        wait_s = self._pace.wait_s(ahead, self._places(waiting.request.kind))
        patience_s = self._patience_s(waiting.request)
        if wait_s <= patience_s:
            return []
        return [Rejected(waiting.request, _overloaded(wait_s, wait_s - patience_s))]

    def _settle(self, now: float) -> list[Outcome]:
        outcomes: list[Outcome] = []
        while len(self._queue):
            head = self._queue.head(self._batch_may_run(now))
            if head is None:
                break
            if head.patience_ends <= now:
                outcomes.append(self._turn_away(head))
                continue
            if not self._may_grant(head):
                break
            self._queue.take(head)
            self._pace.note_left(granted=True)
            outcomes.append(self._grant(head, now))
        return outcomes

    def _turn_away(self, waiting: Waiting) -> Rejected:
        self._queue.remove(waiting)
        wait_s = self._pace.wait_s(len(self._queue), self._places(waiting.request.kind))
        return Rejected(waiting.request, _overloaded(wait_s, wait_s))

    def _grant(self, waiting: Waiting, now: float) -> Granted:
        name = f"{self._cfg.name}-{next(self._numbers)}"
        lapses_at = now + self._cfg.reservation_valid_s
        deadline = waiting.arrived + waiting.request.deadline_s
        hold = Hold(name, waiting.request, waiting.sender, now, lapses_at, deadline)
        self._holds.add(hold)
        return self._granted(hold)

    def _granted(self, hold: Hold) -> Granted:
        grant = ReserveGrant(hold.reservation, self._cfg.reservation_valid_s, self.load)
        return Granted(hold.request, grant)

    def _places(self, kind: ReservationKind) -> int:
        return self._cfg.prefill_turns if kind is ReservationKind.PREFILL else self._cfg.slots

    def _may_grant(self, waiting: Waiting) -> bool:
        kind = waiting.request.kind
        places = self._places(kind)
        if kind is ReservationKind.DECODE:
            places += self._ahead.places(self._holds.in_use(), self._pace.hold_s)
        if self._holds.places_taken() >= places:
            return False
        return self._holds.pieces() + waiting.request.pieces <= self._cfg.pieces

    def _batch_may_run(self, now: float) -> bool:
        if now - self._interactive_at >= HEADROOM_KEPT_S:
            return True
        slots = self._cfg.slots
        if self._holds.places_taken(RouteClass.BATCH) < math.ceil(slots * BATCH_FLOOR):
            return True
        headroom = math.ceil(slots * INTERACTIVE_HEADROOM)
        return self._holds.places_taken() < slots - headroom

    def _forget_ask(self, request_id: str, attempt: int, kind: ReservationKind) -> bool:
        for waiting in self._queue:
            if is_of(waiting.request, request_id, attempt, kind):
                self._queue.remove(waiting)
                return True
        return False


def _leaving() -> Refused:
    return Refused(ErrorCode.SHUTTING_DOWN, "the endpoint is leaving")


def _overloaded(wait_s: float, retry_after_s: float) -> Refused:
    text = f"no place within its time; the wait is about {wait_s:.1f} s"
    return Refused(ErrorCode.OVERLOADED, text, retry_after_s=max(MIN_RETRY_AFTER_S, retry_after_s))
