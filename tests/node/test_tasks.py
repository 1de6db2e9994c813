"""Background tasks of a process."""

import asyncio

from vanillashore_node._tasks import TaskGroup
from vanillashore_standins.virtual_time import run_in_virtual_time


def test_task_that_loses_its_cancellation_is_cancelled_again() -> None:
    async def lose_first_cancellation() -> None:
        try:
            await asyncio.sleep(60.0)
        except asyncio.CancelledError:
            await asyncio.sleep(3_600.0)

    async def close() -> None:
        tasks = TaskGroup()
        task = tasks.start(lose_first_cancellation(), "loses a cancellation")
        await asyncio.sleep(1.0)
        async with asyncio.timeout(30.0):
            await tasks.close()
        assert task.cancelled()

    run_in_virtual_time(close())
