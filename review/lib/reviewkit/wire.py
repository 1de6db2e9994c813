"""HTTP/1.1 messages on asyncio streams."""

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Mapping
from typing import Any


class Message:
    """A request or an answer; header names are in lower case."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split(" ")[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.first.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message; raise IncompleteReadError if the connection ends before."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if line)
    return Message(lines[0], {name.strip().lower(): value.strip() for name, value in pairs}, b"")


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read the body of a message whose head was read."""
    if "chunked" in message.headers.get("transfer-encoding", ""):
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    return await reader.readexactly(int(message.headers.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole message that states its length."""
    message = await read_head(reader)
    message.body = await read_body(reader, message)
    return message


def answer_bytes(status: int, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Return a whole answer."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


def json_answer(status: int, body: Any, headers: Mapping[str, str] | None = None) -> bytes:
    """Return an answer with a JSON body."""
    given = {"Content-Type": "application/json", **(headers or {})}
    return answer_bytes(status, given, json.dumps(body).encode())


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
