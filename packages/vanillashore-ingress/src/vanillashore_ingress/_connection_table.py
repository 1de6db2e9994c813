"""The open connections of callers, and which of them gives way to a new one."""

import select
from collections.abc import Callable
from enum import IntEnum
from typing import Any, Protocol

from loguru import logger as log

GRACE_S = 0.25  # For the first bytes of a caller, and for the rest of its request.
# Connections that are accepted, or give way, before the ones that gave way are closed.
MIN_BATCH = 8
BATCH_SHARE = 1 / 16
LOG_PAUSE_S = 1.0


def poll_socket(transport: Any, events: int) -> bool:
    """Whether any of the ``events`` of ``select.poll`` has occurred at a transport's socket."""
    number = transport.get_extra_info("socket").fileno()
    if number < 0:
        return False  # It has been closed.
    poll = select.poll()
    poll.register(number, events)
    return bool(poll.poll(0))


class Standing(IntEnum):
    """What a connection is worth to its caller; the lowest gives way first."""

    SILENT = 0  # No request of use was received, or the last answer was sent.
    ARRIVING = 1  # A part of a request was received.
    KEPT = 2  # Requests were served, and the next one may come.
    SERVED = 3  # A request is being served; such a connection never gives way.


class Connection(Protocol):
    """A connection that may have to give way."""

    def has_input(self) -> bool:
        """Whether bytes were received that have not been read."""

    def abort(self) -> None:
        """Close at once."""


class ConnectionTable:
    """The connections of one listener, at most ``most``.

    Example::

        table = ConnectionTable(100, clock)
        if table.make_room():
            table.add(conn)
        table.set_standing(conn, Standing.SERVED)
        table.remove(conn)
    """

    def __init__(self, most: int, clock: Callable[[], float]) -> None:
        self.most = most
        self.batch = max(MIN_BATCH, int(most * BATCH_SHARE))
        self.gave_way = 0
        self.turned_away = 0
        self._clock = clock
        self._standings: dict[Connection, Standing] = {}
        # Of each standing, since when, the oldest first.
        self._since: dict[Standing, dict[Connection, float]] = {s: {} for s in Standing}
        self._closing: set[Connection] = set()
        self._logged_at = float("-inf")

    def __len__(self) -> int:
        return len(self._standings)

    @property
    def is_settling(self) -> bool:
        """Whether connections that gave way have to be closed before more are accepted."""
        return len(self._closing) >= self.batch

    def add(self, conn: Connection) -> None:
        """Add a new connection."""
        self._standings[conn] = Standing.SILENT
        self._since[Standing.SILENT][conn] = self._clock()

    def set_standing(self, conn: Connection, standing: Standing) -> None:
        """Change what a connection is worth."""
        known = self._standings.get(conn)
        if known is None or known is standing:
            return
        del self._since[known][conn]
        self._standings[conn] = standing
        self._since[standing][conn] = self._clock()

    def remove(self, conn: Connection) -> None:
        """Remove a connection that has closed."""
        self._closing.discard(conn)
        self._forget(conn)

    def make_room(self, pending: int = 0) -> bool:
        """Return whether one more connection may be accepted; another one may give way to it.

        ``pending`` connections were accepted and have not been added yet.
        """
        if len(self) + pending < self.most:
            return True
        conn = self._next_to_give_way()
        if conn is None:
            self.turned_away += 1
        else:
            self.gave_way += 1
            self._forget(conn)
            self._closing.add(conn)
            conn.abort()
        self._log(conn is not None)
        return conn is not None

    def _forget(self, conn: Connection) -> None:
        standing = self._standings.pop(conn, None)
        if standing is not None:
            del self._since[standing][conn]

    def _next_to_give_way(self) -> Connection | None:
        overdue_since = self._clock() - GRACE_S
        for standing in (Standing.SILENT, Standing.ARRIVING):
            conn = self._oldest(standing, overdue_since)
            if conn is not None:
                return conn
        for standing in (Standing.KEPT, Standing.SILENT, Standing.ARRIVING):
            conn = self._oldest(standing, float("inf"))
            if conn is not None:
                return conn
        return None

    def _oldest(self, standing: Standing, since_at_most: float) -> Connection | None:
        for conn, since in self._since[standing].items():
            if since > since_at_most:
                return None
            if not conn.has_input():
                return conn
        return None

    def _log(self, gave_way: bool) -> None:
        time = self._clock()
        if time >= self._logged_at + LOG_PAUSE_S:
            self._logged_at = time
            text = "closed a connection to make room" if gave_way else "turned a connection away"
            log.bind(most=self.most, gave_way=self.gave_way, turned_away=self.turned_away).warning(
                text
            )
