"""Detects prompt parts that crash endpoints, over all entries, and refuses requests with them.

Each entry reports to the home of a service, and to its substitute, which traits the requests had
that an endpoint lost in a crash before their first event. Both then ask all entries to report when
a request with one of these traits brings an event, and announce what they have found.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping

from loguru import logger as log

from vanillashore_gateway._crash_evidence import EVIDENCE_TTL_S, CrashEvidence
from vanillashore_gateway._home_ranking import Address, rank_homes
from vanillashore_gateway._part_blocks import PartBlocks
from vanillashore_gateway._part_messages import (
    MAX_TRAITS,
    Block,
    BlockQuery,
    PartCrash,
    PartMessage,
    PartsCleared,
    PartSuspects,
    decode_part,
)

HOMES_NOTIFIED = 2  # The home and its substitute.
HOMES_GREETING = 3  # One more, as the entry that is greeted may be one of the two.
COLLECT_S = 0.1  # All entries notice a crash in about this time.
REVIEWS_S = (1.0, 2.5)  # After a crash, when what others bring may have cleared its candidates.
REFRESH_S = 2.0  # Between announcements of each block, as datagrams may be lost.
QUERY_S = 10.0  # For this long after its start, an entry asks those that it learns of.
PROVEN_S = 60.0
TRIAL_RANK_S = 2.0  # A trial is known everywhere long before the next entry's turn.
SUSPECT_TTL_S = EVIDENCE_TTL_S
MAX_MARKED = 10_000  # Traits, of some hundred bytes each.
MAX_SERVICES = 100


class CrashingParts:
    """One entry's part in finding the parts of prompts that crash endpoints.

    Example::

        if parts.refuses(traits) and not parts.is_trial_due(service, traits):
            ...  # refuse the request
        parts.record_event(service, traits)  # its first event arrived
    """

    PREFIX = b'["part'

    def __init__(self, node: str, clock: Callable[[], float]) -> None:
        self._node = node
        self._clock = clock
        self._started_at = clock()
        self._blocks = PartBlocks()
        self._evidence: OrderedDict[str, CrashEvidence] = OrderedDict()
        self._suspects: OrderedDict[str, float] = OrderedDict()
        self._proven: OrderedDict[str, float] = OrderedDict()
        self._settling: set[str] = set()
        self._is_refreshing = False
        self._entries: Mapping[str, Address] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def refuses(self, traits: Iterable[str]) -> bool:
        """Whether a request with these traits is refused."""
        return self._blocks.refuses(traits)

    def is_trial_due(self, service: str, traits: Iterable[str]) -> bool:
        """Whether this entry may let a request through that is refused.

        The home may first, and each other entry a while after the one before it, as the home may
        get no such request.
        """
        homes = self._homes(service)
        rank = homes.index(self._node) if self._node in homes else len(homes)
        return self._blocks.is_trial_due(traits, self._clock() - rank * TRIAL_RANK_S)

    def begin_trial(self, traits: Iterable[str], request_id: str) -> None:
        """Let a request through that is refused, to see whether it still crashes an endpoint."""
        blocks = self._blocks.begin_trial(traits, self._clock())
        log.bind(request=request_id, blocks=[block.block_id for block in blocks]).info(
            "trying a request that is refused because of a part of its prompt"
        )
        self._announce(blocks)

    def record_crash(self, service: str, instance: str, traits: Iterable[str]) -> None:
        """Report a request that an endpoint lost in a crash before its first event."""
        oldest = self._clock() - PROVEN_S
        proven = tuple(trait for trait in traits if self._proven.get(trait, oldest) > oldest)
        new = tuple(trait for trait in traits if trait not in proven)
        self._notify_homes(service, PartCrash(service, instance, new, proven))

    def record_event(self, service: str, traits: tuple[str, ...]) -> None:
        """Record that a request brought its first event, and report it if it clears a suspect."""
        now = self._clock()
        for trait in traits[1:]:
            _mark(self._proven, trait, now)
        if service in self._evidence:
            self._evidence[service].record_event(now)
        marked = {trait for trait in traits if self._suspects.pop(trait, now) > now}
        marked |= self._blocks.blocked_traits(traits)
        if marked:
            self._notify_homes(service, PartsCleared(service, tuple(sorted(marked))))

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Set the list of entries with their addresses."""
        self._entries = dict(entries)

    def greet(self, entry: str) -> None:
        """Notify an entry that has registered of the blocks, or ask it after an own start."""
        for block in self._blocks.notices(self._clock()):
            if self._node in self._homes(block.service)[:HOMES_GREETING]:
                self._send(block, [entry])
        if self._clock() - self._started_at < QUERY_S:
            self._send(BlockQuery(), [entry])

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Set the socket to send on."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle a message from another entry."""
        try:
            message = decode_part(data)
        except ValueError as exc:
            log.bind(sender=addr, reason=str(exc)).warning("ignored a malformed datagram")
            return
        if isinstance(message, BlockQuery):
            for block in self._blocks.notices(self._clock()):
                self._transport.sendto(block.encode(), addr)
        else:
            self._handle(message)

    def _handle(self, message: PartMessage) -> None:
        now = self._clock()
        match message:
            case PartCrash(service, instance, new, proven):
                self._evidence_of(service).add_crash(instance, new, proven, now)
                if service not in self._settling and len(self._settling) < MAX_SERVICES:
                    self._settling.add(service)
                    loop = asyncio.get_running_loop()
                    loop.call_later(COLLECT_S, self._settle, service, now)
            case PartSuspects(traits):
                for trait in traits:
                    _mark(self._suspects, trait, now + SUSPECT_TTL_S)
            case PartsCleared(service, traits):
                if service in self._evidence:
                    self._evidence[service].clear(traits, now)
                self._announce(self._blocks.clear(service, traits, now))
            case Block():
                if self._blocks.adopt(message, now):
                    self._log_block(message)
                self._refresh_later()

    def _settle(self, service: str, since: float) -> None:
        """Ask for what clears the candidates of new crashes, and announce what is found."""
        self._settling.discard(service)
        evidence = self._evidence_of(service)
        suspects = sorted(evidence.suspects(since))
        for start in range(0, len(suspects), MAX_TRAITS):
            message = PartSuspects(tuple(suspects[start : start + MAX_TRAITS]))
            self._handle(message)
            self._send(message, self._entries)
        self._review(service)
        for delay_s in REVIEWS_S:
            asyncio.get_running_loop().call_later(delay_s, self._review, service)

    def _review(self, service: str) -> None:
        """Announce what is found."""
        now = self._clock()
        for finding in self._evidence_of(service).findings(now):
            notices = self._blocks.block(service, finding.traits, now)
            bound = log.bind(service=service, traits=sorted(finding.traits))
            bound.bind(endpoints=finding.instances).info("found what crashed endpoints")
            self._announce(notices)

    def _announce(self, blocks: Iterable[Block]) -> None:
        for block in blocks:
            self._log_block(block)
            self._send(block, self._entries)
        self._refresh_later()

    def _refresh_later(self) -> None:
        if len(self._blocks) and not self._is_refreshing:
            self._is_refreshing = True
            asyncio.get_running_loop().call_later(REFRESH_S, self._refresh)

    def _refresh(self) -> None:
        self._is_refreshing = False
        for block in self._blocks.notices(self._clock()):
            if self._node in self._homes(block.service)[:HOMES_NOTIFIED]:
                self._send(block, self._entries)
        self._refresh_later()

    def _log_block(self, block: Block) -> None:
        bound = log.bind(block=block.block_id, service=block.service, traits=block.traits)
        bound = bound.bind(version=block.version, trials=block.trials)
        if block.traits:
            bound.warning("refusing requests with a part that crashes endpoints")
        else:
            bound.warning("no longer refusing requests with a part that crashed endpoints")

    def _evidence_of(self, service: str) -> CrashEvidence:
        evidence = self._evidence.get(service)
        if evidence is None:
            evidence = self._evidence[service] = CrashEvidence()
            while len(self._evidence) > MAX_SERVICES:
                self._evidence.popitem(last=False)
        return evidence

    def _homes(self, service: str) -> list[str]:
        return rank_homes(service, tuple(self._entries))

    def _notify_homes(self, service: str, message: PartMessage) -> None:
        homes = self._homes(service)[:HOMES_NOTIFIED]
        if not homes or self._node in homes:
            self._handle(message)
        self._send(message, homes)

    def _send(self, message: PartMessage, names: Iterable[str]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        for name in names:
            if name != self._node and name in self._entries:
                self._transport.sendto(message.encode(), self._entries[name])


def _mark(marked: OrderedDict[str, float], trait: str, at: float) -> None:
    marked[trait] = at
    marked.move_to_end(trait)
    while len(marked) > MAX_MARKED:
        marked.popitem(last=False)
