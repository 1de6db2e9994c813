"""Streams: immediate tokens, bounded memory for slow readers, cleanup after a disconnect."""

import asyncio
import socket
from typing import Any

import orjson
import pytest

from vanillashore_schema import LimitSettings
from vanillashore_standins import EngineOptions, generate
from vanillashore_standins.testing import KEY, MODEL, FleetPlan, SmallFleet

SLOW = EngineOptions(step_s=0.02, prefill_s_per_token=0.00001)
FAST = EngineOptions(step_s=0.0005, prefill_s_per_token=0.00001, total_pieces=1_000)
BUFFER_BYTES = 16_384
FIRST_TOKENS = 3


async def test_each_token_is_one_event_sent_while_the_engine_still_decodes() -> None:
    async with SmallFleet(FleetPlan(engine=SLOW, decodes=1)) as fleet:
        body = {"model": MODEL, "prompt": "a cake", "max_tokens": 20, "stream": True}
        async with fleet.post(0, "/v1/completions", body) as response:
            texts = [await next_text(response) for _ in range(FIRST_TOKENS)]
            decoded = fleet.engines["decode-0"].ledger.decoded_tokens
            rest = (await response.text()).split("\n\n")
        assert decoded < 20
        assert "".join(texts) == generate("a cake", FIRST_TOKENS)
        tokens = [e for e in rest if e.startswith("data: {") and '"finish_reason":null' in e]
        assert len(tokens) == 20 - FIRST_TOKENS
        assert rest[-2] == "data: [DONE]"


async def test_stream_waits_for_a_slow_reader() -> None:
    """The entry buffers little for a caller that does not read, and completes once it does."""
    limits = LimitSettings(write_buffer_bytes=BUFFER_BYTES)
    async with SmallFleet(FleetPlan(engine=FAST, decodes=1, limits=limits)) as fleet:
        reader, writer = await open_stream(fleet, 4_000)
        ledger = fleet.engines["decode-0"].ledger
        await fleet.until(lambda: ledger.decoded_tokens == 4_000, 30.0)
        await asyncio.sleep(0.3)
        assert fleet.entries[0].core.state.active == 1
        data = await reader.read()
        writer.close()
        assert data.endswith(b"data: [DONE]\n\n")
        events = [e for e in data.split(b"\n") if e.startswith(b"data: {")]
        texts = [orjson.loads(e[6:])["choices"][0]["text"] for e in events]
        assert "".join(texts) == generate("a cake", 4_000)


@pytest.mark.parametrize("tokens_read", [0, 3])
async def test_disconnect_of_a_streaming_caller_frees_the_engine(tokens_read: int) -> None:
    async with SmallFleet(FleetPlan(engine=SLOW)) as fleet:
        reader, writer = await open_stream(fleet, 1_000)
        for _ in range(tokens_read):
            await reader.readuntil(b"data: ")
        await fleet.until(lambda: fleet.held_pieces() > 0)
        writer.close()
        await fleet.until(lambda: fleet.held_pieces() == 0, 3.0)
        await fleet.until(lambda: all(s.core.state.active == 0 for s in fleet.sidecars.values()))
        assert fleet.entries[0].core.state.active == 0


async def test_disconnect_without_streaming_frees_the_engine() -> None:
    async with SmallFleet(FleetPlan(engine=SLOW)) as fleet:
        _, writer = await open_stream(fleet, 1_000, stream=False)
        await fleet.until(lambda: any(e.ledger.decoded_tokens for e in fleet.engines.values()))
        writer.close()
        await fleet.until(lambda: fleet.held_pieces() == 0, 3.0)


async def test_concurrent_streams_do_not_mix() -> None:
    async with SmallFleet(FleetPlan(entries=2)) as fleet:
        prompts = [f"cake {i}" for i in range(24)]
        answers = await asyncio.gather(*(read_all(fleet, i % 2, p) for i, p in enumerate(prompts)))
        assert answers == [generate(prompt, 40) for prompt in prompts]


async def read_all(fleet: SmallFleet, entry: int, prompt: str) -> str:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 40, "stream": True}
    async with fleet.post(entry, "/v1/completions", body) as response:
        lines = (await response.text()).split("\n\n")
    events = [orjson.loads(line[6:]) for line in lines if line.startswith("data: {")]
    return "".join(event["choices"][0]["text"] for event in events)


async def open_stream(
    fleet: SmallFleet, max_tokens: int, stream: bool = True
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request over a plain connection that reads only what the test reads."""
    host, _, port = fleet.entry_address(0).removeprefix("http://").partition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.connect((host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock, limit=1_024)
    body = orjson.dumps(
        {"model": MODEL, "prompt": "a cake", "max_tokens": max_tokens, "stream": stream}
    )
    head = (
        f"POST /v1/completions HTTP/1.0\r\nHost: entry\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    return reader, writer


async def next_text(response: Any) -> str:
    line = await response.content.readline()
    await response.content.readline()
    return orjson.loads(line[6:])["choices"][0]["text"]
