"""A stand-in for the platform's key-value store, with faults."""

import asyncio
import base64
import itertools
from typing import Any

import attrs
import orjson
from aiohttp import web

PAGE_ITEMS = 5  # Small, so that tests read more than one page.


@attrs.define
class StoreFaults:
    """What goes wrong: ``loses_answers`` does what is asked and drops the connection."""

    status: int = 0
    is_silent: bool = False
    loses_answers: bool = False


@attrs.define
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int = 0


class PlatformStoreStandIn:
    """Keeps items, leases and a history of changes; counts calls by kind."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.items: dict[str, _Item] = {}
        self.revision = 1
        self.calls: list[str] = []
        self._events: list[dict[str, Any]] = []
        self._oldest = 0
        self._leases: set[int] = set()
        self._numbers = itertools.count(1_000)
        self._changed = asyncio.Event()

    def app(self) -> web.Application:
        """Return the application that serves the store."""
        app = web.Application()
        app.router.add_get("/-/kv-range", self._range)
        app.router.add_get("/-/kv-watch", self._watch)
        app.router.add_post("/-/kv-txn", self._txn)
        app.router.add_post("/-/kv-lease", self._lease)
        app.router.add_post("/-/kv-keep/{lease}", self._keep)
        app.router.add_delete("/-/kv-lease-end/{lease}", self._end)
        app.middlewares.append(self._fail)
        return app

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write a key; a value that is not bytes is written as JSON."""
        data = value if isinstance(value, bytes) else orjson.dumps(value)
        self.revision += 1
        created = self.items[key].created if key in self.items else self.revision
        self.items[key] = _Item(data, self.revision, created, lease)
        self._note(self._row(key))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def end_lease(self, lease: int) -> None:
        """Let a lease end, and its keys go."""
        self._leases.discard(lease)
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    def drop_history(self) -> None:
        """Forget all changes, and cut the watches."""
        self._events.clear()
        self._oldest = self.revision
        self._wake()

    def _row(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def _note(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _fail(self, request: web.Request, handler: Any) -> web.StreamResponse:
        self.calls.append(request.path.removeprefix("/-/").partition("/")[0])
        if self.faults.is_silent:
            await asyncio.sleep(3_600)
        if self.faults.status:
            return web.json_response({}, status=self.faults.status)
        response = await handler(request)
        if self.faults.loses_answers:
            request.transport.abort()
        return response

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query.get("path_prefix", ""), request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        rows = [self._row(key) for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return web.json_response({"items": rows, "has_more": has_more, "at": self.revision})

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query.get("path_prefix", ""), int(request.query["after"])
        deadline = asyncio.get_running_loop().time() + int(request.query["wait_ms"]) / 1_000
        while True:
            if after < self._oldest:
                return web.json_response({}, status=410)
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = deadline - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return web.json_response({"events": events, "at": self.revision})
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        for row in body["expected_rev"]:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return web.json_response({"items": []}, status=412)
        if any(row.get("lease") and row["lease"] not in self._leases for row in body["writes"]):
            return web.json_response({}, status=404)
        for row in body["writes"]:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        return web.json_response({"revision": self.revision})

    async def _lease(self, request: web.Request) -> web.Response:
        lease = next(self._numbers)
        self._leases.add(lease)
        return web.json_response({"lease": lease, "ttl_ms": (await request.json())["ttl_ms"]})

    async def _keep(self, request: web.Request) -> web.Response:
        status = 200 if int(request.match_info["lease"]) in self._leases else 404
        return web.json_response({"ttl_ms": 1_000}, status=status)

    async def _end(self, request: web.Request) -> web.Response:
        self.end_lease(int(request.match_info["lease"]))
        return web.json_response({})
