"""Stand-in for the weight store, which serves one download at a time at a limited rate."""

import asyncio

from aiohttp import web

STATE: web.AppKey["WeightStoreState"] = web.AppKey("state")
DEFAULT_MODEL_GB = 1.0


class WeightStoreState:
    """Rate and counters of the store; ``rate_gb_per_s`` is shared by all downloads.

    ``most_at_once`` is the largest number of downloads that were open at the same time, the
    waiting ones included.
    """

    def __init__(self, rate_gb_per_s: float = 10.0) -> None:
        self.rate_gb_per_s = rate_gb_per_s
        self.downloads = 0
        self.most_at_once = 0
        self._open_downloads = 0
        self._download_lock = asyncio.Lock()

    async def download(self, size_gb: float) -> None:
        """Wait for earlier downloads, then for the duration of this one."""
        self._open_downloads += 1
        self.most_at_once = max(self.most_at_once, self._open_downloads)
        try:
            async with self._download_lock:
                await asyncio.sleep(size_gb / self.rate_gb_per_s)
                self.downloads += 1
        finally:
            self._open_downloads -= 1


def weight_store_app(state: WeightStoreState) -> web.Application:
    """Build the application: ``GET /weights/{model}/{version}?size_gb=N`` and ``GET /stats``."""
    app = web.Application()
    app[STATE] = state
    app.router.add_get("/weights/{model}/{version}", _weights)
    app.router.add_get("/stats", _stats)
    return app


async def _weights(request: web.Request) -> web.Response:
    await request.app[STATE].download(float(request.query.get("size_gb", DEFAULT_MODEL_GB)))
    return web.json_response({"model": request.match_info["model"]})


async def _stats(request: web.Request) -> web.Response:
    state = request.app[STATE]
    return web.json_response({"downloads": state.downloads, "most_at_once": state.most_at_once})
