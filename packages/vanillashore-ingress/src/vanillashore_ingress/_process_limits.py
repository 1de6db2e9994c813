"""What a process may use: its memory and descriptors, and the part of them that callers get."""

import os
import resource
from pathlib import Path

import attrs

MIB = 1_048_576
OWN_FILES = 40  # Log, event loop, listeners, and files that libraries read.
MIN_SOCKETS = 24
CALLERS_SHARE = 0.4  # A request in service takes a connection to its caller and one or two others.
# Of a sidecar, to which all entries keep links, and which opens few connections itself.
PEERS_SHARE = 0.8
IDLE_SHARE = 0.1  # For idle connections to endpoints.
MIN_CONNECTIONS = 8
CONNECTION_BYTES = 8_192  # Memory that a connection takes while nothing is received on it.
CONNECTIONS_MEMORY_SHARE = 1 / 16
MACHINE_SHARE = 0.5  # Of the machine's memory, for a process that is told no limit.
CGROUP_LIMIT = Path("/sys/fs/cgroup/memory.max")


@attrs.frozen
class SocketBudget:
    """How many sockets a process may have open, and the parts for callers and idle connections."""

    total: int
    callers_share: float = CALLERS_SHARE

    @property
    def callers(self) -> int:
        """Most connections of callers."""
        return max(MIN_CONNECTIONS, int(self.total * self.callers_share))

    @property
    def idle(self) -> int:
        """Most connections to endpoints that are kept open while they are not used."""
        return max(1, int(self.total * IDLE_SHARE))


def socket_budget(stated: int = 0, callers_share: float = CALLERS_SHARE) -> SocketBudget:
    """Return the sockets that the kernel allows this process, at most ``stated`` if that is set."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = 1_048_576 if soft == resource.RLIM_INFINITY else soft
    total = max(MIN_SOCKETS, allowed - OWN_FILES)
    if stated > 0:
        total = min(total, max(MIN_SOCKETS, stated))
    return SocketBudget(total, callers_share)


def most_connections(budget: SocketBudget, memory_mb: float) -> int:
    """Return how many connections of callers a process with ``memory_mb`` takes; 0 is no limit."""
    if memory_mb <= 0:
        return budget.callers
    by_memory = int(memory_mb * MIB * CONNECTIONS_MEMORY_SHARE / CONNECTION_BYTES)
    return max(MIN_CONNECTIONS, min(budget.callers, by_memory))


def usable_memory_mb(cgroup_limit: Path = CGROUP_LIMIT) -> float:
    """Return the memory that a process may use if nobody states a limit: half of the machine's.

    The machine is the control group where that has less memory.
    """
    total = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    try:
        text = cgroup_limit.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError):
        text = ""  # No control group limits the memory.
    if text.isdigit():
        total = min(total, int(text))
    return total * MACHINE_SHARE / MIB
