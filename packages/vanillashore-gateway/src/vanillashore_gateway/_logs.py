"""Structured logs: JSON lines on standard output, rate-limited and non-blocking."""

import os
import sys
import time
from typing import TYPE_CHECKING

import orjson
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

LINES_PER_S = 500.0  # A few lines for each of the 100 requests per second of one entry.
BURST_LINES = 2_000.0
MAX_BUFFERED_BYTES = 262_144  # Kept for a slow reader of the output.


class LogSink:
    """Writes log lines; drops and counts those beyond the rate limit or a full buffer.

    Warnings and errors are exempt from the rate limit.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._buffer = bytearray()
        self._available_lines = BURST_LINES
        self._refilled_at = time.monotonic()
        self.dropped = 0
        self._dropped_reported = 0
        os.set_blocking(fd, False)

    def __call__(self, message: "Message") -> None:
        """Write one record."""
        record = message.record
        if not self._admit_line() and record["level"].no < 30:
            self.dropped += 1
            return
        line = {
            "time": record["time"].isoformat(),
            "level": record["level"].name,
            "message": record["message"],
            **record["extra"],
        }
        if self.dropped != self._dropped_reported:
            line["dropped_lines"] = self.dropped
            self._dropped_reported = self.dropped
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        self._write(orjson.dumps(line, default=str) + b"\n")

    def _admit_line(self) -> bool:
        now = time.monotonic()
        self._available_lines = min(
            BURST_LINES, self._available_lines + (now - self._refilled_at) * LINES_PER_S
        )
        self._refilled_at = now
        if self._available_lines < 1.0:
            return False
        self._available_lines -= 1.0
        return True

    def _write(self, line: bytes) -> None:
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer += line
        try:
            written = os.write(self._fd, self._buffer)
        except BlockingIOError:
            return
        del self._buffer[:written]


def set_up_logging(node: str) -> LogSink:
    """Send all logs of this process to standard output; return the sink."""
    sink = LogSink(sys.stdout.fileno())
    logger.remove()
    logger.configure(extra={"node": node})
    logger.add(sink, level="INFO", backtrace=False, diagnose=False)
    return sink
