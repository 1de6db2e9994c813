"""The interface of a model engine, and its adapter for OpenAI-style HTTP with KV transfer."""

from collections.abc import AsyncIterator
from typing import Any, Protocol

import aiohttp
import attrs
import orjson

from vanillashore_wire import (
    DecodeOrder,
    ErrorCode,
    KvHandle,
    Load,
    PrefillDone,
    PrefillOrder,
    RefusalError,
    Refused,
    RouteClass,
    Sampling,
    WasExecuted,
)

CONNECT_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 600.0
PRIORITY_OF_CLASS = {RouteClass.INTERACTIVE: 0, RouteClass.BATCH: 10}
_DATA_PREFIX = b"data: "
_STREAM_END = b"[DONE]"
_FAILURES = (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError)


@attrs.frozen
class EngineToken:
    """One event of an engine's stream: a token's text, or the reason why the stream ended."""

    text: str
    finish_reason: str = ""


@attrs.frozen
class EngineOrder:
    """The role and weights for an engine.

    ``number`` is the configuration revision, which also serves as the fencing number.
    """

    number: int
    role: str
    model: str
    version: str
    adapters: tuple[str, ...] = ()

    def same_as(self, other: "EngineOrder") -> bool:
        """Whether both orders leave the engine in the same state."""
        return self.role == other.role and self.loads_same_as(other)

    def loads_same_as(self, other: "EngineOrder") -> bool:
        """Whether both need the same weights."""
        mine = (self.model, self.version, self.adapters)
        return mine == (other.model, other.version, other.adapters)


class Engine(Protocol):
    """The operations that a model engine must support; failures raise RefusalError."""

    async def prefill(self, order: PrefillOrder) -> PrefillDone:
        """Compute a prompt's KV cache and export it."""

    def decode(self, order: DecodeOrder) -> AsyncIterator[EngineToken]:
        """Import a KV cache and stream the answer."""

    async def abort(self, engine_request_id: str) -> None:
        """Cancel a request and free its memory."""

    async def holdings(self) -> dict[str, int]:
        """Return the number of KV cache pieces that each request holds."""

    async def order(self, order: EngineOrder) -> None:
        """Make the engine load and serve a model; return when it is loaded."""


def engine_request_id(request_id: str, attempt: int, phase: str) -> str:
    """Return the engine's request id for one phase of an attempt."""
    return f"{request_id}/{attempt}/{phase}"


class HttpEngine:
    """An `Engine` over HTTP at ``address``."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._address = address.rstrip("/")

    async def prefill(self, order: PrefillOrder) -> PrefillDone:
        """Compute a prompt's KV cache and export it."""
        body = {
            "request_id": engine_request_id(order.request_id, order.attempt, "prefill"),
            "model": order.model,
            "prompt": order.prompt,
            "max_tokens": 1,
            "priority": PRIORITY_OF_CLASS[order.route_class],
            "kv_transfer_params": {"do_remote_decode": True},
        }
        answer = await self._post_json("/v1/completions", body, order.deadline_s)
        try:
            transfer = answer["kv_transfer_params"]
            handle = KvHandle(self._address, transfer["remote_handle"], transfer["pieces"])
            tokens = answer["usage"]["prompt_tokens"]
            return PrefillDone(handle, tokens, transfer["cached_pieces"], Load())
        except KeyError as exc:
            raise _failed(f"the engine's answer lacks {exc}") from exc

    async def decode(self, order: DecodeOrder) -> AsyncIterator[EngineToken]:
        """Import a KV cache and stream the answer."""
        body = {
            "request_id": engine_request_id(order.request_id, order.attempt, "decode"),
            "model": order.model,
            "prompt": order.prompt,
            "max_tokens": order.max_tokens,
            "priority": PRIORITY_OF_CLASS[order.route_class],
            "stream": True,
            "kv_transfer_params": {
                "do_remote_prefill": True,
                "remote_address": order.kv.engine_address,
                "remote_handle": order.kv.handle,
            },
            **_sampling_fields(order.sampling),
        }
        timeout = aiohttp.ClientTimeout(total=order.deadline_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.post(
                self._address + "/v1/completions", data=orjson.dumps(body), timeout=timeout
            ) as response:
                if response.status != 200:
                    raise _failed(f"the engine answered {response.status}")
                async for line in response.content:
                    if not line.startswith(_DATA_PREFIX):
                        continue
                    data = line[len(_DATA_PREFIX) :].strip()
                    if data == _STREAM_END:
                        return
                    choice = orjson.loads(data)["choices"][0]
                    yield EngineToken(choice["text"], choice["finish_reason"] or "")
        except _FAILURES as exc:
            raise _failed(f"the engine's stream broke: {exc!r}") from exc
        raise _failed("the engine's stream ended early")

    async def abort(self, engine_request_id: str) -> None:
        """Cancel a request and free its memory."""
        await self._post_json("/v1/abort", {"request_id": engine_request_id}, CONNECT_TIMEOUT_S)

    async def holdings(self) -> dict[str, int]:
        """Return the number of KV cache pieces that each request holds."""
        url = self._address + "/v1/holdings"
        timeout = aiohttp.ClientTimeout(total=CONNECT_TIMEOUT_S)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                return orjson.loads(await response.read())["holdings"]
        except _FAILURES as exc:
            raise _failed(f"holdings cannot be read: {exc!r}") from exc

    async def order(self, order: EngineOrder) -> None:
        """Make the engine load and serve a model; return when it is loaded."""
        await self._post_json("/v1/orders", attrs.asdict(order), ORDER_TIMEOUT_S)

    async def _post_json(self, path: str, body: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.post(
                self._address + path, data=orjson.dumps(body), timeout=timeout
            ) as response:
                data = await response.read()
                if response.status != 200:
                    raise _failed(f"the engine answered {response.status} to {path}")
                return orjson.loads(data)
        except _FAILURES as exc:
            raise _failed(f"{path}: {exc!r}") from exc


def _sampling_fields(sampling: Sampling) -> dict[str, Any]:
    fields = attrs.asdict(sampling)
    return {name: value for name, value in fields.items() if value not in (None, ())}


def _failed(text: str) -> RefusalError:
    return RefusalError(Refused(ErrorCode.ENDPOINT_FAILED, text, WasExecuted.UNKNOWN))
