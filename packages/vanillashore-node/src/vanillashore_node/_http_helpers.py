"""Helpers of HTTP handlers: JSON responses, refusals and the check of the fleet secret."""

import hmac
from typing import Any

import orjson
from aiohttp import web

from vanillashore_node._link import FLEET_HEADER
from vanillashore_wire import ErrorCode, RefusalError, Refused, encode

JSON_TYPE = "application/json"


def json_response(body: Any, status: int = 200) -> web.Response:
    """Build a response with plain JSON data."""
    return web.Response(body=orjson.dumps(body), status=status, content_type=JSON_TYPE)


def message_response(message: object) -> web.Response:
    """Build a response to a peer with one typed message."""
    return web.Response(body=encode(message), content_type=JSON_TYPE)


def refusal_response(refused: Refused) -> web.Response:
    """Build a response to a peer with a refusal, whose status is that of its error code."""
    body = encode(refused)
    return web.Response(body=body, status=refused.code.status, content_type=JSON_TYPE)


def require_fleet_secret(request: web.Request, secret: str) -> None:
    """Raise RefusalError unless the request comes from a process of the fleet."""
    given = request.headers.get(FLEET_HEADER, "")
    if not hmac.compare_digest(given.encode(), secret.encode()):
        text = "the fleet secret is missing or wrong"
        raise RefusalError(Refused(ErrorCode.FLEET_SECRET_INVALID, text))
