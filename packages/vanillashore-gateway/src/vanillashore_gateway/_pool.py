"""Pool of idle connections to endpoints."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable
from functools import partial

from vanillashore_gateway._domain import Endpoint
from vanillashore_gateway._http_client import (
    AnswerIdReader,
    HttpConnection,
    LinkError,
    open_connection,
)

MAX_IDLE = 10_000
MAX_IDLE_PER_ENDPOINT = 8  # Usual rates need no more, and all endpoints share a limit.
# Longest idle time of a connection for a request that must not run twice: the endpoint may be
# closing one that has been idle for longer.
FRESH_IDLE_S = 0.4


class ConnectionPool:
    """Keeps reusable connections, each for a part of its endpoint's own idle time-out.

    ``record_lost`` is called with the instance of an endpoint that has ended a connection by
    itself, or does not accept one; ``record_unobserved`` when no connection to it is left.
    ``answer_id`` reads the id of an answer. At most ``max_idle`` connections are kept.
    """

    def __init__(
        self,
        record_lost: Callable[[str], None],
        record_unobserved: Callable[[str], None],
        answer_id: AnswerIdReader | None = None,
        max_idle: int = MAX_IDLE,
    ) -> None:
        self._record_lost = record_lost
        self._record_unobserved = record_unobserved
        self._answer_id = answer_id
        self._max_idle = max_idle
        self._open: Counter[str] = Counter()
        self._idle: dict[str, list[HttpConnection]] = defaultdict(list)
        self.opened = 0
        self.extra_answers = 0

    async def acquire_connection(
        self,
        endpoint: Endpoint,
        exchange_id: bytes,
        must_be_fresh: bool = False,
        must_be_certain: bool = True,
    ) -> HttpConnection:
        """Return a connection for an exchange; raise LinkError if none can be opened.

        ``must_be_fresh`` skips connections that the endpoint may have closed unnoticed. Unless the
        answer to a call ``must_be_certain``, it may be a copy of that to an earlier call.
        """
        conn = self._take_idle(endpoint.instance, exchange_id, must_be_fresh, must_be_certain)
        if conn is not None:
            return conn
        self.opened += 1
        try:
            conn = await open_connection(endpoint.host, endpoint.port)
        except LinkError:
            self._record_lost(endpoint.instance)
            raise
        conn.answer_id = self._answer_id
        conn.on_extra_answer = self._count_extra_answer
        conn.on_lost = partial(self._record_lost, endpoint.instance)
        if conn.is_open:  # The endpoint may have reset it already.
            conn.on_closed = partial(self._record_closed, endpoint.instance)
            self._open[endpoint.instance] += 1
        return conn

    def _take_idle(
        self, instance: str, exchange_id: bytes, must_be_fresh: bool, must_be_certain: bool
    ) -> HttpConnection | None:
        """Remove and return the connection used last that is usable for an exchange."""
        time = asyncio.get_running_loop().time()
        idle = self._idle.get(instance, [])
        for conn in reversed(idle.copy()):
            is_fresh = not must_be_fresh or time < conn.idle_since + FRESH_IDLE_S
            if not conn.is_open or time >= conn.idle_until or not is_fresh:
                idle.remove(conn)
                conn.abort()
            elif conn.can_carry(exchange_id) or (
                not must_be_certain and conn.can_repeat_call(time)
            ):
                idle.remove(conn)
                return conn
        return None

    def release_connection(self, endpoint: Endpoint, conn: HttpConnection) -> None:
        """Keep a connection whose answer has been read completely, or close it if it has no use."""
        idle = self._idle[endpoint.instance]
        is_full = len(idle) >= MAX_IDLE_PER_ENDPOINT or self._idle_count() >= self._max_idle
        if not conn.is_reusable or is_full:
            conn.abort()
            return
        loop = asyncio.get_running_loop()
        conn.idle_since = loop.time()
        conn.idle_until = conn.idle_since + conn.idle_limit_s
        loop.call_later(conn.idle_limit_s, self._drop_if_idle, endpoint.instance, conn)
        idle.append(conn)

    def _idle_count(self) -> int:
        return sum(len(idle) for idle in self._idle.values())

    def forget(self, instance: str) -> None:
        """Close the idle connections to an endpoint that has left."""
        for conn in self._idle.pop(instance, []):
            conn.abort()

    def _count_extra_answer(self) -> None:
        self.extra_answers += 1

    def _record_closed(self, instance: str) -> None:
        self._open[instance] -= 1
        if not self._open[instance]:
            del self._open[instance]
            self._record_unobserved(instance)

    def _drop_if_idle(self, instance: str, conn: HttpConnection) -> None:
        idle = self._idle.get(instance, [])
        if conn in idle and asyncio.get_running_loop().time() >= conn.idle_until:
            idle.remove(conn)
            conn.abort()
