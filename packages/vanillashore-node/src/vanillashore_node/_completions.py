"""Handlers of ``/v1/completions``, ``/v1/chat/completions`` and ``/v1/models``."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing, asynccontextmanager

from aiohttp import web

from vanillashore_node._admission import Admission, Admitted
from vanillashore_node._callers import (
    ECHOED_ID,
    REQUEST_ID,
    REQUEST_ID_HEADER,
    authenticate,
    read_body,
)
from vanillashore_node._core import NodeCore
from vanillashore_node._generation import Generation
from vanillashore_node._generation_request import GenerationRequest
from vanillashore_node._http_helpers import json_response
from vanillashore_node._metrics import AnswerTimes
from vanillashore_node._openai import (
    AnswerFormatter,
    CompletionBody,
    Usage,
    estimate_tokens,
    parse_body,
)
from vanillashore_schema import LimitSettings, ModelConfig, WorkspaceConfig
from vanillashore_wire import ErrorCode, RefusalError, Refused, WasExecuted

TokenBatches = AsyncIterator[list[str]]
GenerationFactory = Callable[[GenerationRequest], Generation]


class Completions:
    """Serves generated answers, streamed or complete."""

    def __init__(
        self, core: NodeCore, admission: Admission, new_generation: GenerationFactory
    ) -> None:
        self._core = core
        self._admission = admission
        self._new_generation = new_generation

    async def completions(self, request: web.Request) -> web.StreamResponse:
        """Handle ``POST /v1/completions``."""
        return await self._serve(request, is_chat=False)

    async def chat_completions(self, request: web.Request) -> web.StreamResponse:
        """Handle ``POST /v1/chat/completions``."""
        return await self._serve(request, is_chat=True)

    async def models(self, request: web.Request) -> web.Response:
        """Handle ``GET /v1/models``."""
        authenticate(self._core, request)
        models = [
            {"id": model.name, "object": "model", "created": 0, "owned_by": "vanillashore"}
            for model in self._core.directory.models()
        ]
        return json_response({"object": "list", "data": models})

    async def not_allowed(self, request: web.Request) -> web.Response:
        """Refuse other methods on the API paths."""
        text = f"{request.method} is not allowed here"
        raise RefusalError(Refused(ErrorCode.METHOD_NOT_ALLOWED, text))

    async def _serve(self, request: web.Request, is_chat: bool) -> web.StreamResponse:
        limits = self._core.cfg.limits
        workspace = authenticate(self._core, request)
        body = parse_body(await read_body(self._core, request), is_chat)
        model = self._core.directory.model(body.model)
        workspace = authenticate(self._core, request)
        req = _generation_request(request[REQUEST_ID], workspace, model, body, limits)
        admitted = await self._admission.admit(
            workspace, req.prompt_tokens + req.max_tokens, model.route_class
        )
        formatter = AnswerFormatter(req.request_id, model.name, is_chat)
        generation = self._new_generation(req)
        timed = _TimedBatches(self._watch(generation, req))
        try:
            async with aclosing(timed.batches()) as batches:
                if body.stream:
                    return await self._stream(request, batches, generation, formatter, req, body)
                return await self._send_complete(batches, generation, formatter, req)
        finally:
            self._record_times(timed, req, generation)
            self._refund(admitted, req, generation)

    def _record_times(
        self, timed: "_TimedBatches", req: GenerationRequest, generation: Generation
    ) -> None:
        count = generation.assembly.next_sequence
        if count and generation.assembly.is_complete:
            times = AnswerTimes(req.model.name, timed.first_s, timed.rest_s, count - 1)
            self._core.metrics.record_answer(times)

    async def _send_complete(
        self,
        batches: TokenBatches,
        generation: Generation,
        formatter: AnswerFormatter,
        req: GenerationRequest,
    ) -> web.Response:
        async with _deadline(req):
            async for _ in batches:
                pass
        answer = generation.assembly
        usage = Usage(req.prompt_tokens, answer.next_sequence)
        return json_response(formatter.complete(answer.text, answer.finish_reason, usage))

    async def _stream(
        self,
        request: web.Request,
        batches: TokenBatches,
        generation: Generation,
        formatter: AnswerFormatter,
        req: GenerationRequest,
        body: CompletionBody,
    ) -> web.StreamResponse:
        async with _deadline(req):
            first = await anext(batches, [])
        response = _event_stream(request)
        await response.prepare(request)
        _limit_buffers(request, self._core.cfg.limits.write_buffer_bytes)
        try:
            async with _deadline(req):
                await response.write(formatter.stream_start() + formatter.chunks(first))
                async for texts in batches:
                    await response.write(formatter.chunks(texts))
        except RefusalError as exc:
            await _end_failed_stream(request, response, formatter.error_event(exc.refused))
            return response
        answer = generation.assembly
        usage = Usage(req.prompt_tokens, answer.next_sequence) if body.include_usage else None
        await response.write(formatter.stream_end(answer.finish_reason, usage))
        await response.write_eof()
        return response

    def _watch(self, generation: Generation, req: GenerationRequest) -> AsyncIterator[list[str]]:
        return self._core.burn.watch_answer(req.model, req.workspace, generation.run())

    def _refund(self, admitted: Admitted, req: GenerationRequest, generation: Generation) -> None:
        unused = req.max_tokens - generation.assembly.next_sequence
        self._admission.refund(admitted, unused)


class _TimedBatches:
    """Forwards batches of tokens and records when the first and the last arrived."""

    def __init__(self, batches: TokenBatches) -> None:
        self._batches = batches
        self._started = time.monotonic()
        self._first_at = self._started
        self._last_at = self._started

    @property
    def first_s(self) -> float:
        """Seconds to the first token."""
        return self._first_at - self._started

    @property
    def rest_s(self) -> float:
        """Seconds from the first token to the last."""
        return self._last_at - self._first_at

    async def batches(self) -> TokenBatches:
        """Yield the batches."""
        async with aclosing(self._batches):
            async for texts in self._batches:
                self._last_at = time.monotonic()
                if self._first_at == self._started:
                    self._first_at = self._last_at
                yield texts


@asynccontextmanager
async def _deadline(req: GenerationRequest) -> AsyncIterator[None]:
    """Raise RefusalError when the request's deadline has passed."""
    try:
        async with asyncio.timeout(req.time_left_s):
            yield
    except TimeoutError as exc:
        text = "the request did not finish within its time limit"
        raise RefusalError(Refused(ErrorCode.DEADLINE_EXCEEDED, text, WasExecuted.UNKNOWN)) from exc


def _event_stream(request: web.Request) -> web.StreamResponse:
    headers = {
        "Content-Type": "text/event-stream",
        "Cache-Control": "no-cache",
        REQUEST_ID_HEADER: request[ECHOED_ID],
    }
    return web.StreamResponse(headers=headers)


def _limit_buffers(request: web.Request, size_bytes: int) -> None:
    """Limit the buffers of a slow reader, here and in the kernel; they would grow to megabytes."""
    if request.transport is None:
        return
    request.transport.set_write_buffer_limits(size_bytes)
    sock = request.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size_bytes)


async def _end_failed_stream(
    request: web.Request, response: web.StreamResponse, error: bytes
) -> None:
    """End a failed stream; disconnect a caller that does not read, or the connection would stay."""
    if request.transport is not None and request.transport.get_write_buffer_size() > 0:
        request.transport.abort()
    else:
        await response.write(error)


def _generation_request(
    request_id: str,
    workspace: WorkspaceConfig,
    model: ModelConfig,
    body: CompletionBody,
    limits: LimitSettings,
) -> GenerationRequest:
    prompt_tokens = estimate_tokens(body.prompt)
    max_tokens = body.max_tokens or limits.default_max_tokens
    if prompt_tokens > limits.prompt_tokens or max_tokens > limits.max_tokens:
        raise _too_long(f"at most {limits.prompt_tokens} prompt and {limits.max_tokens} new tokens")
    if prompt_tokens + max_tokens > model.context_tokens:
        raise _too_long(f"the model's context is {model.context_tokens} tokens")
    return GenerationRequest(
        request_id,
        workspace.name,
        model,
        body.prompt,
        prompt_tokens,
        max_tokens,
        body.sampling,
        time.monotonic() + limits.request_timeout_s,
    )


def _too_long(text: str) -> RefusalError:
    return RefusalError(Refused(ErrorCode.CONTEXT_TOO_LONG, text))
