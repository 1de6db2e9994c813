"""Stand-in for the platform's VM list, which publishes changes after a delay."""

import hashlib
import time
from collections.abc import Callable
from typing import Any

import attrs
import orjson
from aiohttp import web

from vanillashore_standins._exchange_bytes import exchange_bytes

ETAG_HEX_CHARS = 16
STATE: web.AppKey["VmListState"] = web.AppKey("state")


@attrs.define
class _Change:
    visible_at: float
    name: str
    entry: dict[str, Any] | None


class VmListState:
    """The VM list; each change becomes visible ``lag_s`` seconds after it was made."""

    def __init__(self, lag_s: float = 0.0, clock: Callable[[], float] = time.monotonic) -> None:
        self.lag_s = lag_s
        self._clock = clock
        self._pending: list[_Change] = []
        self.traffic_bytes = 0
        self._visible: dict[str, dict[str, Any]] = {}

    def put(self, entry: dict[str, Any]) -> None:
        """Add or replace a VM; ``entry`` has name, address, data_centre, kind and state."""
        self._pending.append(_Change(self._clock() + self.lag_s, entry["name"], entry))

    def remove(self, name: str) -> None:
        """Remove a VM."""
        self._pending.append(_Change(self._clock() + self.lag_s, name, None))

    def visible(self) -> list[dict[str, Any]]:
        """Return the entries that clients can see now."""
        now = self._clock()
        while self._pending and self._pending[0].visible_at <= now:
            change = self._pending.pop(0)
            if change.entry is None:
                self._visible.pop(change.name, None)
            else:
                self._visible[change.name] = change.entry
        return list(self._visible.values())


def vm_list_app(state: VmListState) -> web.Application:
    """Build the application: ``GET /v1/vms``, and ``POST`` or ``DELETE`` to change the list."""
    app = web.Application()
    app[STATE] = state
    app.router.add_get("/v1/vms", _get)
    app.router.add_post("/v1/vms", _post)
    app.router.add_delete("/v1/vms/{name}", _delete)
    return app


async def _get(request: web.Request) -> web.Response:
    state = request.app[STATE]
    body = orjson.dumps({"vms": state.visible()})
    etag = f'"{hashlib.sha256(body).hexdigest()[:ETAG_HEX_CHARS]}"'
    if request.headers.get("If-None-Match") == etag:
        response = web.Response(status=304, headers={"ETag": etag})
    else:
        response = web.Response(body=body, content_type="application/json", headers={"ETag": etag})
    state.traffic_bytes += exchange_bytes(request, response)
    return response


async def _post(request: web.Request) -> web.Response:
    for entry in (await request.json())["vms"]:
        request.app[STATE].put(entry)
    return web.json_response({})


async def _delete(request: web.Request) -> web.Response:
    request.app[STATE].remove(request.match_info["name"])
    return web.json_response({})
