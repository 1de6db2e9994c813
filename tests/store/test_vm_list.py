import aiohttp
import pytest

from vanillashore_standins import ServedApp, VmListState, vm_list_app
from vanillashore_store import HttpVmList
from vanillashore_wire import VanillashoreError


def _vm(name: str) -> dict[str, str]:
    return {"name": name, "address": "http://10.0.0.1:1", "data_centre": "dc-1", "kind": "entry"}


async def test_unchanged_list_is_not_sent_again_and_a_change_is_fetched() -> None:
    state = VmListState()
    for number in range(200):
        state.put(_vm(f"vm-{number}"))
    async with ServedApp(vm_list_app(state)) as served, aiohttp.ClientSession() as session:
        vm_list = HttpVmList(session, served.address, 1.0)
        first = await vm_list.fetch()
        full_bytes = state.traffic_bytes
        assert await vm_list.fetch() is first
        assert (state.traffic_bytes - full_bytes) * 10 < full_bytes
        state.remove("vm-7")
        assert len(await vm_list.fetch()) == 199


async def test_unreachable_list_raises_an_error() -> None:
    async with aiohttp.ClientSession() as session:
        with pytest.raises(VanillashoreError, match="VM list"):
            await HttpVmList(session, "http://127.0.0.1:1", 0.5).fetch()
