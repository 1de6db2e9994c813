"""Requests that offer another protocol are served over HTTP/1.1, with their bodies."""

import asyncio

import pytest

from vanillashore_standins.platform_rig import HOST, KEY, PlatformRig, read_answer

OFFER = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQ\r\n"
BODY = b"b" * 600
FRAMINGS = {
    "length": (f"Content-Length: {len(BODY)}\r\n", BODY),
    "chunks": ("Transfer-Encoding: chunked\r\n", b"258\r\n" + BODY + b"\r\n0\r\n\r\n"),
}


def _request(number: int, framing: str, offer: str = OFFER) -> bytes:
    rows, body = FRAMINGS[framing]
    head = f"POST /pay/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: id-{number}\r\n"
    return f"{head}Authorization: Bearer {KEY}\r\n{offer}{rows}\r\n".encode() + body


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("segment_bytes", [1, 97, 10_000])
async def test_request_that_offers_an_upgrade_runs_with_its_body(
    framing: str, segment_bytes: int
) -> None:
    async with PlatformRig(services=1) as rig:
        data = _request(1, framing) + _request(2, framing) + _request(3, framing, offer="")
        reader, writer = await asyncio.open_connection(*rig.process.front_address)
        for start in range(0, len(data), segment_bytes):
            writer.write(data[start : start + segment_bytes])
            await asyncio.sleep(0)
        for number in (1, 2, 3):
            answer = await read_answer(reader)
            assert (answer.status, answer.body) == (200, f"answer to id-{number}".encode())
        writer.close()
        arrivals = rig.services[0].runs
        assert [a.body for a in arrivals] == [BODY] * 3
        assert not {"upgrade", "http2-settings"} & set(arrivals[0].headers)


async def test_lookup_that_offers_an_upgrade_is_answered_and_keeps_its_connection() -> None:
    async with PlatformRig(services=1) as rig:
        reader, writer = await asyncio.open_connection(*rig.process.front_address)
        for number in (1, 2):
            rows = f"Host: {HOST}\r\nX-Request-Id: id-{number}\r\nAuthorization: Bearer {KEY}\r\n"
            writer.write(f"GET /stock/1 HTTP/1.1\r\n{rows}{OFFER}\r\n".encode())
            assert (await read_answer(reader)).body == f"answer to id-{number}".encode()
        writer.close()


async def test_tunnel_is_refused() -> None:
    async with PlatformRig(services=1) as rig:
        answer = await rig.send(f"CONNECT {HOST}:443 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        assert (answer.status, rig.services[0].arrivals) == (400, [])
