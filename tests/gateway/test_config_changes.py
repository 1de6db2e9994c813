"""Changes of the configuration beside requests: each gets a complete answer or a refusal."""

import asyncio
from collections.abc import Callable
from typing import Any

import orjson
import pytest

from vanillashore_adapter import decode_config
from vanillashore_gateway import ConfigWritten, EntryRemoved, EntryWritten
from vanillashore_standins.platform_rig import (
    KEY,
    LOOPBACK,
    ORDERS,
    PlatformRig,
    configuration,
    route,
)


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


class _SilentPeer(asyncio.DatagramProtocol):
    """An entry that answers nothing; ``on_datagram`` is called with each message."""

    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._on_datagram(data)


@pytest.mark.parametrize(
    ("path", "first_message"),
    [("/stock/1", b'["ask"'), ("/stock/1", b'["limit ask"'), ("/quote/1", b'["prefill"')],
)
async def test_request_is_answered_although_the_entry_to_ask_next_leaves_meanwhile(
    path: str, first_message: bytes
) -> None:
    async with PlatformRig(services=1, prefills=1, decodes=1) as rig:
        gateway = rig.process.gateway
        tenants = [{"name": "till", "api_keys": [KEY], "rate_per_s": 1e7, "burst": 1e7}]
        config = configuration(2, tenants=tenants)
        for row in config["routes"]:
            row["target_latency_ms"] = 3_000
        _activate(rig, config)
        rig.services[0].limit_per_s = 1e3
        assert (await rig.generate("/stock/1", "names-the-limit")).status == 200
        left = []

        def leave(data: bytes) -> None:
            if data.startswith(first_message) and not left:
                left.extend(peers)
                for name in peers:
                    gateway.apply_change(EntryRemoved(name))

        peers = [f"peer-{number}" for number in range(16)]
        loop = asyncio.get_running_loop()
        for name in peers:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: _SilentPeer(leave), local_addr=LOOPBACK
            )
            gateway.apply_change(EntryWritten(name, transport.get_extra_info("sockname")))
        answer = await rig.generate(path, "id-1")
        assert (answer.status, answer.is_complete) == (200, True)
        assert left == peers
