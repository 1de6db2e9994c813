"""Scheduler of one endpoint's places: reservation requests, a fair queue and holds."""

import itertools
import math
from collections.abc import Callable

import attrs

from vanillashore_placement._class_queue import BATCH_FLOOR, ClassQueue
from vanillashore_placement._estimates import OvercommitLimit, QueueDrainEstimator
from vanillashore_placement._fair_queue import QueuedRequest
from vanillashore_placement._holds import Hold, HoldState, HoldTable, matches_attempt
from vanillashore_wire import (
    ErrorCode,
    HoldRenewal,
    Load,
    Refused,
    ReservationKind,
    ReserveGrant,
    ReserveRequest,
    ReserveRequestRef,
    ReserveWithdraw,
    RouteClass,
)

INTERACTIVE_HEADROOM = 0.1
HEADROOM_KEPT_S = 60.0
LEAD_MARGIN = 1.5
DRAIN_USE_S = 1.5
MIN_RETRY_AFTER_S = 0.1


@attrs.frozen
class SchedulerSettings:
    """Capacity of an endpoint and validity times of its places.

    ``slots`` is the number of places for decodes or calls, ``prefill_turns`` the number of places
    for prefills. ``name`` prefixes reservation names, so it must differ between
    incarnations of a sidecar.
    """

    name: str
    slots: int = 20
    prefill_turns: int = 2
    pieces: int = 200
    reservation_valid_s: float = 3.0
    hold_valid_s: float = 4.0


@attrs.frozen
class Granted:
    """A request was granted a place."""

    request: ReserveRequest
    grant: ReserveGrant


@attrs.frozen
class Rejected:
    """A request was refused and is no longer queued."""

    request: ReserveRequest
    refused: Refused


@attrs.frozen
class HoldExpired:
    """A hold expired; the endpoint has to free the resources that it keeps for it."""

    hold: Hold


Outcome = Granted | Rejected | HoldExpired


class ReservationScheduler:
    """The only component that grants places on an endpoint.

    A place is a slot, or permission for one prefill. Methods that may grant or reject requests
    return outcomes. ``now`` is in seconds; ``weight_of`` returns a workspace's weight::

        outcomes = scheduler.ask(request, "entry-1", now)
    """

    def __init__(
        self, cfg: SchedulerSettings, weight_of: Callable[[str], float] = lambda workspace: 1.0
    ) -> None:
        self._cfg = cfg
        self._weight_of = weight_of
        self._reservation_numbers = itertools.count(1)
        self._queue = ClassQueue()
        self._holds = HoldTable()
        self._queue_drain = QueueDrainEstimator()
        self._overcommit = OvercommitLimit(cfg.slots)
        self._draining = False
        self._last_interactive_at = -math.inf

    @property
    def load(self) -> Load:
        """The endpoint's current load."""
        return Load(
            running=self._holds.places_taken(),
            waiting=len(self._queue),
            slots=self._cfg.slots,
            free_pieces=self._cfg.pieces - self._holds.pieces(),
        )

    @property
    def holds(self) -> HoldTable:
        """The holds of granted places and exported caches."""
        return self._holds

    @property
    def is_leaving(self) -> bool:
        """Whether the endpoint is draining: new requests are refused."""
        return self._draining

    def ask(self, request: ReserveRequest, sender: str, now: float) -> list[Outcome]:
        """Queue a request, or grant or reject it at once."""
        if self._draining:
            return [Rejected(request, _draining_refusal())]
        if request.pieces > self._cfg.pieces:
            text = (
                f"the request needs {request.pieces} KV pieces, the endpoint has {self._cfg.pieces}"
            )
            return [Rejected(request, Refused(ErrorCode.CONTEXT_TOO_LONG, text))]
        known = self._holds.of(request.request_id, request.attempt, request.kind)
        if known is not None:
            return [self._granted_outcome(known)]
        self._remove_queued(request.request_id, request.attempt, request.kind)
        if request.route_class is RouteClass.INTERACTIVE:
            self._last_interactive_at = now
        queued = self._new_queued(request, sender, now)
        outcomes = self._reject_if_overloaded(queued)
        if outcomes:
            return outcomes
        self._queue.add(queued)
        return self._serve_queue(now)

    def withdraw(self, message: ReserveWithdraw, now: float) -> list[Outcome]:
        """Remove a queued request, or its reservation unless that is in use."""
        if self._remove_queued(message.request_id, message.attempt, message.kind):
            self._queue_drain.record_departure(granted=False)
        hold = self._holds.of(message.request_id, message.attempt, message.kind)
        if hold is not None and hold.state is HoldState.RESERVED:
            self._holds.pop(hold.reservation)
        return self._serve_queue(now)

    def use(self, reservation: str, now: float) -> Hold | None:
        """Start using a reservation; None if it has expired or is already in use."""
        hold = self._holds.get(reservation)
        if hold is None or hold.state is not HoldState.RESERVED or hold.is_expired(now):
            return None
        hold.state = HoldState.IN_USE
        hold.used_at = now
        hold.expires_at = now + self._cfg.hold_valid_s
        if hold.request.kind is ReservationKind.DECODE:
            self._overcommit.record_use(now - hold.granted_at)
        return hold

    def record_started(self, waited_s: float) -> None:
        """Record how long an imported cache waited at the engine for its first token."""
        self._overcommit.record_started(waited_s)

    def record_evicted(self) -> None:
        """Record that a cache was evicted before it could be imported."""
        self._overcommit.record_evicted()

    def export(self, reservation: str, now: float) -> list[Outcome]:
        """Free the place of a prefill, but keep the hold on the cache that it exported."""
        hold = self._holds.get(reservation)
        if hold is not None and hold.state is HoldState.IN_USE:
            hold.state = HoldState.EXPORTED
            self._queue_drain.record_release(now - hold.used_at)
        return self._serve_queue(now)

    def release(self, reservation: str, now: float) -> list[Outcome]:
        """End a hold and grant its place to the next request."""
        hold = self._holds.pop(reservation)
        if hold is not None and hold.state is HoldState.IN_USE:
            self._queue_drain.record_release(now - hold.used_at)
        return self._serve_queue(now)

    def renew(self, renewal: HoldRenewal, sender: str, now: float) -> tuple[str, ...]:
        """Renew an entry's holds and queued requests; return the unknown reservations.

        While the endpoint is draining, reservations that are not in use are not renewed.
        """
        unknown = []
        for reservation in renewal.reservations:
            hold = self._holds.get(reservation)
            if hold is None or hold.is_expired(now):
                unknown.append(reservation)
            elif not (self._draining and hold.state is HoldState.RESERVED):
                hold.expires_at = now + self._cfg.hold_valid_s
        named = set(renewal.asks)
        for queued in self._queue:
            ref = ReserveRequestRef(
                queued.request.request_id, queued.request.attempt, queued.request.kind
            )
            if queued.sender == sender and ref in named:
                queued.renewed_at = now
        return tuple(unknown)

    def tick(self, now: float) -> list[Outcome]:
        """Drop expired holds, and reject requests that are past their patience or not renewed."""
        outcomes: list[Outcome] = [HoldExpired(hold) for hold in self._holds.pop_expired(now)]
        for queued in list(self._queue):
            if queued.patience_ends_at <= now:
                outcomes.append(self._reject(queued))
            elif now - queued.renewed_at >= self._cfg.hold_valid_s:
                self._queue.remove(queued)
                text = "the entry no longer renews this request"
                outcomes.append(Rejected(queued.request, Refused(ErrorCode.CANCELLED, text)))
        return outcomes + self._serve_queue(now)

    def leave(self, now: float) -> list[Outcome]:
        """Start draining: reject queued and new requests; reservations expire in `DRAIN_USE_S`."""
        if self._draining:
            return []
        self._draining = True
        for hold in self._holds:
            if hold.state is HoldState.RESERVED:
                hold.expires_at = min(hold.expires_at, now + DRAIN_USE_S)
        queued = list(self._queue)
        for item in queued:
            self._queue.remove(item)
        return [Rejected(item.request, _draining_refusal()) for item in queued]

    def rejoin(self) -> None:
        """Stop draining: accept new requests again."""
        self._draining = False

    def _new_queued(self, request: ReserveRequest, sender: str, now: float) -> QueuedRequest:
        patience_ends_at = now + self._patience_s(request)
        cost = float(max(1, request.tokens))
        weight = self._weight_of(request.workspace)
        return QueuedRequest(request, sender, now, patience_ends_at, now, cost, weight)

    def _patience_s(self, request: ReserveRequest) -> float:
        """Return how long a request may be queued and still have its first token in time.

        For a decode, the time between a grant and the arrival of its request is deducted.
        """
        patience_s = min(request.patience_s, request.deadline_s)
        if request.kind is not ReservationKind.DECODE:
            return patience_s
        return max(patience_s / 4, patience_s - LEAD_MARGIN * self._overcommit.lead_s)

    def _reject_if_overloaded(self, queued: QueuedRequest) -> list[Outcome]:
        if self._may_grant(queued) and not len(self._queue):
            return []
        ahead = self._queue.ahead_of(queued)
        wait_s = self._queue_drain.wait_s(ahead, self._places(queued.request.kind))
        patience_s = self._patience_s(queued.request)
        if wait_s <= patience_s:
            return []
        return [Rejected(queued.request, _overload_refusal(wait_s, wait_s - patience_s))]

    def _serve_queue(self, now: float) -> list[Outcome]:
        outcomes: list[Outcome] = []
        while len(self._queue):
            head = self._queue.head(self._batch_may_run(now))
            if head is None:
                break
            if head.patience_ends_at <= now:
                outcomes.append(self._reject(head))
                continue
            if not self._may_grant(head):
                break
            self._queue.take(head)
            self._queue_drain.record_departure(granted=True)
            outcomes.append(self._grant(head, now))
        return outcomes

    def _reject(self, queued: QueuedRequest) -> Rejected:
        self._queue.remove(queued)
        wait_s = self._queue_drain.wait_s(len(self._queue), self._places(queued.request.kind))
        return Rejected(queued.request, _overload_refusal(wait_s, wait_s))

    def _grant(self, queued: QueuedRequest, now: float) -> Granted:
        name = f"{self._cfg.name}-{next(self._reservation_numbers)}"
        expires_at = now + self._cfg.reservation_valid_s
        deadline = queued.arrived_at + queued.request.deadline_s
        hold = Hold(name, queued.request, queued.sender, now, expires_at, deadline)
        self._holds.add(hold)
        return self._granted_outcome(hold)

    def _granted_outcome(self, hold: Hold) -> Granted:
        grant = ReserveGrant(hold.reservation, self._cfg.reservation_valid_s, self.load)
        return Granted(hold.request, grant)

    def _places(self, kind: ReservationKind) -> int:
        return self._cfg.prefill_turns if kind is ReservationKind.PREFILL else self._cfg.slots

    def _may_grant(self, queued: QueuedRequest) -> bool:
        kind = queued.request.kind
        places = self._places(kind)
        if kind is ReservationKind.DECODE:
            places += self._overcommit.places(self._holds.in_use(), self._queue_drain.hold_s)
        if self._holds.places_taken() >= places:
            return False
        return self._holds.pieces() + queued.request.pieces <= self._cfg.pieces

    def _batch_may_run(self, now: float) -> bool:
        if now - self._last_interactive_at >= HEADROOM_KEPT_S:
            return True
        slots = self._cfg.slots
        if self._holds.places_taken(RouteClass.BATCH) < math.ceil(slots * BATCH_FLOOR):
            return True
        headroom = math.ceil(slots * INTERACTIVE_HEADROOM)
        return self._holds.places_taken() < slots - headroom

    def _remove_queued(self, request_id: str, attempt: int, kind: ReservationKind) -> bool:
        for queued in self._queue:
            if matches_attempt(queued.request, request_id, attempt, kind):
                self._queue.remove(queued)
                return True
        return False


def _draining_refusal() -> Refused:
    return Refused(ErrorCode.SHUTTING_DOWN, "the endpoint is draining")


def _overload_refusal(wait_s: float, retry_after_s: float) -> Refused:
    text = f"no place is expected in time; the wait is about {wait_s:.1f} s"
    return Refused(ErrorCode.OVERLOADED, text, retry_after_s=max(MIN_RETRY_AFTER_S, retry_after_s))
