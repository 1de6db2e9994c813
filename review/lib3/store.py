"""Stand-in for the platform's store, with leases that expire and a history of changes."""

import asyncio
import base64
import copy
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lib3.http import Answer, Message, Server, json_answer

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


@dataclass
class _Item:
    value: str
    revision: int
    created: int
    lease: int


class Store:
    """Items, leases and watches as the platform's page describes them."""

    def __init__(self) -> None:
        self.items: dict[str, _Item] = {}
        self.revision = 100
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, float] = {}
        self.ttl_s: dict[int, float] = {}
        self._next_lease = 70_000
        self._changed = asyncio.Event()
        self.server = Server(self._handle)
        self.latency_s = 0.004
        # For how long a write is held back; its answer is lost then. ``None`` for usual writes.
        self.late_s: Callable[[dict[str, Any]], float | None] = lambda body: None
        self.log: list[tuple[float, str]] = []
        self._expiry: asyncio.Task[None] | None = None
        self.era = 1
        self.is_away = False

    async def start(self) -> str:
        """Serve on a loopback port."""
        self._expiry = asyncio.ensure_future(self._expire())
        return await self.server.start()

    def copy(self) -> tuple[Any, ...]:
        """Return a copy to go back to."""
        state = (self.items, self.revision, self.events, self.leases, self.ttl_s, self._next_lease)
        return copy.deepcopy(state)

    def go_away(self) -> None:
        """Lose all connections, and take no call until `restore`."""
        self.is_away = True
        for writer in list(self.server.writers):
            writer.transport.abort()

    def restore(self, state: tuple[Any, ...]) -> None:
        """Come back from a copy: what was written since is gone, and the era rises by one."""
        state = copy.deepcopy(state)
        self.items, self.revision, self.events = state[:3]
        self.leases, self.ttl_s, self._next_lease = state[3:]
        self.era += 1
        self.is_away = False
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write a key with a JSON value."""
        data = base64.b64encode(json.dumps(value, separators=(",", ":")).encode()).decode()
        return self._write(key, data, lease)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"key": key, "revision": self.revision, "deleted": True})

    def _write(self, key: str, value: str, lease: int) -> int:
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        self.items[key] = _Item(value, self.revision, created, lease)
        self._publish(self._row(key))
        return self.revision

    def _row(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        row = {"key": key, "value": item.value, "revision": item.revision}
        return row | {"created": item.created, "lease": item.lease}

    def _publish(self, event: dict[str, Any]) -> None:
        self.log.append((asyncio.get_running_loop().time(), event["key"]))
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = asyncio.get_running_loop().time()
            for lease in [n for n, until in self.leases.items() if until <= now]:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease, and remove its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    async def _handle(self, message: Message, writer: asyncio.StreamWriter) -> Answer | None:
        await asyncio.sleep(self.latency_s)
        era = self.era
        answer = None if self.is_away else await self._answer(message)
        if answer is None or self.is_away or self.era != era:
            writer.transport.abort()
            return None
        answer.headers["Store-Era"] = str(self.era)
        return answer

    async def _answer(self, message: Message) -> Answer:
        path, query = message.path, message.query
        body = json.loads(message.body) if message.body else {}
        now = asyncio.get_running_loop().time()
        if path == "/-/kv-range":
            return self._range(query)
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-txn":
            late_s = self.late_s(body)
            if late_s is not None:
                asyncio.get_running_loop().call_later(late_s, self._txn, body)
                await asyncio.sleep(3_600)
            return self._txn(body)
        if path == "/-/kv-lease":
            self._next_lease += 1
            lease, ttl_ms = self._next_lease, max(1_000, int(body["ttl_ms"]))
            self.ttl_s[lease] = ttl_ms / 1_000
            self.leases[lease] = now + ttl_ms / 1_000
            return json_answer({"lease": lease, "ttl_ms": ttl_ms})
        name, _, number = path.removeprefix("/-/").partition("/")
        if name == "kv-keep":
            if int(number) not in self.leases:
                return json_answer({}, 404)
            self.leases[int(number)] = now + self.ttl_s[int(number)]
            return json_answer({"ttl_ms": int(self.ttl_s[int(number)] * 1_000)})
        if name == "kv-lease-end":
            self.end_lease(int(number))
            return json_answer({})
        if path == "/-/kv-key":
            key = query.get("key", "")
            if key not in self.items:
                return json_answer({"at": self.revision}, 404)
            return json_answer(self._row(key) | {"at": self.revision})
        return json_answer({}, 404)

    def _range(self, query: dict[str, str]) -> Answer:
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        rows, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            row = self._row(key)
            size += len(row["value"]) + 100
            if rows and size > PAGE_BYTES:
                break
            rows.append(row)
        has_more = len(rows) < len(keys)
        return json_answer({"items": rows, "has_more": has_more, "at": self.revision})

    async def _watch(self, query: dict[str, str]) -> Answer:
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        loop = asyncio.get_running_loop()
        until = loop.time() + min(30_000, int(query.get("wait_ms", 0))) / 1_000
        while True:
            if after > self.revision:
                return json_answer({}, 410)
            events = [
                e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left_s = until - loop.time()
            if events or left_s <= 0:
                return json_answer({"events": events, "at": self.revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _txn(self, body: dict[str, Any]) -> Answer:
        expected = body.get("expected_rev", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                known = [self._row(r["key"]) for r in expected if r["key"] in self.items]
                return json_answer({"items": known}, 412)
        writes = body.get("writes", [])
        if any(row.get("lease") and row["lease"] not in self.leases for row in writes):
            return json_answer({}, 404)
        for row in writes:
            self._write(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return json_answer({"revision": self.revision})
