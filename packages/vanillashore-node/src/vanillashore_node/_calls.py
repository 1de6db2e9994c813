"""Handler of the routes to plain services."""

import base64
import secrets

from aiohttp import web

from vanillashore_node._admission import Admission
from vanillashore_node._call_dispatch import CallDispatch
from vanillashore_node._callers import IDEMPOTENCY_HEADER, REQUEST_ID, authenticate, read_body
from vanillashore_node._core import NodeCore
from vanillashore_schema import RouteConfig
from vanillashore_wire import CallDone, CallOrder, Header

ENDPOINT_HEADER = "X-Endpoint"
REPLAYED_HEADER = "Idempotency-Replayed"
OPEN_WORKSPACE = ""
FORWARDED_HEADERS = frozenset({"accept", "accept-language", "content-type"})


class Calls:
    """Serves calls to plain services."""

    def __init__(self, core: NodeCore, admission: Admission, dispatch: CallDispatch) -> None:
        self._core = core
        self._admission = admission
        self._dispatch = dispatch

    async def call(self, request: web.Request) -> web.Response:
        """Handle a call on any path that has a configured route."""
        route = self._core.directory.route(request.method, request.path)
        self._check_key(request, route)
        body = await read_body(self._core, request)
        workspace = OPEN_WORKSPACE
        if not route.open:
            caller = authenticate(self._core, request)
            await self._admission.admit(caller, route.cost_tokens, route.route_class)
            workspace = caller.name
        order = self._order(request, route, workspace, body)
        call = self._dispatch.run(order, route)
        return _response(await self._core.burn.watch_call(route, workspace, call))

    def _check_key(self, request: web.Request, route: RouteConfig) -> None:
        if not route.open:
            authenticate(self._core, request)

    def _order(
        self, request: web.Request, route: RouteConfig, workspace: str, body: bytes
    ) -> CallOrder:
        headers = tuple(
            Header(name, value)
            for name, value in request.headers.items()
            if name.lower() in FORWARDED_HEADERS
        )
        return CallOrder(
            request[REQUEST_ID],
            1,
            workspace,
            route.service,
            request.method,
            request.path_qs,
            headers,
            base64.b64encode(body).decode(),
            route.idempotent,
            request.headers.get(IDEMPOTENCY_HEADER, ""),
            route.route_class,
            self._core.cfg.limits.request_timeout_s,
            self._core.directory.revision,
            secrets.token_hex(12),
        )


def _response(done: CallDone) -> web.Response:
    response = web.Response(status=done.status, body=base64.b64decode(done.body_base64))
    for header in done.headers:
        response.headers[header.name] = header.value
    response.headers[ENDPOINT_HEADER] = done.endpoint
    if done.replayed:
        response.headers[REPLAYED_HEADER] = "true"
    return response
