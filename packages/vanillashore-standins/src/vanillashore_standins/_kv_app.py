"""HTTP interface of the key-value stand-in: the etcd v3 JSON protocol and fault controls."""

import asyncio
import base64
from typing import Any

import attrs
import orjson
from aiohttp import web

from vanillashore_standins._exchange_bytes import exchange_bytes
from vanillashore_standins._kv_state import KvItem, KvState

STATE = web.AppKey("state", KvState)
FAULTS: web.AppKey["KvFaults"] = web.AppKey("faults")
OUTAGE_POLL_INTERVAL_S = 0.05
TXN_PATH = "/v3/kv/txn"


@attrs.define
class KvFaults:
    """Faults to inject, set by a test or with ``POST /control``.

    ``down`` closes every call and watch; ``delay_s`` delays each call. ``lose_answers`` is the
    number of writes whose response is lost after the write took effect; only keys that start with
    ``lose_prefix`` count.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_prefix: str = ""


def kv_app(state: KvState, faults: KvFaults | None = None) -> web.Application:
    """Build the application."""
    app = web.Application(client_max_size=4_000_000, middlewares=[_inject_faults])
    app[STATE] = state
    app[FAULTS] = faults or KvFaults()
    app.router.add_post("/v3/kv/range", _range)
    app.router.add_post(TXN_PATH, _txn)
    app.router.add_post("/v3/lease/grant", _lease_grant)
    app.router.add_post("/v3/lease/keepalive", _lease_keepalive)
    app.router.add_post("/v3/watch", _watch)
    app.router.add_get("/stats", _stats)
    app.router.add_post("/control", _control)
    return app


@web.middleware
async def _inject_faults(request: web.Request, handler: Any) -> web.StreamResponse:
    if request.path in ("/stats", "/control"):
        return await handler(request)
    faults = request.app[FAULTS]
    request.app[STATE].calls[request.path] += 1
    key = await _written_key(request)
    if key:
        request.app[STATE].write_requests[key] += 1
    if faults.delay_s:
        await asyncio.sleep(faults.delay_s)
    if faults.down:
        raise _abort_connection(request)
    response = await handler(request)
    request.app[STATE].traffic_bytes += exchange_bytes(request, response)
    if key and key.startswith(faults.lose_prefix) and faults.lose_answers > 0:
        faults.lose_answers -= 1
        raise _abort_connection(request)
    return response


async def _written_key(request: web.Request) -> str:
    if request.path != TXN_PATH:
        return ""
    body = orjson.loads(await request.read())
    return _decode_base64(body["compare"][0]["key"]).decode()


def _abort_connection(request: web.Request) -> Exception:
    if request.transport is not None:
        request.transport.abort()
    return ConnectionResetError("fault injected")


def _decode_base64(text: str) -> bytes:
    return base64.b64decode(text)


def _encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _encode_item(key: str, item: KvItem) -> dict[str, str]:
    return {
        "key": _encode_base64(key.encode()),
        "value": _encode_base64(item.value),
        "mod_revision": str(item.version),
        "lease": str(item.lease),
    }


def _encode_items(key: str, item: KvItem | None) -> list[dict[str, str]]:
    return [_encode_item(key, item)] if item else []


def _json_response(body: dict[str, Any]) -> web.Response:
    return web.Response(body=orjson.dumps(body), content_type="application/json")


async def _range(request: web.Request) -> web.Response:
    state = request.app[STATE]
    body = orjson.loads(await request.read())
    key = _decode_base64(body["key"]).decode()
    state.read_requests[key] += 1
    return _json_response({"header": _header(state), "kvs": _encode_items(key, state.get(key))})


async def _txn(request: web.Request) -> web.Response:
    state = request.app[STATE]
    body = orjson.loads(await request.read())
    compare = body["compare"][0]
    put = body["success"][0]["request_put"]
    key = _decode_base64(put["key"]).decode()
    expected = int(compare["mod_revision"])
    try:
        applied = state.compare_and_swap(
            key, expected, _decode_base64(put["value"]), int(put["lease"])
        )
    except ValueError as exc:
        return web.json_response({"error": str(exc)}, status=400)
    found = {"response_range": {"kvs": _encode_items(key, state.get(key))}}
    responses = [{"response_put": {}}] if applied else [found]
    return _json_response({"header": _header(state), "succeeded": applied, "responses": responses})


async def _lease_grant(request: web.Request) -> web.Response:
    body = orjson.loads(await request.read())
    lease = request.app[STATE].grant_lease(float(body["TTL"]))
    return _json_response({"ID": str(lease), "TTL": body["TTL"]})


async def _lease_keepalive(request: web.Request) -> web.Response:
    body = orjson.loads(await request.read())
    ttl_s = request.app[STATE].renew_lease(int(body["ID"]))
    return _json_response({"result": {"ID": body["ID"], "TTL": str(int(ttl_s))}})


async def _watch(request: web.Request) -> web.StreamResponse:
    state = request.app[STATE]
    create = orjson.loads(await request.read())["create_request"]
    key = _decode_base64(create["key"]).decode()
    queue = state.subscribe(key)
    response = web.StreamResponse()
    try:
        await response.prepare(request)
        await response.write(orjson.dumps({"result": {"created": True}}) + b"\n")
        current = state.get(key)
        if current and current.version >= int(create.get("start_revision", "0")):
            queue.put_nowait(current)
        while not request.app[FAULTS].down and _is_open(request):
            await _send_next_event(response, key, queue)
    finally:
        state.unsubscribe(key, queue)
    raise _abort_connection(request)


def _is_open(request: web.Request) -> bool:
    return request.transport is not None and not request.transport.is_closing()


async def _send_next_event(
    response: web.StreamResponse, key: str, queue: asyncio.Queue[KvItem]
) -> None:
    try:
        async with asyncio.timeout(OUTAGE_POLL_INTERVAL_S):
            item = await queue.get()
    except TimeoutError:
        return
    events = [{"type": "PUT", "kv": _encode_item(key, item)}]
    line = orjson.dumps({"result": {"events": events}}) + b"\n"
    await response.write(line)


async def _stats(request: web.Request) -> web.Response:
    return web.json_response(dict(request.app[STATE].calls))


async def _control(request: web.Request) -> web.Response:
    for name, value in (await request.json()).items():
        setattr(request.app[FAULTS], name, value)
    return web.json_response({})


def _header(state: KvState) -> dict[str, str]:
    return {"revision": str(state.revision)}
