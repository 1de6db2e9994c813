"""Changes of the configuration beside requests: each gets a complete answer or a refusal."""

from typing import Any

import orjson
import pytest

from vanillashore_adapter import decode_config
from vanillashore_gateway import ConfigWritten
from vanillashore_standins.platform_rig import ORDERS, PlatformRig, configuration, route


def _activate(rig: PlatformRig, config: dict[str, Any]) -> None:
    """Put a configuration into force at once, as if the store had just delivered it."""
    for process in rig.processes:
        process.gateway.apply_change(ConfigWritten(decode_config(orjson.dumps(config))))


@pytest.mark.parametrize("weights", [(0.9, 0.1), (0, 0), (-1, 0)])
async def test_weights_that_are_fractions_or_zero_leave_no_request_unanswered(
    weights: tuple[float, float],
) -> None:
    async with PlatformRig(services=1) as rig:
        split = [{"service": ORDERS, "weight": weight} for weight in weights]
        routes = [route("/stock/", "idempotent", ORDERS, traffic_split=split)]
        _activate(rig, configuration(2, routes=routes))
        answer = await rig.ask("GET", "/stock/1", "id-1")
        assert (answer.status, answer.is_complete) == (200, True)


@pytest.mark.parametrize("path", ["/stock/1", "/quote/1"])
async def test_request_that_fails_unexpectedly_is_answered(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with PlatformRig(services=1, prefills=1, decodes=1) as rig:

        def fail(*_: object) -> None:
            raise KeyError("unexpected")

        monkeypatch.setattr(rig.process.gateway.balancer, "choose", fail)
        answer = await rig.generate(path, "id-1")
        assert (answer.status, answer.is_complete) == (500, True)
        assert answer.headers["x-request-id"] == "id-1"
        assert b'"ran":"unknown"' in answer.body
