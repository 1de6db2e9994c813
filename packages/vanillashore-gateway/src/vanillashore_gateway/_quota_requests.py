"""Asking the home of a workspace for tokens, by datagrams between entries."""

import asyncio
from collections.abc import Callable, Mapping
from functools import lru_cache
from typing import Any

import attrs
import orjson
from loguru import logger as log

from vanillashore_gateway._domain import Workspace
from vanillashore_gateway._homes import Address, homes_of
from vanillashore_gateway._peer_asks import PeerAsks
from vanillashore_gateway._quota import (
    ALONE_SHARE,
    SPARE_TOKENS,
    SUBSTITUTE_SHARE,
    CreditBook,
    Grant,
    QuotaHome,
    QuotaSettings,
)

HOMES_ASKED = 2
MIN_PAUSE_S = 0.005  # Others may take the tokens first; so no home is asked in a tight loop.
RANKS_KEPT = 4_096


@attrs.frozen
class QuotaAsk:
    """An ask for tokens; ``number`` ties the answer to it."""

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
    """The answer to the ask of that number."""

    number: int
    grant: Grant

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["grant", self.number, self.grant.tokens, self.grant.wait_s])


def decode_datagram(data: bytes) -> QuotaAsk | QuotaAnswer:
    """Decode a datagram; raise ValueError if it is none of ours."""
    match orjson.loads(data):
        case ["ask", int(number), str(workspace), int(need), int(spare)]:
            return QuotaAsk(number, workspace, need, spare)
        case ["grant", int(number), int(tokens), float(wait_s) | int(wait_s)]:
            return QuotaAnswer(number, Grant(tokens, float(wait_s)))
    raise ValueError("this is no message between entries")


class Quotas(asyncio.DatagramProtocol):
    """Tokens of workspaces at one entry: credits, asks, and the home of some workspaces."""

    def __init__(self, node: str, settings: QuotaSettings, clock: Callable[[], float]) -> None:
        self._node = node
        self._clock = clock
        self._asks: PeerAsks[Grant] = PeerAsks(clock, settings.ask_timeout_s)
        self._home = QuotaHome(settings)
        self._alone = QuotaHome(settings)
        self._credits = CreditBook()
        self._entries: Mapping[str, Address] = {}
        self._workspaces: Mapping[str, Workspace] = {}
        self._ranked = lru_cache(RANKS_KEPT)(homes_of)

    async def take(
        self, workspace: Workspace, tokens: int, patience_s: float = 0.0
    ) -> float | None:
        """Take tokens; return ``None`` if they are granted, else the seconds until they may be.

        Tokens that are expected within ``patience_s`` are waited for.
        """
        if workspace.tokens_per_s <= 0:
            return None
        give_up_at = self._clock() + patience_s
        while (wait_s := await self._take_once(workspace, tokens)) is not None:
            if self._clock() + wait_s > give_up_at:
                return wait_s
            await asyncio.sleep(wait_s + MIN_PAUSE_S)
        return None

    async def _take_once(self, workspace: Workspace, tokens: int) -> float | None:
        now = self._clock()
        if self._credits.spend(workspace.name, tokens, now):
            return None
        grant = await self._ask_homes(workspace, tokens)
        if grant.tokens < tokens:
            return max(grant.wait_s, 0.0)
        if grant.tokens > tokens:
            self._credits.add(workspace.name, grant.tokens - tokens, now)
        return None

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Take the list of entries with their addresses."""
        self._entries = dict(entries)
        self._asks.update_entries(entries)
        self._ranked.cache_clear()

    def update_workspaces(self, workspaces: Mapping[str, Workspace]) -> None:
        """Take the workspaces of a configuration."""
        self._workspaces = workspaces
        for home in (self._home, self._alone):
            home.keep_only(set(workspaces))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the socket."""
        self._asks.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Answer an ask, or settle one of ours."""
        try:
            message = decode_datagram(data)
        except ValueError as exc:
            log.bind(sender=addr, reason=str(exc)).warning("a datagram cannot be read")
            return
        if isinstance(message, QuotaAnswer):
            self._asks.settle(message.number, message.grant)
            return
        workspace = self._workspaces.get(message.workspace)
        if workspace is not None:
            grant = self._grant(workspace, message.need, message.spare)
            self._asks.transport.sendto(QuotaAnswer(message.number, grant).encode(), addr)

    def _grant(self, workspace: Workspace, need: int, spare: int) -> Grant:
        """Grant as the home, or as its substitute while others cannot reach it."""
        first = self._homes(workspace.name)[:1]
        share = 1.0 if not first or first[0] == self._node else SUBSTITUTE_SHARE
        return self._home.grant(workspace, need, spare, self._clock(), share)

    async def _ask_homes(self, workspace: Workspace, tokens: int) -> Grant:
        spare = max(0, SPARE_TOKENS - tokens)
        for home in self._homes(workspace.name)[:HOMES_ASKED]:
            if home == self._node:
                return self._grant(workspace, tokens, spare)
            ask = QuotaAsk(0, workspace.name, tokens, spare)
            grant = await self._asks.ask(home, ask.numbered)
            if grant is not None:
                return grant
        share = ALONE_SHARE / max(1, len(self._entries))
        return self._alone.grant(workspace, tokens, 0, self._clock(), share)

    def _homes(self, workspace: str) -> list[str]:
        return self._ranked(workspace, tuple(self._entries))
