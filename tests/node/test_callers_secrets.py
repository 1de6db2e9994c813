"""Neither keys nor prompts are logged, and no key reaches an endpoint."""

import asyncio
from collections.abc import Iterator

import orjson
import pytest
from loguru import logger as log

from vanillashore_standins import EngineOptions
from vanillashore_standins.testing import (
    FLEET_SECRET,
    KEY,
    MODEL,
    FleetBase,
    FleetPlan,
    ProcessFleet,
    SmallFleet,
)

PROMPT = "quince-and-pistachio"
POISON = f"{PROMPT} CRASH-THE-ENGINE"
ORDER = b"order-of-saffron"
WRONG_KEY = "another-key-that-is-wrong"
SECRETS = (KEY, WRONG_KEY, FLEET_SECRET, PROMPT, ORDER.decode())


@pytest.fixture
def lines() -> Iterator[list[str]]:
    captured: list[str] = []
    sink = log.add(lambda message: captured.append(str(message)), level=0, serialize=True)
    yield captured
    log.remove(sink)


async def test_logs_contain_no_key_and_no_prompt(lines: list[str]) -> None:
    async with SmallFleet() as fleet:
        await send_everything(fleet)
        expect_no_key(fleet)
    assert len(lines) > 10
    expect_no_secret("".join(lines))


async def test_logs_of_processes_are_json_lines_without_secrets() -> None:
    async with ProcessFleet(FleetPlan(engine=EngineOptions(step_s=0.002))) as fleet:
        await send_everything(fleet)
        expect_no_key(fleet)
        for node in fleet.nodes.values():
            text = node.log_path.read_text()
            expect_no_secret(text)
            assert all(
                {"time", "level", "message", "node"} <= set(orjson.loads(line))
                for line in text.splitlines()
            )


async def send_everything(fleet: FleetBase) -> None:
    body = {"model": MODEL, "prompt": PROMPT, "max_tokens": 4}
    statuses = [
        await status(fleet, "/v1/completions", orjson.dumps(body)),
        await status(fleet, "/v1/completions", orjson.dumps(body | {"stream": True})),
        await status(fleet, "/v1/completions", orjson.dumps(body), key=WRONG_KEY),
        await status(fleet, "/v1/completions", orjson.dumps(body | {"model": "none"})),
        await status(fleet, "/v1/completions", orjson.dumps(body)[:-1]),
        await status(fleet, "/pay", ORDER),
        await status(fleet, "/pay", ORDER, key=WRONG_KEY),
    ]
    assert statuses == [200, 200, 401, 404, 400, 200, 401]
    assert await status(fleet, "/v1/completions", orjson.dumps(body | {"prompt": POISON})) != 200
    await asyncio.sleep(0.1)


async def status(fleet: FleetBase, path: str, data: bytes, key: str = KEY) -> int:
    headers = {"Idempotency-Key": "one"} if path == "/pay" else {}
    async with fleet.request("POST", 0, path, key=key, data=data, headers=headers) as response:
        await response.read()
        return response.status


def expect_no_secret(text: str) -> None:
    assert [secret for secret in SECRETS if secret in text] == []


def expect_no_key(fleet: FleetBase) -> None:
    engines = [str(engine.ledger.headers) for engine in fleet.engines.values()]
    services = [str(s.runs[0].headers) for s in fleet.service_states.values()]
    received = "".join([*engines, *services])
    assert received
    assert [s for s in (KEY, WRONG_KEY, FLEET_SECRET) if s in received] == []
