"""Crowds of callers that don't behave, at any of the soak's entries."""

import asyncio
import contextlib
import random

from vanillashore_standins.crowd import Misbehaviour, crowd
from vanillashore_standins.platform_rig import HOST, KEY
from vanillashore_standins.soak._entries import EntryPool

MEMORY_MB = 128
MAX_FDS = 400
MIN_CALLERS, MAX_CALLERS = 4, 60
MAX_PAUSE_S = 1.0
MAX_STAY_S = 1.5
SIZE = 2_000_000
HEAD = f"POST /pay/1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
MISBEHAVIOURS = (
    Misbehaviour(),
    Misbehaviour(HEAD),
    Misbehaviour(b"GET /", b"a", SIZE),
    Misbehaviour(HEAD, b"a:b\r\n", SIZE),
    Misbehaviour(b"", b"\r\n", SIZE),
    Misbehaviour(CHUNKED, b"1\r\nx\r\n", 90_000 * 6),
    Misbehaviour(CHUNKED + b"15f90\r\n", b"x", 89_000),
    Misbehaviour(CHUNKED + b"0\r\nX-A: ", b"a", SIZE),
    Misbehaviour(HEAD + b"Content-Length: 90000\r\n\r\n", b"x", 89_000),
)


class CrowdFaults:
    """Sends crowds to entries, in or out of another fault; none may pass its limits for them."""

    def __init__(self, pool: EntryPool, rng: random.Random) -> None:
        self._pool = pool
        self._rng = rng
        self.count = 0
        self.violations: list[str] = []

    async def run(self) -> None:
        """Send crowds, one after the other, until cancelled."""
        while True:
            await asyncio.sleep(self._rng.random() * MAX_PAUSE_S)
            entry = self._rng.choice(self._pool.entries)
            callers = self._rng.randint(MIN_CALLERS, MAX_CALLERS)
            what, stay_s = self._rng.choice(MISBEHAVIOURS), self._rng.random() * MAX_STAY_S
            self.count += 1
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(stay_s + 1.0), crowd(entry.address, callers, what):
                    await asyncio.sleep(stay_s)
            self._check()

    def _check(self) -> None:
        for entry in self._pool.entries:
            with contextlib.suppress(OSError, ValueError):  # It is being started again.
                if entry.peak_memory_mib >= MEMORY_MB:
                    self.violations.append(f"{entry.name}: took {entry.peak_memory_mib:.0f} MiB")
                if entry.open_fds > MAX_FDS:
                    self.violations.append(f"{entry.name}: opened {entry.open_fds} descriptors")
