"""Configuration revisions of orders: sidecars refuse stale ones; entries catch up and retry."""

from collections.abc import AsyncIterator
from contextvars import ContextVar
from typing import Any, TypeVar

import attrs
from aiohttp import web

from vanillashore_node._core import NodeCore
from vanillashore_node._sidecar_client import REVISION_HEADER, SidecarClient
from vanillashore_wire import (
    CallOrder,
    DecodeOrder,
    ErrorCode,
    Frame,
    PrefillOrder,
    RefusalError,
    Refused,
)

T = TypeVar("T")

REQUEST_KEY_HASH: ContextVar[str] = ContextVar("REQUEST_KEY_HASH", default="")


def refuse_stale(request: web.Request, revision: int) -> None:
    """Raise RefusalError if an order's revision is missing or older than ``revision``."""
    given = request.headers.get(REVISION_HEADER, "")
    if not given.isdecimal() or int(given) < revision:
        text = f"the order has revision {given or 'none'}, and the current one is {revision}"
        raise RefusalError(Refused(ErrorCode.REVISION_STALE, text))


class RevisionAwareSidecarClient(SidecarClient):
    """A client that resends stale orders with a current revision and checks the caller's key.

    An order that a sidecar refuses as stale is sent again, once, after the entry has caught up.
    The caller's key is checked each time before a call or the first prefill of an answer is sent,
    so a request that waited while its key was withdrawn is refused, and one that has begun is
    finished.
    """

    def __init__(self, core: NodeCore) -> None:
        super().__init__(core.session, core.cfg)
        self._core = core

    async def decode(self, address: str, order: DecodeOrder) -> AsyncIterator[list[Frame]]:
        """Stream the frames of an answer as they arrive."""
        try:
            async for frames in super().decode(address, order):
                yield frames
            return
        except RefusalError as exc:
            if exc.code is not ErrorCode.REVISION_STALE:
                raise
        async for frames in super().decode(address, await self._refreshed(address, order)):
            yield frames

    async def _ask(self, url: str, order: Any, deadline_s: float, cls: type[T]) -> T:
        self._check_key(order)
        try:
            return await super()._ask(url, order, deadline_s, cls)
        except RefusalError as exc:
            if exc.code is not ErrorCode.REVISION_STALE:
                raise
        address = url.partition("/internal/")[0]
        return await super()._ask(url, await self._refreshed(address, order), deadline_s, cls)

    async def _refreshed(self, address: str, order: Any) -> Any:
        await self._core.config_follower.catch_up(address)
        self._core.decisions.record(order.request_id, "configuration", "caught up with an endpoint")
        self._check_key(order)
        return attrs.evolve(order, revision=self._core.directory.revision)

    def _check_key(self, order: Any) -> None:
        """Raise RefusalError if the request's key was withdrawn."""
        if not order.workspace or not _is_first_order(order):
            return
        key_hash = REQUEST_KEY_HASH.get()
        found = self._core.directory.workspace_of_key(key_hash)
        if found is None or found.name != order.workspace:
            raise RefusalError(Refused(ErrorCode.KEY_INVALID, "the key was withdrawn"))
        self._core.config_follower.check_key(key_hash)


def _is_first_order(order: Any) -> bool:
    """Whether nothing has run yet for the request of an order."""
    if isinstance(order, PrefillOrder):
        return order.attempt == 1
    return isinstance(order, CallOrder)
