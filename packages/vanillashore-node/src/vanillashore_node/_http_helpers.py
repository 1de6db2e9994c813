"""What all HTTP faces of a process share: refusals as JSON and the check of the fleet secret."""

import hmac
from typing import Any

import orjson
from aiohttp import web

from vanillashore_node._link import FLEET_HEADER
from vanillashore_wire import ErrorCode, RefusalError, Refused, encode

JSON_TYPE = "application/json"


def json_response(body: Any, status: int = 200) -> web.Response:
    """Answer with plain JSON data."""
    return web.Response(body=orjson.dumps(body), status=status, content_type=JSON_TYPE)


def message_response(message: object) -> web.Response:
    """Answer a peer with one typed message."""
    return web.Response(body=encode(message), content_type=JSON_TYPE)


def refusal_response(refused: Refused) -> web.Response:
    """Answer a peer with a refusal; the status tells it apart from a result."""
    body = encode(refused)
    return web.Response(body=body, status=refused.code.status, content_type=JSON_TYPE)


def require_fleet_secret(request: web.Request, secret: str) -> None:
    """Raise RefusalError unless the request comes from a process of the fleet."""
    given = request.headers.get(FLEET_HEADER, "")
    if not hmac.compare_digest(given.encode(), secret.encode()):
        text = "the fleet secret is missing or wrong"
        raise RefusalError(Refused(ErrorCode.FLEET_SECRET_INVALID, text))
