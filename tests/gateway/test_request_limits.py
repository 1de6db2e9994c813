"""Request limits that endpoints name, and what all entries together send."""

import asyncio
from functools import partial
from typing import Any

import pytest

from vanillashore_standins import wait_until
from vanillashore_standins.limit_check import allowed_requests, most_requests
from vanillashore_standins.platform_endpoint import EndpointStandIn
from vanillashore_standins.platform_rig import PlatformRig


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
    ("path", "kind", "count"),
    [("/stock/1", "services", 1), ("/quote/1", "decodes", 1), ("/quote/1", "prefills", 3)],
)
async def test_endpoint_gets_no_more_than_its_limit_from_all_entries_together(
    path: str, kind: str, count: int
) -> None:
    async with PlatformRig(services=3, prefills=3, decodes=3, entries=3) as rig:
        limited = getattr(rig, kind)[:count]
        for endpoint in limited:
            endpoint.limit_per_s = 2.0
        await _load(rig, path, seconds=1.0, per_s=30.0)
        since = asyncio.get_running_loop().time()
        statuses = await _load(rig, path, seconds=4.0, per_s=20.0)
        most = max(_most_after(endpoint, since) for endpoint in limited)
        assert 0 < most <= allowed_requests(2.0)
        assert statuses.count(200) == len(statuses)


@pytest.mark.parametrize(("path", "kind"), [("/stock/1", "services"), ("/quote/1", "decodes")])
async def test_request_is_refused_as_not_run_when_all_endpoints_are_at_their_limits(
    path: str, kind: str
) -> None:
    async with PlatformRig(services=2, prefills=1, decodes=2, entries=2) as rig:
        limited = getattr(rig, kind)
        for endpoint in limited:
            endpoint.limit_per_s = 0.2
        await _load(rig, path, seconds=1.0, per_s=10.0)
        send = rig.generate if path == "/quote/1" else partial(rig.ask, "GET")
        answers = [await send(path, f"late-{number}", entry=number % 2) for number in range(6)]
        refused = [answer for answer in answers if answer.status == 503]
        assert len(refused) >= 4
        assert all(b'"ran":"no"' in answer.body for answer in refused)
        assert all(float(answer.headers["retry-after"]) > 0.5 for answer in refused)
        served = sum(answer.status == 200 for answer in answers)
        runs = [run.request_id for e in limited for run in e.runs]
        assert sum(name.startswith("late-") for name in runs) == served


async def test_requests_go_to_endpoints_without_a_limit_while_others_are_at_theirs() -> None:
    async with PlatformRig(services=2, entries=2) as rig:
        rig.services[0].limit_per_s = 0.2
        statuses = await _load(rig, "/stock/1", seconds=1.0, per_s=60.0)
        assert statuses == [200] * 60
        assert len(rig.services[1].runs) > 45


async def test_limit_that_is_no_longer_named_ends_at_all_entries() -> None:
    async with PlatformRig(services=1, entries=3) as rig:
        rig.services[0].limit_per_s = 20.0
        await _load(rig, "/stock/1", seconds=0.5, per_s=20.0)
        assert {p.gateway.limits.limited_endpoints for p in rig.processes} == {1}
        rig.services[0].limit_per_s = None
        await rig.ask("GET", "/stock/1", "last")
        await wait_until(lambda: {p.gateway.limits.limited_endpoints for p in rig.processes} == {0})
