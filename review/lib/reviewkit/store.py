"""Stand-in of the platform's store, without faults of its own."""

import asyncio
import base64
import contextlib
import json
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from reviewkit.wire import Message, json_answer, read_message

PAGE_ITEMS = 500
SWEEP_S = 0.05


class Store:
    """Items, leases and a history of changes."""

    def __init__(self) -> None:
        self.address = ""
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 100
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self._tasks.append(asyncio.create_task(self._sweep()))

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write a JSON value as the operator or a replica does; return the revision."""
        return self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), lease)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._publish({"key": key, "revision": self._revision, "deleted": True})

    def keys(self, prefix: str) -> list[str]:
        """Return the keys that begin with a prefix."""
        return [key for key in self._items if key.startswith(prefix)]

    def _put(self, key: str, value: str, lease: int) -> int:
        self._revision += 1
        created = self._items[key]["created"] if key in self._items else self._revision
        self._items[key] = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": created,
            "lease": lease,
        }
        self._publish(dict(self._items[key]))
        return self._revision

    def _publish(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            now = time.monotonic()
            for lease in [k for k, (_, ends) in self._leases.items() if ends <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, item in self._items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                request = await read_message(reader)
                status, body = await self._handle(request)
                writer.write(json_answer(status, body, {"Store-Era": "1"}))
                await writer.drain()
        writer.close()

    async def _handle(self, request: Message) -> tuple[int, dict[str, Any]]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        name, _, argument = url.path.removeprefix("/-/").partition("/")
        body = json.loads(request.body) if request.body else {}
        match name:
            case "kv-key":
                item = self._items.get(query["key"])
                found = {"at": self._revision, **(item or {})}
                return (200 if item else 404), found
            case "kv-range":
                return self._range(query)
            case "kv-watch":
                return await self._watch(query)
            case "kv-txn":
                return self._txn(body)
            case "kv-lease":
                self._last_lease += 1
                ttl_s = body["ttl_ms"] / 1_000
                self._leases[self._last_lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {"lease": self._last_lease, "ttl_ms": body["ttl_ms"]}
            case "kv-keep":
                known = self._leases.get(int(unquote(argument)))
                if known is None:
                    return 404, {}
                self._leases[int(argument)] = (known[0], time.monotonic() + known[0])
                return 200, {"ttl_ms": int(known[0] * 1_000)}
            case "kv-lease-end":
                self._end_lease(int(unquote(argument)))
                return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        items = [self._items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"items": items, "has_more": more, "at": self._revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1_000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self._revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()

    def _txn(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body.get("expected_rev", []):
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        writes = body.get("writes", [])
        if any(w.get("lease") and w["lease"] not in self._leases for w in writes):
            return 404, {}
        for row in writes:
            self._put(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self._revision}
