"""Lifecycle events of a process, to which its parts attach handlers."""

import inspect
from collections.abc import Awaitable, Callable
from enum import StrEnum

from loguru import logger as log

Handler = Callable[[], Awaitable[None] | None]


class LifecycleEvent(StrEnum):
    """Events in the order in which they occur, each at most once."""

    START = "start"
    READY = "ready"
    STOP_REQUESTED = "stop_asked"
    REFUSE_NEW = "refuse_new"
    DRAINED = "drained"
    STOP = "stop"


class Lifecycle:
    """Runs the handlers of each event in the order in which they were attached.

    Example::

        lifecycle.on(LifecycleEvent.STOP, session.close)
    """

    def __init__(self) -> None:
        self._handlers: dict[LifecycleEvent, list[Handler]] = {e: [] for e in LifecycleEvent}

    def on(self, event: LifecycleEvent, handler: Handler) -> None:
        """Attach ``handler`` to ``event``."""
        self._handlers[event].append(handler)

    async def fire(self, event: LifecycleEvent) -> None:
        """Run the handlers of ``event``."""
        log.bind(event=event.value).info("lifecycle event")
        for handler in self._handlers[event]:
            result = handler()
            if inspect.isawaitable(result):
                await result
