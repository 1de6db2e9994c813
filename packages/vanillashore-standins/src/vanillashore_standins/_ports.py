"""Free ports on loopback."""

import socket


def free_ports(count: int) -> list[int]:
    """Return ``count`` different ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def free_port() -> int:
    """Return a port that was free a moment ago."""
    return free_ports(1)[0]
