"""Stand-in for an entry's link to the store, which can be cut without a sign."""

import asyncio
import contextlib
from typing import Self


class StoreLink:
    """Relays connections to ``host`` and ``port``; while it is cut, nothing passes.

    What was sent meanwhile arrives once the link has healed, as with packets that are sent again::

        async with StoreLink("127.0.0.1", 8080) as link:
            connect(link.address)
            link.cut()
            ...
            link.heal()
    """

    def __init__(self, host: str, port: int) -> None:
        self._store = (host, port)
        self._passes = asyncio.Event()
        self._passes.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server
        self.address = ("", 0)

    async def __aenter__(self) -> Self:
        """Start to listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Hold back everything, in both directions."""
        self._passes.clear()

    def heal(self) -> None:
        """Let everything pass again."""
        self._passes.set()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        store_writer: asyncio.StreamWriter | None = None
        try:
            await self._passes.wait()
            store_reader, store_writer = await asyncio.open_connection(*self._store)
            await asyncio.gather(
                self._relay(reader, store_writer), self._relay(store_reader, writer)
            )
        finally:
            for opened in (writer, store_writer):
                if opened is not None:
                    opened.transport.abort()

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                await self._passes.wait()
                writer.write(data)
                await writer.drain()
        writer.close()
