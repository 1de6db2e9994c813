"""Stand-in for a plain service: it records the calls that it ran and answers with an echo."""

import asyncio
import base64
import time
from typing import Any

import attrs
from aiohttp import web

STATE: web.AppKey["ServiceState"] = web.AppKey("state")


@attrs.define
class ServiceOptions:
    """Delay and faults of the service.

    ``lose_answers``, ``fail_before_run`` and ``fail_after_run`` are the numbers of calls that are
    still to be affected; those that fail after they ran have ``fail_status``.
    """

    name: str = "service"
    delay_s: float = 0.0
    lose_answers: int = 0
    fail_before_run: int = 0
    fail_after_run: int = 0
    fail_status: int = 503


@attrs.define
class ServiceRun:
    """One call that was run, with the request as received and its monotonic time."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    at: float = attrs.Factory(time.monotonic)


class ServiceState:
    """Options of the service and the calls that it ran."""

    def __init__(self, options: ServiceOptions | None = None) -> None:
        self.options = options or ServiceOptions()
        self.runs: list[ServiceRun] = []

    def runs_of(self, path: str, body: bytes) -> int:
        """Return how many times this call was run."""
        return sum(run.path == path and run.body == body for run in self.runs)


def service_app(state: ServiceState) -> web.Application:
    """Build the application.

    ``GET /ledger`` lists the runs and ``POST /control`` sets options; any other request is run.
    """
    app = web.Application(client_max_size=16_000_000)
    app[STATE] = state
    app.router.add_get("/ledger", _ledger)
    app.router.add_post("/control", _control)
    app.router.add_route("*", "/{path:.*}", _run)
    return app


async def _run(request: web.Request) -> web.Response:
    state = request.app[STATE]
    options = state.options
    body = await request.read()
    if options.fail_before_run > 0:
        options.fail_before_run -= 1
        return web.json_response({"error": "not now"}, status=503)
    run = ServiceRun(request.method, request.path, dict(request.headers), body)
    state.runs.append(run)
    number = len(state.runs)
    if options.delay_s:
        await asyncio.sleep(options.delay_s)
    if options.lose_answers > 0:
        options.lose_answers -= 1
        request.transport.abort()
        raise ConnectionResetError("fault injected")
    if options.fail_after_run > 0:
        options.fail_after_run -= 1
        return web.json_response({"error": {"message": "failed"}}, status=options.fail_status)
    echo = body.decode(errors="replace")
    return web.json_response({"service": options.name, "run": number, "echo": echo})


async def _ledger(request: web.Request) -> web.Response:
    return web.json_response({"runs": [_run_to_json(run) for run in request.app[STATE].runs]})


def _run_to_json(run: ServiceRun) -> dict[str, Any]:
    return attrs.asdict(run) | {"body": base64.b64encode(run.body).decode()}


async def _control(request: web.Request) -> web.Response:
    for name, value in (await request.json()).items():
        setattr(request.app[STATE].options, name, value)
    return web.json_response({})
