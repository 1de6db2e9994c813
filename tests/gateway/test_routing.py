"""Ranks of requests, and what a configuration of many routes and workspaces costs to install."""

import random
from collections.abc import Iterator

import pytest

from vanillashore_gateway import (
    DEFAULT_RANK,
    CallerLimits,
    Route,
    RouteKind,
    RouteTable,
    ServingConfig,
    Target,
    Workspace,
)

LOWEST_RANK = 9


class _CountedWorkspaces(tuple[Workspace, ...]):
    """Workspaces that count how many of them are visited."""

    visits = 0

    def __iter__(self) -> Iterator[Workspace]:
        for workspace in super().__iter__():
            self.visits += 1
            yield workspace


def _config(route_ranks: list[int], workspace_ranks: list[int | None]) -> ServingConfig:
    routes = [
        Route(
            f"r-{i}",
            "host",
            f"/{i}/",
            RouteKind.IDEMPOTENT,
            (Target("s"),),
            timeout_s=1.0,
            target_s=0.5,
            rank=rank,
        )
        for i, rank in enumerate(route_ranks)
    ]
    workspaces = [
        Workspace(f"w-{i}", frozenset({f"key-{i}"}), rank=rank)
        for i, rank in enumerate(workspace_ranks)
    ]
    return ServingConfig(
        1, tuple(routes), (), _CountedWorkspaces(workspaces), CallerLimits(), requires_keys=True
    )


@pytest.mark.parametrize("seed", range(20))
def test_rank_is_the_place_among_all_pairs_that_a_request_may_have(seed: int) -> None:
    rng = random.Random(seed)
    config = _config(
        [rng.randrange(10) for _ in range(rng.randrange(1, 6))],
        [rng.choice([None, rng.randrange(10)]) for _ in range(rng.randrange(6))],
    )
    requests = [(w, r) for w in (None, *config.workspaces) for r in config.routes]
    pairs = {
        (w, r): (DEFAULT_RANK if w is None or w.rank is None else w.rank, r.rank)
        for w, r in requests
    }
    levels = sorted(set(pairs.values()))
    table = RouteTable(config)
    for workspace, route in requests:
        level = levels.index(pairs[workspace, route])
        expected = DEFAULT_RANK if len(levels) == 1 else min(LOWEST_RANK, level)
        assert table.rank(route, workspace) == expected


def test_more_routes_do_not_visit_the_workspaces_more_often() -> None:
    """Guards against an entry that stands still as it installs a large configuration."""
    visits = []
    for count in (1, 50):
        config = _config([i % 10 for i in range(count)], [None, 1, 2, 3] * 10)
        RouteTable(config)
        visits.append(config.workspaces.visits)
    assert visits[0] == visits[1]
