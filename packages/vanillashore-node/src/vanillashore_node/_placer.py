"""An entry's search for places: which endpoints to ask, and which grant to take."""

import asyncio
import time
from collections import defaultdict

import attrs

from vanillashore_node._core import NodeCore
from vanillashore_node._directory import Endpoint
from vanillashore_node._generation_request import GenerationRequest
from vanillashore_node._holds import HoldBook
from vanillashore_placement import PIECE_TOKENS, Breaker, Chooser, SeenLoads
from vanillashore_schema import EndpointRole
from vanillashore_wire import (
    ErrorCode,
    Ran,
    RefusalError,
    Refused,
    ReservationKind,
    ReserveAsk,
    ReserveGrant,
    ReserveWithdraw,
    RouteClass,
)

ROLE_OF_KIND = {
    ReservationKind.PREFILL: EndpointRole.PREFILL,
    ReservationKind.DECODE: EndpointRole.DECODE,
    ReservationKind.CALL: EndpointRole.SERVICE,
}
ENDPOINT_FAULTS = frozenset({ErrorCode.ENDPOINT_FAILED, ErrorCode.PEER_UNREACHABLE})
NO_ENDPOINT_RETRY_S = 5.0


@attrs.frozen
class Place:
    """A reservation on an endpoint."""

    endpoint: Endpoint
    grant: ReserveGrant


@attrs.define
class _Attempt:
    """The places of one attempt; ``suspects`` are the endpoints to blame if it fails now."""

    decode: Place | None = None
    prefill: Place | None = None
    suspects: list[str] = attrs.field(factory=list)


class Placer:
    """Finds places for attempts on the fleet's endpoints, and gives them back.

    ``end_attempt`` has to follow each attempt and ``forget`` each request, however they end.
    """

    def __init__(
        self,
        core: NodeCore,
        chooser: Chooser,
        breaker: Breaker,
        loads: SeenLoads,
        book: HoldBook,
    ) -> None:
        self._core = core
        self._chooser = chooser
        self._breaker = breaker
        self._loads = loads
        self._book = book
        self._attempts: dict[tuple[str, int], _Attempt] = defaultdict(_Attempt)
        self._avoided: dict[str, set[str]] = defaultdict(set)

    async def decode_place(self, req: GenerationRequest, attempt: int) -> Place:
        """Ask two decode endpoints for a place; the first grant wins."""
        pieces = -(-(req.prompt_tokens + req.max_tokens) // PIECE_TOKENS)
        ask = _ask(req, attempt, ReservationKind.DECODE, pieces, req.max_tokens)
        endpoints = self._endpoints(ask, self._avoided[req.request_id])
        names = self._chooser.candidates(list(endpoints), time.monotonic())
        avoided = self._avoided[req.request_id]
        place = await self._first_grant([endpoints[name] for name in names], ask, avoided)
        self._attempts[req.request_id, attempt].decode = place
        return place

    async def prefill_place(self, req: GenerationRequest, attempt: int) -> Place:
        """Ask for a prefill turn where the prompt's prefix is most likely cached."""
        pieces = -(-req.prompt_tokens // PIECE_TOKENS)
        ask = _ask(req, attempt, ReservationKind.PREFILL, pieces, req.prompt_tokens)
        endpoints = self._endpoints(ask, self._avoided[req.request_id])
        names = self._chooser.prefill_candidates(
            list(endpoints), req.workspace, req.prompt, time.monotonic()
        )
        avoided = self._avoided[req.request_id]
        place = await self._first_grant([endpoints[name] for name in names], ask, avoided)
        noted = self._attempts[req.request_id, attempt]
        noted.prefill = place
        noted.suspects = [place.endpoint.vm]
        return place

    async def call_place(self, ask: ReserveAsk, tried: set[str]) -> Place:
        """Ask two endpoints for a place for a call; ``tried`` takes in those that do not answer."""
        endpoints = self._endpoints(ask, tried)
        names = self._chooser.candidates(list(endpoints), time.monotonic())
        return await self._first_grant([endpoints[name] for name in names], ask, tried)

    def call_endpoints(self, service: str) -> set[str]:
        """Return the VMs of the live endpoints of a plain service."""
        return {e.vm for e in self._core.directory.endpoints(EndpointRole.SERVICE, service)}

    def note_prefilled(self, req: GenerationRequest, attempt: int) -> None:
        """Note that an attempt's cache waits to be imported: either side may fail it now."""
        noted = self._attempts[req.request_id, attempt]
        if noted.decode is not None:
            noted.suspects.append(noted.decode.endpoint.vm)

    def note_imported(self, req: GenerationRequest, attempt: int) -> None:
        """Note that the answer has begun: the prefill's cache can be dropped."""
        noted = self._attempts[req.request_id, attempt]
        if noted.prefill is not None and noted.decode is not None:
            self._note_success(noted.prefill)
            self._note_success(noted.decode)
            self.end(noted.prefill)
            noted.prefill = None
            noted.suspects = [noted.decode.endpoint.vm]

    def note_failed(self, req: GenerationRequest, attempt: int, exc: RefusalError) -> None:
        """Keep the request's next attempts away from where this one failed."""
        suspects = self._attempts[req.request_id, attempt].suspects
        self._avoided[req.request_id].update(suspects)
        if exc.code in ENDPOINT_FAULTS:
            for vm in suspects:
                self._breaker.note(vm, False, time.monotonic())

    def end_attempt(self, req: GenerationRequest, attempt: int) -> None:
        """Give back every place that the attempt still has."""
        noted = self._attempts.pop((req.request_id, attempt), _Attempt())
        for place in (noted.prefill, noted.decode):
            if place is not None:
                self.end(place)

    def forget(self, req: GenerationRequest) -> None:
        """Forget a request that is over."""
        self._avoided.pop(req.request_id, None)

    def end(self, place: Place) -> None:
        """Give back a place."""
        self._book.end(place.endpoint, place.grant.reservation)

    def note_call(self, place: Place, failed: bool) -> None:
        """Note how a call on a place went."""
        self._breaker.note(place.endpoint.vm, not failed, time.monotonic())

    def _note_success(self, place: Place) -> None:
        self._breaker.note(place.endpoint.vm, True, time.monotonic())

    def _endpoints(self, ask: ReserveAsk, avoided: set[str]) -> dict[str, Endpoint]:
        role = ROLE_OF_KIND[ask.kind]
        endpoints = {e.vm: e for e in self._core.directory.endpoints(role, ask.model)}
        if not endpoints:
            text = f"no {role.value} endpoint of {ask.model!r} is live"
            refused = Refused(ErrorCode.NO_ENDPOINT, text, retry_after_s=NO_ENDPOINT_RETRY_S)
            raise RefusalError(refused)
        return {vm: e for vm, e in endpoints.items() if vm not in avoided} or endpoints

    async def _first_grant(
        self, endpoints: list[Endpoint], ask: ReserveAsk, avoided: set[str]
    ) -> Place:
        tasks = {
            asyncio.ensure_future(self._reserve(endpoint, ask)): endpoint for endpoint in endpoints
        }
        refusals: list[RefusalError] = []
        pending = set(tasks)
        try:
            while pending:
                done, pending = await asyncio.wait(pending, return_when="FIRST_COMPLETED")
                for task in done:
                    exc = task.exception()
                    if exc is None:
                        winner = tasks.pop(task)
                        self._book.add(winner, task.result().reservation)
                        return Place(winner, task.result())
                    if not isinstance(exc, RefusalError):
                        raise exc
                    refusals.append(exc)
                    if exc.code in ENDPOINT_FAULTS:
                        avoided.add(tasks[task].vm)
            raise min(refusals, key=lambda exc: exc.refused.retry_after_s or 0.0)
        finally:
            self._withdraw_rest(tasks, ask)

    async def _reserve(self, endpoint: Endpoint, ask: ReserveAsk) -> ReserveGrant:
        self._book.add_ask(endpoint, ask)
        timeout_s = ask.patience_s + self._core.cfg.timing.ask_timeout_s
        try:
            grant = await self._core.hub.ask(endpoint.address, ask, timeout_s)
        except RefusalError as exc:
            if exc.code in ENDPOINT_FAULTS:
                self._breaker.note(endpoint.vm, False, time.monotonic())
            raise RefusalError(attrs.evolve(exc.refused, ran=Ran.NO)) from exc
        finally:
            self._book.drop_ask(endpoint, ask)
        self._loads.note(endpoint.vm, grant.load)
        return grant

    def _withdraw_rest(
        self, tasks: dict["asyncio.Future[ReserveGrant]", Endpoint], ask: ReserveAsk
    ) -> None:
        for task, endpoint in tasks.items():
            task.cancel()
            if not _was_refused(task):
                message = ReserveWithdraw(ask.request_id, ask.attempt, ask.kind)
                self._core.hub.send(endpoint.address, message)


def _was_refused(task: "asyncio.Future[ReserveGrant]") -> bool:
    if not task.done() or task.cancelled():
        return False
    exc = task.exception()
    return isinstance(exc, RefusalError) and exc.code is not ErrorCode.PEER_UNREACHABLE


def _ask(
    req: GenerationRequest, attempt: int, kind: ReservationKind, pieces: int, tokens: int
) -> ReserveAsk:
    waits_s = req.time_left_s
    if attempt == 1:
        target_ms = req.model.first_token_target_ms
        waits_s = patience_s(req.model.route_class, target_ms, req.time_left_s)
    return ReserveAsk(
        req.request_id,
        attempt,
        kind,
        req.workspace,
        req.model.name,
        pieces,
        req.model.route_class,
        waits_s,
        req.time_left_s,
        tokens,
    )


def patience_s(route_class: RouteClass, target_ms: float, time_left_s: float) -> float:
    """Return how long work of a class may wait for a place: past its target it is refused."""
    if route_class is RouteClass.BATCH:
        return time_left_s
    return min(time_left_s, target_ms / 1_000)
