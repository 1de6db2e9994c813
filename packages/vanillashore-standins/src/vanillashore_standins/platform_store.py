"""Stand-in for the platform's key-value store, with faults."""

import asyncio
import base64
from typing import Any

import attrs
import orjson
from aiohttp import web

PAGE_ITEMS = 5  # Small, so that tests read more than one page.


@attrs.define
class StoreFaults:
    """Faults to inject.

    ``status`` is returned by every call unless it is 0, ``is_silent`` leaves calls unanswered, and
    ``loses_answers`` runs a call but aborts the connection instead of answering.
    """

    status: int = 0
    is_silent: bool = False
    loses_answers: bool = False


@attrs.define
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int = 0


@attrs.frozen
class StoreCopy:
    """A copy of the store at one moment."""

    items: dict[str, _Item]
    revision: int
    events: list[dict[str, Any]]
    leases: set[int]
    last_lease: int


class PlatformStoreStandIn:
    """Stores items, leases and a history of changes; records the kind of each call.

    `restore` brings back an older copy, after which revisions and leases are given out again.
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.items: dict[str, _Item] = {}
        self.revision = 1
        self.calls: list[str] = []
        self._events: list[dict[str, Any]] = []
        self.era = 1
        self.is_away = False
        self._compacted_revision = 0
        self._leases: set[int] = set()
        self._last_lease = 999
        self._changed = asyncio.Event()

    def app(self) -> web.Application:
        """Return the application that serves the store."""
        app = web.Application()
        app.router.add_get("/-/kv-range", self._range)
        app.router.add_get("/-/kv-watch", self._watch)
        app.router.add_post("/-/kv-txn", self._txn)
        app.router.add_post("/-/kv-lease", self._grant_lease)
        app.router.add_post("/-/kv-keep/{lease}", self._renew_lease)
        app.router.add_delete("/-/kv-lease-end/{lease}", self._end_lease)
        app.middlewares.append(self._inject_faults)
        return app

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write a key; a value that is not bytes is written as JSON."""
        data = value if isinstance(value, bytes) else orjson.dumps(value)
        self.revision += 1
        created = self.items[key].created if key in self.items else self.revision
        self.items[key] = _Item(data, self.revision, created, lease)
        self._publish(self._row(key))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"key": key, "revision": self.revision, "deleted": True})

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self._leases.discard(lease)
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    def copy(self) -> StoreCopy:
        """Return a copy to go back to."""
        return StoreCopy(
            dict(self.items), self.revision, list(self._events), set(self._leases), self._last_lease
        )

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy: what was written since, leases included, is gone."""
        self.items, self._events = dict(copy.items), list(copy.events)
        self.revision = copy.revision
        self._leases, self._last_lease = set(copy.leases), copy.last_lease
        self.era += 1
        self._compacted_revision = min(self._compacted_revision, self.revision)
        self._notify_watches()

    def drop_history(self) -> None:
        """Drop the history of changes; watches after an older revision get status 410."""
        self._events.clear()
        self._compacted_revision = self.revision
        self._notify_watches()

    def _row(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def _publish(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        self.calls.append(request.path.removeprefix("/-/").partition("/")[0])
        era = self.era
        if self.is_away and request.transport is not None:
            request.transport.abort()
        if self.faults.is_silent:
            await asyncio.sleep(3_600)
        if self.faults.status:
            headers = {"Store-Era": str(self.era)}
            return web.json_response({}, status=self.faults.status, headers=headers)
        response = await handler(request)
        # The store was away meanwhile, and all connections were lost.
        if self.era != era and request.transport is not None:
            request.transport.abort()
        response.headers["Store-Era"] = str(self.era)
        if self.faults.loses_answers and request.transport is not None:
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
            if after < self._compacted_revision or after > self.revision:
                return web.json_response({}, status=410)
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return web.json_response({"events": events, "at": self.revision})
            try:
                async with asyncio.timeout(remaining_s):
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

    async def _grant_lease(self, request: web.Request) -> web.Response:
        lease = self._last_lease = self._last_lease + 1
        self._leases.add(lease)
        return web.json_response({"lease": lease, "ttl_ms": (await request.json())["ttl_ms"]})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        status = 200 if int(request.match_info["lease"]) in self._leases else 404
        return web.json_response({"ttl_ms": 1_000}, status=status)

    async def _end_lease(self, request: web.Request) -> web.Response:
        self.end_lease(int(request.match_info["lease"]))
        return web.json_response({})
