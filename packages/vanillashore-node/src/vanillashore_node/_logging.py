"""Structured logs: one JSON object a line on standard error."""

import sys
from typing import TYPE_CHECKING

import orjson
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

STANDARD_FIELDS = ("time", "level", "message")


def set_up_logging(node: str, level: str = "INFO") -> None:
    """Send all logs of this process, named ``node``, to standard error as JSON lines."""
    logger.remove()
    logger.configure(extra={"node": node})
    logger.add(_write_line, level=level, backtrace=False, diagnose=False)


def _write_line(message: "Message") -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **{name: value for name, value in record["extra"].items() if name not in STANDARD_FIELDS},
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(orjson.dumps(line, default=str).decode() + "\n")
