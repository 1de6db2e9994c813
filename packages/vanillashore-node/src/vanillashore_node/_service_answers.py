"""Answers of services: which of them are answers in the protocol, and which are whole."""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios

import aiohttp
from aiohttp.connector import Connection

STATUSES = range(200, 600)
MAX_BODY_BYTES = 16_777_216
LONG_REQUEST_BYTES = 4_096  # A shorter one is read by the service as a whole.
# A service that has left a part of a long request unread resets the connection within this time
# after it has ended its answer.
RESET_DELAY_S = 0.2
RESET_CHECK_S = 0.01
TCP_CLOSED = 7  # State in the kernel's `tcp_info` after a reset.
WITHOUT_BODY = (204, 304)


class InvalidAnswerError(aiohttp.ClientError):
    """The answer is not in the protocol, not whole, or too large."""


class ServiceResponse(aiohttp.ClientResponse):
    """A response that outlives its connection, to tell whether the service reset it.

    It is for a session of its own, and `read_whole` has to be called::

        session = aiohttp.ClientSession(response_class=ServiceResponse)
        async with session.post(url, data=data) as response:
            body = await response.read_whole(len(data))
    """

    _sock: socket.socket | None = None

    async def start(self, connection: Connection) -> "ServiceResponse":
        """Read the head of the answer."""
        sock = connection.transport.get_extra_info("socket")
        self._sock = socket.fromfd(sock.fileno(), sock.family, sock.type)
        try:
            return await super().start(connection)
        except BaseException:
            self._sock.close()
            raise

    async def read_whole(self, request_bytes: int) -> bytes:
        """Return the body; raise InvalidAnswerError if it is not that of a sound answer.

        Without a length, the end of the connection marks that of the answer, but only if the
        service has received all ``request_bytes`` and does not reset the connection.
        """
        with self._sock:
            if self.status not in STATUSES or self.version.major != 1:
                raise InvalidAnswerError(f"status {self.status} of HTTP/{self.version.major}")
            body = bytearray()
            async for part in self.content.iter_any():
                body += part
                if len(body) > MAX_BODY_BYTES:
                    raise InvalidAnswerError(f"a body of over {MAX_BODY_BYTES} bytes")
            if self._ends_with_connection:
                await self._confirm_end(RESET_DELAY_S if request_bytes > LONG_REQUEST_BYTES else 0)
            return bytes(body)

    @property
    def _ends_with_connection(self) -> bool:
        if self.method == "HEAD" or self.status in WITHOUT_BODY:
            return False
        return "Content-Length" not in self.headers and "Transfer-Encoding" not in self.headers

    async def _confirm_end(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        received_at: float | None = None
        while not self._was_reset():
            if received_at is None and self._is_request_received():
                received_at = loop.time()
            if received_at is not None and loop.time() >= received_at + delay_s:
                return
            await asyncio.sleep(RESET_CHECK_S)
        raise InvalidAnswerError("the connection was reset after the end of the answer")

    def _is_request_received(self) -> bool:
        with contextlib.suppress(OSError):
            queued = fcntl.ioctl(self._sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
            return struct.unpack("i", queued) == (0,)
        return True

    def _was_reset(self) -> bool:
        with contextlib.suppress(OSError):
            info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
            return info[0] == TCP_CLOSED
        return False
