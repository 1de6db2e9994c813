"""Configurations that take the last of something away: nobody may use what is left."""

import pytest

from vanillashore_standins import wait_until
from vanillashore_standins.platform_rig import KEY, WORKSPACE, PlatformRig, configuration


async def _change(rig: PlatformRig, **changes: object) -> None:
    config = configuration(2, **changes)
    rig.store.put("op/config", {k: v for k, v in config.items() if v is not None})
    await wait_until(lambda: rig.process.gateway.config_version == 2)


@pytest.mark.parametrize("key", [KEY, "unknown"])
@pytest.mark.parametrize(
    "tenants", [[{"name": WORKSPACE, "api_keys": []}], [{"name": WORKSPACE}], []]
)
@pytest.mark.parametrize("path", ["/pay/1", "/quote/1"])
async def test_nobody_is_served_once_the_last_key_is_gone(
    path: str, tenants: list[object], key: str
) -> None:
    async with PlatformRig(services=1, decodes=1) as rig:
        assert (await rig.ask("POST", "/pay/1", "id-0", b"pay")).status == 200
        await _change(rig, tenants=tenants)
        answer = await rig.ask("POST", path, "id-1", b"pay", key=key)
        assert (answer.status, rig.arrivals("id-1")) == (401, [])


async def test_open_route_serves_without_any_key_in_force() -> None:
    async with PlatformRig(services=1) as rig:
        await _change(rig, tenants=[])
        assert (await rig.ask("GET", "/open/1", "id-1", key="")).status == 200


async def test_configuration_without_workspaces_asks_for_no_key() -> None:
    async with PlatformRig(services=1) as rig:
        await _change(rig, tenants=None)
        assert (await rig.ask("GET", "/stock/1", "id-1", key="")).status == 200


async def test_nothing_is_routed_once_the_last_route_is_gone() -> None:
    async with PlatformRig(services=1) as rig:
        await _change(rig, routes=[])
        answer = await rig.ask("POST", "/pay/1", "id-1", b"pay")
        assert (answer.status, rig.arrivals("id-1")) == (404, [])


async def test_nothing_is_sent_once_the_last_endpoint_is_gone() -> None:
    async with PlatformRig(services=1) as rig:
        rig.store.remove("servers/s0")
        await wait_until(lambda: len(rig.process.gateway.membership) == 0)
        answer = await rig.ask("POST", "/pay/1", "id-1", b"pay")
        assert (answer.status, rig.arrivals("id-1")) == (503, [])
