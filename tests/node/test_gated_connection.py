"""What a node's gate does for callers that pipeline, stall or are answered early."""

import asyncio
import time

import attrs

from vanillashore_ingress._held_bytes import Admission, CallerAccount, HeldLimits
from vanillashore_schema import LimitSettings
from vanillashore_standins.testing import KEY, FleetPlan, SmallFleet

LIMITS = LimitSettings(body_bytes=200_000, header_bytes=2_000, body_timeout_s=0.5)
PLAN = FleetPlan(prefills=0, decodes=0, limits=LIMITS)
HEAD = f"POST /pay HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n".encode()
ORDER = HEAD + b"Content-Length: 5\r\n\r\norder"


async def _connect(fleet: SmallFleet) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(*fleet.entries[0].core.gate.address)


async def _read_statuses(reader: asyncio.StreamReader, count: int) -> list[bytes]:
    statuses = []
    async with asyncio.timeout(10.0):
        for _ in range(count):
            head = await reader.readuntil(b"\r\n\r\n")
            statuses.append(head.split(b" ")[1])
            headers = head.lower().split(b"\r\n")
            (length,) = [h for h in headers if h.startswith(b"content-length:")]
            await reader.readexactly(int(length.split(b":")[1]))
    return statuses


async def test_pipelined_requests_are_answered_in_order_however_they_are_split() -> None:
    data = b"\r\n" + ORDER * 3
    async with SmallFleet(PLAN) as fleet:
        for at in range(len(ORDER) - 8, len(ORDER) + 8):
            reader, writer = await _connect(fleet)
            writer.write(data[:at])
            await asyncio.sleep(0.01)
            writer.write(data[at:])
            assert await _read_statuses(reader, 3) == [b"200"] * 3
            writer.close()
        # No time-out of a head is left that would end a later request.
        reader, writer = await _connect(fleet)
        for _ in range(3):
            writer.write(ORDER)
            assert await _read_statuses(reader, 1) == [b"200"]
            await asyncio.sleep(LIMITS.body_timeout_s)
        writer.close()


async def test_slow_head_is_refused_and_nothing_follows() -> None:
    async with SmallFleet(PLAN) as fleet:
        reader, writer = await _connect(fleet)
        writer.write(HEAD)
        async with asyncio.timeout(10.0):
            answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 408")
        assert answer.count(b"HTTP/1.1") == 1
        writer.close()


async def test_request_that_is_answered_early_gets_one_answer_whatever_follows() -> None:
    async with SmallFleet(PLAN) as fleet:
        reader, writer = await _connect(fleet)
        unknown = HEAD.replace(KEY.encode(), b"wrong")
        writer.write(unknown + b"Content-Length: 150000\r\n\r\n")
        assert await _read_statuses(reader, 1) == [b"401"]
        writer.write(b"b" * 150_000 + ORDER)
        assert await _read_statuses(reader, 1) == [b"200"]
        writer.close()


async def test_stalled_body_gives_way_to_another_request() -> None:
    limits = attrs.evolve(LIMITS, body_timeout_s=60.0)
    async with SmallFleet(attrs.evolve(PLAN, limits=limits)) as fleet:
        held = fleet.entries[0].core.gate.state.held
        held.limits = HeldLimits(300_000, 300_000, held.request_bytes)
        reader, writer = await _connect(fleet)
        writer.write(HEAD + b"Content-Length: 180000\r\n\r\n" + b"b" * 100_000)
        await fleet.until(lambda: held.held >= 180_000)
        other, other_writer = await _connect(fleet)
        other_writer.write(HEAD + b"Content-Length: 60000\r\n\r\n" + b"b" * 60_000)
        assert await _read_statuses(other, 1) == [b"200"]
        assert await _read_statuses(reader, 1) == [b"503"]
        assert held.gave_way == 1
        for each in (writer, other_writer):
            each.close()
        await fleet.until(lambda: held.held == 0)


async def test_many_uploads_at_once_are_all_received() -> None:
    async with SmallFleet(PLAN) as fleet:
        body = b"b" * 100_000
        asked = [fleet.request("POST", 0, "/pay", data=body) for _ in range(100)]
        for answer in await asyncio.gather(*asked):
            # The service's queue is full, but the body was received.
            assert answer.status == 200 or b"overloaded" in await answer.read()


async def test_request_whose_head_is_whole_is_not_refused_in_favour_of_another() -> None:
    """Guards against a 503 to a request that the server has in hand and runs."""
    async with SmallFleet(PLAN) as fleet:
        gate = fleet.entries[0].core.gate.state
        gate.held.limits = HeldLimits(300_000, 300_000, gate.held.request_bytes)
        reader, writer = await _connect(fleet)
        writer.write(ORDER[:20])
        await fleet.until(lambda: gate.held.held > 0)
        (conn,) = gate.table._standings
        receive_head = conn._receive_head

        def receive_beside_another(data: bytes) -> None:
            receive_head(data)
            # Before the server's task gets this request, another one needs more than is left.
            gate.held.clock = lambda: time.monotonic() + 60.0
            left = gate.held.limits.total - gate.held.held - gate.held.request_bytes
            assert CallerAccount(gate.held).begin(left + 1_000) is Admission.ADMITTED

        conn._receive_head = receive_beside_another
        writer.write(ORDER[20:])
        async with asyncio.timeout(10.0):
            answer = await reader.readuntil(b"\r\n\r\n")
        await fleet.until(lambda: not fleet.entries[0].core.state.active)
        writer.close()
        ran = sum(s.runs_of("/pay", b"order") for s in fleet.service_states.values())
        assert (answer[9:12], ran) in ((b"503", 0), (b"200", 1))
