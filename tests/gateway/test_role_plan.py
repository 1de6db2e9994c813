"""Planned role changes of engines."""

import attrs
import pytest

from vanillashore_gateway import Endpoint, EndpointRole
from vanillashore_gateway._role_plan import plan_roles, target_prefills


def _pool(prefills: int, decodes: int, service: str = "m", leaving: int = 0) -> list[Endpoint]:
    roles = [EndpointRole.PREFILL] * prefills + [EndpointRole.DECODE] * decodes
    return [
        Endpoint(f"{service}{i}", service, "10.0.0.1", 80, f"dc-{i % 3}", 8, role, i < leaving)
        for i, role in enumerate(roles)
    ]


@pytest.mark.parametrize(
    ("prefills", "decodes", "to_decode", "to_prefill"),
    [
        (4, 5, 1, 0),
        (3, 6, 0, 0),
        (2, 7, 0, 1),
        (0, 9, 0, 1),
        (9, 0, 2, 0),
        (1, 1, 0, 0),
        (2, 0, 1, 0),
        (0, 1, 0, 0),
        (1, 0, 1, 0),
        (0, 0, 0, 0),
    ],
)
def test_pool_changes_a_few_engines_at_a_time(
    prefills: int, decodes: int, to_decode: int, to_prefill: int
) -> None:
    changes = plan_roles(_pool(prefills, decodes))
    roles = [change.role for change in changes]
    assert roles.count(EndpointRole.DECODE) == to_decode
    assert roles.count(EndpointRole.PREFILL) == to_prefill


@pytest.mark.parametrize("size", range(2, 60))
def test_plan_converges(size: int) -> None:
    pool = _pool(size, 0)
    for _ in range(size):
        changed = {c.endpoint.instance: c.role for c in plan_roles(pool)}
        pool = [
            Endpoint(
                e.instance, "m", e.host, e.port, e.data_centre, 8, changed.get(e.instance, e.role)
            )
            for e in pool
        ]
    assert plan_roles(pool) == []
    assert sum(e.role is EndpointRole.PREFILL for e in pool) == target_prefills(size)


@pytest.mark.parametrize(
    ("engines", "prefills"), [(1, 0), (2, 1), (4, 1), (6, 2), (9, 3), (23, 5), (28, 6), (37, 7)]
)
def test_large_pools_need_a_smaller_share_for_prefills(engines: int, prefills: int) -> None:
    assert target_prefills(engines) == prefills


def test_prefill_engines_stay_spread_over_the_data_centres() -> None:
    changes = plan_roles(_pool(6, 3))
    assert len({change.endpoint.data_centre for change in changes}) == len(changes)


def test_plain_services_and_leaving_engines_are_not_changed() -> None:
    services = [Endpoint("s", "s", "10.0.0.1", 80, "dc-0", 8)]
    assert plan_roles(services) == []
    leaving = _pool(4, 5, leaving=1)
    assert all(change.endpoint.instance != "m0" for change in plan_roles(leaving))


def _versions(**roles: tuple[int, int]) -> list[Endpoint]:
    """Return a pool with the number of prefill and decode engines of each version."""
    return [
        attrs.evolve(engine, instance=f"{version}-{engine.instance}", software=version)
        for version, (prefills, decodes) in roles.items()
        for engine in _pool(prefills, decodes)
    ]


def _converge(pool: list[Endpoint]) -> list[Endpoint]:
    for _ in range(40):
        changed = {c.endpoint.instance: c.role for c in plan_roles(pool)}
        pool = [attrs.evolve(e, role=changed.get(e.instance, e.role)) for e in pool]
    assert plan_roles(pool) == []
    return pool


@pytest.mark.parametrize("v1", [(2, 0), (3, 0), (1, 1), (0, 2), (2, 3)])
@pytest.mark.parametrize("v2", [(1, 6), (0, 7), (3, 4), (2, 0)])
def test_each_version_with_several_engines_keeps_a_decode_engine(
    v1: tuple[int, int], v2: tuple[int, int]
) -> None:
    pool = _converge(_versions(v1=v1, v2=v2))
    decoding = {e.software for e in pool if e.role is EndpointRole.DECODE}
    assert decoding == {"v1", "v2"}
    prefills = sum(e.role is EndpointRole.PREFILL for e in pool)
    assert prefills == target_prefills(len(pool))


def test_single_engine_of_a_version_is_not_changed_for_it() -> None:
    assert plan_roles(_versions(v1=(1, 0), v2=(2, 6))) == []
