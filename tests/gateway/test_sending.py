"""Reading an answer in a process that was frozen."""

import asyncio
import time

import pytest

from vanillashore_gateway import Endpoint, HttpConnection
from vanillashore_gateway._domain import AnswerHead
from vanillashore_gateway._http_client import open_connection
from vanillashore_gateway._sending import Sending
from vanillashore_standins.platform_endpoint import EndpointStandIn, EngineOptions, Fault

HEAD = AnswerHead(200, b"OK", (), True, False)


async def _stream(engine: EndpointStandIn) -> HttpConnection:
    """Return a connection on which a stream has begun and stalls."""
    engine.faults.append(Fault.STALLS)
    host, _, port = engine.address.partition(":")
    conn = await open_connection(host, int(port))
    conn.send(b"POST /idea/1 HTTP/1.1\r\nX-Request-Id: id-1\r\nX-Expect-Instance: d0\r\n\r\n")
    await conn.head()
    while b"id: 2" not in await conn.read():
        pass
    return conn


async def test_data_that_arrived_while_the_process_was_frozen_is_no_stall() -> None:
    async with EndpointStandIn("d0", "models", EngineOptions()) as engine:
        conn = await _stream(engine)
        sent = Sending(Endpoint("d0", "models", "h", 1, "dc", 8), HEAD, conn)
        reading = asyncio.ensure_future(sent.read(0.2))
        await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, time.sleep, 0.4)  # The rest is due when the loop goes on.
        loop.call_later(0.1, conn.data_received, b"3\r\nabc\r\n")
        assert await reading == b"abc"


async def test_silence_is_a_stall() -> None:
    async with EndpointStandIn("d0", "models", EngineOptions()) as engine:
        conn = await _stream(engine)
        sent = Sending(Endpoint("d0", "models", "h", 1, "dc", 8), HEAD, conn)
        with pytest.raises(TimeoutError):
            await sent.read(0.1)
