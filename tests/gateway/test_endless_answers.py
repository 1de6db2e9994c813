"""Endpoints that send bytes without end: bounded memory, and a new connection afterwards."""

import asyncio
from typing import Any

import pytest

from vanillashore_gateway import HttpConnection, LinkError, LinkFailure
from vanillashore_gateway._events import MAX_EVENT_BYTES, EventSplitter, OversizedEventError
from vanillashore_gateway._http_client import MAX_HEAD_BYTES, MAX_OVERHEAD_BYTES
from vanillashore_standins.platform_endpoint import Fault
from vanillashore_standins.platform_rig import PlatformRig, fail_first

ENDLESS = [fault for fault in Fault if fault.name.startswith("ENDLESS")]
UNTIL_CLOSED = [f for f in ENDLESS if f not in (Fault.ENDLESS_BODY, Fault.ENDLESS_EVENT)]


class _Transport(asyncio.Transport):
    """Records whether the connection was aborted."""

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False

    def write(self, data: Any) -> None: ...

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return _Socket()

    def is_closing(self) -> bool:
        return self.is_aborted

    def abort(self) -> None:
        self.is_aborted = True

    def pause_reading(self) -> None: ...


class _Socket:
    def setsockopt(self, *args: Any) -> None: ...


async def _read(conn: HttpConnection) -> bytes:
    await conn.head()
    return await conn.read()


def _connection() -> tuple[HttpConnection, _Transport]:
    conn, transport = HttpConnection(), _Transport()
    conn.connection_made(transport)
    conn.send(b"GET / HTTP/1.1\r\n\r\n")
    return conn, transport


@pytest.mark.parametrize(
    ("begin", "part"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 100),
        (b"HTTP/1.1 200 OK\r\na: ", b"b" * 600),
        (b"HTTP/1.1 200 ", b"O" * 600),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", b"e" * 600),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n" * 100),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 24),
    ],
)
async def test_bytes_that_bring_no_body_end_the_exchange_at_a_bound(
    begin: bytes, part: bytes
) -> None:
    conn, transport = _connection()
    conn.data_received(begin)
    received = len(begin)
    while not transport.is_aborted:
        conn.data_received(part)
        received += len(part)
        assert received <= MAX_OVERHEAD_BYTES + 2 * len(part)
    with pytest.raises(LinkError) as caught:
        await _read(conn)
    assert caught.value.failure is LinkFailure.GARBLED
    assert not conn.is_open


@pytest.mark.parametrize(("excess", "is_kept"), [(-40, True), (40, False)])
async def test_head_is_accepted_up_to_its_bound(excess: int, is_kept: bool) -> None:
    conn, transport = _connection()
    value = b"v" * (MAX_HEAD_BYTES - 40 + excess)
    conn.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Long: " + value + b"\r\n\r\n")
    assert transport.is_aborted is not is_kept


@pytest.mark.parametrize(("excess", "is_kept"), [(-16, True), (16, False)])
def test_event_is_accepted_up_to_its_bound(excess: int, is_kept: bool) -> None:
    splitter = EventSplitter()
    event = b"data: " + b"x" * (MAX_EVENT_BYTES + excess - 6)
    if is_kept:
        assert splitter.feed(event) == b""
        assert splitter.feed(b"\n\n") == event + b"\n\n"
        return
    with pytest.raises(OversizedEventError):
        splitter.feed(event)


@pytest.mark.parametrize("fault", ENDLESS)
async def test_idempotent_request_is_answered_by_another_endpoint_or_cut(fault: Fault) -> None:
    async with PlatformRig(services=2) as rig:
        fail_first(rig.services, fault)
        answer = await rig.ask("GET", "/stock/1", "id-1", X_Deadline_Ms="1500")
        if fault in UNTIL_CLOSED:
            assert (answer.status, answer.body) == (200, b"answer to id-1")
        else:
            assert not answer.is_complete
        assert (await rig.ask("GET", "/stock/1", "id-2")).body == b"answer to id-2"


@pytest.mark.parametrize("fault", ENDLESS)
async def test_payment_counts_as_one_that_may_have_run(fault: Fault) -> None:
    async with PlatformRig(services=2) as rig:
        fail_first(rig.services, fault)
        answer = await rig.ask("POST", "/pay/1", "id-1", b"pay", X_Deadline_Ms="1500")
        assert len(rig.arrivals("id-1")) == 1
        if fault in UNTIL_CLOSED:
            assert answer.status == 502
            assert b'"ran":"unknown"' in answer.body
        else:
            assert not answer.is_complete


@pytest.mark.parametrize("fault", [f for f in ENDLESS if f is not Fault.ENDLESS_BODY])
async def test_resumable_stream_goes_on_at_another_engine(fault: Fault) -> None:
    async with PlatformRig(prefills=1, decodes=2) as rig:
        fail_first(rig.decodes, fault)
        answer = await rig.generate("/quote/1", "id-1")
        assert (answer.status, answer.is_complete) == (200, True)
        assert answer.body.count(b"id: ") == 5


@pytest.mark.parametrize("fault", UNTIL_CLOSED)
async def test_reservation_is_made_at_another_engine(fault: Fault) -> None:
    async with PlatformRig(prefills=1, decodes=2) as rig:
        rig.decodes[0].control_fault = fault
        for number in range(4):
            answer = await rig.generate("/idea/1", f"id-{number}")
            assert (answer.status, answer.is_complete) == (200, True)
            assert rig.arrivals(f"id-{number}") == ["d1"]


async def test_long_answer_is_delivered_whole() -> None:
    async with PlatformRig(services=1) as rig:
        rig.services[0].body = b"0123456789abcdef" * 2_000_000
        answer = await rig.ask("GET", "/stock/1", "id-1")
        assert (answer.status, answer.is_complete) == (200, True)
        assert answer.body == rig.services[0].body


@pytest.mark.parametrize("size", [65_535, 65_536, 65_537, 200_000])
@pytest.mark.parametrize("path", ["/stock/1", "/pay/1"])
async def test_answer_is_whole_on_both_sides_of_what_is_held(size: int, path: str) -> None:
    async with PlatformRig(services=1) as rig:
        rig.services[0].body = b"x" * size
        answer = await rig.ask("POST", path, "id-1", b"body")
        assert (answer.status, answer.is_complete, answer.body) == (200, True, b"x" * size)


async def test_long_answer_that_breaks_off_does_not_look_complete_and_is_not_repeated() -> None:
    async with PlatformRig(services=2) as rig:
        for endpoint in rig.services:
            endpoint.body = b"x" * 400_000
            endpoint.faults.append(Fault.TRUNCATED)
        answer = await rig.ask("GET", "/stock/1", "id-1")
        assert not answer.is_complete
        assert len(rig.arrivals("id-1")) == 1
