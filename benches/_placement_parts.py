"""Entries and sidecars of the placement bench, around the real decision classes."""

import random
from collections import defaultdict
from collections.abc import Callable

import attrs

from _placement_fakes import Clock, FakeDecode, FakePrefill, FakeService, Job
from _placement_load import SHARES, Request
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

MESSAGE_S = 0.001
TICK_S = 0.1
LINK_PIECES_PER_S = 500.0
Answer = Callable[[Outcome], None]


class Sidecar:
    """A scheduler beside a fake endpoint; it frees on the endpoint what lapses."""

    def __init__(self, world: World, endpoint: FakePrefill | FakeDecode | FakeService) -> None:
        slots = world.deployment.slots
        if isinstance(endpoint, FakeService):
            slots = world.deployment.service_slots
        self.endpoint = endpoint
        self.scheduler = ReservationScheduler(
            SchedulerSettings(endpoint.name, slots=slots), SHARES.__getitem__
        )
        self.pacer = TransferPacer(LINK_PIECES_PER_S)
        self.jobs: dict[str, Job] = {}
        self._clock = world.clock
        self._answers: dict[tuple[str, int], Answer] = {}
        world.clock.after(TICK_S, self._tick)

    def ask(self, ask: ReserveRequest, sender: str, answer: Answer) -> None:
        """Queue an ask and send the answer when there is one."""
        self._answers[ask.request_id, ask.attempt] = answer
        self.settle(self.scheduler.ask(ask, sender, self._clock.now))

    def settle(self, outcomes: list[Outcome]) -> None:
        """Send the answers, and free what lapsed."""
        for outcome in outcomes:
            if isinstance(outcome, HoldExpired):
                self._abort(outcome.hold.reservation)
                continue
            answer = self._answers.pop((outcome.request.request_id, outcome.request.attempt), None)
            if answer is not None:
                self._clock.after(MESSAGE_S, lambda a=answer, o=outcome: a(o))

    def end(self, reservation: str) -> None:
        """Free a hold that its entry gives up."""
        self._abort(reservation)
        self.settle(self.scheduler.release(reservation, self._clock.now))

    def _abort(self, reservation: str) -> None:
        job = self.jobs.pop(reservation, None)
        if job is None:
            return
        job.aborted = True
        if isinstance(self.endpoint, FakeDecode):
            self.endpoint.abort(job)

    def _tick(self) -> None:
        self.settle(self.scheduler.tick(self._clock.now))
        self._clock.after(TICK_S, self._tick)


@attrs.define(eq=False)
class Place:
    """A granted place."""

    sidecar: Sidecar
    reservation: str


class Entry:
    """An entry's choices and its book of places."""

    def __init__(self, world: World, number: int) -> None:
        self.name = f"entry-{number}"
        self.loads = EndpointLoads()
        self.breaker = Breaker()
        rng = random.Random(world.rng.random())
        self.chooser = EndpointSelector(self.loads, rng, self.breaker)
        self.places: dict[Request, list[Place]] = defaultdict(list)
        self.asks: dict[tuple[str, int, ReservationKind], list[Sidecar]] = {}
        self.frozen = False


class Search:
    """One ask at one or two schedulers; the first grant wins and the rest is withdrawn."""

    def __init__(
        self,
        clock: Clock,
        entry: Entry,
        on_refused: Callable[[Request], None],
        req: Request,
        ask: ReserveRequest,
        sidecars: list[Sidecar],
        on_place: Callable[[Place], None],
    ) -> None:
        self.open = sidecars
        self._clock = clock
        self._on_refused = on_refused
        self._entry = entry
        self._req = req
        self._ask = ask
        self._on_place = on_place
        self._key = (ask.request_id, ask.attempt, ask.kind)

    def send(self) -> None:
        """Send the ask."""
        for sidecar in list(self.open):
            sidecar.ask(
                self._ask, self._entry.name, lambda o, sidecar=sidecar: self._take(sidecar, o)
            )

    def _take(self, sidecar: Sidecar, outcome: Outcome) -> None:
        if sidecar in self.open:
            self.open.remove(sidecar)
        if not isinstance(outcome, Granted):
            if not self.open and self._key in self._entry.asks:
                del self._entry.asks[self._key]
                self._req.refused = not self._req.is_over
                self._on_refused(self._req)
            return
        self._entry.loads.record_load(sidecar.endpoint.name, outcome.grant.load)
        if self._entry.asks.pop(self._key, None) is None or self._req.is_over:
            self._withdraw(sidecar)
            return
        for other in self.open:
            self._withdraw(other)
        place = Place(sidecar, outcome.grant.reservation)
        self._entry.places[self._req].append(place)
        self._on_place(place)

    def _withdraw(self, sidecar: Sidecar) -> None:
        message = ReserveWithdraw(self._ask.request_id, self._ask.attempt, self._ask.kind)
        clock = self._clock
        clock.after(
            MESSAGE_S, lambda: sidecar.settle(sidecar.scheduler.withdraw(message, clock.now))
        )
