"""Which entries are in the load balancer's rotation: a stopping entry notifies the others."""

import asyncio
from collections.abc import Callable, Mapping

import attrs
import orjson
from loguru import logger as log

from vanillashore_gateway._home_ranking import Address

NOTICE_EVERY_S = 1.0  # Datagrams may be lost.
RESTART_S = 1.2  # From the end of a process until its successor is ready.

MAX_STOPS = 1_024


@attrs.frozen
class StoppingNotice:
    """Notifies that an entry stops.

    The load balancer still sends callers to it for ``in_rotation_s``, and it ends in ``left_s`` at
    the latest.
    """

    name: str
    in_rotation_s: float
    left_s: float

    def encode(self) -> bytes:
        """Return the datagram."""
        return orjson.dumps(["stopping", self.name, self.in_rotation_s, self.left_s])


def decode_notice(data: bytes) -> StoppingNotice:
    """Decode a datagram; raise ValueError if it is not a notice."""
    match orjson.loads(data):
        case ["stopping", str(name), float(in_rotation_s), float(left_s), *_]:
            return StoppingNotice(name, in_rotation_s, left_s)
    raise ValueError("not a notice of a stopping entry")


@attrs.frozen
class _Stop:
    """When a stopping entry leaves the rotation, and when its successor is back in it."""

    out_at: float
    back_at: float


class Rotation:
    """One entry's view of which other entries are in rotation.

    Example::

        rotation.update_entries({"a": ("10.1.0.3", 7500), "b": ("10.1.0.4", 7500)})
        rotation.retry_after_s(0.1)  # short while another entry is in rotation
    """

    PREFIX = b'["stopping"'

    def __init__(self, node: str, clock: Callable[[], float]) -> None:
        self._node = node
        self._clock = clock
        self._entries: Mapping[str, Address] = {}
        self._stops: dict[str, _Stop] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def retry_after_s(self, minimum_s: float) -> float:
        """Return after how many seconds a refused caller can expect another entry in rotation."""
        now = self._clock()
        stops = self._current_stops(now)
        for name in self._entries:
            if name != self._node and (name not in stops or stops[name].out_at > now + minimum_s):
                return minimum_s
        back_at = min((stop.back_at for stop in stops.values()), default=now)
        return max(minimum_s, back_at - now)

    def stopping_share(self) -> float:
        """Return the share of stopping entries among those that the load balancer chooses from."""
        now = self._clock()
        stops = self._current_stops(now)
        staying = sum(name not in stops for name in self._entries)
        stopping = sum(stop.out_at > now for stop in stops.values())
        return stopping / (staying + stopping) if staying + stopping else 1.0

    def _current_stops(self, now: float) -> dict[str, _Stop]:
        return {name: stop for name, stop in self._stops.items() if stop.back_at > now}

    def update_entries(self, entries: Mapping[str, Address]) -> None:
        """Set the list of entries.

        A stopping entry leaves the list as it ends, and its successor is added.
        """
        now = self._clock()
        for name in self._entries.keys() - entries.keys():
            if name in self._stops:
                stop = self._stops[name]
                back_at = min(stop.back_at, now + RESTART_S)
                self._stops[name] = attrs.evolve(stop, back_at=back_at)
        for name in entries.keys() - self._entries.keys():
            self._stops.pop(name, None)
        self._entries = dict(entries)

    async def announce_stop(self, out_of_rotation_at: float, ends_at: float) -> None:
        """Notify the other entries, until cancelled, that this one stops."""
        while True:
            now = self._clock()
            notice = StoppingNotice(self._node, out_of_rotation_at - now, ends_at - now)
            self._handle(notice)
            for name, address in self._entries.items():
                if name != self._node and self._transport is not None:
                    self._transport.sendto(notice.encode(), address)
            await asyncio.sleep(NOTICE_EVERY_S)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Set the socket to send on."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle a notice of another entry."""
        try:
            self._handle(decode_notice(data))
        except ValueError as exc:
            log.bind(sender=addr, reason=str(exc)).warning("ignored a malformed datagram")

    def _handle(self, notice: StoppingNotice) -> None:
        now = self._clock()
        if notice.name not in self._stops and len(self._stops) >= MAX_STOPS:
            del self._stops[next(iter(self._stops))]
        self._stops[notice.name] = _Stop(
            now + notice.in_rotation_s, now + notice.left_s + RESTART_S
        )
