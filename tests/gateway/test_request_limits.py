"""Request limits that endpoints name, and what all entries together send."""

from collections.abc import Iterator
from typing import Any

import pytest
from loguru import logger

from vanillashore_standins.platform_rig import PlatformRig


@pytest.fixture
def log_lines() -> Iterator[list[dict[str, Any]]]:
    lines: list[dict[str, Any]] = []
    number = logger.add(
        lambda message: lines.append(
            {"message": message.record["message"]} | message.record["extra"]
        )
    )
    yield lines
    logger.remove(number)


async def test_each_change_of_a_limit_is_logged_with_the_request_that_showed_it(
    log_lines: list[dict[str, Any]],
) -> None:
    async with PlatformRig(services=1) as rig:
        for number, limit in enumerate([None, 1000, 1000, 900.5, None]):
            rig.services[0].limit_per_s = limit
            await rig.ask("GET", "/stock/1", f"id-{number}")
    changes = [x for x in log_lines if x["message"] == "an endpoint changed its request limit"]
    assert [(x["request"], x["limit_per_s"], x["before"]) for x in changes] == [
        ("id-1", 1000.0, None),
        ("id-3", 900.5, 1000.0),
        ("id-4", None, 900.5),
    ]
