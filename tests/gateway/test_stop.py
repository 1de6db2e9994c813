"""A stop cuts no request, and takes none so late that it would be cut."""

import asyncio

from vanillashore_standins import wait_until
from vanillashore_standins.platform_endpoint import EngineOptions
from vanillashore_standins.platform_rig import HOST, KEY, PlatformRig


def _request(request_id: str) -> bytes:
    rows = f"Host: {HOST}\r\nX-Request-Id: {request_id}\r\nAuthorization: Bearer {KEY}\r\n"
    return f"GET /stock/1 HTTP/1.1\r\n{rows}\r\n".encode()


async def _ready_status(rig: PlatformRig) -> bytes:
    reader, writer = await asyncio.open_connection(*rig.process.ready_address)
    writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    line = await reader.readline()
    writer.close()
    return line.split()[1]


async def test_stopping_process_is_not_ready_and_finishes_streams() -> None:
    options = EngineOptions(events=20, pause_s=0.02)
    async with PlatformRig(prefills=1, decodes=1, engine=options) as rig:
        assert await _ready_status(rig) == b"200"
        streaming = asyncio.ensure_future(rig.generate("/idea/1", "id-1"))
        await wait_until(lambda: bool(rig.decodes[0].runs))
        stopping = asyncio.ensure_future(rig.process.shut_down())
        await asyncio.sleep(0)
        assert await _ready_status(rig) == b"503"
        assert (await streaming).is_whole
        await stopping


async def test_requests_on_open_connections_are_answered_until_the_process_is_out_of_rotation() -> (
    None
):
    async with PlatformRig(services=1) as rig:
        reader, writer = await asyncio.open_connection(*rig.process.front_address)
        writer.write(_request("id-1"))
        assert b"200" in await reader.readuntil(b"answer to id-1")
        stopping = asyncio.ensure_future(rig.process.shut_down())
        await asyncio.sleep(0)
        writer.write(_request("id-2"))
        answer = await reader.read()
        assert answer.endswith(b"answer to id-2")
        assert b"Connection: close" in answer
        await stopping


async def test_idle_connections_are_closed_long_before_the_grace_time_ends() -> None:
    options = EngineOptions(events=1_000, pause_s=0.02)
    async with PlatformRig(prefills=1, decodes=1, engine=options) as rig:
        reader, _ = await asyncio.open_connection(*rig.process.front_address)
        streaming = asyncio.ensure_future(rig.generate("/idea/1", "id-1"))
        await wait_until(lambda: bool(rig.decodes[0].runs))
        stopping = asyncio.ensure_future(rig.process.shut_down())
        assert await reader.read() == b""
        assert rig.process.gateway.active == 1
        assert not stopping.done()
        streaming.cancel()
        await stopping
