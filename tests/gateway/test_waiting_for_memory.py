"""Requests that wait for memory: each is answered or closed, and none outlives its caller."""

import asyncio

import pytest

from vanillashore_standins import wait_until
from vanillashore_standins.platform_rig import HOST, KEY, PlatformRig, configuration

MEMORY_MB = 128
HEADERS = f"Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
HEAD = f"POST /pay/1 HTTP/1.1\r\nX-Request-Id: id-1\r\n{HEADERS}".encode()
LOOKUP = f"GET /stock/1 HTTP/1.1\r\nX-Request-Id: id-2\r\n{HEADERS}\r\n".encode()
SIZED = HEAD + b"Content-Length: 600\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BODY = b"b" * 600
# What a caller sends in its first segment, and what follows.
ARRIVALS = {
    "head, then nothing": (SIZED, b""),
    "head, then body": (SIZED, BODY),
    "part of the body, then nothing": (SIZED + BODY[:300], b""),
    "part of the body, then the rest": (SIZED + BODY[:300], BODY[300:]),
    "whole": (SIZED + BODY, b""),
    "chunked head, then a chunk": (CHUNKED, b"3\r\nabc\r\n0\r\n\r\n"),
    "part of a chunk": (CHUNKED + b"3\r\na", b""),
    "whole, then another": (SIZED + BODY, LOOKUP),
    "two at once": (SIZED + BODY + LOOKUP, b""),
    "whole and part of another": (LOOKUP + SIZED, b""),
}


def _rig() -> PlatformRig:
    """Return a rig whose callers may take a minute to send a request."""
    rig = PlatformRig(services=1, memory_mb=MEMORY_MB)
    limits = configuration()["limits"] | {"header_timeout_ms": 60_000}
    rig.config_changes = {"limits": limits}
    return rig


def _fill_memory(rig: PlatformRig) -> int:
    held = rig.process.gateway.held
    size = held.limits.total - held.held
    held.add(size)
    return size


@pytest.mark.parametrize("arrival", ARRIVALS)
async def test_request_that_waits_for_memory_in_vain_is_refused_whatever_has_arrived(
    arrival: str,
) -> None:
    async with _rig() as rig:
        _fill_memory(rig)
        first, rest = ARRIVALS[arrival]
        reader, writer = await asyncio.open_connection(*rig.process.front_address)
        writer.write(first)
        await wait_until(lambda: rig.process.gateway.held.waiting == 1)
        writer.write(rest)
        async with asyncio.timeout(20):
            answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"memory_full" in answer
        assert rig.process.gateway.held.waiting == 0
        assert rig.services[0].arrivals == []
        writer.close()


@pytest.mark.parametrize("arrival", ["whole", "head, then body", "two at once"])
@pytest.mark.parametrize("is_reset", [False, True])
async def test_request_whose_caller_left_while_it_waited_reaches_no_endpoint(
    arrival: str, is_reset: bool
) -> None:
    async with _rig() as rig:
        await rig.ask("POST", "/pay/1", "id-0", b"pay")  # Leaves an idle connection.
        size = _fill_memory(rig)
        first, rest = ARRIVALS[arrival]
        _, writer = await asyncio.open_connection(*rig.process.front_address)
        writer.write(first)
        await wait_until(lambda: rig.process.gateway.held.waiting == 1)
        writer.write(rest)
        await writer.drain()
        if is_reset:
            writer.transport.abort()
        else:
            writer.close()
        await asyncio.sleep(0.05)
        rig.process.gateway.held.add(-size)
        assert (await rig.ask("POST", "/pay/2", "id-3", b"pay")).status == 200
        await wait_until(lambda: not rig.process.gateway.front.connections)
        assert [a.request_id for a in rig.services[0].arrivals] == ["id-0", "id-3"]


async def test_request_that_waited_for_memory_is_served_once_there_is_room() -> None:
    async with _rig() as rig:
        size = _fill_memory(rig)
        reader, writer = await asyncio.open_connection(*rig.process.front_address)
        writer.write(SIZED)
        await wait_until(lambda: rig.process.gateway.held.waiting == 1)
        writer.write(BODY)
        rig.process.gateway.held.add(-size)
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
        writer.close()
