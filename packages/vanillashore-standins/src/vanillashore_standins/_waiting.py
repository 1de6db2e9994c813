"""Waits for conditions in tests."""

import asyncio
from collections.abc import Callable

POLL_INTERVAL_S = 0.002


async def wait_until(condition: Callable[[], bool], wait_s: float = 5.0) -> None:
    """Wait until ``condition()`` is true; raise TimeoutError after ``wait_s`` seconds."""
    async with asyncio.timeout(wait_s):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)
