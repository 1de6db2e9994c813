"""Prefill and decode orders at a side process whose endpoint is a model engine."""

from collections.abc import AsyncIterator
from typing import TypeVar

from aiohttp import web
from loguru import logger as log

from vanillashore_node._core import NodeCore
from vanillashore_node._engine import Engine, engine_request_id
from vanillashore_node._faces import message_response
from vanillashore_node._reservations import Reservations
from vanillashore_wire import (
    DecodeOrder,
    ErrorCode,
    Frame,
    FrameKind,
    PrefillDone,
    PrefillOrder,
    RefusalError,
    Refused,
    decode,
    encode_frame,
)

T = TypeVar("T")


class EngineWork:
    """Runs orders on the engine, each on the place that was reserved for it."""

    def __init__(self, core: NodeCore, engine: Engine, reservations: Reservations) -> None:
        self._core = core
        self._engine = engine
        self._reservations = reservations

    async def prefill(self, request: web.Request) -> web.Response:
        """Handle ``POST /internal/prefill``."""
        order = await read_order(request, PrefillOrder)
        self._core.decisions.note(order.request_id, "prefill", f"attempt {order.attempt}")
        self._reservations.use(order.reservation)
        finished = False
        try:
            done = await self._engine.prefill(order)
            finished = True
        finally:
            self._reservations.release(order.reservation)
            if not finished:
                self._abort_later(order.request_id, order.attempt, "prefill")
        load = self._reservations.load
        return message_response(PrefillDone(done.kv, done.prompt_tokens, done.cached_pieces, load))

    async def decode(self, request: web.Request) -> web.StreamResponse:
        """Handle ``POST /internal/decode`` with a stream of frames, one a line."""
        order = await read_order(request, DecodeOrder)
        self._core.decisions.note(order.request_id, "decode", f"attempt {order.attempt}")
        self._reservations.use(order.reservation)
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        finished = False
        try:
            await response.prepare(request)
            async for frame in self._frames(order):
                await response.write(encode_frame(frame))
                finished = finished or frame.kind is FrameKind.END
            await response.write_eof()
        finally:
            self._reservations.release(order.reservation)
            if not finished:
                self._abort_later(order.request_id, order.attempt, "decode")
        return response

    async def _frames(self, order: DecodeOrder) -> AsyncIterator[Frame]:
        sequence = order.emitted_tokens
        try:
            async for token in self._engine.decode(order):
                if token.finish_reason:
                    yield _frame(order, FrameKind.END, sequence, finish=token.finish_reason)
                    return
                yield _frame(order, FrameKind.TOKEN, sequence, text=token.text)
                sequence += 1
        except RefusalError as exc:
            yield _frame(order, FrameKind.FAILED, sequence, refused=exc.refused)

    def _abort_later(self, request_id: str, attempt: int, phase: str) -> None:
        engine_id = engine_request_id(request_id, attempt, phase)
        self._core.tasks.start(self._abort(engine_id), "engine abort")

    async def _abort(self, engine_id: str) -> None:
        try:
            await self._engine.abort(engine_id)
        except RefusalError as exc:
            log.bind(engine_request=engine_id, error=str(exc)).warning("an abort failed")


async def read_order(request: web.Request, cls: type[T]) -> T:
    """Read an order from a peer's body; raise RefusalError if it is malformed."""
    try:
        return decode(await request.read(), cls)
    except ValueError as exc:
        raise RefusalError(Refused(ErrorCode.BAD_REQUEST, str(exc))) from exc


def _frame(
    order: DecodeOrder,
    kind: FrameKind,
    sequence: int,
    text: str = "",
    finish: str = "",
    refused: Refused | None = None,
) -> Frame:
    return Frame(order.request_id, order.attempt, kind, sequence, text, finish, refused)
