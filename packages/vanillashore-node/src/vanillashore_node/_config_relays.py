"""Choice of the VMs of a data centre that watch the store for the others.

Every process computes the same relays from the list of VMs.
"""

import math
from collections.abc import Iterable

import xxhash

from vanillashore_store import VmEntry, VmState

MIN_RELAYS = 2


def relays_of(vms: Iterable[VmEntry], data_centre: str) -> list[VmEntry]:
    """Return the relays of a data centre, by rendezvous hashing over its live VMs.

    Their number grows with the square root of the number of VMs, and so does the number of VMs that
    each serves. If two lists differ in a few VMs, their relays differ in few.
    """
    live = [vm for vm in vms if vm.data_centre == data_centre and vm.state is VmState.LIVE]
    count = max(MIN_RELAYS, math.isqrt(len(live)))
    return sorted(live, key=lambda vm: _score(data_centre, vm.name))[:count]


def rank_relays(name: str, relays: Iterable[VmEntry]) -> list[VmEntry]:
    """Return the relays in the order in which the process ``name`` tries them."""
    return sorted(relays, key=lambda vm: _score(name, vm.name))


def _score(one: str, other: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{one}\n{other}".encode())
