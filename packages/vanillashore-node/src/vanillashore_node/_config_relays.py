"""Which VMs of a data centre watch the store for the others: chosen alike by all, from the list."""

import math
from collections.abc import Iterable

import xxhash

from vanillashore_store import VmEntry, VmState

FEWEST_RELAYS = 2


def relays_of(vms: Iterable[VmEntry], data_centre: str) -> list[VmEntry]:
    """Return the relays of a data centre, by rendezvous hashing over its live VMs.

    Their number grows with the square root of the data centre, and so does what each of them
    carries. Views of the list that differ by a few VMs differ by few relays.
    """
    live = [vm for vm in vms if vm.data_centre == data_centre and vm.state is VmState.LIVE]
    count = max(FEWEST_RELAYS, math.isqrt(len(live)))
    return sorted(live, key=lambda vm: _score(data_centre, vm.name))[:count]


def ranked_for(name: str, relays: Iterable[VmEntry]) -> list[VmEntry]:
    """Return the relays in the order in which the process ``name`` asks them."""
    return sorted(relays, key=lambda vm: _score(name, vm.name))


def _score(one: str, other: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{one}\n{other}".encode())
