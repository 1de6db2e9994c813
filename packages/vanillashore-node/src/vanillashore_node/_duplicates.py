"""Duplicates of one request that are in flight at the same time at this entry."""

import asyncio
from collections import deque

import attrs


@attrs.define
class _Duplicates:
    """The duplicates of one request; ``is_harmless`` after the first token of any of them."""

    in_flight: int = 0
    has_probe: bool = False
    is_harmless: bool = False
    waiting: deque["asyncio.Future[None]"] = attrs.field(factory=deque)


class DuplicateGate:
    """Runs one of several identical requests as a probe until its first token.

    A request that crashes engines would otherwise crash one engine for each duplicate sent at the
    same time, before the first crash is detected. Each duplicate has to end its run, however it
    ended::

        run = await duplicates.begin(req.fingerprint)
        try:
            ...
            run.mark_harmless()  # after the first token
        finally:
            run.end()
    """

    def __init__(self) -> None:
        self._duplicates: dict[str, _Duplicates] = {}

    async def begin(self, fingerprint: str) -> "DuplicateRun":
        """Wait until this duplicate may run."""
        duplicates = self._duplicates.setdefault(fingerprint, _Duplicates())
        duplicates.in_flight += 1
        run = DuplicateRun(self, fingerprint, duplicates)
        try:
            while duplicates.has_probe and not duplicates.is_harmless:
                fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
                duplicates.waiting.append(fut)
                await fut
        except asyncio.CancelledError:
            run.end()
            raise
        if not duplicates.is_harmless:
            duplicates.has_probe = True
            run.is_probe = True
        return run

    def forget(self, fingerprint: str) -> None:
        """Drop the state of a request that has no duplicate in flight."""
        self._duplicates.pop(fingerprint, None)


@attrs.define(eq=False)
class DuplicateRun:
    """The run of one duplicate."""

    _gate: DuplicateGate
    _fingerprint: str
    _duplicates: _Duplicates
    is_probe: bool = False

    def mark_harmless(self) -> None:
        """Release all waiting duplicates, since this one got its first token."""
        if not self._duplicates.is_harmless:
            self._duplicates.is_harmless = True
            self._wake(len(self._duplicates.waiting))

    def end(self) -> None:
        """End the run; if it was a probe without a token, the next duplicate becomes the probe."""
        self._duplicates.in_flight -= 1
        if self.is_probe:
            self._duplicates.has_probe = False
        self._wake(1)
        if self._duplicates.in_flight == 0:
            self._gate.forget(self._fingerprint)

    def _wake(self, count: int) -> None:
        while count and self._duplicates.waiting:
            fut = self._duplicates.waiting.popleft()
            if not fut.done():
                fut.set_result(None)
                count -= 1
