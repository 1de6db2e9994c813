"""An entry's search for places: which endpoints to ask, and which grant to take."""

import asyncio

import attrs

from vanillashore_node._core import NodeCore
from vanillashore_node._directory import Endpoint
from vanillashore_node._generation_request import GenerationRequest
from vanillashore_placement import PIECE_TOKENS, Chooser, SeenLoads, rank_by_affinity
from vanillashore_schema import EndpointRole
from vanillashore_wire import (
    ErrorCode,
    RefusalError,
    Refused,
    ReservationKind,
    ReserveAsk,
    ReserveGrant,
    ReserveWithdraw,
)


@attrs.frozen
class Place:
    """A reservation on an endpoint."""

    endpoint: Endpoint
    grant: ReserveGrant


class Placer:
    """Finds places for attempts on the fleet's endpoints."""

    def __init__(self, core: NodeCore, chooser: Chooser, loads: SeenLoads) -> None:
        self._core = core
        self._chooser = chooser
        self._loads = loads

    async def decode_place(self, req: GenerationRequest, attempt: int) -> Place:
        """Ask two decode endpoints for a place; the first grant wins."""
        endpoints = self._endpoints(EndpointRole.DECODE, req.model.name)
        names = self._chooser.candidates(list(endpoints))
        ask = self._ask(req, attempt, ReservationKind.DECODE)
        return await self._first_grant([endpoints[name] for name in names], ask)

    async def prefill_place(self, req: GenerationRequest, attempt: int) -> Place:
        """Ask for a prefill turn where the prompt's prefix is most likely cached."""
        endpoints = self._endpoints(EndpointRole.PREFILL, req.model.name)
        ranked = rank_by_affinity(req.workspace, req.prompt, list(endpoints))
        ask = self._ask(req, attempt, ReservationKind.PREFILL)
        best = ranked[(attempt - 1) % len(ranked)]
        return await self._first_grant([endpoints[best]], ask)

    def give_up(self, place: Place, req: GenerationRequest, attempt: int) -> None:
        """Withdraw a reservation that will not be used."""
        message = ReserveWithdraw(req.request_id, attempt, ReservationKind.DECODE)
        self._core.hub.send(place.endpoint.address, message)

    def _endpoints(self, role: EndpointRole, model: str) -> dict[str, Endpoint]:
        endpoints = {e.vm: e for e in self._core.directory.endpoints(role, model)}
        if not endpoints:
            text = f"no {role.value} endpoint of {model!r} is live"
            raise RefusalError(Refused(ErrorCode.NO_ENDPOINT, text, retry_after_s=5.0))
        return endpoints

    def _ask(self, req: GenerationRequest, attempt: int, kind: ReservationKind) -> ReserveAsk:
        pieces = -(-(req.prompt_tokens + req.max_tokens) // PIECE_TOKENS)
        return ReserveAsk(
            req.request_id,
            attempt,
            kind,
            req.workspace,
            req.model.name,
            pieces,
            req.model.route_class,
            req.time_left_s,
            req.time_left_s,
        )

    async def _first_grant(self, endpoints: list[Endpoint], ask: ReserveAsk) -> Place:
        tasks = {
            asyncio.ensure_future(self._reserve(endpoint, ask)): endpoint for endpoint in endpoints
        }
        refusals: list[RefusalError] = []
        pending = set(tasks)
        try:
            while pending:
                done, pending = await asyncio.wait(pending, return_when="FIRST_COMPLETED")
                for task in done:
                    if task.exception() is None:
                        winner = tasks.pop(task)
                        return Place(winner, task.result())
                    refusals.append(task.exception())
            raise refusals[0]
        finally:
            self._withdraw_rest(tasks, ask)

    async def _reserve(self, endpoint: Endpoint, ask: ReserveAsk) -> ReserveGrant:
        grant = await self._core.hub.ask(endpoint.address, ask, ask.deadline_s)
        self._loads.note(endpoint.vm, grant.load)
        return grant

    def _withdraw_rest(
        self, tasks: dict["asyncio.Future[ReserveGrant]", Endpoint], ask: ReserveAsk
    ) -> None:
        for task, endpoint in tasks.items():
            failed = task.done() and not task.cancelled() and task.exception() is not None
            task.cancel()
            if not failed:
                message = ReserveWithdraw(ask.request_id, ask.attempt, ask.kind)
                self._core.hub.send(endpoint.address, message)
