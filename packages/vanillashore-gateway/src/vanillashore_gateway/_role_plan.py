"""Plan of how many engines prefill and how many decode.

Corrects a pool whose decode engines are short of memory while prefill engines idle, and the
reverse. An engine that changes its role is unavailable for some seconds, so small differences from
the plan are left. A stream can only go on at its software version, so each version keeps a decode
engine.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable

import attrs

from vanillashore_gateway._domain import Endpoint, EndpointRole

# Prefills take less than a tenth of the engines' time on average. In a large pool twice that is
# enough for peaks; a small one also needs engines for the loss of one, up to a limit.
PREFILL_SHARE = 0.15
SPARE_PREFILLS = 1.5
MAX_PREFILL_SHARE = 0.3
MAX_CHANGING_SHARE = 0.25  # Of a pool, as engines are unavailable while they change roles.


@attrs.frozen
class RoleChange:
    """An engine that should change its role."""

    endpoint: Endpoint
    role: EndpointRole


def plan_roles(engines: Iterable[Endpoint]) -> list[RoleChange]:
    """Return the changes that bring each service's pool towards its planned shape.

    Each version with two engines or more keeps a decode engine, and the prefill engines stay spread
    over the data centres.
    """
    pools: dict[str, list[Endpoint]] = defaultdict(list)
    for engine in engines:
        if engine.role is not EndpointRole.SERVICE and not engine.is_leaving:
            pools[engine.service].append(engine)
    return [change for pool in pools.values() for change in _plan_pool(pool)]


def target_prefills(engines: int) -> int:
    """Return how many of a pool's ``engines`` should prefill."""
    if engines < 2:
        return 0
    needed = round(engines * PREFILL_SHARE + SPARE_PREFILLS)
    return max(1, min(needed, round(engines * MAX_PREFILL_SHARE)))


def _plan_pool(pool: list[Endpoint]) -> list[RoleChange]:
    prefills = [e for e in pool if e.role is EndpointRole.PREFILL]
    decodes = [e for e in pool if e.role is EndpointRole.DECODE]
    missing = _versions_without_decode(prefills, decodes)
    if decodes and missing:
        return [RoleChange(missing[0], EndpointRole.DECODE)]
    surplus = len(prefills) - target_prefills(len(pool))
    max_changes = max(1, int(len(pool) * MAX_CHANGING_SHARE))
    if surplus > 0:
        chosen = _pick_from_largest_data_centres(prefills, min(surplus, max_changes))
        return [RoleChange(e, EndpointRole.DECODE) for e in chosen]
    decodes_of = Counter(engine.software for engine in decodes)
    spare = [engine for engine in decodes if decodes_of[engine.software] > 1]
    if surplus < 0 and spare:
        chosen = _pick_from_largest_data_centres(spare, 1)
        return [RoleChange(e, EndpointRole.PREFILL) for e in chosen]
    return []


def _versions_without_decode(prefills: list[Endpoint], decodes: list[Endpoint]) -> list[Endpoint]:
    """Return a prefill engine of each version that has several, but no decode engine."""
    decoding = {engine.software for engine in decodes}
    of_version: dict[str, list[Endpoint]] = defaultdict(list)
    for engine in sorted(prefills, key=lambda e: e.instance):
        of_version[engine.software].append(engine)
    return [
        engines[0]
        for software, engines in of_version.items()
        if software not in decoding and len(engines) > 1
    ]


def _pick_from_largest_data_centres(engines: list[Endpoint], count: int) -> list[Endpoint]:
    """Pick engines, each from the data centre that has most of them left."""
    left: dict[str, list[Endpoint]] = defaultdict(list)
    for engine in sorted(engines, key=lambda e: e.instance):
        left[engine.data_centre].append(engine)
    picked = []
    for _ in range(count):
        fullest = max(sorted(left), key=lambda name: len(left[name]))
        picked.append(left[fullest].pop())
    return picked
