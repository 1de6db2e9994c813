"""What callers that nobody controls can make a process hold, counted and bounded."""

from vanillashore_ingress._connection_table import (
    Connection,
    ConnectionTable,
    Standing,
    poll_socket,
)
from vanillashore_ingress._held_bytes import (
    MIB,
    RELAY_BYTES,
    Admission,
    CallerAccount,
    HeldBytes,
    HeldLimits,
    limits_for_memory,
)
from vanillashore_ingress._listener import Listener
from vanillashore_ingress._process_limits import (
    CALLERS_SHARE,
    PEERS_SHARE,
    SocketBudget,
    most_connections,
    socket_budget,
    usable_memory_mb,
)
from vanillashore_ingress._reading import READ_BUFFER, READ_BYTES, ReadPauses, ReadTurns, is_costly

__all__ = [
    "CALLERS_SHARE",
    "MIB",
    "PEERS_SHARE",
    "READ_BUFFER",
    "READ_BYTES",
    "RELAY_BYTES",
    "Admission",
    "CallerAccount",
    "Connection",
    "ConnectionTable",
    "HeldBytes",
    "HeldLimits",
    "Listener",
    "ReadPauses",
    "ReadTurns",
    "SocketBudget",
    "Standing",
    "is_costly",
    "limits_for_memory",
    "most_connections",
    "poll_socket",
    "socket_budget",
    "usable_memory_mb",
]
