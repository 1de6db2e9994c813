"""Ports for processes that are started later."""

import subprocess
import sys
from pathlib import Path

from vanillashore_standins._ports import free_ports

COUNT = 400
OUTGOING_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_no_outgoing_connection_can_take_a_reserved_port() -> None:
    first, last = map(int, OUTGOING_RANGE.read_text(encoding="ascii").split())
    assert not [port for port in free_ports(COUNT) if first <= port <= last]


def test_two_processes_never_reserve_the_same_port() -> None:
    own = set(free_ports(COUNT))
    command = f"from vanillashore_standins._ports import free_ports; print(*free_ports({COUNT}))"
    output = subprocess.run([sys.executable, "-c", command], capture_output=True, check=True)
    other = set(map(int, output.stdout.split()))
    assert len(own) == len(other) == COUNT
    assert not own & other


def test_port_is_reserved_once_in_a_process() -> None:
    assert not set(free_ports(COUNT)) & set(free_ports(COUNT))
