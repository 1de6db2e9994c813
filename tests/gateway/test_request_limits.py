"""Request limits that endpoints name, and what all entries together send."""

import asyncio
from collections.abc import Iterator
from functools import partial
from typing import Any

import pytest
from loguru import logger

from vanillashore_standins.limit_check import allowed_requests, most_requests
from vanillashore_standins.platform_endpoint import EndpointStandIn
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


async def _load(rig: PlatformRig, path: str, seconds: float, per_s: float) -> list[int]:
    """Send requests to all entries in turn; return the statuses of the answers."""
    send = rig.generate if path == "/quote/1" else partial(rig.ask, "GET")
    tasks = []
    for number in range(int(seconds * per_s)):
        entry = number % len(rig.processes)
        tasks.append(asyncio.ensure_future(send(path, f"{path}-{number}", entry=entry)))
        await asyncio.sleep(1 / per_s)
    return [answer.status for answer in await asyncio.gather(*tasks)]


def _most_after(endpoint: EndpointStandIn, since: float) -> int:
    return most_requests([arrival.at for arrival in endpoint.arrivals if arrival.at >= since])


@pytest.mark.parametrize(
    ("path", "kind"),
    [("/stock/1", "services"), ("/quote/1", "decodes"), ("/quote/1", "prefills")],
)
async def test_endpoint_gets_no_more_than_its_limit_from_all_entries_together(
    path: str, kind: str
) -> None:
    async with PlatformRig(services=3, prefills=3, decodes=3, entries=3) as rig:
        limited = getattr(rig, kind)[0]
        limited.limit_per_s = 2.0
        await _load(rig, path, seconds=1.0, per_s=30.0)
        since = asyncio.get_running_loop().time()
        statuses = await _load(rig, path, seconds=4.0, per_s=20.0)
        assert 0 < _most_after(limited, since) <= allowed_requests(2.0)
        assert statuses.count(200) == len(statuses)
