"""HTTP interface of the stand-in engine: OpenAI-style completions with KV transfer parameters."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import attrs
import orjson
from aiohttp import web

from vanillashore_standins._engine_state import EngineError, EngineState, Sequence
from vanillashore_standins._text_generator import count_tokens

STATE: web.AppKey[EngineState] = web.AppKey("state")
SESSION: web.AppKey[aiohttp.ClientSession] = web.AppKey("session")
SAMPLING_FIELDS = (
    "temperature",
    "top_p",
    "seed",
    "presence_penalty",
    "frequency_penalty",
    "stop",
)
STALL_POLL_INTERVAL_S = 0.05
PATHS_SERVED_WHILE_DOWN = frozenset({"/ledger", "/control"})


def engine_app(state: EngineState) -> web.Application:
    """Build the application; ``GET /ledger`` returns the work that the engine has done."""
    app = web.Application(client_max_size=64_000_000, middlewares=[_handle_errors])
    app[STATE] = state
    app.cleanup_ctx.append(_run_engine)
    app.router.add_post("/v1/completions", _completions)
    app.router.add_post("/v1/abort", _abort)
    app.router.add_post("/v1/kv/pull", _pull)
    app.router.add_get("/v1/streams/{request_id}", _resume)
    app.router.add_get("/v1/holdings", _holdings)
    app.router.add_get("/v1/load", _load)
    app.router.add_get("/v1/kv_events", _kv_events)
    app.router.add_post("/v1/orders", _orders)
    app.router.add_get("/ledger", _ledger)
    app.router.add_post("/control", _control)
    return app


async def _run_engine(app: web.Application) -> AsyncIterator[None]:
    app[STATE].start()
    app[SESSION] = aiohttp.ClientSession()
    yield
    await app[SESSION].close()
    await app[STATE].stop()


@web.middleware
async def _handle_errors(request: web.Request, handler: Any) -> web.StreamResponse:
    state = request.app[STATE]
    if request.path not in PATHS_SERVED_WHILE_DOWN and state.is_down:
        request.transport.abort()
        raise ConnectionResetError("the engine is down")
    try:
        return await handler(request)
    except EngineError as exc:
        if exc.status == 410:
            request.transport.abort()
        return web.json_response({"error": {"message": str(exc)}}, status=exc.status)


async def _completions(request: web.Request) -> web.StreamResponse:
    state = request.app[STATE]
    body = orjson.loads(await request.read())
    state.ledger.headers.append(dict(request.headers))
    state.ledger.sampling.append({n: body[n] for n in SAMPLING_FIELDS if n in body})
    if body["model"] != state.options.model:
        raise EngineError(404, f"model {body['model']} is not loaded")
    transfer = body.get("kv_transfer_params", {})
    if transfer.get("do_remote_decode"):
        return await _prefill_for_export(request, body)
    if transfer.get("do_remote_prefill"):
        sequence = await _import_cache(request.app, body, transfer)
    else:
        sequence = await _prefill_locally(state, body)
    return await _stream(request, sequence, 0)


async def _prefill_for_export(request: web.Request, body: dict[str, Any]) -> web.Response:
    state = request.app[STATE]
    prompt = body["prompt"]
    export, cached = await state.prefill(body["request_id"], prompt, body.get("priority", 0))
    transfer = {"remote_handle": export.handle, "pieces": export.pieces, "cached_pieces": cached}
    usage = {"prompt_tokens": count_tokens(prompt)}
    return web.json_response({"kv_transfer_params": transfer, "usage": usage})


async def _import_cache(
    app: web.Application, body: dict[str, Any], transfer: dict[str, Any]
) -> Sequence:
    state = app[STATE]
    request_id = body["request_id"]
    tokens = count_tokens(body["prompt"]) + body["max_tokens"]
    pieces = state.hold_for_import(request_id, tokens)
    try:
        url = transfer["remote_address"] + "/v1/kv/pull"
        handle = {"handle": transfer["remote_handle"]}
        async with app[SESSION].post(url, json=handle) as response:
            if response.status != 200:
                raise EngineError(424, "KV import failed: the cache is gone")
            context = (await response.json())["context"]
    except aiohttp.ClientError as exc:
        state.abort(request_id)
        raise EngineError(424, f"KV import failed: {exc!r}") from exc
    except EngineError:
        state.abort(request_id)
        raise
    if request_id not in state.memory.held:
        raise EngineError(409, "aborted")
    return state.decode(request_id, context, body["max_tokens"], body.get("priority", 0), pieces)


async def _prefill_locally(state: EngineState, body: dict[str, Any]) -> Sequence:
    request_id = body["request_id"]
    priority = body.get("priority", 0)
    export, _ = await state.prefill(request_id, body["prompt"], priority)
    state.memory.exports.pop(export.handle, None)
    tokens = count_tokens(body["prompt"]) + body["max_tokens"]
    pieces = state.memory.pieces_for(tokens)
    return state.decode(request_id, body["prompt"], body["max_tokens"], priority, pieces)


async def _stream(request: web.Request, sequence: Sequence, start: int) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    state = request.app[STATE]
    async for tokens in state.stream(sequence, start):
        while state.options.stall_streams:
            await asyncio.sleep(STALL_POLL_INTERVAL_S)
        await response.write(b"".join(_event(text, None) for text in tokens))
    if state.options.lose_ends > 0:
        state.options.lose_ends -= 1
        request.transport.abort()
        raise ConnectionResetError("fault injected")
    await response.write(_event("", "length") + b"data: [DONE]\n\n")
    await response.write_eof()
    return response


def _event(text: str, finish_reason: str | None) -> bytes:
    choice = {"index": 0, "text": text, "finish_reason": finish_reason}
    return b"data: " + orjson.dumps({"choices": [choice]}) + b"\n\n"


async def _resume(request: web.Request) -> web.StreamResponse:
    sequence = request.app[STATE].sequences.get(request.match_info["request_id"])
    if sequence is None:
        raise EngineError(404, "no such stream")
    return await _stream(request, sequence, int(request.query.get("from", "0")))


async def _abort(request: web.Request) -> web.Response:
    body = orjson.loads(await request.read())
    return web.json_response({"known": request.app[STATE].abort(body["request_id"])})


async def _pull(request: web.Request) -> web.Response:
    body = orjson.loads(await request.read())
    export = await request.app[STATE].pull(body["handle"])
    return web.json_response({"context": export.context})


async def _holdings(request: web.Request) -> web.Response:
    return web.json_response({"holdings": request.app[STATE].holdings()})


async def _load(request: web.Request) -> web.Response:
    return web.json_response(request.app[STATE].load())


async def _kv_events(request: web.Request) -> web.Response:
    events = request.app[STATE].memory.events_after(int(request.query.get("after", "0")))
    return web.json_response({"events": [attrs.asdict(event) for event in events]})


async def _orders(request: web.Request) -> web.Response:
    body = orjson.loads(await request.read())
    request.app[STATE].order(
        body["number"], body.get("role", ""), body.get("model", ""), body.get("version", "")
    )
    return web.json_response({})


async def _ledger(request: web.Request) -> web.Response:
    return web.json_response(attrs.asdict(request.app[STATE].ledger))


async def _control(request: web.Request) -> web.Response:
    body = await request.json()
    if body.pop("crash", False):
        request.app[STATE].crash()
    for name, value in body.items():
        setattr(request.app[STATE].options, name, value)
    return web.json_response({})
