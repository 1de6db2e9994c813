"""Fixtures of the gateway's tests."""

from collections.abc import Iterator
from typing import Any

import pytest
from loguru import logger


@pytest.fixture
def log_lines() -> Iterator[list[dict[str, Any]]]:
    """Collect the lines that are logged, with their bound values."""
    lines: list[dict[str, Any]] = []
    number = logger.add(
        lambda message: lines.append(
            {"message": message.record["message"]} | message.record["extra"]
        )
    )
    yield lines
    logger.remove(number)
