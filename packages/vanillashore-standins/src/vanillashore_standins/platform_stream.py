"""A caller's connection for one resumable stream of the test platform."""

import asyncio
import contextlib
import re
from typing import Self

import attrs

from vanillashore_standins.platform_rig import PlatformRig

EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+ of (\S+)\n\n")
SIZE = {"X_Token_Count": "1000,500", "X_Length_Hint": "50"}


@attrs.define
class Stream:
    """A caller's connection for one stream, and the events that it has received."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    received: bytes = b""

    @classmethod
    async def open(cls, rig: PlatformRig, request_id: str, entry: int, **headers: str) -> Self:
        """Send the request for a stream to an entry."""
        address = rig.processes[entry].front_address
        stream = cls(*await asyncio.open_connection(*address))
        data = rig.encode("POST", "/quote/1", request_id, b"prompt", **(SIZE | headers))
        stream.writer.write(data)
        return stream

    @property
    def events(self) -> list[tuple[int, bytes]]:
        """The number of each event, and the version that made it."""
        return [(int(number), version) for number, version in EVENT.findall(self.received)]

    async def read(self, events: int) -> None:
        """Read until that many events have arrived, or the connection has ended."""
        with contextlib.suppress(ConnectionError):
            while len(self.events) < events and (data := await self.reader.read(65_536)):
                self.received += data

    def close(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()
