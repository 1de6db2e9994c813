"""Callers that don't behave: they send without end, stop short of an end, or send nothing."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import attrs

Address = tuple[str, int]
SEGMENT_BYTES = 65_536
BLOCKED_S = 5.0  # A caller from which nothing is taken for this long sends nothing more.


@attrs.frozen
class Misbehaviour:
    """What each caller of a crowd sends: an opening, then a filler until ``size`` bytes are sent.

    Afterwards, or once nothing more is taken from it, the caller keeps its connection open. It
    reads nothing.
    """

    opening: bytes = b""
    filler: bytes = b""
    size: int = 0


@contextlib.asynccontextmanager
async def crowd(address: Address, callers: int, what: Misbehaviour) -> AsyncIterator[None]:
    """Let callers misbehave together; the block runs once each has sent all that it can.

    Their connections stay open until the block ends.
    """
    sockets = [socket.socket() for _ in range(callers)]
    try:
        await asyncio.gather(*(_misbehave(sock, address, what) for sock in sockets))
        yield
    finally:
        for sock in sockets:
            sock.close()


async def _misbehave(sock: socket.socket, address: Address, what: Misbehaviour) -> None:
    loop = asyncio.get_running_loop()
    sock.setblocking(False)
    segment = what.filler * max(1, SEGMENT_BYTES // max(1, len(what.filler)))
    left = what.size
    with contextlib.suppress(OSError, TimeoutError):
        await loop.sock_connect(sock, address)
        await loop.sock_sendall(sock, what.opening)
        while left > 0:
            async with asyncio.timeout(BLOCKED_S):
                await loop.sock_sendall(sock, segment[:left])
            left -= len(segment)
