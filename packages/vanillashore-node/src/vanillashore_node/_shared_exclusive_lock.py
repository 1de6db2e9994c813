"""Turns on an engine: many at once, or one alone."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class SharedExclusiveLock:
    """Lets many share, or one have a turn alone; whoever asks to be alone goes first."""

    def __init__(self) -> None:
        self._changed = asyncio.Condition()
        self._sharing = 0
        self._alone = False
        self._asking = 0

    @asynccontextmanager
    async def shared(self) -> AsyncIterator[None]:
        """Take a turn beside others."""
        async with self._changed:
            await self._changed.wait_for(lambda: not self._alone and not self._asking)
            self._sharing += 1
        try:
            yield
        finally:
            self._sharing -= 1
            await self._wake()

    @asynccontextmanager
    async def free(self) -> AsyncIterator[None]:
        """Take a turn that neither waits nor makes others wait."""
        yield

    @asynccontextmanager
    async def alone(self) -> AsyncIterator[None]:
        """Take a turn with nobody beside it but those that are free."""
        self._asking += 1
        try:
            async with self._changed:
                await self._changed.wait_for(lambda: not self._alone and not self._sharing)
                self._alone = True
        finally:
            self._asking -= 1
            await self._wake()
        try:
            yield
        finally:
            self._alone = False
            await self._wake()

    async def _wake(self) -> None:
        async with self._changed:
            self._changed.notify_all()
