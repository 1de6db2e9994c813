"""Contracts of the stand-ins for service, VM list and weight store, on which other tests rely."""

import asyncio
from typing import Any

import aiohttp
import pytest

from vanillashore_standins import (
    ServedApp,
    ServiceOptions,
    ServiceState,
    VmListState,
    WeightStoreState,
    service_app,
    vm_list_app,
    weight_store_app,
)


@pytest.fixture
async def session() -> Any:
    async with aiohttp.ClientSession() as opened:
        yield opened


async def test_service_records_the_calls_that_it_ran(session: aiohttp.ClientSession) -> None:
    state = ServiceState(ServiceOptions(name="desk", fail_before_run=1))
    async with ServedApp(service_app(state)) as served:
        statuses = []
        for _ in range(3):
            async with session.post(served.address + "/pay?x=1", data=b"17") as response:
                statuses.append(response.status)
                answer = await response.json()
    assert statuses == [503, 200, 200]
    assert answer == {"service": "desk", "run": 2, "echo": "17"}
    assert state.runs_of("/pay", b"17") == 2


async def test_service_loses_a_response_after_the_run(session: aiohttp.ClientSession) -> None:
    state = ServiceState(ServiceOptions(lose_answers=1))
    async with ServedApp(service_app(state)) as served:
        with pytest.raises(aiohttp.ClientError):
            await session.post(served.address + "/pay", data=b"17")
        async with session.post(served.address + "/pay", data=b"18") as response:
            assert response.status == 200
    assert (state.runs_of("/pay", b"17"), state.runs_of("/pay", b"18")) == (1, 1)


async def test_vm_list_publishes_changes_after_its_lag(session: aiohttp.ClientSession) -> None:
    now = 0.0
    state = VmListState(lag_s=2.0, clock=lambda: now)
    async with ServedApp(vm_list_app(state)) as served:
        url = served.address + "/v1/vms"

        async def names() -> list[str]:
            async with session.get(url) as response:
                return [vm["name"] for vm in (await response.json())["vms"]]

        await session.post(url, json={"vms": [{"name": "a"}, {"name": "b"}]})
        listed_names = [await names()]
        now = 2.0
        listed_names.append(await names())
        await session.delete(url + "/a")
        now = 3.9
        listed_names.append(await names())
        now = 4.0
        listed_names.append(await names())
    assert listed_names == [[], ["a", "b"], ["a", "b"], ["b"]]


async def test_weight_store_serves_one_download_at_a_time(
    session: aiohttp.ClientSession,
) -> None:
    state = WeightStoreState(rate_gb_per_s=100.0)
    loop = asyncio.get_running_loop()
    async with ServedApp(weight_store_app(state)) as served:
        started = loop.time()
        url = served.address + "/weights/m/1?size_gb=5"
        await asyncio.gather(*(session.get(url) for _ in range(3)))
        assert loop.time() - started >= 0.15
        async with session.get(served.address + "/stats") as response:
            assert await response.json() == {"downloads": 3, "most_at_once": 3}
