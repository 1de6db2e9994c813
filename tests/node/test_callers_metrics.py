"""Metrics named by the OpenTelemetry semantic conventions, only for scrapers with the token."""

import re

import attrs
import pytest

from vanillashore_schema import NodeRole, NodeSettings
from vanillashore_standins.testing import MODEL, SmallFleet

TOKEN = "token-of-the-scraper"


class ScrapedFleet(SmallFleet):
    def _settings(self, vm: str, role: NodeRole, *args: object) -> NodeSettings:
        cfg = super()._settings(vm, role, *args)
        return attrs.evolve(cfg, node=attrs.evolve(cfg.node, metrics_token=TOKEN))


async def scrape(fleet: SmallFleet, token: str = TOKEN) -> tuple[int, str]:
    async with fleet.get(0, "/metrics", key=token) as response:
        return response.status, await response.text()


async def test_metrics_count_requests() -> None:
    async with ScrapedFleet() as fleet:
        body = {"model": MODEL, "prompt": "a cake", "max_tokens": 9}
        for stream in (False, True):
            async with fleet.post(0, "/v1/completions", body | {"stream": stream}) as response:
                await response.read()
        for path in ("/stock", "/no/such/path", "/another"):
            async with fleet.get(0, path) as response:
                await response.read()
        status, text = await scrape(fleet)
    assert status == 200
    assert value(text, "http_server_request_duration_seconds_count", "/v1/completions") == 2
    assert value(text, "http_server_request_duration_seconds_count", "/stock") == 1
    assert value(text, "http_server_request_duration_seconds_count", "other") == 2
    assert value(text, "gen_ai_server_time_to_first_token_seconds_count", MODEL) == 2
    assert value(text, "gen_ai_server_time_per_output_token_seconds_count", MODEL) == 2
    assert value(text, "http_server_active_requests", "") == 0
    assert value(text, "process_cpu_time_seconds_total", "user") > 0
    assert value(text, "vanillashore_link_io_bytes_total", "transmit") > 0
    assert "/no/such/path" not in text


@pytest.mark.parametrize("token", ["", "wrong", "key-of-workspace-a"])
async def test_metrics_need_the_token(token: str) -> None:
    async with ScrapedFleet() as fleet:
        assert await scrape(fleet, token) == (404, "not found")


async def test_no_metrics_without_a_token_in_the_settings() -> None:
    async with SmallFleet() as fleet:
        assert await scrape(fleet, "") == (404, "not found")


def value(text: str, name: str, label: str) -> float:
    found = [
        float(match[2])
        for match in re.finditer(rf"^{name}(\{{.*\}})? ([\d.e+-]+)$", text, re.MULTILINE)
        if f'"{label}"' in (match[1] or "") or not label
    ]
    assert found, f"no {name} with {label!r}"
    return sum(found)
