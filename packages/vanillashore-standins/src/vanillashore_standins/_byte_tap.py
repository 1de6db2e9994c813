"""A TCP relay that keeps all bytes it passes on, and can be cut."""

import asyncio
from types import TracebackType
from urllib.parse import urlsplit

READ_BYTES = 65_536


class ByteTap:
    """Relays connections to ``target``; ``received`` is what clients sent through it.

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
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
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
        """Break all connections and accept no more."""
        self.is_cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_cut:
            writer.transport.abort()
            return
        target = urlsplit(self.target)
        try:
            far_reader, far_writer = await asyncio.open_connection(target.hostname, target.port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, self.received), self._pump(far_reader, writer, None)
            )
        finally:
            self._writers -= {writer, far_writer}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        record: bytearray | None,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if record is not None:
                    record += data
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
