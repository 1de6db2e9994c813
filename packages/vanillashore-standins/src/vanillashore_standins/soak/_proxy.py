"""A loopback proxy that misbehaves on command."""

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum, auto
from typing import Self

DELAY_S = 0.15
CHUNK = 65_536


class ProxyMode(StrEnum):
    """What the proxy does to the bytes that pass."""

    PASS = auto()
    DELAY = auto()
    SILENT = auto()
    ONE_WAY = auto()


class FaultProxy:
    """Passes connections on to a target, as its mode says."""

    def __init__(self, target: str) -> None:
        self._target = target
        self.mode = ProxyMode.PASS
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> Self:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):  # It may be closed already.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back_writer}
        pumps = [
            asyncio.ensure_future(self._pump(reader, back_writer, False)),
            asyncio.ensure_future(self._pump(back_reader, writer, True)),
        ]
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        for end in (writer, back_writer):
            end.close()
            self._writers.discard(end)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_back: bool
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK):
                if self.mode is ProxyMode.DELAY:
                    await asyncio.sleep(DELAY_S)
                while self.mode is ProxyMode.SILENT or (self.mode is ProxyMode.ONE_WAY and is_back):
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
