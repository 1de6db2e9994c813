"""Changes of the configuration beside requests: each gets a complete answer or a refusal."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine
from typing import Any, Self

import orjson
import pytest

from vanillashore_adapter import decode_config, decode_endpoint
from vanillashore_gateway import (
    ConfigWritten,
    EndpointRemoved,
    EndpointWritten,
    EntryRemoved,
    EntryWritten,
)
from vanillashore_gateway._home_ranking import rank_homes
from vanillashore_standins import wait_until
from vanillashore_standins.platform_endpoint import EngineOptions, Fault
from vanillashore_standins.platform_rig import (
    KEY,
    LOOPBACK,
    ORDERS,
    WORKSPACE,
    Answer,
    PlatformRig,
    configuration,
    read_answer,
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


_TENANTS = [
    {"name": WORKSPACE, "api_keys": [KEY], "unit": "token_stream"},
    {"name": "till", "api_keys": ["key-of-till"], "rate_per_s": 4_000, "burst": 4_000},
]
_PATIENT = {"X_Deadline_Ms": "30000"}
_CONFIG = configuration(2, tenants=_TENANTS)
_CONFIG["routes"] = [
    row | {"timeout_ms": 30_000, "target_latency_ms": 5_000} for row in _CONFIG["routes"]
]


class _RequestsInEveryState:
    """Requests that wait or run at each point at which a change may find them.

    ``finish`` lets the endpoints go on and returns the answers. Those of ``begun`` were admitted
    before the change; the others were sent in part or, with ``has_idle``, on an idle connection.
    """

    def __init__(self, log_lines: list[dict[str, Any]], has_idle: bool = True) -> None:
        options = EngineOptions(events=20, pause_s=0.005)
        self.rig = PlatformRig(services=1, prefills=1, decodes=1, engine=options)
        self.begun: dict[str, asyncio.Task[Answer]] = {}
        self._log_lines = log_lines
        self._later_bodies = (b"half read", b"") if has_idle else (b"half read",)
        self._later: list[tuple[asyncio.StreamReader, asyncio.StreamWriter, bytes]] = []

    async def __aenter__(self) -> Self:
        rig = await self.rig.__aenter__()
        service, prefill, decode = rig.endpoints
        _activate(rig, _CONFIG)
        service.limit_per_s = 5.0
        for body in self._later_bodies:
            await self._send_first(body)
        self._begin("running stream", rig.generate("/idea/1", "running", **_PATIENT))
        await wait_until(lambda: bool(decode.runs))
        for endpoint in rig.endpoints:
            endpoint.may_answer.clear()
        self._begin("reserved", rig.generate("/idea/1", "reserved", **_PATIENT))
        await wait_until(lambda: len(prefill.arrivals) == 2)
        decode.engine.room = 0
        self._begin("queued", rig.generate("/idea/1", "queued", **_PATIENT))
        resumed = {"Last_Event_Id": "2", "Resumes": "first-part"}
        self._begin("taken up again", rig.generate("/quote/1", "again", **_PATIENT, **resumed))
        self._begin("running call", rig.ask("POST", "/pay/1", "running-call", **_PATIENT))
        await wait_until(lambda: bool(rig.arrivals("running-call")))
        for number in range(2):
            self._begin(
                f"limited {number}", rig.ask("GET", "/stock/1", f"limited-{number}", **_PATIENT)
            )
        await wait_until(self._has_logged("the endpoint is at its request limit"))
        self._begin(
            "without tokens", rig.generate("/idea/1", "tokens", key="key-of-till", **_PATIENT)
        )
        await wait_until(lambda: rig.process.gateway.active == len(self.begun))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self.begun.values():
            task.cancel()
        for _, writer, _ in self._later:
            writer.close()
        await self.rig.__aexit__(*exc_info)

    async def finish(self) -> tuple[dict[str, Answer], list[Answer]]:
        """Let the endpoints go on; return the answers of ``begun``, and the other ones."""
        for endpoint in self.rig.endpoints:
            endpoint.may_answer.set()
        self.rig.decodes[0].engine.room = 1_000_000
        answers = await asyncio.gather(*self.begun.values())
        later = []
        for reader, writer, data in self._later:
            writer.write(data)
            later.append(await read_answer(reader))
        return dict(zip(self.begun, answers, strict=True)), later

    def _begin(self, name: str, asking: Coroutine[Any, Any, Answer]) -> None:
        self.begun[name] = asyncio.ensure_future(asking)

    def _has_logged(self, message: str) -> Callable[[], bool]:
        return lambda: any(line["message"] == message for line in self._log_lines)

    async def _send_first(self, body: bytes) -> None:
        """Send a request on a connection that is kept, and the first half of ``body``'s request."""
        reader, writer = await asyncio.open_connection(*self.rig.process.front_address)
        writer.write(self.rig.encode("GET", "/open/1", "first", Connection="keep-alive"))
        assert (await read_answer(reader)).status == 200
        data = self.rig.encode("POST", "/open/1", "later", body)
        sent = len(data) // 2 if body else 0
        writer.write(data[:sent])
        self._later.append((reader, writer, data[sent:]))


def _without(name: str) -> dict[str, Any]:
    return _CONFIG | {"version": 3, name: []}


def _with_routes(**changes: Any) -> dict[str, Any]:
    return _CONFIG | {"version": 3, "routes": [row | changes for row in _CONFIG["routes"]]}


def _with_tenants(**changes: Any) -> dict[str, Any]:
    return _CONFIG | {"version": 3, "tenants": [row | changes for row in _TENANTS]}


_LOWEST_LIMITS = {
    "max_header_bytes": 1,
    "max_body_bytes": 1,
    "header_timeout_ms": 1,
    "idle_timeout_ms": 1,
}
_CHANGES = {
    "routes removed": _without("routes"),
    "services removed": _without("services"),
    "workspaces removed": _without("tenants"),
    "keys withdrawn": _with_tenants(api_keys=["another"]),
    "rates lifted": _with_tenants(rate_per_s=0),
    "rates lowered": _with_tenants(rate_per_s=1e-3),
    "limits lowered": _CONFIG | {"version": 3, "limits": _LOWEST_LIMITS},
    "time-outs lowered": _with_routes(timeout_ms=1, target_latency_ms=1, gap_target_ms=1),
    "attempts lowered": _with_routes(max_attempts=0, resumable=False),
    "streams become calls": _with_routes(kind="non_idempotent", session_affinity=False),
    "calls become streams": _with_routes(kind="streaming", session_affinity=True, resumable=True),
    "routes moved": _with_routes(service="another"),
}


@pytest.mark.parametrize("change", _CHANGES)
async def test_requests_in_every_state_are_answered_beside_a_change(
    change: str, log_lines: list[dict[str, Any]]
) -> None:
    async with _RequestsInEveryState(log_lines) as requests:
        _activate(requests.rig, _CHANGES[change])
        begun, later = await requests.finish()
        assert {name: answer.status for name, answer in begun.items()} == dict.fromkeys(begun, 200)
        assert all(answer.is_complete for answer in [*begun.values(), *later])
        assert all(answer.status != 500 for answer in later)


@pytest.mark.parametrize("change", _CHANGES)
async def test_requests_in_every_state_are_answered_beside_a_change_while_the_entry_stops(
    change: str, log_lines: list[dict[str, Any]]
) -> None:
    async with _RequestsInEveryState(log_lines, has_idle=False) as requests:
        stopping = asyncio.ensure_future(requests.rig.process.shut_down())
        await wait_until(lambda: requests.rig.process.gateway.shutdown.ends_at is not None)
        _activate(requests.rig, _CHANGES[change])
        begun, later = await requests.finish()
        assert {answer.status for answer in begun.values()} <= {200, 503}
        assert begun["running stream"].status == begun["running call"].status == 200
        assert all(answer.is_complete for answer in [*begun.values(), *later])
        await stopping


_ENDPOINT_CHANGES: dict[str, dict[str, Any]] = {
    "gone": {},
    "draining": {"state": "draining"},
    "other service": {"service": "another"},
    "other stage": {"stage": "prefill"},
}


@pytest.mark.parametrize("change", _ENDPOINT_CHANGES)
async def test_requests_in_every_state_are_answered_while_their_endpoints_leave(
    change: str, log_lines: list[dict[str, Any]]
) -> None:
    async with _RequestsInEveryState(log_lines) as requests:
        for endpoint in requests.rig.endpoints:
            record = endpoint.entry(**_ENDPOINT_CHANGES[change])
            written = decode_endpoint(endpoint.instance, orjson.dumps(record))
            gone = EndpointRemoved(endpoint.instance)
            is_gone = change == "gone"
            requests.rig.process.gateway.apply_change(gone if is_gone else EndpointWritten(written))
        begun, later = await requests.finish()
        assert {answer.status for answer in begun.values()} <= {200, 503}
        for name in ("running stream", "running call", "reserved"):
            assert begun[name].status == 200
        assert all(answer.is_complete for answer in [*begun.values(), *later])
        assert all(answer.status != 500 for answer in later)


async def test_request_after_an_answer_that_began_before_the_stop_is_answered() -> None:
    options = EngineOptions(events=3)
    async with PlatformRig(services=1, decodes=1, engine=options) as rig:
        reader, writer = await asyncio.open_connection(*rig.process.front_address)
        rig.decodes[0].faults.append(Fault.STALLS)
        rig.decodes[0].engine.stall_s = 0.1
        writer.write(rig.encode("POST", "/idea/1", "id-1", Connection="keep-alive"))
        head = await reader.readuntil(b"\r\n\r\n")
        stopping = asyncio.ensure_future(rig.process.shut_down())
        await wait_until(lambda: rig.process.gateway.shutdown.ends_at is not None)
        await reader.readuntil(b"0\r\n\r\n")
        writer.write(rig.encode("GET", "/stock/1", "id-2", Connection="keep-alive"))
        second = await reader.read()
        writer.close()
        assert b"Connection: close" not in head
        assert b"Connection: close" in second
        assert second.endswith(b"answer to id-2")
        await stopping


@pytest.mark.parametrize("is_in_one_part", [False, True])
async def test_half_of_a_request_behind_a_long_answer_is_not_kept_without_a_time_limit(
    is_in_one_part: bool,
) -> None:
    async with PlatformRig(services=1) as rig:
        _activate(rig, configuration(2, limits={"header_timeout_ms": 50}))
        rig.services[0].may_answer.clear()
        reader, writer = await asyncio.open_connection(*rig.process.front_address)
        whole = rig.encode("GET", "/stock/1", "id-1", Connection="keep-alive")
        parts = (whole, whole[:40])
        for data in [b"".join(parts)] if is_in_one_part else parts:
            writer.write(data)
            await wait_until(lambda: bool(rig.arrivals("id-1")))
        await asyncio.sleep(0.1)
        rig.services[0].may_answer.set()
        answers = await reader.read()
        writer.close()
        assert answers.partition(b"answer to id-1")[2].startswith(b"HTTP/1.1 408 ")


async def test_home_that_knows_first_that_a_rate_is_lifted_grants_the_tokens(
    log_lines: list[dict[str, Any]],
) -> None:
    async with PlatformRig(services=1, entries=2) as rig:
        tenants = [{"name": WORKSPACE, "api_keys": [KEY], "rate_per_s": 1e6, "burst": 1e6}]
        _activate(rig, configuration(2, tenants=tenants))
        lifted = configuration(3, tenants=[tenants[0] | {"rate_per_s": 0}])
        homes = rank_homes(WORKSPACE, ["entry-1", "entry-2"])
        home, other = (int(name[-1]) - 1 for name in homes)
        change = ConfigWritten(decode_config(orjson.dumps(lifted)))
        rig.processes[home].gateway.apply_change(change)
        assert (await rig.generate("/stock/1", "id-1", entry=other)).status == 200
        messages = [line["message"] for line in log_lines]
        assert "an entry did not answer in time" not in messages


async def test_first_request_of_a_connection_is_awaited_longer_than_a_short_idle_time() -> None:
    async with PlatformRig(services=1) as rig:
        _activate(rig, configuration(2, limits={"idle_timeout_ms": 1}))
        reader, writer = await asyncio.open_connection(*rig.process.front_address)
        await asyncio.sleep(0.05)
        writer.write(rig.encode("GET", "/stock/1", "id-1"))
        answer = await read_answer(reader)
        writer.close()
        assert (answer.status, answer.is_complete) == (200, True)
