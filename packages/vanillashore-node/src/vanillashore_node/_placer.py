"""Placement of an entry's attempts: asks endpoints for reservations and uses the first grant."""

import asyncio
import time
from collections import defaultdict, deque

import attrs

from vanillashore_node._core import NodeCore
from vanillashore_node._directory import Endpoint
from vanillashore_node._generation_request import GenerationRequest
from vanillashore_node._holds import HoldRegistry
from vanillashore_placement import PIECE_TOKENS, EndpointLoads, EndpointSelector
from vanillashore_resilience import Breaker
from vanillashore_schema import EndpointRole, RouteConfig
from vanillashore_wire import (
    CallOrder,
    ErrorCode,
    RefusalError,
    Refused,
    ReservationKind,
    ReserveGrant,
    ReserveRequest,
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
NEXT_REQUEST_DELAY_S = 0.01


@attrs.frozen
class Placement:
    """An endpoint and the reservation that it granted."""

    endpoint: Endpoint
    grant: ReserveGrant


@attrs.define
class _Attempt:
    """The placements of one attempt; ``suspects`` may be at fault if it fails now."""

    decode: Placement | None = None
    prefill: Placement | None = None
    suspects: list[str] = attrs.field(factory=list)


class Placer:
    """Reserves endpoints for attempts and releases the reservations.

    Call ``end_attempt`` after each attempt and ``forget`` after each request, however they end.
    """

    def __init__(
        self,
        core: NodeCore,
        selector: EndpointSelector,
        breaker: Breaker,
        loads: EndpointLoads,
        holds: HoldRegistry,
    ) -> None:
        self._core = core
        self._selector = selector
        self._breaker = breaker
        self._loads = loads
        self._holds = holds
        self._attempts: dict[tuple[str, int], _Attempt] = defaultdict(_Attempt)
        self._avoided: dict[str, set[str]] = defaultdict(set)

    async def reserve_decode(self, req: GenerationRequest, attempt: int) -> Placement:
        """Ask two decode endpoints for a reservation; the first grant is used."""
        pieces = -(-(req.prompt_tokens + req.max_tokens) // PIECE_TOKENS)
        request = _reserve_request(req, attempt, ReservationKind.DECODE, pieces, req.max_tokens)
        endpoints = self._endpoints(request)
        names = self._selector.candidates(list(endpoints), time.monotonic())
        placement = await self._first_grant([endpoints[name] for name in names], request)
        self._attempts[req.request_id, attempt].decode = placement
        return placement

    async def reserve_prefill(self, req: GenerationRequest, attempt: int) -> Placement:
        """Reserve a prefill on the endpoint most likely to have the prompt's prefix cached."""
        pieces = -(-req.prompt_tokens // PIECE_TOKENS)
        request = _reserve_request(req, attempt, ReservationKind.PREFILL, pieces, req.prompt_tokens)
        endpoints = self._endpoints(request)
        names = self._selector.prefill_candidates(
            list(endpoints), req.workspace, req.prompt, time.monotonic()
        )
        placement = await self._first_grant([endpoints[name] for name in names], request)
        state = self._attempts[req.request_id, attempt]
        state.prefill = placement
        state.suspects = [placement.endpoint.vm]
        return placement

    async def reserve_call(
        self, order: CallOrder, route: RouteConfig, time_left_s: float
    ) -> Placement:
        """Ask two endpoints of a plain service for a reservation; the first grant is used."""
        request = ReserveRequest(
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
        endpoints = self._endpoints(request)
        names = self._selector.candidates(list(endpoints), time.monotonic())
        try:
            return await self._first_grant([endpoints[name] for name in names], request)
        except RefusalError:
            self._avoided[order.request_id].update(names)
            raise

    def record_prefilled(self, req: GenerationRequest, attempt: int) -> None:
        """Record that the KV cache awaits import: either endpoint may fail the attempt now."""
        state = self._attempts[req.request_id, attempt]
        if state.decode is not None:
            state.suspects.append(state.decode.endpoint.vm)

    def record_imported(self, req: GenerationRequest, attempt: int) -> None:
        """Record that decoding has started: the exported KV cache can be freed."""
        state = self._attempts[req.request_id, attempt]
        if state.prefill is not None and state.decode is not None:
            self._record_success(state.prefill)
            self._record_success(state.decode)
            self.release(state.prefill)
            state.prefill = None
            state.suspects = [state.decode.endpoint.vm]

    def record_finished(self, req: GenerationRequest, attempt: int) -> None:
        """Record that the answer is complete; the sidecar has already freed the decode hold."""
        state = self._attempts[req.request_id, attempt]
        if state.decode is not None:
            self._holds.remove(state.decode.endpoint, state.decode.grant.reservation)
            state.decode = None

    def record_failed(self, req: GenerationRequest, attempt: int, exc: RefusalError) -> None:
        """Exclude the suspected endpoints from the request's next attempts."""
        suspects = self._attempts[req.request_id, attempt].suspects
        self._avoided[req.request_id].update(suspects)
        if exc.code in ENDPOINT_FAULTS:
            for vm in suspects:
                self._breaker.record_result(vm, False, time.monotonic())

    def end_attempt(self, req: GenerationRequest, attempt: int) -> None:
        """Release every reservation that the attempt still has."""
        state = self._attempts.pop((req.request_id, attempt), _Attempt())
        for placement in (state.prefill, state.decode):
            if placement is not None:
                self.release(placement)

    def forget(self, request_id: str) -> None:
        """Drop the state of a request that has ended."""
        self._avoided.pop(request_id, None)

    def release(self, placement: Placement) -> None:
        """Release a reservation."""
        self._holds.release(placement.endpoint, placement.grant.reservation)

    def release_call(self, request_id: str, placement: Placement, code: ErrorCode | None) -> None:
        """Release a call's reservation; ``code`` is why the call failed there, or None."""
        self._breaker.record_result(
            placement.endpoint.vm, code not in ENDPOINT_FAULTS, time.monotonic()
        )
        if code is None:
            self._holds.remove(placement.endpoint, placement.grant.reservation)
            return
        self._avoided[request_id].add(placement.endpoint.vm)
        self.release(placement)

    def _record_success(self, placement: Placement) -> None:
        self._breaker.record_result(placement.endpoint.vm, True, time.monotonic())

    def _endpoints(self, request: ReserveRequest) -> dict[str, Endpoint]:
        role = ROLE_OF_KIND[request.kind]
        endpoints = {e.vm: e for e in self._core.directory.endpoints(role, request.model)}
        if not endpoints:
            text = f"no {role.value} endpoint of {request.model!r} is live"
            refused = Refused(ErrorCode.NO_ENDPOINT, text, retry_after_s=NO_ENDPOINT_RETRY_S)
            raise RefusalError(refused)
        avoided = self._avoided.get(request.request_id, set())
        return {vm: e for vm, e in endpoints.items() if vm not in avoided} or endpoints

    async def _first_grant(self, endpoints: list[Endpoint], request: ReserveRequest) -> Placement:
        """Ask the endpoints in order, the next after a refusal or a short delay without a grant.

        Requests to the others are withdrawn after the first grant.
        """
        remaining = deque(endpoints)
        tasks: dict[asyncio.Future[ReserveGrant], Endpoint] = {}
        pending: set[asyncio.Future[ReserveGrant]] = set()
        refusals: list[RefusalError] = []
        try:
            while remaining or pending:
                if remaining:
                    task = asyncio.ensure_future(self._reserve(remaining[0], request))
                    tasks[task] = remaining.popleft()
                    pending.add(task)
                timeout_s = NEXT_REQUEST_DELAY_S if remaining else None
                done, pending = await asyncio.wait(
                    pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    exc = task.exception()
                    if exc is None:
                        winner = tasks.pop(task)
                        self._holds.add(winner, task.result().reservation)
                        return Placement(winner, task.result())
                    if not isinstance(exc, RefusalError):
                        raise exc
                    refusals.append(exc)
                    if exc.code in ENDPOINT_FAULTS:
                        self._avoided[request.request_id].add(tasks[task].vm)
            raise min(refusals, key=lambda exc: exc.refused.retry_after_s or 0.0)
        finally:
            self._withdraw_others(tasks, request)

    async def _reserve(self, endpoint: Endpoint, request: ReserveRequest) -> ReserveGrant:
        self._holds.add_request(endpoint, request)
        timeout_s = request.patience_s + self._core.cfg.timing.ask_timeout_s
        try:
            grant = await self._core.hub.ask(endpoint.address, request, timeout_s)
        except RefusalError as exc:
            if exc.code in ENDPOINT_FAULTS:
                self._breaker.record_result(endpoint.vm, False, time.monotonic())
            raise
        finally:
            self._holds.remove_request(endpoint, request)
        self._loads.record_load(endpoint.vm, grant.load)
        return grant

    def _withdraw_others(
        self, tasks: dict["asyncio.Future[ReserveGrant]", Endpoint], request: ReserveRequest
    ) -> None:
        for task, endpoint in tasks.items():
            task.cancel()
            if not _was_refused(task):
                message = ReserveWithdraw(request.request_id, request.attempt, request.kind)
                self._core.hub.send(endpoint.address, message)


def _was_refused(task: "asyncio.Future[ReserveGrant]") -> bool:
    if not task.done() or task.cancelled():
        return False
    exc = task.exception()
    return isinstance(exc, RefusalError) and exc.code is not ErrorCode.PEER_UNREACHABLE


def _reserve_request(
    req: GenerationRequest, attempt: int, kind: ReservationKind, pieces: int, tokens: int
) -> ReserveRequest:
    patience_s = req.time_left_s
    if attempt == 1:
        target_ms = req.model.first_token_target_ms
        patience_s = _patience_s(req.model.route_class, target_ms, req.time_left_s)
    return ReserveRequest(
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
