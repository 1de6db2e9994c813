"""Logs are rate-limited and never block, and metrics are served as text."""

import asyncio
import os

import orjson
from loguru import logger

from vanillashore_gateway._logs import BURST_LINES, LogSink
from vanillashore_standins.platform_rig import PlatformRig


def _log(sink: LogSink, lines: int, level: str = "INFO") -> None:
    number = logger.add(sink, level="INFO", filter=lambda record: "mine" in record["extra"])
    try:
        for index in range(lines):
            logger.bind(mine=index, request="id-1").log(level, "a decision")
    finally:
        logger.remove(number)


def test_lines_are_json_with_the_bound_values() -> None:
    reader, writer = os.pipe()
    _log(LogSink(writer), 1)
    line = orjson.loads(os.read(reader, 65_536))
    assert (line["message"], line["request"], line["level"]) == ("a decision", "id-1", "INFO")


def test_stalled_reader_never_blocks_logging_and_drops_are_counted() -> None:
    _, writer = os.pipe()
    sink = LogSink(writer)
    _log(sink, 4_000, "ERROR")
    assert sink.dropped > 0


def test_rate_is_limited_but_errors_are_written() -> None:
    writer = os.open(os.devnull, os.O_WRONLY)
    sink = LogSink(writer)
    _log(sink, int(BURST_LINES) + 2_000)
    dropped = sink.dropped
    assert dropped > 0
    _log(sink, 10, "ERROR")
    assert sink.dropped == dropped


async def test_counters_and_histograms_are_served() -> None:
    async with PlatformRig(services=1) as rig:
        await rig.ask("GET", "/stock/1", "id-1")
        await rig.ask("GET", "/stock/1", "id-2", key="wrong")
        reader, writer = await asyncio.open_connection(*rig.process.metrics_address)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        page = (await reader.read()).decode()
        assert "http_server_request_duration_seconds_bucket" in page
        assert 'error_type="key_invalid"' in page
        assert "vanillashore_endpoints" in page
