"""Entries and sidecars of the placement bench, built on the product's decision classes."""

import random
from collections import defaultdict
from collections.abc import Callable

import attrs

from _placement_fakes import Clock, FakeDecode, FakePrefill, FakeService, Job
from _placement_load import WORKSPACE_SHARES, Request
from _placement_policies import World
from vanillashore_placement import (
    Breaker,
    EndpointLoads,
    EndpointSelector,
    Granted,
    HoldExpired,
    Outcome,
    ReservationScheduler,
    SchedulerSettings,
    TransferPacer,
)
from vanillashore_wire import ReservationKind, ReserveRequest, ReserveWithdraw

MESSAGE_DELAY_S = 0.001
TICK_INTERVAL_S = 0.1
LINK_PIECES_PER_S = 500.0
OutcomeCallback = Callable[[Outcome], None]


class Sidecar:
    """The scheduler of a fake endpoint; aborts the endpoint's jobs whose holds expired."""

    def __init__(self, world: World, endpoint: FakePrefill | FakeDecode | FakeService) -> None:
        slots = world.deployment.slots
        if isinstance(endpoint, FakeService):
            slots = world.deployment.service_slots
        self.endpoint = endpoint
        self.scheduler = ReservationScheduler(
            SchedulerSettings(endpoint.name, slots=slots), WORKSPACE_SHARES.__getitem__
        )
        self.pacer = TransferPacer(LINK_PIECES_PER_S)
        self.jobs: dict[str, Job] = {}
        self._clock = world.clock
        self._callbacks: dict[tuple[str, int], OutcomeCallback] = {}
        world.clock.call_later(TICK_INTERVAL_S, self._tick)

    def reserve(self, request: ReserveRequest, sender: str, on_outcome: OutcomeCallback) -> None:
        """Queue a reservation request and send its outcome when it is decided."""
        self._callbacks[request.request_id, request.attempt] = on_outcome
        self.apply_outcomes(self.scheduler.ask(request, sender, self._clock.now))

    def apply_outcomes(self, outcomes: list[Outcome]) -> None:
        """Send outcomes to their entries, and abort the jobs of expired holds."""
        for outcome in outcomes:
            if isinstance(outcome, HoldExpired):
                self._abort(outcome.hold.reservation)
                continue
            on_outcome = self._callbacks.pop(
                (outcome.request.request_id, outcome.request.attempt), None
            )
            if on_outcome is not None:
                self._clock.call_later(
                    MESSAGE_DELAY_S, lambda callback=on_outcome, o=outcome: callback(o)
                )

    def release(self, reservation: str) -> None:
        """Release a hold that its entry no longer needs."""
        self._abort(reservation)
        self.apply_outcomes(self.scheduler.release(reservation, self._clock.now))

    def _abort(self, reservation: str) -> None:
        job = self.jobs.pop(reservation, None)
        if job is None:
            return
        job.aborted = True
        if isinstance(self.endpoint, FakeDecode):
            self.endpoint.abort(job)

    def _tick(self) -> None:
        self.apply_outcomes(self.scheduler.tick(self._clock.now))
        self._clock.call_later(TICK_INTERVAL_S, self._tick)


@attrs.define(eq=False)
class ReservedEndpoint:
    """A reservation that a sidecar's scheduler granted."""

    sidecar: Sidecar
    reservation: str


class Entry:
    """An entry: its candidate choice, its reservations and its open reservation requests."""

    def __init__(self, world: World, number: int) -> None:
        self.name = f"entry-{number}"
        self.loads = EndpointLoads()
        self.breaker = Breaker()
        rng = random.Random(world.rng.random())
        self.chooser = EndpointSelector(self.loads, rng, self.breaker)
        self.reservations: dict[Request, list[ReservedEndpoint]] = defaultdict(list)
        self.open_requests: dict[tuple[str, int, ReservationKind], list[Sidecar]] = {}
        self.frozen = False


class Search:
    """A reservation request to one or two sidecars; the first grant withdraws it at the other."""

    def __init__(
        self,
        clock: Clock,
        entry: Entry,
        on_refused: Callable[[Request], None],
        req: Request,
        request: ReserveRequest,
        sidecars: list[Sidecar],
        on_reserved: Callable[[ReservedEndpoint], None],
    ) -> None:
        self.open_sidecars = sidecars
        self._clock = clock
        self._on_refused = on_refused
        self._entry = entry
        self._req = req
        self._request = request
        self._on_reserved = on_reserved
        self._key = (request.request_id, request.attempt, request.kind)

    def send(self) -> None:
        """Send the request to all candidate sidecars."""
        for sidecar in list(self.open_sidecars):
            sidecar.reserve(
                self._request,
                self._entry.name,
                lambda o, sidecar=sidecar: self._handle_outcome(sidecar, o),
            )

    def _handle_outcome(self, sidecar: Sidecar, outcome: Outcome) -> None:
        if sidecar in self.open_sidecars:
            self.open_sidecars.remove(sidecar)
        if not isinstance(outcome, Granted):
            if not self.open_sidecars and self._key in self._entry.open_requests:
                del self._entry.open_requests[self._key]
                self._req.refused = not self._req.is_finished
                self._on_refused(self._req)
            return
        self._entry.loads.record_load(sidecar.endpoint.name, outcome.grant.load)
        if self._entry.open_requests.pop(self._key, None) is None or self._req.is_finished:
            self._withdraw(sidecar)
            return
        for other in self.open_sidecars:
            self._withdraw(other)
        reserved = ReservedEndpoint(sidecar, outcome.grant.reservation)
        self._entry.reservations[self._req].append(reserved)
        self._on_reserved(reserved)

    def _withdraw(self, sidecar: Sidecar) -> None:
        message = ReserveWithdraw(
            self._request.request_id, self._request.attempt, self._request.kind
        )
        clock = self._clock
        clock.call_later(
            MESSAGE_DELAY_S,
            lambda: sidecar.apply_outcomes(sidecar.scheduler.withdraw(message, clock.now)),
        )
