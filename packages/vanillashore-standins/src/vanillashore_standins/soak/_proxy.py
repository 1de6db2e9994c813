"""A loopback TCP proxy that injects faults."""

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum, auto
from typing import Self

DELAY_S = 0.15
READ_BYTES = 65_536


class ProxyMode(StrEnum):
    """How the proxy treats the bytes that it forwards."""

    PASS = auto()
    DELAY = auto()
    SILENT = auto()
    ONE_WAY = auto()


class FaultProxy:
    """Forwards connections to a target; ``mode`` selects the fault."""

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
        """Close the listener and all connections."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):  # The socket may be closed already.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        tasks = [
            asyncio.ensure_future(self._forward(reader, target_writer, False)),
            asyncio.ensure_future(self._forward(target_reader, writer, True)),
        ]
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        for stream_writer in (writer, target_writer):
            stream_writer.close()
            self._writers.discard(stream_writer)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_response: bool
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_BYTES):
                if self.mode is ProxyMode.DELAY:
                    await asyncio.sleep(DELAY_S)
                while self.mode is ProxyMode.SILENT or (
                    self.mode is ProxyMode.ONE_WAY and is_response
                ):
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
