"""Structured logs: one JSON object a line on standard error."""

import logging
import sys
from typing import TYPE_CHECKING

import orjson
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

STANDARD_FIELDS = ("time", "level", "message")


class _LibraryHandler(logging.Handler):
    """Passes on what libraries log; only the kind of an error, for its text may hold a body."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[0].__name__ if record.exc_info and record.exc_info[0] else ""
        bound = logger.bind(library=record.name, template=str(record.msg), error=error)
        bound.log(record.levelname, "a library logged")


def set_up_logging(node: str, level: str = "INFO") -> None:
    """Send all logs of this process, named ``node``, to standard error as JSON lines.

    Libraries' warnings and errors are among them.
    """
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
