"""A real entry with low limits in front of one endpoint, for crowds of callers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import attrs

from vanillashore_standins._serving import ServedApp
from vanillashore_standins.crowd import Address
from vanillashore_standins.platform_endpoint import EndpointStandIn
from vanillashore_standins.platform_rig import (
    ORDERS,
    Answer,
    PlatformRig,
    configuration,
    read_answer,
    route,
)
from vanillashore_standins.platform_store import PlatformStoreStandIn
from vanillashore_standins.soak._entries import EntryProcess

MEMORY_MB = 128
MAX_HEADER_BYTES = 4_096
MAX_BODY_BYTES = 1_048_576
LONG_TIMEOUT_MS = 60_000  # No caller is ended by its time-out while a test runs.
TRIES = 20
RETRY_S = 0.25


@attrs.define
class CrowdedEntry:
    """A real entry, its endpoint, and what they held at most."""

    process: EntryProcess
    endpoint: EndpointStandIn
    most_fds: int = 0

    async def ask(self, method: str, path: str, request_id: str, body: bytes = b"") -> Answer:
        """Send one request on a new connection."""
        data = PlatformRig().encode(method, path, request_id, body, X_Deadline_Ms="10000")
        return await self.send(data)

    async def send(self, data: bytes, address: Address | None = None) -> Answer:
        """Send the bytes of a request on a new connection, and read one answer."""
        reader, writer = await asyncio.open_connection(*(address or self.process.address))
        try:
            writer.write(data)
            return await read_answer(reader)
        finally:
            writer.transport.abort()

    async def serves(self, number: int = 0) -> bool:
        """Whether an ordinary caller gets its answer, asking again as it is told to."""
        for attempt in range(TRIES):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(10.0):
                    answer = await self.ask("GET", "/stock/1", f"id-{number}-{attempt}")
                if answer.status == 200:
                    return answer.is_complete
            await asyncio.sleep(RETRY_S)
        return False

    async def is_ready(self) -> bool:
        """Whether a probe of its readiness is answered."""
        probe = b"GET /-/readyz HTTP/1.1\r\nHost: probe\r\n\r\n"
        async with asyncio.timeout(10.0):
            return (await self.send(probe, self.process.ready_address)).status == 200

    async def watch_fds(self) -> None:
        """Note the most descriptors that are open, until cancelled."""
        while True:
            self.most_fds = max(self.most_fds, self.process.open_fds)
            await asyncio.sleep(0.005)

    @property
    def is_within_limits(self) -> bool:
        """Whether the process lives and has stayed within its memory."""
        return not self.process.has_ended and self.process.peak_memory_mib < MEMORY_MB


@contextlib.asynccontextmanager
async def crowded_entry(
    folder: Path, timeout_ms: int = LONG_TIMEOUT_MS, max_fds: int = 0, kernel_fds: int = 0
) -> AsyncIterator[CrowdedEntry]:
    """Run an entry with limits on its memory and, if they aren't 0, on its descriptors."""
    store = PlatformStoreStandIn()
    limits = {
        "max_header_bytes": MAX_HEADER_BYTES,
        "max_body_bytes": MAX_BODY_BYTES,
        "header_timeout_ms": timeout_ms,
        "idle_timeout_ms": timeout_ms,
    }
    routes = [
        route("/pay/", "non_idempotent", ORDERS, timeout_ms=10_000, target_latency_ms=5_000),
        route("/stock/", "idempotent", ORDERS, timeout_ms=10_000, target_latency_ms=5_000),
    ]
    store.put("op/config", configuration(limits=limits, routes=routes))
    endpoint = EndpointStandIn("s0", ORDERS)
    async with endpoint, ServedApp(store.app()) as served:
        store.put("servers/s0", endpoint.entry(slots=200))
        address = served.address.removeprefix("http://")
        entry = EntryProcess("entry-1", address, folder, "", MEMORY_MB, max_fds, kernel_fds)
        async with entry:
            crowded = CrowdedEntry(entry, endpoint)
            if not await crowded.serves():
                raise TimeoutError(f"the entry serves no request: {entry.last_line}")
            watch = asyncio.ensure_future(crowded.watch_fds())
            try:
                yield crowded
            finally:
                watch.cancel()
