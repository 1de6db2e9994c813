"""Adapter for key-value services that speak the etcd v3 JSON protocol over HTTP."""

import base64
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import orjson

from vanillashore_store._store import CasResult, StoredValue, StoreUnavailableError

_FAILURES = (aiohttp.ClientError, TimeoutError, OSError)


class EtcdStore:
    """A `KeyValueStore` over ``/v3/kv``, ``/v3/lease`` and ``/v3/watch``.

    The version of a value is its ``mod_revision``. ``timeout_s`` limits each call except a watch.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str, timeout_s: float) -> None:
        self._session = session
        self._address = address.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``, or ``None`` if it is absent."""
        answer = await self._call("/v3/kv/range", {"key": _b64(key.encode())})
        return _first_value(answer.get("kvs"))

    async def compare_and_swap(
        self, key: str, expected_version: int, value: bytes, lease: int = 0
    ) -> CasResult:
        """Write ``value`` if the version of ``key`` is ``expected_version`` (0: absent)."""
        encoded = _b64(key.encode())
        body = {
            "compare": [
                {
                    "key": encoded,
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(expected_version),
                }
            ],
            "success": [
                {"request_put": {"key": encoded, "value": _b64(value), "lease": str(lease)}}
            ],
            "failure": [{"request_range": {"key": encoded}}],
        }
        answer = await self._call("/v3/kv/txn", body)
        if answer.get("succeeded"):
            version = int(answer["header"]["revision"])
            return CasResult(True, StoredValue(value, version))
        found = answer["responses"][0]["response_range"].get("kvs")
        return CasResult(False, _first_value(found))

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease of ``ttl_s`` seconds and return its id."""
        answer = await self._call("/v3/lease/grant", {"TTL": str(ttl_s)})
        return int(answer["ID"])

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it was still valid."""
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        return int(answer["result"].get("TTL", "0")) > 0

    async def watch(self, key: str, after_version: int) -> AsyncIterator[StoredValue]:
        """Yield values of ``key`` with versions above ``after_version`` as they are written."""
        request = {
            "create_request": {
                "key": _b64(key.encode()),
                "start_revision": str(after_version + 1),
            }
        }
        try:
            async with self._session.post(
                self._address + "/v3/watch",
                data=orjson.dumps(request),
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=self._timeout.total),
            ) as response:
                response.raise_for_status()
                async for line in response.content:
                    for event in orjson.loads(line)["result"].get("events", ()):
                        yield _value_of(event["kv"])
        except _FAILURES as exc:
            raise StoreUnavailableError(f"watch ended: {exc!r}") from exc

    async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        try:
            async with self._session.post(
                self._address + path, data=orjson.dumps(body), timeout=self._timeout
            ) as response:
                response.raise_for_status()
                return orjson.loads(await response.read())
        except _FAILURES as exc:
            raise StoreUnavailableError(f"{path}: {exc!r}") from exc


def _b64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _value_of(kv: dict[str, str]) -> StoredValue:
    return StoredValue(base64.b64decode(kv.get("value", "")), int(kv["mod_revision"]))


def _first_value(kvs: list[dict[str, str]] | None) -> StoredValue | None:
    return _value_of(kvs[0]) if kvs else None
