"""Answers that come before their request was read, and end before it is sent."""

import asyncio
import socket
import struct
import threading
from typing import Any

import pytest

from vanillashore_adapter import HttpStore
from vanillashore_gateway import LinkError, LinkFailure, StoreUnavailableError, StreamOrigin
from vanillashore_gateway._http_client import (
    LONG_REQUEST_BYTES,
    RESET_CHECK_S,
    RESET_DELAY_S,
    open_connection,
)
from vanillashore_standins import wait_until
from vanillashore_standins.platform_endpoint import EarlyAnswer
from vanillashore_standins.platform_rig import Answer, PlatformRig, configuration

LONG = 2_000_000  # More than the kernels of both sides hold.
SHORT = LONG_REQUEST_BYTES + 1  # As a whole in the kernel of the endpoint, before its head is read.
SIZES = pytest.mark.parametrize("size", [SHORT, LONG])
WHOLE = b"a whole answer"
PART = WHOLE[:7]
EVENT = b"id: 1\ndata: w1\n\n"
RESETS = pytest.mark.parametrize("reset_s", [0.0, 0.02, 0.05])


def _rig(**counts: int) -> PlatformRig:
    rig = PlatformRig(**counts)
    rig.config_changes["limits"] = configuration()["limits"] | {"max_body_bytes": 2 * LONG}
    return rig


async def _upload(rig: PlatformRig, path: str, size: int = LONG, **headers: str) -> Answer:
    return await rig.ask("POST", path, "id-1", b"u" * size, **headers)


@RESETS
@SIZES
async def test_part_of_an_answer_to_a_payment_is_not_whole(size: int, reset_s: float) -> None:
    """Guards against a part that is passed on as a whole success while the upload is sent."""
    async with _rig(services=1) as rig:
        rig.services[0].early_answer = EarlyAnswer("/pay", PART, reset_s=reset_s)
        answer = await _upload(rig, "/pay/1", size)
        assert (answer.status, b'"ran":"unknown"' in answer.body) == (502, True)
        assert len(rig.arrivals("id-1")) == 1


@RESETS
@SIZES
async def test_lookup_whose_answer_is_a_part_is_sent_to_another_endpoint(
    size: int, reset_s: float
) -> None:
    async with _rig(services=2) as rig:
        for endpoint in rig.services:
            endpoint.body = WHOLE
        rig.services[0].early_answer = EarlyAnswer("/stock", PART, reset_s=reset_s)
        for number in range(3):
            answer = await rig.ask("POST", "/stock/1", f"id-{number}", b"u" * size)
            assert (answer.status, answer.body) == (200, WHOLE)


@RESETS
@SIZES
@pytest.mark.parametrize("path", ["/quote/1", "/idea/1"])
async def test_stream_that_ends_before_its_request_is_read_is_not_whole(
    path: str, size: int, reset_s: float
) -> None:
    async with _rig(decodes=1) as rig:
        rig.decodes[0].early_answer = EarlyAnswer(path[:5], EVENT, reset_s=reset_s)
        answer = await _upload(rig, path, size, X_Token_Count="1000,500")
        assert not (answer.status == 200 and answer.is_complete)


@RESETS
@SIZES
async def test_handle_of_a_prefill_that_ends_before_its_request_is_read_is_not_used(
    size: int, reset_s: float
) -> None:
    async with _rig(prefills=1, decodes=1) as rig:
        handle = b'{"kv_handle":"kv1","tokens":1,"version":1}'
        rig.prefills[0].early_answer = EarlyAnswer("/idea", handle, reset_s=reset_s)
        answer = await _upload(rig, "/idea/1", size, X_Token_Count="1000,500")
        assert (answer.status, answer.is_complete) == (200, True)
        assert not any("x-kv-source" in arrival.headers for arrival in rig.decodes[0].runs)


@pytest.mark.parametrize("is_framed", [False, True])
@pytest.mark.parametrize("size", [0, 20_000, LONG])
async def test_early_answer_is_whole_if_the_endpoint_reads_on(size: int, is_framed: bool) -> None:
    async with _rig(services=1) as rig:
        early = EarlyAnswer("/pay", WHOLE, is_framed=is_framed, reads_on=True)
        rig.services[0].early_answer = early
        answer = await _upload(rig, "/pay/1", size)
        assert (answer.status, answer.body, answer.is_complete) == (200, WHOLE, True)


async def test_early_answer_that_is_whole_by_its_length_may_leave_the_request_unread() -> None:
    async with _rig(services=1) as rig:
        rig.services[0].early_answer = EarlyAnswer("/pay", WHOLE, is_framed=True, reset_s=0.1)
        answer = await _upload(rig, "/pay/1")
        assert (answer.status, answer.body, answer.is_complete) == (200, WHOLE, True)


@pytest.mark.parametrize("is_framed", [False, True])
async def test_early_refusal_as_not_run_holds_though_its_body_breaks_off(is_framed: bool) -> None:
    """Guards against a payment that fails as unknown although its endpoint says it has not run."""
    async with _rig(services=2) as rig:
        early = EarlyAnswer("/pay", b"full", status=503, is_framed=is_framed, reset_s=0.02)
        rig.services[0].early_answer = early
        for number in range(4):
            answer = await rig.ask("POST", "/pay/1", f"id-{number}", b"u" * LONG)
            assert (answer.status, rig.arrivals(f"id-{number}")) == (200, ["s1"])


class _Peer:
    """A server in a thread, which answers a head at once and then steps on as told.

    It reads ``reads_first`` bytes before its answer and ``reads_later`` after the end of it, and
    resets the connection once ``may_reset`` is set.
    """

    def __init__(self, answer: bytes, reads_first: int = 0, reads_later: int = 0) -> None:
        self._answer = answer
        self._reads_first = reads_first
        self._reads_later = reads_later
        self.has_ended = threading.Event()
        self.may_reset = threading.Event()
        self.was_reset = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address: tuple[str, int] = self._listener.getsockname()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        sock, _ = self._listener.accept()
        received = len(sock.recv(1_000))
        while received < self._reads_first:
            received += len(sock.recv(1_000_000))
        sock.sendall(self._answer)
        sock.shutdown(socket.SHUT_WR)
        self.has_ended.set()
        while received < self._reads_later:
            received += len(sock.recv(10_000))
        self.may_reset.wait(10.0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
        self.was_reset.set()


UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n" + WHOLE


async def test_end_and_reset_that_are_noticed_at_once_are_no_end_of_an_answer() -> None:
    """Guards against an entry that was paused as both arrived, and sees the end only."""
    peer = _Peer(UNFRAMED)
    conn = await open_connection(*peer.address)
    conn.send(b"GET / HTTP/1.1\r\n\r\n")
    assert peer.has_ended.wait(10.0)
    peer.may_reset.set()
    assert peer.was_reset.wait(10.0)
    with pytest.raises(LinkError) as caught:
        await conn.read_to_end(1_000)
    assert caught.value.failure is LinkFailure.BROKEN


@pytest.mark.parametrize("size", [LONG, 4 * LONG])
async def test_answer_that_came_early_is_not_whole_before_the_request_is_received(
    size: int,
) -> None:
    peer = _Peer(UNFRAMED)
    conn = await open_connection(*peer.address)
    body = b"u" * size
    conn.send(b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    reading = asyncio.ensure_future(conn.read_to_end(1_000))
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(2 * RESET_DELAY_S):
            await asyncio.shield(reading)
    peer.may_reset.set()
    with pytest.raises(LinkError):
        await reading


async def test_reset_that_leaves_the_end_of_the_request_unread_contradicts_an_early_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that counts as read once the peer's kernel has it."""
    monkeypatch.setattr("vanillashore_gateway._http_client.RESET_DELAY_S", 5.0)
    body = b"u" * 4 * LONG
    peer = _Peer(UNFRAMED, reads_later=len(body) - 20_000)
    conn = await open_connection(*peer.address)
    conn.send(b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    reading = asyncio.ensure_future(conn.read_to_end(1_000))
    await conn.head()
    await wait_until(conn._is_request_received)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(5 * RESET_CHECK_S):
            await asyncio.shield(reading)
    peer.may_reset.set()
    with pytest.raises(LinkError):
        await reading


@pytest.mark.parametrize("size", [9, 100_000])
async def test_answer_without_a_length_ends_with_the_connection(size: int) -> None:
    request = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size + b"u" * size
    peer = _Peer(UNFRAMED, reads_first=len(request))
    conn = await open_connection(*peer.address)
    conn.send(request)
    assert await conn.read_to_end(1_000) == WHOLE
    assert not conn.is_reusable
    conn.abort()
    peer.may_reset.set()


async def test_call_of_the_store_whose_answer_ends_before_it_is_sent_is_not_believed() -> None:
    head = b"HTTP/1.1 200 OK\r\n\r\n"
    peer = _Peer(head + b'{"revision":7}')
    client = HttpStore(peer.address, 1.0)
    origins: dict[str, Any] = {
        f"{number:x}" * 40: StreamOrigin("models" * 20, "v1") for number in range(40_000)
    }
    writing = asyncio.ensure_future(client.write_origins(origins, 7))
    await asyncio.sleep(RESET_DELAY_S / 2)
    peer.may_reset.set()
    with pytest.raises(StoreUnavailableError):
        await writing
