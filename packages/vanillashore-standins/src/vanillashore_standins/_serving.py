"""Serves the application of a stand-in, in a test or as a process."""

from types import TracebackType

from aiohttp import web


class ServedApp:
    """Serves an application on loopback, as an async context manager.

    Port 0 selects a free port; ``address`` contains it::

        async with ServedApp(kv_app(KvState())) as served:
            await session.get(served.address + "/stats")
    """

    def __init__(self, app: web.Application, port: int = 0, host: str = "127.0.0.1") -> None:
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        self._host = host
        self._port = port
        self.address = ""

    async def __aenter__(self) -> "ServedApp":
        await self.start()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start to listen."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self._port)
        await site.start()
        self._port = self._runner.addresses[0][1]
        self.address = f"http://{self._host}:{self._port}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self._runner.cleanup()


def serve(app: web.Application, port: int, host: str = "127.0.0.1") -> None:
    """Serve ``app`` until the process receives SIGINT or SIGTERM."""
    web.run_app(app, host=host, port=port, access_log=None, print=None, shutdown_timeout=0.1)
