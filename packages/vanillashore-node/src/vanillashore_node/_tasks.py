"""Background tasks whose failure is logged and which are cancelled with their owner."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger as log

CANCEL_AGAIN_S = 2.0  # Longer than a task takes to close a link.


class TaskGroup:
    """Owns background tasks; `close` cancels those that still run."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run ``coroutine`` in the background."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def close(self) -> None:
        """Cancel every task and wait for it to end.

        A cancellation that coincides with a time limit can be lost, so it is repeated.
        """
        while self._tasks:
            for task in self._tasks:
                task.cancel()
            await asyncio.wait(self._tasks, timeout=CANCEL_AGAIN_S)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = repr(task.exception())
            log.bind(task=task.get_name(), error=error).error("a background task failed")
