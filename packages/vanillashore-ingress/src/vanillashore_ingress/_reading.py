"""How connections read: how much at once, when they pause, and in which turn."""

import asyncio
from collections import deque
from collections.abc import Callable, Hashable

READ_BYTES = 32_768  # Received at once; parsing as many bytes of tiny chunks takes milliseconds.
READ_BUFFER = memoryview(bytearray(READ_BYTES))  # Its bytes are used before the next read.
MIN_CHUNK_FRAMING_BYTES = 5  # Size, CR and LF, and CR and LF after the data.
COSTLY_CHUNKS = 512  # Chunks received at once after which others are served first.
MAX_WAITING = 64  # Each may have sent as much as its receive buffer holds.


def is_costly(framing_bytes: int) -> bool:
    """Whether input takes long to parse of which this much frames the chunks of a body."""
    return framing_bytes // MIN_CHUNK_FRAMING_BYTES >= COSTLY_CHUNKS


class ReadPauses:
    """The reasons for which nothing is read from a transport; it reads while there is none."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._reasons: set[Hashable] = set()

    def __contains__(self, reason: Hashable) -> bool:
        return reason in self._reasons

    def add(self, reason: Hashable) -> None:
        """Read nothing until this reason and all others have ended."""
        if self._transport.is_closing():
            return
        if not self._reasons:
            self._transport.pause_reading()
        self._reasons.add(reason)

    def remove(self, reason: Hashable) -> None:
        """End a reason, if it holds."""
        if reason not in self._reasons:
            return
        self._reasons.remove(reason)
        if not self._reasons and not self._transport.is_closing():
            self._transport.resume_reading()


class ReadTurns:
    """Lets one of these connections read in each iteration of the event loop.

    All others are served in between, however many bodies of tiny chunks arrive.
    """

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()

    def wait(self, resume: Callable[[], None]) -> bool:
        """Call ``resume`` when it is a connection's turn; return False if too many wait."""
        if len(self._waiting) >= MAX_WAITING:
            return False
        self._waiting.append(resume)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._next)
        return True

    def _next(self) -> None:
        self._waiting.popleft()()
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._next)
