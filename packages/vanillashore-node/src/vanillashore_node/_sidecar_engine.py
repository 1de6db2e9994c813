"""Prefill and decode orders at a sidecar whose endpoint is a model engine."""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import TypeVar

from aiohttp import web
from loguru import logger as log

from vanillashore_node._core import NodeCore
from vanillashore_node._engine import Engine, EngineToken, engine_request_id
from vanillashore_node._http_helpers import message_response
from vanillashore_node._reservations import Reservations
from vanillashore_placement import Hold, TransferPacer
from vanillashore_wire import (
    DecodeOrder,
    ErrorCode,
    Frame,
    FrameKind,
    PrefillDone,
    PrefillOrder,
    RefusalError,
    Refused,
    WasExecuted,
    decode,
    encode_frame,
)

T = TypeVar("T")


class EngineOrderHandlers:
    """Runs orders on the engine, each under its reservation.

    If a hold ends before its work has completed, the handler is cancelled, and the request with its
    exported cache is aborted at the engine.
    """

    def __init__(self, core: NodeCore, engine: Engine, reservations: Reservations) -> None:
        self._core = core
        self._engine = engine
        self._reservations = reservations
        self._pacer = TransferPacer(core.cfg.endpoint.link_pieces_per_s)
        self._running: dict[str, asyncio.Task[object]] = {}
        reservations.on_freed = self._cancel_freed

    def known_ids(self) -> set[str]:
        """Return the engine's request ids that current holds account for."""
        return {_engine_id(hold) for hold in self._reservations.scheduler.holds}

    async def prefill(self, request: web.Request) -> web.Response:
        """Handle ``POST /internal/prefill``."""
        order = await read_order(request, PrefillOrder)
        self._core.decisions.record(order.request_id, "prefill", f"attempt {order.attempt}")
        hold = self._start_hold(order.reservation)
        is_finished = False
        try:
            done = await self._engine.prefill(order)
            self._reservations.export(order.reservation)
            is_finished = True
        finally:
            self._running.pop(order.reservation, None)
            if not is_finished:
                self._release_and_abort(hold)
        load = self._reservations.load
        return message_response(PrefillDone(done.kv, done.prompt_tokens, done.cached_pieces, load))

    async def decode(self, request: web.Request) -> web.StreamResponse:
        """Handle ``POST /internal/decode`` with a stream of frames, one per line."""
        order = await read_order(request, DecodeOrder)
        self._core.decisions.record(order.request_id, "decode", f"attempt {order.attempt}")
        hold = self._start_hold(order.reservation)
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        is_finished = False
        try:
            await response.prepare(request)
            async for frame in self._frames(order):
                is_finished = is_finished or frame.kind is FrameKind.END
                if is_finished:
                    self._reservations.release(order.reservation)
                await response.write(encode_frame(frame))
            await response.write_eof()
        finally:
            self._running.pop(order.reservation, None)
            if not is_finished:
                self._release_and_abort(hold)
        return response

    async def _frames(self, order: DecodeOrder) -> AsyncIterator[Frame]:
        sequence = order.emitted_tokens
        try:
            async for token in self._tokens(order):
                if token.finish_reason:
                    yield _frame(order, FrameKind.END, sequence, finish=token.finish_reason)
                    return
                yield _frame(order, FrameKind.TOKEN, sequence, text=token.text)
                sequence += 1
        except RefusalError as exc:
            yield _frame(order, FrameKind.FAILED, sequence, refused=exc.refused)

    async def _tokens(self, order: DecodeOrder) -> AsyncIterator[EngineToken]:
        """Start the transfer when the pacer allows it, and fail if no token arrives in time."""
        await asyncio.sleep(self._pacer.start_in(order.kv.pieces, time.monotonic()))
        expected_s = self._pacer.expected_s(order.kv.pieces)
        started_at = time.monotonic()
        tokens = self._engine.decode(order)
        try:
            async with asyncio.timeout(expected_s + self._core.cfg.timing.transfer_stall_s):
                first_token = await anext(tokens)
        except TimeoutError as exc:
            text = "the transfer of the cache stalled"
            raise RefusalError(
                Refused(ErrorCode.ENDPOINT_FAILED, text, WasExecuted.UNKNOWN)
            ) from exc
        except RefusalError:
            self._reservations.scheduler.record_evicted()
            raise
        excess_s = time.monotonic() - started_at - expected_s
        self._reservations.scheduler.record_started(excess_s)
        yield first_token
        async for token in tokens:
            yield token

    def _start_hold(self, reservation: str) -> Hold:
        hold = self._reservations.use(reservation)
        task = asyncio.current_task()
        assert task is not None
        self._running[reservation] = task
        return hold

    def _cancel_freed(self, hold: Hold) -> None:
        task = self._running.pop(hold.reservation, None)
        if task is not None:
            task.cancel()
        self._abort_later(hold)

    def _release_and_abort(self, hold: Hold) -> None:
        self._reservations.release(hold.reservation)
        self._abort_later(hold)

    def _abort_later(self, hold: Hold) -> None:
        self._core.tasks.start(self._abort(_engine_id(hold)), "engine abort")

    async def _abort(self, engine_id: str) -> None:
        try:
            await self._engine.abort(engine_id)
        except RefusalError as exc:
            log.bind(engine_request=engine_id, error=str(exc)).warning(
                "aborting an engine request failed"
            )


async def read_order(request: web.Request, cls: type[T]) -> T:
    """Read an order from a peer's body; raise RefusalError if it is malformed."""
    try:
        return decode(await request.read(), cls)
    except ValueError as exc:
        raise RefusalError(Refused(ErrorCode.BAD_REQUEST, str(exc))) from exc


def _engine_id(hold: Hold) -> str:
    return engine_request_id(hold.request.request_id, hold.request.attempt, hold.request.kind.value)


def _frame(
    order: DecodeOrder,
    kind: FrameKind,
    sequence: int,
    text: str = "",
    finish: str = "",
    refused: Refused | None = None,
) -> Frame:
    return Frame(order.request_id, order.attempt, kind, sequence, text, finish, refused)
