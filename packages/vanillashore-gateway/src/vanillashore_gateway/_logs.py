"""Structured logs: one JSON object a line on standard output, bounded and never blocking."""

import os
import sys
import time
from typing import TYPE_CHECKING

import orjson
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

LINES_PER_S = 500.0  # Some lines for each of the hundred requests a second that one entry serves.
BURST_LINES = 2_000.0
MAX_BUFFERED = 262_144  # Bytes that wait for a slow reader of the output.


class LogSink:
    """Writes lines as long as the reader keeps up and the rate allows; counts what it drops."""

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._buffer = bytearray()
        self._allowed = BURST_LINES
        self._filled_at = time.monotonic()
        self.dropped = 0
        self._dropped_told = 0
        os.set_blocking(fd, False)

    def __call__(self, message: "Message") -> None:
        """Write one record."""
        record = message.record
        if not self._take() and record["level"].no < 30:
            self.dropped += 1
            return
        line = {
            "time": record["time"].isoformat(),
            "level": record["level"].name,
            "message": record["message"],
            **record["extra"],
        }
        if self.dropped != self._dropped_told:
            line["dropped_lines"] = self.dropped
            self._dropped_told = self.dropped
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        self._write(orjson.dumps(line, default=str) + b"\n")

    def _take(self) -> bool:
        now = time.monotonic()
        self._allowed = min(BURST_LINES, self._allowed + (now - self._filled_at) * LINES_PER_S)
        self._filled_at = now
        if self._allowed < 1.0:
            return False
        self._allowed -= 1.0
        return True

    def _write(self, line: bytes) -> None:
        if len(self._buffer) + len(line) > MAX_BUFFERED:
            self.dropped += 1
            return
        self._buffer += line
        try:
            written = os.write(self._fd, self._buffer)
        except BlockingIOError:
            return
        del self._buffer[:written]


def set_up_logging(node: str) -> LogSink:
    """Send all logs of this process to standard output; return the sink with its counter."""
    sink = LogSink(sys.stdout.fileno())
    logger.remove()
    logger.configure(extra={"node": node})
    logger.add(sink, level="INFO", backtrace=False, diagnose=False)
    return sink
