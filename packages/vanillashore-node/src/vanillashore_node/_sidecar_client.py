"""HTTP client of an entry for the sidecars."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Any, TypeVar

import aiohttp

from vanillashore_node._link import FLEET_HEADER, unreachable
from vanillashore_schema import NodeSettings
from vanillashore_wire import (
    CallDone,
    CallOrder,
    DecodeOrder,
    Frame,
    FrameSplitter,
    PrefillDone,
    PrefillOrder,
    RefusalError,
    Refused,
    decode,
    encode,
)

T = TypeVar("T")

CONNECT_TIMEOUT_S = 2.0
REVISION_HEADER = "X-Config-Revision"
_FAILURES = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


class SidecarClient:
    """Sends orders to sidecars; every failure raises RefusalError.

    Decode streams use HTTP/1.0, whose bodies end with the connection: in a chunked body, parsing
    a chunk costs the reader more than parsing the frame in it.
    """

    def __init__(self, session: aiohttp.ClientSession, cfg: NodeSettings) -> None:
        self._session = session
        self._stream_session = aiohttp.ClientSession(
            connector=session.connector,
            connector_owner=False,
            version=aiohttp.HttpVersion10,
            auto_decompress=False,
        )
        self._headers = {FLEET_HEADER: cfg.node.fleet_secret}

    async def prefill(self, address: str, order: PrefillOrder) -> PrefillDone:
        """Run a prefill."""
        return await self._ask(address + "/internal/prefill", order, order.deadline_s, PrefillDone)

    async def call(self, address: str, order: CallOrder) -> CallDone:
        """Run a call to a plain service."""
        return await self._ask(address + "/internal/call", order, order.deadline_s, CallDone)

    async def decode(self, address: str, order: DecodeOrder) -> AsyncIterator[list[Frame]]:
        """Stream the frames of an answer as they arrive."""
        url = address + "/internal/decode"
        try:
            async with self._post(self._stream_session, url, order, order.deadline_s) as response:
                if response.status != 200:
                    raise RefusalError(decode(await response.read(), Refused))
                splitter = FrameSplitter()
                async for data in response.content.iter_any():
                    frames = splitter.feed(data)
                    if frames:
                        yield frames
        except _FAILURES as exc:
            raise unreachable(address, f"the decode stream failed: {exc!r}") from exc

    async def _ask(self, url: str, order: object, deadline_s: float, cls: type[T]) -> T:
        try:
            async with self._post(self._session, url, order, deadline_s) as response:
                data = await response.read()
                if response.status != 200:
                    raise RefusalError(decode(data, Refused))
                return decode(data, cls)
        except _FAILURES as exc:
            raise unreachable(url, f"no answer: {exc!r}") from exc

    def _post(
        self, session: aiohttp.ClientSession, url: str, order: Any, deadline_s: float
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        timeout = aiohttp.ClientTimeout(total=deadline_s, sock_connect=CONNECT_TIMEOUT_S)
        headers = self._headers | {REVISION_HEADER: str(order.revision)}
        return session.post(url, data=encode(order), headers=headers, timeout=timeout)
