"""Free ports on loopback."""

import socket


def free_ports(count: int) -> list[int]:
    """Return ``count`` different free ports.

    Nothing reserves them: another process may bind one before the caller does.
    """
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def free_port() -> int:
    """Return a free port; see `free_ports`."""
    return free_ports(1)[0]
