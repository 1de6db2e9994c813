"""Graceful shutdown: active requests finish, and those that could not finish are refused."""

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
        assert (await streaming).is_complete
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


async def test_short_requests_are_served_to_the_end_and_long_streams_refused_at_once() -> None:
    options = EngineOptions(events=1_000, pause_s=0.02)
    async with PlatformRig(services=1, prefills=1, decodes=1, engine=options) as rig:
        streaming = asyncio.ensure_future(rig.generate("/idea/1", "long"))
        await wait_until(lambda: bool(rig.decodes[0].runs))
        stopping = asyncio.ensure_future(rig.process.shut_down())
        await wait_until(lambda: rig.process.gateway.stops_at is not None)
        short = await rig.ask("POST", "/pay/1", "id-1", b"pay", X_Deadline_Ms="500")
        assert short.status == 200
        long = await rig.generate("/idea/1", "id-2")
        assert (long.status, rig.arrivals("id-2")) == (503, [])
        assert b'"ran":"no"' in long.body
        assert float(long.headers["retry-after"]) > 0
        await asyncio.sleep(rig.process._cfg.rotation_s)
        late = await rig.ask("POST", "/pay/1", "id-3", b"pay", X_Deadline_Ms="60000")
        assert (late.status, rig.arrivals("id-3")) == (503, [])
        again = await rig.ask("POST", "/pay/1", "id-4", b"pay", X_Deadline_Ms="500")
        assert again.status == 200
        streaming.cancel()
        await stopping
