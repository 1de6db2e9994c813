"""The complete request path: caller, entry, sidecars and engines."""

import pytest

from vanillashore_standins import generate
from vanillashore_standins.testing import MODEL, FleetPlan, SmallFleet


async def test_completion_without_streaming_is_correct() -> None:
    async with SmallFleet() as fleet:
        body = {"model": MODEL, "prompt": "a cake", "max_tokens": 12}
        async with fleet.post(0, "/v1/completions", body) as response:
            answer = await response.json()
        assert response.status == 200
        assert answer["choices"][0]["text"] == generate("a cake", 12)
        assert answer["usage"]["completion_tokens"] == 12


async def test_nothing_is_held_after_the_answer() -> None:
    async with SmallFleet() as fleet:
        body = {"model": MODEL, "prompt": "a cake", "max_tokens": 3}
        async with fleet.post(0, "/v1/completions", body) as response:
            await response.read()
        await fleet.until(lambda: fleet.held_pieces() == 0)


@pytest.mark.parametrize(
    ("key", "path", "status", "code"),
    [
        ("wrong", "/stock", 401, "key_invalid"),
        ("", "/stock", 401, "key_missing"),
        ("wrong", "/hours", 200, None),
        ("key-of-workspace-a", "/nowhere", 404, "route_unknown"),
        ("key-of-workspace-a", "/pay", 405, "method_not_allowed"),
    ],
)
async def test_keys_and_routes(key: str, path: str, status: int, code: str | None) -> None:
    async with SmallFleet(FleetPlan(prefills=0, decodes=0)) as fleet:
        async with fleet.get(0, path, key=key) as response:
            answer = await response.json()
        assert response.status == status
        assert answer.get("error", {}).get("code") == code
