"""An entry's search for places: which endpoints to ask, and which grant to take."""

import asyncio
import time
from collections import defaultdict, deque

import attrs

from vanillashore_node._core import NodeCore
from vanillashore_node._directory import Endpoint
from vanillashore_node._generation_request import GenerationRequest
from vanillashore_node._holds import HoldBook
from vanillashore_placement import PIECE_TOKENS, EndpointLoads, EndpointSelector
from vanillashore_resilience import Breaker
from vanillashore_schema import EndpointRole, RouteConfig
from vanillashore_wire import (
    CallOrder,
    ErrorCode,
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
NEXT_ASK_AFTER_S = 0.01


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
        chooser: EndpointSelector,
        breaker: Breaker,
        loads: EndpointLoads,
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
        endpoints = self._endpoints(ask)
        names = self._chooser.candidates(list(endpoints), time.monotonic())
        place = await self._first_grant([endpoints[name] for name in names], ask)
        self._attempts[req.request_id, attempt].decode = place
        return place

    async def prefill_place(self, req: GenerationRequest, attempt: int) -> Place:
        """Ask for a prefill turn where the prompt's prefix is most likely cached."""
        pieces = -(-req.prompt_tokens // PIECE_TOKENS)
        ask = _ask(req, attempt, ReservationKind.PREFILL, pieces, req.prompt_tokens)
        endpoints = self._endpoints(ask)
        names = self._chooser.prefill_candidates(
            list(endpoints), req.workspace, req.prompt, time.monotonic()
        )
        place = await self._first_grant([endpoints[name] for name in names], ask)
        noted = self._attempts[req.request_id, attempt]
        noted.prefill = place
        noted.suspects = [place.endpoint.vm]
        return place

    async def call_place(self, order: CallOrder, route: RouteConfig, time_left_s: float) -> Place:
        """Ask two endpoints of a plain service for a place; the first grant wins."""
        ask = ReserveAsk(
            order.request_id,
            order.attempt,
            ReservationKind.CALL,
            order.workspace,
            order.service,
            0,
            route.route_class,
            _patience_s(route.route_class, route.target_ms, time_left_s),
            time_left_s,
        )
        endpoints = self._endpoints(ask)
        names = self._chooser.candidates(list(endpoints), time.monotonic())
        try:
            return await self._first_grant([endpoints[name] for name in names], ask)
        except RefusalError:
            self._avoided[order.request_id].update(names)
            raise

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

    def note_finished(self, req: GenerationRequest, attempt: int) -> None:
        """Note that the whole answer came: the side process has freed the decode place itself."""
        noted = self._attempts[req.request_id, attempt]
        if noted.decode is not None:
            self._book.drop(noted.decode.endpoint, noted.decode.grant.reservation)
            noted.decode = None

    def note_failed(self, req: GenerationRequest, attempt: int, exc: RefusalError) -> None:
        """Keep the request's next attempts away from where this one failed."""
        suspects = self._attempts[req.request_id, attempt].suspects
        self._avoided[req.request_id].update(suspects)
        if exc.code in ENDPOINT_FAULTS:
            for vm in suspects:
                self._breaker.record_result(vm, False, time.monotonic())

    def end_attempt(self, req: GenerationRequest, attempt: int) -> None:
        """Give back every place that the attempt still has."""
        noted = self._attempts.pop((req.request_id, attempt), _Attempt())
        for place in (noted.prefill, noted.decode):
            if place is not None:
                self.end(place)

    def forget(self, request_id: str) -> None:
        """Forget a request that is over."""
        self._avoided.pop(request_id, None)

    def end(self, place: Place) -> None:
        """Give back a place."""
        self._book.end(place.endpoint, place.grant.reservation)

    def end_call(self, request_id: str, place: Place, code: ErrorCode | None) -> None:
        """Give back a call's place; ``code`` tells why the call failed there, if it did."""
        self._breaker.record_result(
            place.endpoint.vm, code not in ENDPOINT_FAULTS, time.monotonic()
        )
        if code is None:
            self._book.drop(place.endpoint, place.grant.reservation)
            return
        self._avoided[request_id].add(place.endpoint.vm)
        self.end(place)

    def _note_success(self, place: Place) -> None:
        self._breaker.record_result(place.endpoint.vm, True, time.monotonic())

    def _endpoints(self, ask: ReserveAsk) -> dict[str, Endpoint]:
        role = ROLE_OF_KIND[ask.kind]
        endpoints = {e.vm: e for e in self._core.directory.endpoints(role, ask.model)}
        if not endpoints:
            text = f"no {role.value} endpoint of {ask.model!r} is live"
            refused = Refused(ErrorCode.NO_ENDPOINT, text, retry_after_s=NO_ENDPOINT_RETRY_S)
            raise RefusalError(refused)
        avoided = self._avoided.get(ask.request_id, set())
        return {vm: e for vm, e in endpoints.items() if vm not in avoided} or endpoints

    async def _first_grant(self, endpoints: list[Endpoint], ask: ReserveAsk) -> Place:
        """Ask the endpoints in order; each next one as soon as the last did not grant at once."""
        unasked = deque(endpoints)
        tasks: dict[asyncio.Future[ReserveGrant], Endpoint] = {}
        pending: set[asyncio.Future[ReserveGrant]] = set()
        refusals: list[RefusalError] = []
        try:
            while unasked or pending:
                if unasked:
                    task = asyncio.ensure_future(self._reserve(unasked[0], ask))
                    tasks[task] = unasked.popleft()
                    pending.add(task)
                timeout_s = NEXT_ASK_AFTER_S if unasked else None
                done, pending = await asyncio.wait(
                    pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
                )
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
                        self._avoided[ask.request_id].add(tasks[task].vm)
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
                self._breaker.record_result(endpoint.vm, False, time.monotonic())
            raise
        finally:
            self._book.drop_ask(endpoint, ask)
        self._loads.record_load(endpoint.vm, grant.load)
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
    patience_s = req.time_left_s
    if attempt == 1:
        target_ms = req.model.first_token_target_ms
        patience_s = _patience_s(req.model.route_class, target_ms, req.time_left_s)
    return ReserveAsk(
        req.request_id,
        attempt,
        kind,
        req.workspace,
        req.model.name,
        pieces,
        req.model.route_class,
        patience_s,
        req.time_left_s,
        tokens,
    )


def _patience_s(route_class: RouteClass, target_ms: float, time_left_s: float) -> float:
    if route_class is RouteClass.BATCH:
        return time_left_s
    return min(time_left_s, target_ms / 1_000)
