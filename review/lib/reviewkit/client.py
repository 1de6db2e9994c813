"""Clients that send one request at a time on a connection."""

import asyncio
import contextlib
import itertools
from collections.abc import Mapping

from reviewkit.record import Record
from reviewkit.wire import Message, read_message


class Client:
    """One client with a kept connection to an entry."""

    _numbers = itertools.count(1)

    def __init__(self, address: tuple[str, int], host: str, record: Record) -> None:
        self._address = address
        self._host = host
        self._record = record
        self.last_id = ""
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes = b"",
        timeout_s: float = 5.0,
        request_id: str = "",
    ) -> tuple[str, Message | None]:
        """Send a request; return its id and its answer, ``None`` if the connection ended."""
        request_id = request_id or f"req{next(self._numbers):06d}"
        self.last_id = request_id
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {self._host}",
            f"X-Request-Id: {request_id}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        answer: Message | None = None
        try:
            async with asyncio.timeout(timeout_s):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(*self._address)
                reader, writer = self._streams
                writer.write(data)
                answer = await read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            self._record.add(f"client: {request_id} got no answer: {exc!r}")
            self.close()
            return request_id, None
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return request_id, answer

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            with contextlib.suppress(OSError):
                self._streams[1].close()
            self._streams = None
