"""The product's placement in the bench: its decision classes, with simulated message delays."""

from collections.abc import Callable

from _placement_fakes import EXPORT_RETENTION_S, Job
from _placement_load import Request
from _placement_nodes import MESSAGE_DELAY_S, Entry, ReservedEndpoint, Search, Sidecar
from _placement_policies import (
    MAX_ATTEMPTS,
    T,
    World,
    engine_held_pieces,
    listed_endpoints,
    record_first_token,
)
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


class ReservedPlacement:
    """Places requests by reservations at schedulers, as the product does."""

    name = "vanillashore"

    def __init__(self, world: World) -> None:
        self.world = world
        self._clock = world.clock
        endpoints = [*world.prefills, *world.decodes, *world.services]
        self._sidecars = {e.name: Sidecar(world, e) for e in endpoints}
        self._entries = [Entry(world, i) for i in range(ENTRIES)]
        self._clock.call_later(RENEWAL_S, self._renew_holds)

    def start(self, req: Request) -> None:
        """Reserve the endpoint of a call or the decode engine of a generation, also on a retry."""
        entry = self._entries[req.entry]
        if req.is_finished or entry.frozen:
            return
        req.attempt += 1
        if req.attempt > MAX_ATTEMPTS:
            req.refused = True
            return
        if req.is_call:
            names = _untried_names(self.world, req, self.world.services)
            candidates = entry.chooser.candidates(names, self._clock.now)
            self._reserve(
                req,
                ReservationKind.CALL,
                candidates,
                lambda reserved: self._run_call(req, reserved),
            )
            return
        names = _untried_names(self.world, req, self.world.decodes)
        candidates = entry.chooser.candidates(names, self._clock.now)
        self._reserve(
            req, ReservationKind.DECODE, candidates, lambda reserved: self._prefill(req, reserved)
        )

    def cancel(self, req: Request) -> None:
        """Release the reservations of a request whose caller disconnected."""
        self._release_all(req)

    def freeze_entry(self, entry: int) -> None:
        """Stop an entry: it no longer sends, retries or renews."""
        self._entries[entry].frozen = True

    def held_pieces(self) -> dict[str, int]:
        """Return the KV pieces held on engines or by schedulers, by request."""
        held_pieces = engine_held_pieces(self.world)
        for sidecar in self._sidecars.values():
            for hold in sidecar.scheduler.holds:
                held_pieces[hold.request.request_id] = max(1, hold.request.pieces)
        return held_pieces

    def _reserve(
        self,
        req: Request,
        kind: ReservationKind,
        names: list[str],
        on_reserved: Callable[[ReservedEndpoint], None],
    ) -> None:
        request = _make_request(req, kind, self._clock.now)
        entry = self._entries[req.entry]
        sidecars = [self._sidecars[name] for name in names]
        search = Search(self._clock, entry, self._release_all, req, request, sidecars, on_reserved)
        entry.open_requests[request.request_id, request.attempt, kind] = search.open_sidecars
        self._clock.call_later(MESSAGE_DELAY_S, search.send)

    def _prefill(self, req: Request, decode: ReservedEndpoint) -> None:
        entry = self._entries[req.entry]
        names = _untried_names(self.world, req, self.world.prefills)
        prefix = req.prefix or req.id
        prompt = (prefix * (4_000 // len(prefix) + 1))[:4_000]
        if req.prompt_tokens < 1_000:
            prompt = ""
        candidates = entry.chooser.prefill_candidates(names, req.workspace, prompt, self._clock.now)
        self._reserve(
            req,
            ReservationKind.PREFILL,
            candidates,
            lambda reserved: self._run_prefill(req, reserved, decode),
        )

    def _run_prefill(
        self, req: Request, reserved: ReservedEndpoint, decode: ReservedEndpoint
    ) -> None:
        def on_exported() -> None:
            reserved.sidecar.apply_outcomes(
                reserved.sidecar.scheduler.export(reserved.reservation, self._clock.now)
            )
            self._after_message(req, lambda: self._import(req, reserved, decode, self._clock.now))

        job = Job(req, on_exported, lambda _: self._retry(req, [reserved]))
        self._use_reservation(req, reserved, job, lambda: reserved.sidecar.endpoint.submit(job))

    def _import(
        self, req: Request, prefill: ReservedEndpoint, decode: ReservedEndpoint, exported_at: float
    ) -> None:
        started_at = [0.0]

        def on_first_token() -> None:
            import_wait_s = (
                self._clock.now - started_at[0] - decode.sidecar.pacer.expected_s(req.prompt_pieces)
            )
            decode.sidecar.scheduler.record_started(import_wait_s)
            record_first_token(req, self._clock.now)
            self._record_outcome(req, prefill, True)
            self._record_outcome(req, decode, True)
            self._release(req, prefill)

        def on_failed(evicted: bool) -> None:
            if evicted:
                decode.sidecar.scheduler.record_evicted()
            self._retry(req, [decode] if not evicted else [])

        def submit() -> None:
            wait_s = decode.sidecar.pacer.start_in(req.prompt_pieces, self._clock.now)
            started_at[0] = self._clock.now + wait_s
            self._clock.call_later(wait_s, lambda: decode.sidecar.endpoint.submit(job))

        job = Job(
            req,
            lambda: self._complete(req, decode),
            on_failed,
            on_first_token,
            exported_at + EXPORT_RETENTION_S,
        )
        self._use_reservation(req, decode, job, submit)

    def _run_call(self, req: Request, reserved: ReservedEndpoint) -> None:
        job = Job(req, lambda: self._complete(req, reserved), lambda _: None)
        self._use_reservation(req, reserved, job, lambda: reserved.sidecar.endpoint.submit(job))

    def _use_reservation(
        self, req: Request, reserved: ReservedEndpoint, job: Job, callback: Callable[[], None]
    ) -> None:
        def use_at_sidecar() -> None:
            if reserved.sidecar.scheduler.use(reserved.reservation, self._clock.now) is None:
                self._retry(req, [])
                return
            reserved.sidecar.jobs[reserved.reservation] = job
            callback()

        self._after_message(req, use_at_sidecar)

    def _complete(self, req: Request, reserved: ReservedEndpoint) -> None:
        reserved.sidecar.jobs.pop(reserved.reservation, None)
        reserved.sidecar.apply_outcomes(
            reserved.sidecar.scheduler.release(reserved.reservation, self._clock.now)
        )
        entry = self._entries[req.entry]
        if not req.is_finished and not entry.frozen:
            req.completed_at = self._clock.now
        entry.reservations.pop(req, None)

    def _retry(self, req: Request, failed_endpoints: list[ReservedEndpoint]) -> None:
        for reserved in failed_endpoints:
            req.avoided_endpoints.add(reserved.sidecar.endpoint.name)
            self._record_outcome(req, reserved, False)
        self._release_all(req)
        self._clock.call_later(MESSAGE_DELAY_S, lambda: self.start(req))

    def _after_message(self, req: Request, callback: Callable[[], None]) -> None:
        def unless_finished() -> None:
            if not req.is_finished and not self._entries[req.entry].frozen:
                callback()

        self._clock.call_later(MESSAGE_DELAY_S, unless_finished)

    def _record_outcome(self, req: Request, reserved: ReservedEndpoint, succeeded: bool) -> None:
        breaker = self._entries[req.entry].breaker
        breaker.record_result(reserved.sidecar.endpoint.name, succeeded, self._clock.now)

    def _release(self, req: Request, reserved: ReservedEndpoint) -> None:
        reservations = self._entries[req.entry].reservations[req]
        if reserved in reservations:
            reservations.remove(reserved)
        self._clock.call_later(
            MESSAGE_DELAY_S, lambda: reserved.sidecar.release(reserved.reservation)
        )

    def _release_all(self, req: Request) -> None:
        for reserved in self._entries[req.entry].reservations.pop(req, []):
            self._clock.call_later(
                MESSAGE_DELAY_S,
                lambda reserved=reserved: reserved.sidecar.release(reserved.reservation),
            )

    def _renew_holds(self) -> None:
        for entry in self._entries:
            if entry.frozen:
                continue
            for sidecar in self._sidecars.values():
                held_reservations = tuple(
                    p.reservation
                    for ps in entry.reservations.values()
                    for p in ps
                    if p.sidecar is sidecar
                )
                open_requests = tuple(
                    ReserveRequestRef(*key)
                    for key, sidecars in entry.open_requests.items()
                    if sidecar in sidecars
                )
                if held_reservations or open_requests:
                    sidecar.scheduler.renew(
                        HoldRenewal(held_reservations, open_requests), entry.name, self._clock.now
                    )
                    entry.loads.record_load(sidecar.endpoint.name, sidecar.scheduler.load)
        self._clock.call_later(RENEWAL_S, self._renew_holds)


def _untried_names(world: World, req: Request, pool: list[T]) -> list[str]:
    names = [endpoint.name for endpoint in listed_endpoints(world, pool)]
    return [name for name in names if name not in req.avoided_endpoints] or names


def _make_request(req: Request, kind: ReservationKind, now: float) -> ReserveRequest:
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
