"""Calls at a sidecar whose endpoint is a plain service."""

import base64

import aiohttp
from aiohttp import web

from vanillashore_node._claim_updater import ClaimUpdater
from vanillashore_node._claims import ClaimedCalls
from vanillashore_node._core import NodeCore
from vanillashore_node._http_helpers import message_response
from vanillashore_node._service_answers import ServiceResponse
from vanillashore_node._sidecar_engine import read_order
from vanillashore_store import ClaimStore
from vanillashore_wire import (
    CallDone,
    CallOrder,
    ClaimStatusRequest,
    ErrorCode,
    Header,
    RefusalError,
    Refused,
    WasExecuted,
)

CONNECT_TIMEOUT_S = 2.0
FORWARDED_HEADERS = frozenset({"content-type", "content-language", "location"})


class _BrokenExchangeError(aiohttp.ClientError):
    """The connection was lost after the request was sent, and before the head of its answer."""


async def _send_once(
    req: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Let a lost connection end the call: aiohttp repeats requests of some methods after that."""
    try:
        return await send(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise _BrokenExchangeError(repr(exc)) from exc


class ServiceCallHandler:
    """Runs calls on the service, under a claim unless they are idempotent."""

    def __init__(self, core: NodeCore, address: str) -> None:
        self._core = core
        self.address = address.rstrip("/")
        self._session = aiohttp.ClientSession(
            connector=core.session.connector,
            connector_owner=False,
            response_class=ServiceResponse,
        )
        self.claimed = ClaimedCalls(core, ClaimUpdater(ClaimStore(core.store)), self._run)
        core.hub.on(ClaimStatusRequest, self.claimed.status)

    async def call(self, request: web.Request) -> web.Response:
        """Handle ``POST /internal/call``."""
        order = await read_order(request, CallOrder)
        self._core.decisions.record(order.request_id, "call", f"attempt {order.attempt}")
        run_call = self._run if order.idempotent else self.claimed.run
        return message_response(await run_call(order))

    async def _run(self, order: CallOrder) -> CallDone:
        timeout = aiohttp.ClientTimeout(total=order.deadline_s, sock_connect=CONNECT_TIMEOUT_S)
        headers = [(header.name, header.value) for header in order.headers]
        data = base64.b64decode(order.body_base64)
        try:
            async with self._session.request(
                order.method,
                self.address + order.path,
                headers=headers,
                data=data,
                timeout=timeout,
                allow_redirects=False,
                middlewares=() if order.idempotent else (_send_once,),
            ) as response:
                body = await response.read_whole(len(data))
                return CallDone(
                    response.status,
                    _forwarded_headers(response),
                    base64.b64encode(body).decode(),
                    self._core.cfg.node.name,
                )
        except aiohttp.ClientConnectorError as exc:
            text = f"the service cannot be reached: {exc!r}"
            raise RefusalError(Refused(ErrorCode.ENDPOINT_FAILED, text, WasExecuted.NO)) from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            text = f"the service did not answer: {exc!r}"
            raise RefusalError(
                Refused(ErrorCode.OUTCOME_UNKNOWN, text, WasExecuted.UNKNOWN)
            ) from exc


def _forwarded_headers(response: aiohttp.ClientResponse) -> tuple[Header, ...]:
    return tuple(
        Header(name, value)
        for name, value in response.headers.items()
        if name.lower() in FORWARDED_HEADERS
    )
