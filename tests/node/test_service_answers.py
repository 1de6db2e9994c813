"""Answers of a service that are none, come early or have no end, at the sidecar that calls it."""

import asyncio
import base64
import contextlib
import socket
import struct
from types import SimpleNamespace

import aiohttp
import pytest

from vanillashore_node._service_answers import LONG_REQUEST_BYTES, MAX_BODY_BYTES
from vanillashore_node._sidecar_service import ServiceCallHandler
from vanillashore_wire import CallDone, CallOrder, RefusalError, RouteClass, WasExecuted

PART = b"HTTP/1.1 200 OK\r\n\r\na part"
SHORT, LONG = LONG_REQUEST_BYTES + 1, 2_000_000
IN_FLIGHT_BYTES = 16_000_000  # What the kernels may hold of what the sidecar does not read.


class _Service:
    """Answers each head at once, and then ends as the test says."""

    def __init__(
        self, answer: bytes, reset_s: float | None = None, ends: bool = True, endless: bytes = b""
    ) -> None:
        self._answer = answer
        self._reset_s = reset_s
        self._ends = ends
        self._endless = endless
        self.sent = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.pause_reading()
            writer.write(self._answer)
            while self._endless and self.sent < MAX_BODY_BYTES + 2 * IN_FLIGHT_BYTES:
                writer.write(self._endless)
                self.sent += len(self._endless)
                await writer.drain()
            if self._ends:
                writer.write_eof()
            if self._reset_s is None:
                writer.transport.resume_reading()
                await reader.read()
            else:
                await asyncio.sleep(self._reset_s)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


async def _call(service: _Service, size: int = 4) -> CallDone:
    server = await asyncio.start_server(service.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    async with aiohttp.ClientSession() as session:
        hub = SimpleNamespace(on=lambda *_: None)
        cfg = SimpleNamespace(node=SimpleNamespace(name="side-1"))
        core = SimpleNamespace(session=session, hub=hub, store=None, cfg=cfg)
        handler = ServiceCallHandler(core, f"http://{host}:{port}")
        try:
            return await handler._run(_order(size))
        finally:
            server.close()


async def _expect_unknown(service: _Service, size: int = 4) -> None:
    with pytest.raises(RefusalError) as caught:
        await _call(service, size)
    assert caught.value.refused.ran is WasExecuted.UNKNOWN


def _order(size: int) -> CallOrder:
    return CallOrder(
        request_id="id-1",
        attempt=1,
        workspace="w",
        service="orders",
        method="POST",
        path="/orders/1",
        headers=(),
        body_base64=base64.b64encode(b"u" * size).decode(),
        idempotent=False,
        idempotency_key="",
        route_class=RouteClass.INTERACTIVE,
        deadline_s=30.0,
        revision=1,
    )


@pytest.mark.parametrize("size", [SHORT, LONG])
@pytest.mark.parametrize("reset_s", [0.0, 0.02, 0.05])
async def test_part_that_ends_before_the_request_is_read_is_no_answer(
    reset_s: float, size: int
) -> None:
    """Guards against a part that is passed on as a whole success while the upload is sent."""
    await _expect_unknown(_Service(PART, reset_s), size)


@pytest.mark.parametrize("size", [4, SHORT, LONG])
async def test_early_answer_without_a_length_is_whole_if_the_service_reads_on(size: int) -> None:
    done = await _call(_Service(PART), size)
    assert (done.status, base64.b64decode(done.body_base64)) == (200, b"a part")


async def test_early_answer_with_a_length_is_whole_though_the_request_is_left_unread() -> None:
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"
    done = await _call(_Service(answer, reset_s=0.5, ends=False), LONG)
    assert (done.status, base64.b64decode(done.body_base64)) == (200, b"answer")


@pytest.mark.parametrize("status", ["000", "001", "099", "101", "600", "999"])
async def test_status_outside_the_protocol_is_no_answer(status: str) -> None:
    """Guards against an odd status that reaches the caller."""
    head = f"HTTP/1.1 {status} Status\r\nContent-Length: 2\r\n\r\nhi".encode()
    await _expect_unknown(_Service(head, reset_s=5.0, ends=False))


@pytest.mark.parametrize(
    "framing", [b"", b"Content-Length: 99999999999\r\n", b"Transfer-Encoding: chunked\r\n"]
)
async def test_body_without_end_is_given_up_at_a_bound(framing: bytes) -> None:
    """Guards against a sidecar that keeps such a body until its memory is used up."""
    part = b"x" * 65_536
    endless = b"10000\r\n" + part + b"\r\n" if b"chunked" in framing else part
    service = _Service(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n", reset_s=0.0, endless=endless)
    await _expect_unknown(service)
    assert service.sent < MAX_BODY_BYTES + IN_FLIGHT_BYTES
