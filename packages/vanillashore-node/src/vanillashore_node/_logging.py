"""Structured logs: one JSON object per line on standard error."""

import logging
import sys
from typing import TYPE_CHECKING

import orjson
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

STANDARD_FIELDS = ("time", "level", "message")


class _LibraryHandler(logging.Handler):
    """Forwards log records of libraries; an error by its type only, as its text may hold a body."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[0].__name__ if record.exc_info and record.exc_info[0] else ""
        bound = logger.bind(library=record.name, template=str(record.msg), error=error)
        bound.log(record.levelname, "a library logged a message")


def set_up_logging(node: str, level: str = "INFO") -> None:
    """Write the logs of process ``node`` and libraries' warnings to standard error as JSON."""
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)
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
