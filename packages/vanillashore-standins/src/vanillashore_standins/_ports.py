"""Ports on loopback for processes that are started later."""

import fcntl
import functools
import os
import socket
import tempfile
from pathlib import Path

FIRST_PORT = 10_000
DEFAULT_OUTGOING_PORT = 32_768  # Where Linux begins to number outgoing connections.
_OUTGOING_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class _Reservations:
    """Ports that this process has reserved.

    A reservation is a lock on the port's byte of a file that all processes share, so it ends with
    its process.
    """

    def __init__(self) -> None:
        path = Path(tempfile.gettempdir()) / f"vanillashore-ports-{os.getuid()}.lock"
        self._file = path.open("ab")
        self._count = _first_outgoing_port() - FIRST_PORT
        self._start = os.getpid() % self._count  # Processes begin at different ports.
        self._tried = 0

    def reserve(self) -> int:
        """Reserve the next free port; raise RuntimeError if there is none."""
        while self._tried < self._count:
            port = FIRST_PORT + (self._start + self._tried) % self._count
            self._tried += 1
            if self._lock(port) and _can_bind(port):
                return port
        raise RuntimeError(f"no free port from {FIRST_PORT} on")

    def _lock(self, port: int) -> bool:
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except OSError:
            return False
        return True


@functools.cache
def _reservations() -> _Reservations:
    return _Reservations()


def free_ports(count: int) -> list[int]:
    """Reserve ``count`` free ports until this process ends.

    They lie below the ports that the kernel gives to outgoing connections, so none of those can
    take one before it is bound. Programs that do not reserve their ports still can.
    """
    return [_reservations().reserve() for _ in range(count)]


def free_port() -> int:
    """Reserve a free port; see `free_ports`."""
    return free_ports(1)[0]


def _first_outgoing_port() -> int:
    try:
        return int(_OUTGOING_RANGE.read_text(encoding="ascii").split()[0])
    except OSError:
        return DEFAULT_OUTGOING_PORT


def _can_bind(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
