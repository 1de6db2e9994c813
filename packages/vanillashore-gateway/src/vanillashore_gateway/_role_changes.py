"""Engines that are changing their role: the entry that orders a change notifies the others.

An engine with an order goes on granting reservations and refuses the requests that use them, for
some seconds until its record shows the new role. Without a notice each entry finds out by itself,
with prompts that are then read in vain.
"""

import asyncio
from collections.abc import Callable, Mapping

import attrs
import orjson
from loguru import logger as log

from vanillashore_gateway._domain import Endpoint, EndpointRole, EndpointStart
from vanillashore_gateway._home_ranking import Address

CHANGE_S = 20.0  # Running streams end first; after this time an order counts as lost.
MAX_CHANGES = 4_096


@attrs.frozen
class RoleNotice:
    """Notifies that an engine is about to change to ``role``, or (``None``) that it is not."""

    start: EndpointStart
    role: EndpointRole | None

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["role change", *attrs.astuple(self.start), self.role])


def decode_role_notice(data: bytes) -> RoleNotice:
    """Decode a datagram; raise ValueError if it is not a notice of a role change."""
    match orjson.loads(data):
        case ["role change", str(instance), int(started_ms), str() | None as role, *_]:
            start = EndpointStart(instance, started_ms)
            return RoleNotice(start, None if role is None else EndpointRole(role))
    raise ValueError("not a notice of a role change")


@attrs.frozen
class _Change:
    role: EndpointRole
    until: float


class RoleChanges:
    """One entry's view of which engines are changing their roles."""

    PREFIX = b'["role change"'

    def __init__(self, node: str, clock: Callable[[], float]) -> None:
        self._node = node
        self._clock = clock
        self._entries: Mapping[str, Address] = {}
        self._changes: dict[EndpointStart, _Change] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def is_changing(self, endpoint: Endpoint) -> bool:
        """Whether an engine has been ordered to take another role than its record shows."""
        change = self._changes.get(endpoint.start)
        if change is None:
            return False
        if change.role is endpoint.role or change.until <= self._clock():
            del self._changes[endpoint.start]
            return False
        return True

    def announce(self, start: EndpointStart, role: EndpointRole | None) -> None:
        """Notify all entries that an engine changes to ``role``, or (``None``) that it does not."""
        notice = RoleNotice(start, role)
        self._handle(notice)
        for name in self._entries:
            if name != self._node:
                self._send(name, notice)

    def greet(self, entry: str) -> None:
        """Notify an entry that has registered of the changes in progress."""
        now = self._clock()
        for start, change in self._changes.items():
            if change.until > now:
                self._send(entry, RoleNotice(start, change.role))

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Set the list of entries with their addresses."""
        self._entries = dict(entries)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Set the socket to send on."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle a notice of another entry."""
        try:
            self._handle(decode_role_notice(data))
        except ValueError as exc:
            log.bind(sender=addr, reason=str(exc)).warning("ignored a malformed datagram")

    def _handle(self, notice: RoleNotice) -> None:
        if notice.role is None:
            self._changes.pop(notice.start, None)
        elif notice.start not in self._changes:
            if len(self._changes) >= MAX_CHANGES:
                del self._changes[next(iter(self._changes))]
            self._changes[notice.start] = _Change(notice.role, self._clock() + CHANGE_S)
            log.bind(endpoint=notice.start.instance, role=notice.role.value).info(
                "an engine is changing its role"
            )

    def _send(self, entry: str, notice: RoleNotice) -> None:
        if self._transport is not None and entry in self._entries:
            self._transport.sendto(notice.encode(), self._entries[entry])
