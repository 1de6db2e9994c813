import asyncio
import logging

import orjson
import pytest
from loguru import logger as log

from vanillashore_node._logging import set_up_logging


@pytest.fixture(autouse=True)
def _restore_logging() -> object:
    handlers = logging.getLogger().handlers[:]
    yield
    logging.getLogger().handlers[:] = handlers
    log.remove()
    log.configure(extra={})


def test_log_lines_contain_their_fields(capsys: pytest.CaptureFixture[str]) -> None:
    set_up_logging("entry-1")
    log.bind(request_id="req-1", level="x").info("request ended")
    line = orjson.loads(capsys.readouterr().err)
    assert (line["node"], line["request_id"], line["level"]) == ("entry-1", "req-1", "INFO")


def test_library_errors_are_json_lines_without_their_text(
    capsys: pytest.CaptureFixture[str],
) -> None:
    set_up_logging("entry-1")
    try:
        raise ValueError("a prompt")
    except ValueError:
        logging.getLogger("aiohttp.server").exception("Error handling request from %s", "1.2.3.4")
    line = orjson.loads(capsys.readouterr().err)
    assert (line["library"], line["error"]) == ("aiohttp.server", "ValueError")


async def test_loop_errors_are_json_lines(capsys: pytest.CaptureFixture[str]) -> None:
    set_up_logging("entry-1")
    asyncio.get_running_loop().call_exception_handler({"message": "a callback failed"})
    assert orjson.loads(capsys.readouterr().err)["library"] == "asyncio"
