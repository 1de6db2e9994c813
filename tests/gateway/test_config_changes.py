"""Changes of the configuration beside requests: each gets a complete answer or a refusal."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any

import orjson
import pytest

from vanillashore_adapter import decode_config
from vanillashore_gateway import ConfigWritten, EntryRemoved, EntryWritten
from vanillashore_standins import wait_until
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


class _SlowReader:
    """A caller whose kernel takes little of an answer before the caller reads it."""

    def __init__(self) -> None:
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)

    async def connect(self, address: tuple[str, int]) -> None:
        await asyncio.get_running_loop().sock_connect(self._sock, address)

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self._sock, data)

    async def read_to_end(self) -> bytes:
        """Return all bytes until the connection ends, by a reset or otherwise."""
        parts = []
        with self._sock, contextlib.suppress(ConnectionError):
            while part := await asyncio.get_running_loop().sock_recv(self._sock, 65_536):
                parts.append(part)
        return b"".join(parts)


async def _send_before_reading(rig: PlatformRig, *later: bytes) -> bytes:
    """Send a request, and more once its answer has been written; return all that comes back."""
    rig.services[0].body = b"x" * 60_000 + b"the end"
    caller = _SlowReader()
    await caller.connect(rig.process.front_address)
    await caller.send(rig.encode("GET", "/stock/1", "id-1", Connection="keep-alive"))
    await wait_until(lambda: bool(rig.arrivals("id-1")) and not rig.process.gateway.active)
    with contextlib.suppress(ConnectionError):
        for data in later:
            await caller.send(data)
            await asyncio.sleep(0.01)
    return await caller.read_to_end()


async def test_answer_is_not_cut_off_if_its_caller_sends_another_request_to_a_stopping_entry() -> (
    None
):
    async with PlatformRig(services=1) as rig:
        stopping = asyncio.ensure_future(rig.process.shut_down())
        await wait_until(lambda: rig.process.gateway.shutdown.ends_at is not None)
        another = rig.encode("GET", "/stock/1", "id-2")
        received = await _send_before_reading(rig, another, another)
        assert received.endswith(b"the end")
        await stopping


async def test_answer_is_not_cut_off_if_its_caller_exceeds_a_lowered_limit_meanwhile() -> None:
    async with PlatformRig(services=1) as rig:
        limits = {"max_header_bytes": 300}
        _activate(rig, configuration(2, limits=limits))
        too_large = rig.encode("GET", "/stock/1", "id-2", X_More="x" * 400)
        received = await _send_before_reading(rig, too_large, too_large)
        assert received.count(b"the end") == 1
        assert received.partition(b"the end")[2].startswith(b"HTTP/1.1 431 ")
        assert received.endswith(b"}")


async def test_refusal_reaches_a_caller_that_reads_it_after_sending_all_of_its_body() -> None:
    async with PlatformRig(services=1) as rig:
        data = rig.encode("POST", "/stock/1", "id-1", b"x" * 90_000)
        reader, writer = await asyncio.open_connection(*rig.process.front_address)
        writer.write(data[:20_000])
        await wait_until(lambda: any(not c.is_idle for c in rig.process.gateway.front.connections))
        _activate(rig, configuration(2, limits={"max_body_bytes": 30_000}))
        for start in range(20_000, len(data), 10_000):
            writer.write(data[start : start + 10_000])
            await writer.drain()
            await asyncio.sleep(0.01)
        assert (await reader.read()).startswith(b"HTTP/1.1 413 ")
        writer.close()


@pytest.mark.parametrize("is_stopping", [False, True])
async def test_only_the_last_answer_to_pipelined_requests_says_that_the_connection_closes(
    is_stopping: bool,
) -> None:
    async with PlatformRig(services=1) as rig:
        if is_stopping:
            stopping = asyncio.ensure_future(rig.process.shut_down())
            await wait_until(lambda: rig.process.gateway.shutdown.ends_at is not None)
        reader, writer = await asyncio.open_connection(*rig.process.front_address)
        last = {"Connection": "keep-alive" if is_stopping else "close"}
        writer.write(
            rig.encode("GET", "/stock/1", "id-1", Connection="keep-alive")
            + rig.encode("GET", "/stock/1", "id-2", **last)
        )
        first, _, second = (await reader.read()).partition(b"answer to id-1")
        writer.close()
        assert b"Connection: close" not in first
        assert b"Connection: close" in second
        assert second.endswith(b"answer to id-2")
        if is_stopping:
            await stopping
