"""Lookup of a request's route, workspace and service."""

import itertools
import random
from collections import defaultdict

from vanillashore_gateway._domain import (
    DEFAULT_RANK,
    LOWEST_RANK,
    CallerRequest,
    Route,
    Service,
    ServingConfig,
    Workspace,
)
from vanillashore_gateway._errors import ErrorCode, refusal


class RouteTable:
    """Looks up routes and keys of one configuration.

    Example::

        table = RouteTable(config)
        route = table.route(req.host, req.path)
        workspace = table.workspace(req, route)
    """

    def __init__(self, config: ServingConfig) -> None:
        self.config = config
        self._by_host: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in config.routes:
            self._by_host[route.host.lower()][route.path_prefix] = route
        self._by_key = {key: w for w in config.workspaces for key in w.keys}
        self._services = {service.name: service for service in config.services}
        self._levels = _rank_levels(config)
        self.ranked_services = _ranked_services(config)

    def service(self, name: str) -> Service:
        """Return a service, with default settings if the configuration does not describe it."""
        return self._services.get(name) or Service(name)

    def route(self, host: str, path: str) -> Route:
        """Return the route with the longest matching prefix; raise RefusalError if none does."""
        routes = self._by_host.get(host.lower().partition(":")[0], {})
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            found = routes.get(path[: end + 1])
            if found is not None:
                return found
        raise refusal(ErrorCode.NO_ROUTE, f"no route matches {host}{path}")

    def workspace(self, req: CallerRequest, route: Route) -> Workspace | None:
        """Return the workspace of the request's key; ``None`` on an open route.

        Raises RefusalError if a key is required but missing or unknown.
        """
        found = self._by_key.get(req.key) if req.key is not None else None
        if found is None and self.config.requires_keys and not route.is_open:
            raise refusal(ErrorCode.KEY_INVALID, "the key is missing or unknown")
        return None if route.is_open else found

    def rank(self, route: Route, workspace: Workspace | None) -> int:
        """Return the urgency of a request, from 0 to 9; 0 is the most urgent.

        A workspace's rank takes precedence, and the route's decides between equal workspaces.
        """
        if len(self._levels) == 1:
            return DEFAULT_RANK
        return min(LOWEST_RANK, self._levels[_rank_pair(route, workspace)])


def _rank_pair(route: Route, workspace: Workspace | None) -> tuple[int, int]:
    return _workspace_rank(workspace), route.rank


def _workspace_rank(workspace: Workspace | None) -> int:
    rank = workspace.rank if workspace is not None else None
    return DEFAULT_RANK if rank is None else rank


def _rank_levels(config: ServingConfig) -> dict[tuple[int, int], int]:
    """Return the level of each combination of ranks that a request may have."""
    workspace_ranks = {_workspace_rank(workspace) for workspace in (None, *config.workspaces)}
    route_ranks = {route.rank for route in config.routes}
    pairs = itertools.product(sorted(workspace_ranks), sorted(route_ranks))
    return {pair: level for level, pair in enumerate(pairs)}


def _ranked_services(config: ServingConfig) -> frozenset[str]:
    """Return the services whose generations come over routes of different ranks."""
    ranks: dict[str, set[int]] = defaultdict(set)
    for route in config.routes:
        if route.is_generation:
            for target in route.targets:
                ranks[target.service].add(route.rank)
    return frozenset(service for service, known in ranks.items() if len(known) > 1)


def pick_service(route: Route, rng: random.Random) -> str:
    """Return one of the route's services, by weight; with no weight at all, each is as likely."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    services = [target.service for target in route.targets]
    return rng.choices(services, weights if any(weights) else None)[0]
