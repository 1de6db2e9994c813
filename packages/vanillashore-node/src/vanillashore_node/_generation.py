"""One generated answer: reserve, prefill, decode, and go on elsewhere after a failure."""

import asyncio
import time
from collections.abc import AsyncIterator

import attrs

from vanillashore_node._back_ends import BackEnds
from vanillashore_node._core import NodeCore
from vanillashore_node._directory import Endpoint
from vanillashore_outcome import Assembly
from vanillashore_placement import PIECE_TOKENS, Chooser, SeenLoads, rank_by_affinity
from vanillashore_schema import EndpointRole, ModelConfig
from vanillashore_wire import (
    DecodeOrder,
    ErrorCode,
    Frame,
    FrameKind,
    PrefillDone,
    PrefillOrder,
    Ran,
    RefusalError,
    Refused,
    ReservationKind,
    ReserveAsk,
    ReserveGrant,
    ReserveWithdraw,
    Sampling,
)

MAX_ATTEMPTS = 3
RETRIED_CODES = frozenset(
    {
        ErrorCode.ENDPOINT_FAILED,
        ErrorCode.PEER_UNREACHABLE,
        ErrorCode.RESERVATION_UNKNOWN,
        ErrorCode.ROLE_MISMATCH,
        ErrorCode.SHUTTING_DOWN,
    }
)


@attrs.frozen
class GenerationRequest:
    """What a caller asked for, checked; ``deadline`` is in seconds of the monotonic clock."""

    request_id: str
    workspace: str
    model: ModelConfig
    prompt: str
    prompt_tokens: int
    max_tokens: int
    sampling: Sampling
    deadline: float

    @property
    def time_left_s(self) -> float:
        """Seconds until the deadline."""
        return max(0.0, self.deadline - time.monotonic())


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


class Generation:
    """Produces one answer; `run` yields runs of tokens in order, each token exactly once."""

    def __init__(
        self, core: NodeCore, placer: Placer, back_ends: BackEnds, req: GenerationRequest
    ) -> None:
        self._core = core
        self._placer = placer
        self._back_ends = back_ends
        self._req = req
        self.assembly = Assembly(req.request_id)

    async def run(self) -> AsyncIterator[list[str]]:
        """Yield the tokens that came in together; raise RefusalError if the answer breaks off."""
        for attempt in range(1, MAX_ATTEMPTS + 1):
            self.assembly.begin_attempt(attempt)
            try:
                async for texts in self._attempt(attempt):
                    yield texts
                return
            except RefusalError as exc:
                self._note(attempt, "failed", str(exc))
                if exc.code not in RETRIED_CODES or attempt == MAX_ATTEMPTS:
                    raise
        raise AssertionError("unreachable")

    async def _attempt(self, attempt: int) -> AsyncIterator[list[str]]:
        place = await self._placer.decode_place(self._req, attempt)
        self._note(attempt, "decode place", place.endpoint.vm)
        try:
            done = await self._prefill(attempt)
        except BaseException:
            self._placer.give_up(place, self._req, attempt)
            raise
        order = self._decode_order(attempt, place, done)
        async for frames in self._back_ends.decode(place.endpoint.address, order):
            position = self.assembly.next_sequence
            failure = self._accept(frames)
            texts = self.assembly.tokens_from(position)
            if texts:
                yield texts
            if failure is not None:
                raise failure
            if self.assembly.is_complete:
                return
        raise _broken("the decode stream ended early")

    async def _prefill(self, attempt: int) -> PrefillDone:
        place = await self._placer.prefill_place(self._req, attempt)
        self._note(attempt, "prefill place", place.endpoint.vm)
        order = PrefillOrder(
            self._req.request_id,
            attempt,
            place.grant.reservation,
            self._req.workspace,
            self._req.model.name,
            self._req.prompt + self.assembly.text,
            self._req.model.route_class,
            self._req.time_left_s,
            self._core.directory.revision,
        )
        return await self._back_ends.prefill(place.endpoint.address, order)

    def _decode_order(self, attempt: int, place: Place, done: PrefillDone) -> DecodeOrder:
        emitted = self.assembly.next_sequence
        return DecodeOrder(
            self._req.request_id,
            attempt,
            place.grant.reservation,
            self._req.workspace,
            self._req.model.name,
            self._req.prompt + self.assembly.text,
            emitted,
            self._req.max_tokens - emitted,
            done.kv,
            self._req.model.route_class,
            self._req.time_left_s,
            self._core.directory.revision,
            self._req.sampling,
        )

    def _accept(self, frames: list[Frame]) -> RefusalError | None:
        """Take frames until one ends the attempt, and return why it did; ``None`` if none did."""
        try:
            for frame in frames:
                if frame.kind is FrameKind.FAILED and frame.refused is not None:
                    return RefusalError(frame.refused)
                self.assembly.accept(frame)
        except ValueError as exc:
            return _broken(str(exc))
        return None

    def _note(self, attempt: int, step: str, text: str) -> None:
        self._core.decisions.note(self._req.request_id, step, f"attempt {attempt}: {text}")


def _broken(text: str) -> RefusalError:
    return RefusalError(Refused(ErrorCode.ENDPOINT_FAILED, text, Ran.UNKNOWN))
