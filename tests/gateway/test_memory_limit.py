"""An entry process with a limit of 128 MB stays below it, and its sound callers are served."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from pathlib import Path

from vanillashore_standins import wait_until
from vanillashore_standins._serving import ServedApp
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
MAX_BODY_BYTES = 4 * 1_048_576
SENDERS = 40
BYTE_READERS = 150
SOUND_READERS = 10
SLOW_BUFFER_BYTES = 4_096
READ_TIME_S = 6.0
HEADERS = {"X_Deadline_Ms": "10000"}


@contextlib.asynccontextmanager
async def _limited_entry(folder: Path, endpoint: EndpointStandIn) -> AsyncIterator[EntryProcess]:
    """Run an entry in front of an endpoint, with the platform's largest bodies."""
    store = PlatformStoreStandIn()
    limits = configuration()["limits"] | {"max_body_bytes": MAX_BODY_BYTES}
    routes = [
        route("/pay/", "non_idempotent", ORDERS, timeout_ms=10_000, target_latency_ms=5_000),
        route("/stock/", "idempotent", ORDERS, timeout_ms=10_000, target_latency_ms=5_000),
    ]
    store.put("op/config", configuration(limits=limits, routes=routes))
    async with endpoint, ServedApp(store.app()) as served:
        store.put("servers/s0", endpoint.entry(slots=200))
        address = served.address.removeprefix("http://")
        async with EntryProcess("entry-1", address, folder, "", MEMORY_MB) as entry:
            await _wait_until_ready(entry)
            yield entry


async def _wait_until_ready(entry: EntryProcess) -> None:
    for _ in range(200):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            if (await _ask(entry, "GET", "/stock/0", "probe")).status == 200:
                return
        await asyncio.sleep(0.05)
    raise TimeoutError


async def _ask(
    entry: EntryProcess, method: str, path: str, request_id: str, body: bytes = b""
) -> Answer:
    reader, writer = await asyncio.open_connection(*entry.address)
    writer.write(PlatformRig().encode(method, path, request_id, body, **HEADERS))
    try:
        return await read_answer(reader)
    finally:
        writer.transport.abort()


async def _read_byte_by_byte(entry: EntryProcess, request_id: str) -> None:
    """Ask for an answer, and read a byte of it each second."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock, contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, entry.address)
        data = PlatformRig().encode("GET", "/stock/1", request_id, **HEADERS)
        await loop.sock_sendall(sock, data)
        for _ in range(MAX_BODY_BYTES):
            await loop.sock_recv(sock, 1)
            await asyncio.sleep(1.0)


async def test_largest_bodies_from_many_callers_at_once(tmp_path: Path) -> None:
    endpoint = EndpointStandIn("s0", ORDERS)
    body = bytes(MAX_BODY_BYTES)
    async with _limited_entry(tmp_path, endpoint) as entry:
        asked = [_ask(entry, "POST", "/pay/1", f"id-{n}", body) for n in range(SENDERS)]
        answers = await asyncio.gather(*asked)
        assert {answer.status for answer in answers} <= {200, 503}
        served = [answer for answer in answers if answer.status == 200]
        assert served
        assert all(answer.is_complete for answer in answers)
        assert len([a for a in endpoint.runs if len(a.body) == MAX_BODY_BYTES]) == len(served)
        assert entry.peak_memory_mib < MEMORY_MB
        assert not entry.has_ended


async def test_many_callers_that_read_a_byte_a_second(tmp_path: Path) -> None:
    endpoint = EndpointStandIn("s0", ORDERS)
    async with _limited_entry(tmp_path, endpoint) as entry:
        endpoint.body = bytes(MAX_BODY_BYTES)
        slow = [
            asyncio.ensure_future(_read_byte_by_byte(entry, f"slow-{n}"))
            for n in range(BYTE_READERS)
        ]
        await wait_until(lambda: len(endpoint.runs) > BYTE_READERS // 2, READ_TIME_S)
        sound = [_ask(entry, "GET", "/stock/1", f"id-{n}") for n in range(SOUND_READERS)]
        answers = await asyncio.gather(*sound)
        served = [answer for answer in answers if answer.status == 200]
        assert all(answer.is_complete for answer in answers)
        assert all(answer.body == endpoint.body for answer in served)
        await asyncio.sleep(READ_TIME_S)
        assert entry.peak_memory_mib < MEMORY_MB
        assert not entry.has_ended
        for task in slow:
            task.cancel()
        await asyncio.gather(*slow, return_exceptions=True)
        # Memory is free again once the slow callers have gone.
        answer = await _ask(entry, "POST", "/pay/1", "id-last", bytes(MAX_BODY_BYTES))
        assert (answer.status, answer.is_complete) == (200, True)
