"""Requests for tokens to the home of a workspace, by datagrams between entries."""

import asyncio
from collections.abc import Callable, Mapping
from functools import lru_cache
from typing import Any

import attrs
import orjson
from loguru import logger as log

from vanillashore_gateway._domain import Workspace
from vanillashore_gateway._home_ranking import Address, rank_homes
from vanillashore_gateway._peer_requests import PeerRequests
from vanillashore_gateway._quota import (
    ISOLATED_SHARE,
    SPARE_TOKENS,
    SUBSTITUTE_SHARE,
    CreditCache,
    Grant,
    QuotaHome,
    QuotaSettings,
)

MAX_HOMES_ASKED = 2
# Added to each wait for tokens: other requests may take the tokens first, and without a pause the
# home would then be asked in a tight loop.
RETRY_PAUSE_S = 0.005
RANKING_CACHE_SIZE = 4_096


@attrs.frozen
class QuotaRequest:
    """A request for ``need`` tokens, and up to ``spare`` more; the answer has the same number."""

    number: int
    workspace: str
    need: int
    spare: int

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["ask", self.number, self.workspace, self.need, self.spare])

    def numbered(self, number: int) -> bytes:
        """Return the datagram with another number."""
        return attrs.evolve(self, number=number).encode()


@attrs.frozen
class QuotaAnswer:
    """The answer to the request with the same number."""

    number: int
    grant: Grant

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["grant", self.number, self.grant.tokens, self.grant.wait_s])


def decode_datagram(data: bytes) -> QuotaRequest | QuotaAnswer:
    """Decode a datagram; raise ValueError if it is none of these messages."""
    match orjson.loads(data):
        case ["ask", int(number), str(workspace), int(need), int(spare), *_]:
            return QuotaRequest(number, workspace, need, spare)
        case ["grant", int(number), int(tokens), float(wait_s) | int(wait_s), *_]:
            return QuotaAnswer(number, Grant(tokens, float(wait_s)))
    raise ValueError("not a quota message")


class Quotas(asyncio.DatagramProtocol):
    """Rate limits at one entry: spare tokens, requests to homes, and grants as a home itself.

    ``is_listed`` tells whether the other entries may still take this one for a home. Without it,
    this entry grants nothing as a home, and asks those that rank after it.
    """

    PREFIX = (b'["ask"', b'["grant"')

    def __init__(self, node: str, settings: QuotaSettings, clock: Callable[[], float]) -> None:
        self._node = node
        self._clock = clock
        self._requests: PeerRequests[Grant] = PeerRequests(clock, settings.ask_timeout_s)
        self._home = QuotaHome(settings)
        self._isolated = QuotaHome(settings)
        self._credits = CreditCache()
        self._entries: Mapping[str, Address] = {}
        self._workspaces: Mapping[str, Workspace] = {}
        self._ranked = lru_cache(RANKING_CACHE_SIZE)(rank_homes)
        self.is_listed: Callable[[], bool] = lambda: True

    async def take(
        self, workspace: Workspace, tokens: int, patience_s: float = 0.0
    ) -> float | None:
        """Take tokens; return ``None`` if they are granted, else the seconds until they may be.

        Waits for tokens that are expected within ``patience_s``.
        """
        if workspace.tokens_per_s <= 0:
            return None
        give_up_at = self._clock() + patience_s
        while (wait_s := await self._take_once(workspace, tokens)) is not None:
            if self._clock() + wait_s > give_up_at:
                return wait_s
            await asyncio.sleep(wait_s + RETRY_PAUSE_S)
        return None

    async def _take_once(self, workspace: Workspace, tokens: int) -> float | None:
        now = self._clock()
        if self._credits.spend(workspace.name, tokens, now):
            return None
        grant = await self._request_grant(workspace, tokens)
        if grant.tokens < tokens:
            return max(grant.wait_s, 0.0)
        if grant.tokens > tokens:
            self._credits.add(workspace.name, grant.tokens - tokens, now)
        return None

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Set the list of entries with their addresses."""
        self._entries = dict(entries)
        self._requests.update_entries(entries)
        self._ranked.cache_clear()

    def update_workspaces(self, workspaces: Mapping[str, Workspace]) -> None:
        """Set the workspaces of the configuration."""
        self._workspaces = workspaces
        for home in (self._home, self._isolated):
            home.keep_only(set(workspaces))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket to send on."""
        self._requests.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handle another entry's request, or its answer to one of ours."""
        try:
            message = decode_datagram(data)
        except ValueError as exc:
            log.bind(sender=addr, reason=str(exc)).warning("ignored a malformed datagram")
            return
        if isinstance(message, QuotaAnswer):
            self._requests.resolve(message.number, message.grant)
            return
        workspace = self._workspaces.get(message.workspace)
        # An entry that gets no answer asks the next one.
        if workspace is not None and self.is_listed():
            grant = self._grant(workspace, message.need, message.spare)
            self._requests.transport.sendto(QuotaAnswer(message.number, grant).encode(), addr)

    def _grant(self, workspace: Workspace, need: int, spare: int) -> Grant:
        """Grant as the home or, at a smaller rate, as its substitute if others cannot reach it."""
        first = self._homes(workspace.name)[:1]
        share = 1.0 if not first or first[0] == self._node else SUBSTITUTE_SHARE
        return self._home.grant(workspace, need, spare, self._clock(), share)

    async def _request_grant(self, workspace: Workspace, tokens: int) -> Grant:
        spare = max(0, SPARE_TOKENS - tokens)
        homes = self._homes(workspace.name)
        if not self.is_listed():
            homes = [home for home in homes if home != self._node]
        for home in homes[:MAX_HOMES_ASKED]:
            if home == self._node:
                return self._grant(workspace, tokens, spare)
            request = QuotaRequest(0, workspace.name, tokens, spare)
            grant = await self._requests.ask(home, request.numbered)
            if grant is not None:
                return grant
        share = ISOLATED_SHARE / max(1, len(self._entries))
        return self._isolated.grant(workspace, tokens, 0, self._clock(), share)

    def _homes(self, workspace: str) -> list[str]:
        return self._ranked(workspace, tuple(self._entries))
