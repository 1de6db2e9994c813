"""The project's own placement in the bench: the real decision classes, driven by messages."""

from collections.abc import Callable

from _placement_fakes import EXPORT_KEPT_S, Job
from _placement_load import Request
from _placement_parts import MESSAGE_S, Entry, Place, Search, Sidecar
from _placement_policies import MAX_ATTEMPTS, T, World, held_on, listed, note_first
from vanillashore_wire import (
    HoldRenewal,
    ReservationKind,
    ReserveRequest,
    ReserveRequestRef,
    RouteClass,
)

RENEWAL_S = 2.0
DEADLINE_S = 600.0
FIRST_TOKEN_TARGET_S = 1.6
CALL_TARGET_S = 0.25
ENTRIES = 3


class Reserved:
    """Reservations at schedulers, as the product places requests."""

    name = "vanillashore"

    def __init__(self, world: World) -> None:
        self.world = world
        self._clock = world.clock
        endpoints = [*world.prefills, *world.decodes, *world.services]
        self._sidecars = {e.name: Sidecar(world, e) for e in endpoints}
        self._entries = [Entry(world, i) for i in range(ENTRIES)]
        self._clock.after(RENEWAL_S, self._renew)

    def start(self, req: Request) -> None:
        """Take in a request, or try it again."""
        entry = self._entries[req.entry]
        if req.is_over or entry.frozen:
            return
        req.attempt += 1
        if req.attempt > MAX_ATTEMPTS:
            req.refused = True
            return
        if req.is_call:
            names = _untried(self.world, req, self.world.services)
            asked = entry.chooser.candidates(names, self._clock.now)
            self._ask(req, ReservationKind.CALL, asked, lambda place: self._call(req, place))
            return
        names = _untried(self.world, req, self.world.decodes)
        asked = entry.chooser.candidates(names, self._clock.now)
        self._ask(req, ReservationKind.DECODE, asked, lambda place: self._prefill(req, place))

    def cancel(self, req: Request) -> None:
        """Take in that the caller has left."""
        self._end_all(req)

    def freeze_entry(self, entry: int) -> None:
        """Take in that an entry does nothing any more."""
        self._entries[entry].frozen = True

    def held(self) -> dict[str, int]:
        """Return the KV pieces held on engines or by schedulers, by request."""
        held = held_on(self.world)
        for sidecar in self._sidecars.values():
            for hold in sidecar.scheduler.holds:
                held[hold.request.request_id] = max(1, hold.request.pieces)
        return held

    def _ask(
        self,
        req: Request,
        kind: ReservationKind,
        names: list[str],
        on_place: Callable[[Place], None],
    ) -> None:
        ask = _ask_of(req, kind, self._clock.now)
        entry = self._entries[req.entry]
        sidecars = [self._sidecars[name] for name in names]
        search = Search(self._clock, entry, self._end_all, req, ask, sidecars, on_place)
        entry.asks[ask.request_id, ask.attempt, kind] = search.open
        self._clock.after(MESSAGE_S, search.send)

    def _prefill(self, req: Request, decode: Place) -> None:
        entry = self._entries[req.entry]
        names = _untried(self.world, req, self.world.prefills)
        shared = req.prefix or req.id
        prompt = (shared * (4_000 // len(shared) + 1))[:4_000]
        if req.prompt_tokens < 1_000:
            prompt = ""
        asked = entry.chooser.prefill_candidates(names, req.workspace, prompt, self._clock.now)
        self._ask(
            req,
            ReservationKind.PREFILL,
            asked,
            lambda place: self._run_prefill(req, place, decode),
        )

    def _run_prefill(self, req: Request, place: Place, decode: Place) -> None:
        def exported() -> None:
            place.sidecar.settle(place.sidecar.scheduler.export(place.reservation, self._clock.now))
            self._later(req, lambda: self._import(req, place, decode, self._clock.now))

        job = Job(req, exported, lambda _: self._failed(req, [place]))
        self._use(req, place, job, lambda: place.sidecar.endpoint.submit(job))

    def _import(self, req: Request, prefill: Place, decode: Place, exported: float) -> None:
        started = [0.0]

        def first() -> None:
            waited = (
                self._clock.now - started[0] - decode.sidecar.pacer.expected_s(req.prompt_pieces)
            )
            decode.sidecar.scheduler.record_started(waited)
            note_first(req, self._clock.now)
            self._note(req, prefill, True)
            self._note(req, decode, True)
            self._end(req, prefill)

        def failed(evicted: bool) -> None:
            if evicted:
                decode.sidecar.scheduler.record_evicted()
            self._failed(req, [decode] if not evicted else [])

        def submit() -> None:
            wait_s = decode.sidecar.pacer.start_in(req.prompt_pieces, self._clock.now)
            started[0] = self._clock.now + wait_s
            self._clock.after(wait_s, lambda: decode.sidecar.endpoint.submit(job))

        job = Job(req, lambda: self._done(req, decode), failed, first, exported + EXPORT_KEPT_S)
        self._use(req, decode, job, submit)

    def _call(self, req: Request, place: Place) -> None:
        job = Job(req, lambda: self._done(req, place), lambda _: None)
        self._use(req, place, job, lambda: place.sidecar.endpoint.submit(job))

    def _use(self, req: Request, place: Place, job: Job, then: Callable[[], None]) -> None:
        def at_sidecar() -> None:
            if place.sidecar.scheduler.use(place.reservation, self._clock.now) is None:
                self._failed(req, [])
                return
            place.sidecar.jobs[place.reservation] = job
            then()

        self._later(req, at_sidecar)

    def _done(self, req: Request, place: Place) -> None:
        place.sidecar.jobs.pop(place.reservation, None)
        place.sidecar.settle(place.sidecar.scheduler.release(place.reservation, self._clock.now))
        entry = self._entries[req.entry]
        if not req.is_over and not entry.frozen:
            req.done_at = self._clock.now
        entry.places.pop(req, None)

    def _failed(self, req: Request, to_blame: list[Place]) -> None:
        for place in to_blame:
            req.avoided.add(place.sidecar.endpoint.name)
            self._note(req, place, False)
        self._end_all(req)
        self._clock.after(MESSAGE_S, lambda: self.start(req))

    def _later(self, req: Request, then: Callable[[], None]) -> None:
        def unless_over() -> None:
            if not req.is_over and not self._entries[req.entry].frozen:
                then()

        self._clock.after(MESSAGE_S, unless_over)

    def _note(self, req: Request, place: Place, succeeded: bool) -> None:
        breaker = self._entries[req.entry].breaker
        breaker.record_result(place.sidecar.endpoint.name, succeeded, self._clock.now)

    def _end(self, req: Request, place: Place) -> None:
        places = self._entries[req.entry].places[req]
        if place in places:
            places.remove(place)
        self._clock.after(MESSAGE_S, lambda: place.sidecar.end(place.reservation))

    def _end_all(self, req: Request) -> None:
        for place in self._entries[req.entry].places.pop(req, []):
            self._clock.after(MESSAGE_S, lambda place=place: place.sidecar.end(place.reservation))

    def _renew(self) -> None:
        for entry in self._entries:
            if entry.frozen:
                continue
            for sidecar in self._sidecars.values():
                held = tuple(
                    p.reservation
                    for ps in entry.places.values()
                    for p in ps
                    if p.sidecar is sidecar
                )
                asks = tuple(
                    ReserveRequestRef(*key)
                    for key, sidecars in entry.asks.items()
                    if sidecar in sidecars
                )
                if held or asks:
                    sidecar.scheduler.renew(HoldRenewal(held, asks), entry.name, self._clock.now)
                    entry.loads.record_load(sidecar.endpoint.name, sidecar.scheduler.load)
        self._clock.after(RENEWAL_S, self._renew)


def _untried(world: World, req: Request, pool: list[T]) -> list[str]:
    names = [endpoint.name for endpoint in listed(world, pool)]
    return [name for name in names if name not in req.avoided] or names


def _ask_of(req: Request, kind: ReservationKind, now: float) -> ReserveRequest:
    pieces = {
        ReservationKind.PREFILL: req.prompt_pieces,
        ReservationKind.DECODE: req.pieces,
        ReservationKind.CALL: 0,
    }[kind]
    tokens = req.prompt_tokens if kind is ReservationKind.PREFILL else 150
    target_s = CALL_TARGET_S if req.is_call else FIRST_TOKEN_TARGET_S
    is_patient = req.route_class is RouteClass.BATCH or req.attempt > 1
    patience_s = DEADLINE_S if is_patient else target_s
    return ReserveRequest(
        req.id,
        req.attempt,
        kind,
        req.workspace,
        "model",
        pieces,
        req.route_class,
        patience_s,
        DEADLINE_S,
        tokens,
    )
