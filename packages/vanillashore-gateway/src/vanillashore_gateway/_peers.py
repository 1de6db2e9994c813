"""The socket for datagrams between entries, and the dispatch of messages to their handlers."""

import asyncio
from typing import Any

from vanillashore_gateway._crashes import CrashMonitor
from vanillashore_gateway._prefill_scheduler import PrefillScheduler
from vanillashore_gateway._quota_requests import Quotas
from vanillashore_gateway._rotation import Rotation


class PeerSocket(asyncio.DatagramProtocol):
    """Dispatches datagrams of other entries by their prefix."""

    def __init__(
        self,
        quotas: Quotas,
        crashes: CrashMonitor,
        prefills: PrefillScheduler,
        rotation: Rotation,
    ) -> None:
        self._quotas = quotas
        self._crashes = crashes
        self._prefills = prefills
        self._rotation = rotation

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the socket to the components that send on it."""
        self._quotas.connection_made(transport)
        self._crashes.connection_made(transport)
        self._prefills.connection_made(transport)
        self._rotation.connection_made(transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram to its handler."""
        if data.startswith(PrefillScheduler.PREFIX):
            self._prefills.datagram_received(data, addr)
        elif data.startswith(CrashMonitor.PREFIX):
            self._crashes.datagram_received(data, addr)
        elif data.startswith(Rotation.PREFIX):
            self._rotation.datagram_received(data, addr)
        else:
            self._quotas.datagram_received(data, addr)
