"""Checks that engines run the software that their records state.

An engine may start again under its name with other software, and its record follows later, by long
if this entry has lost contact with the store. Until then streams would be taken to have begun at
the old version. The sign of a restart is a connection that the engine has ended; a new process
has none yet, and without contact with the store it may have been missed.
"""

import asyncio
from collections.abc import Callable

from loguru import logger as log

from vanillashore_gateway._domain import Endpoint
from vanillashore_gateway._engine_calls import EngineCalls
from vanillashore_gateway._membership import Membership
from vanillashore_gateway._stream_origins import MAX_KEPT_S

RECHECK_S = 0.5  # Between two questions to an engine that has given no sign of a restart.


class StartChecks:
    """Asks engines for their start.

    Each is asked before a stream that has begun goes on there, because its caller has text of one
    version, and a sign of a restart may be late or lost. For a new stream it is asked once after
    its record was read from a snapshot or it has ended a connection. While its service has several
    versions, it is also asked when it is used again after a time without a connection, and
    repeatedly while ``is_list_stale``; with one version, only if both hold.
    """

    def __init__(
        self,
        calls: EngineCalls,
        membership: Membership,
        is_list_stale: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._calls = calls
        self._membership = membership
        self._is_list_stale = is_list_stale
        self._clock = clock
        self._next_check_at: dict[str, float] = {}
        self._running: dict[str, asyncio.Task[None]] = {}

    async def is_current(self, endpoint: Endpoint, has_begun: bool = False) -> bool:
        """Whether ``endpoint`` is the record of the engine's last start, as far as can be known.

        It is known for certain for a stream that ``has_begun``. Raises EngineUnreachableError.
        """
        if not self._is_newest(endpoint):
            return False
        if has_begun:
            await self._check(endpoint)
            return self._is_newest(endpoint)
        if not self._membership.may_have_restarted(endpoint) and not self._is_due(endpoint):
            return True
        task = self._running.get(endpoint.instance)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._check(endpoint))
            self._running[endpoint.instance] = task
            task.add_done_callback(lambda _: self._running.pop(endpoint.instance, None))
        await asyncio.shield(task)
        return self._is_newest(endpoint)

    def forget(self, instance: str) -> None:
        """Drop what is known of an engine that has left."""
        self._next_check_at.pop(instance, None)

    def _is_due(self, endpoint: Endpoint) -> bool:
        now = self._clock()
        is_stale = self._is_list_stale()
        was_unobserved = self._membership.was_unobserved(endpoint)
        if now < self._next_check_at.get(endpoint.instance, 0.0):
            return False
        # Neither a record nor a lost connection can have told of the first new version.
        if is_stale and was_unobserved:
            return True
        has_several = len(self._membership.versions(endpoint.service, now - MAX_KEPT_S)) > 1
        return has_several and (is_stale or was_unobserved)

    def _is_newest(self, endpoint: Endpoint) -> bool:
        """Whether no later start of the engine is listed or was stated by the engine."""
        listed = self._membership.get(endpoint.instance)
        is_replaced = listed is not None and listed.start != endpoint.start
        return not is_replaced and not self._membership.is_outdated(endpoint)

    async def _check(self, endpoint: Endpoint) -> None:
        started_ms = await self._calls.started_ms(endpoint)
        self._next_check_at[endpoint.instance] = self._clock() + RECHECK_S
        # Without both times, a restart cannot be told from a lost connection.
        is_known = started_ms is not None and endpoint.started_ms != 0
        self._membership.record_start(endpoint, started_ms if is_known else endpoint.started_ms)
        log.bind(
            endpoint=endpoint.instance, started_ms=started_ms, listed_ms=endpoint.started_ms
        ).info("checked whether an engine has started again")
