"""A TCP proxy that records the bytes that clients send and can drop all connections."""

import asyncio
from types import TracebackType
from urllib.parse import urlsplit

MAX_READ_BYTES = 65_536


class ByteTap:
    """Proxies connections to ``target``; ``received`` holds all bytes that clients sent.

    Example::

        async with ByteTap("http://127.0.0.1:9001") as tap:
            await session.get(tap.address + "/stock")
            assert b"secret" not in tap.received
    """

    def __init__(self, target: str = "") -> None:
        self.target = target
        self.address = ""
        self.received = bytearray()
        self.is_cut = False
        self._server: asyncio.Server
        self._writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> "ByteTap":
        self._server = await asyncio.start_server(self._proxy_connection, "127.0.0.1", 0)
        self.address = f"http://127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._server.close()
        self.cut()

    def cut(self) -> None:
        """Abort all connections, and abort each new one."""
        self.is_cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    async def _proxy_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_cut:
            writer.transport.abort()
            return
        target = urlsplit(self.target)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                target.hostname, target.port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, self.received),
                self._forward(target_reader, writer, None),
            )
        finally:
            self._writers -= {writer, target_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        recorded: bytearray | None,
    ) -> None:
        try:
            while data := await reader.read(MAX_READ_BYTES):
                if recorded is not None:
                    recorded += data
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
