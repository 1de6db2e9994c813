"""Middleware for callers' requests: ids, limits, keys, refusals and the request log."""

import asyncio
import math
import re
import secrets
import time
import traceback
from typing import Any

import attrs
from aiohttp import web
from loguru import logger as log

from vanillashore_node._call_dispatch import VerifiedRefusalError
from vanillashore_node._config_revision import REQUEST_KEY_HASH
from vanillashore_node._core import NodeCore
from vanillashore_node._http_helpers import json_response, refusal_response
from vanillashore_node._metrics import METRICS_PATH, OTHER_ROUTE
from vanillashore_node._openai import error_body
from vanillashore_schema import WorkspaceConfig, hash_key
from vanillashore_wire import ErrorCode, RefusalError, Refused, WasExecuted

REQUEST_ID = web.RequestKey("request_id", str)
ECHOED_ID = web.RequestKey("echoed_id", str)
REQUEST_ID_HEADER = "X-Request-Id"
IDEMPOTENCY_HEADER = "Idempotency-Key"
API_PATHS = ("/v1/completions", "/v1/chat/completions", "/v1/models")
UNAVAILABLE_RETRY_S = 1.0
_REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,64}")
_INTERNAL_PATHS = ("/internal/", "/healthz", "/readyz", METRICS_PATH)


class CallerGuard:
    """Middleware of an entry for the requests of callers."""

    def __init__(self, core: NodeCore) -> None:
        self._core = core
        self._limits = core.cfg.limits

    @web.middleware
    async def guard(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Run a request and return every failure as an error in the format of the callers' API."""
        if request.path.startswith(_INTERNAL_PATHS):
            return await _handle_peer(request, handler)
        self._assign_id(request)
        started = time.monotonic()
        self._count_active(1)
        try:
            response = await self._handle(request, handler)
            await self._send(request, response)
        finally:
            self._count_active(-1)
        self._log(request, response.status, started)
        return response

    def _count_active(self, change: int) -> None:
        self._core.state.active += change
        self._core.metrics.record_active_change(change)

    async def _handle(self, request: web.Request, handler: Any) -> web.StreamResponse:
        try:
            self._check(request)
            await self._core.gate.admit(request)
            return await handler(request)
        except RefusalError as exc:
            return self._refuse(request, self._correct_ran(request, exc))
        except web.HTTPException as exc:
            return self._refuse(request, _refusal_of_http_exception(exc))
        except Exception:
            log.bind(request_id=request[REQUEST_ID], trace=traceback.format_exc()).error(
                "request handler failed"
            )
            text = "unexpected error; see the logs for this request id"
            return self._refuse(request, Refused(ErrorCode.INTERNAL, text, WasExecuted.UNKNOWN))

    async def _send(self, request: web.Request, response: web.StreamResponse) -> None:
        """Send the complete response, so that a shutdown waits until it has been sent."""
        if not response.prepared:
            response.headers[REQUEST_ID_HEADER] = request[ECHOED_ID]
            if not self._core.state.ready:
                response.force_close()
            await response.prepare(request)
        await response.write_eof()

    def _assign_id(self, request: web.Request) -> None:
        """Assign a unique id; the caller's id may repeat, so it is echoed and kept as an alias."""
        request_id = f"req-{secrets.token_hex(12)}"
        given = request.headers.get(REQUEST_ID_HEADER, "")
        is_usable = _REQUEST_ID_PATTERN.fullmatch(given) is not None
        request[REQUEST_ID] = request_id
        request[ECHOED_ID] = given if is_usable else request_id
        if is_usable:
            self._core.decisions.record_alias(given, request_id)

    def _check(self, request: web.Request) -> None:
        state = self._core.state
        if state.refusing:
            text = "this process is shutting down; the balancer routes retries to others"
            raise _unavailable(ErrorCode.SHUTTING_DOWN, text)
        if self._core.directory.revision == 0:
            raise _unavailable(ErrorCode.NOT_CONFIGURED, "this process has no configuration yet")
        self._core.config_follower.check_contact()
        if state.active > self._limits.concurrent_requests:
            raise _unavailable(ErrorCode.TOO_MANY_REQUESTS, "too many concurrent requests")
        self._check_sizes(request)

    def _check_sizes(self, request: web.Request) -> None:
        header_bytes = sum(len(name) + len(value) for name, value in request.raw_headers)
        if header_bytes > self._limits.header_bytes:
            text = f"more than {self._limits.header_bytes} bytes of headers"
            raise RefusalError(Refused(ErrorCode.HEADERS_TOO_LARGE, text))
        if (request.content_length or 0) > self._limits.body_bytes:
            raise self._body_too_large()

    def _body_too_large(self) -> RefusalError:
        text = f"the body has more than {self._limits.body_bytes} bytes"
        return RefusalError(Refused(ErrorCode.BODY_TOO_LARGE, text))

    def _correct_ran(self, request: web.Request, exc: RefusalError) -> Refused:
        """Set ``ran`` to unknown if an earlier request with the same key may have run the call.

        The value is kept if it was verified by the call's claim, which covers all requests with
        the key.
        """
        refused = exc.refused
        if isinstance(exc, VerifiedRefusalError) or IDEMPOTENCY_HEADER not in request.headers:
            return refused
        if self._core.directory.is_idempotent(request.method, request.path):
            return refused
        return attrs.evolve(refused, ran=WasExecuted.UNKNOWN)

    def _refuse(self, request: web.Request, refused: Refused) -> web.Response:
        response = json_response(error_body(refused, request[REQUEST_ID]), refused.code.status)
        if refused.retry_after_s is not None:
            response.headers["Retry-After"] = str(max(1, math.ceil(refused.retry_after_s)))
        log.bind(request_id=request[REQUEST_ID], code=refused.code.value).info("request refused")
        return response

    def _has_route(self, path: str) -> bool:
        return path in API_PATHS or self._core.directory.has_route(path)

    def _log(self, request: web.Request, status: int, started: float) -> None:
        duration_s = time.monotonic() - started
        route = request.path if self._has_route(request.path) else OTHER_ROUTE
        self._core.metrics.record_request(request.method, route, status, duration_s)
        log.bind(
            request_id=request[REQUEST_ID],
            path=request.path,
            status=status,
            duration_ms=round(duration_s * 1_000, 1),
            revision=self._core.directory.revision,
        ).info("request ended")


async def read_body(core: NodeCore, request: web.Request) -> bytes:
    """Read a request's body; raise RefusalError if it does not arrive in time."""
    timeout_s = core.cfg.limits.body_timeout_s
    try:
        async with asyncio.timeout(timeout_s):
            return await core.gate.read_body(request)
    except TimeoutError as exc:
        text = f"the body did not arrive within {timeout_s:g} s"
        raise RefusalError(Refused(ErrorCode.BODY_TIMEOUT, text)) from exc


def authenticate(core: NodeCore, request: web.Request) -> WorkspaceConfig:
    """Return the workspace of the request's key; raise RefusalError without a valid key."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        text = "send a key in the header Authorization: Bearer"
        raise RefusalError(Refused(ErrorCode.KEY_MISSING, text))
    key_hash = hash_key(key.strip())
    workspace = core.directory.workspace_of_key(key_hash)
    REQUEST_KEY_HASH.set(key_hash)
    if workspace is None:
        raise RefusalError(Refused(ErrorCode.KEY_INVALID, "the key is not valid"))
    core.config_follower.check_key(key_hash)
    return workspace


async def _handle_peer(request: web.Request, handler: Any) -> web.StreamResponse:
    try:
        return await handler(request)
    except RefusalError as exc:
        return refusal_response(exc.refused)


def _unavailable(code: ErrorCode, text: str) -> RefusalError:
    return RefusalError(Refused(code, text, retry_after_s=UNAVAILABLE_RETRY_S))


def _refusal_of_http_exception(exc: web.HTTPException) -> Refused:
    codes = {
        404: ErrorCode.ROUTE_UNKNOWN,
        405: ErrorCode.METHOD_NOT_ALLOWED,
        413: ErrorCode.BODY_TOO_LARGE,
    }
    return Refused(codes.get(exc.status, ErrorCode.BAD_REQUEST), exc.reason)
