"""Waiting for a condition in tests."""

import asyncio
from collections.abc import Callable

POLL_S = 0.002


async def wait_until(condition: Callable[[], bool], wait_s: float = 5.0) -> None:
    """Wait until ``condition()`` holds; raise TimeoutError if it does not come true."""
    async with asyncio.timeout(wait_s):
        while not condition():
            await asyncio.sleep(POLL_S)
