"""A lock for many shared holders or one exclusive holder."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class SharedExclusiveLock:
    """A lock with shared and exclusive holders; waiting exclusive ones block new shared ones."""

    def __init__(self) -> None:
        self._condition = asyncio.Condition()
        self._shared_count = 0
        self._is_exclusive = False
        self._exclusive_waiters = 0

    @asynccontextmanager
    async def shared(self) -> AsyncIterator[None]:
        """Hold the lock together with other shared holders."""
        async with self._condition:
            await self._condition.wait_for(
                lambda: not self._is_exclusive and not self._exclusive_waiters
            )
            self._shared_count += 1
        try:
            yield
        finally:
            self._shared_count -= 1
            await self._notify_waiters()

    @asynccontextmanager
    async def bypassed(self) -> AsyncIterator[None]:
        """Bypass the lock: neither wait nor make others wait."""
        yield

    @asynccontextmanager
    async def exclusive(self) -> AsyncIterator[None]:
        """Hold the lock exclusively, apart from those that bypass it."""
        self._exclusive_waiters += 1
        try:
            async with self._condition:
                await self._condition.wait_for(
                    lambda: not self._is_exclusive and not self._shared_count
                )
                self._is_exclusive = True
        finally:
            self._exclusive_waiters -= 1
            await self._notify_waiters()
        try:
            yield
        finally:
            self._is_exclusive = False
            await self._notify_waiters()

    async def _notify_waiters(self) -> None:
        async with self._condition:
            self._condition.notify_all()
