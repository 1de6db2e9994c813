"""A request that was admitted, and what its forwarding shares with others."""

import random
from collections.abc import Callable

import attrs
from loguru import logger as log

from vanillashore_gateway._balancing import Balancer
from vanillashore_gateway._crashes import Crashes
from vanillashore_gateway._dialect import Dialect
from vanillashore_gateway._domain import CallerRequest, Endpoint, EndpointRole, Route, Service
from vanillashore_gateway._membership import Membership
from vanillashore_gateway._place_finder import PlaceFinder
from vanillashore_gateway._prefill_desk import PrefillDesk
from vanillashore_gateway._reading import Reading
from vanillashore_gateway._sending import Sender
from vanillashore_resilience import RetryBudget


@attrs.define
class BudgetBook:
    """The retry budget of each service at this entry."""

    per_request: float
    most: float
    _budgets: dict[str, RetryBudget] = attrs.field(factory=dict)

    def of(self, service: str) -> RetryBudget:
        """Return a service's budget; a new process begins with a part of it only."""
        found = self._budgets.get(service)
        if found is None:
            found = RetryBudget(self.per_request, self.most, self.most / 4)
            self._budgets[service] = found
        return found

    def resize(self, most: float) -> None:
        """Change how many retries may be saved up."""
        self.most = most
        for budget in self._budgets.values():
            budget.max_saved = most
            budget.saved = min(budget.saved, most)


@attrs.frozen
class Tools:
    """What all requests of a gateway use."""

    dialect: Dialect
    sender: Sender
    places: PlaceFinder
    balancer: Balancer
    reading: Reading
    prefills: PrefillDesk
    crashes: Crashes
    membership: Membership
    budgets: BudgetBook
    clock: Callable[[], float]
    rng: random.Random


@attrs.define
class Job:
    """An admitted request on its way; ``config_version`` is the configuration it is handled by.

    ``fingerprint`` is the same for each time that the caller sends it.
    """

    req: CallerRequest
    route: Route
    service: Service
    workspace: str
    config_version: int
    fingerprint: str
    tried: set[str] = attrs.field(factory=set)
    sends: int = 0

    @property
    def give_up_at(self) -> float:
        """When the caller has to have a final answer."""
        return min(self.req.deadline, self.req.arrived + self.route.timeout_s)

    def choose(self, tools: Tools, role: EndpointRole, share: float) -> Endpoint | None:
        """Choose an endpoint that was not tried yet, and log why."""
        now = tools.clock()
        endpoints = tools.membership.usable(self.service.name, role)
        endpoint = tools.balancer.choose(endpoints, self.tried, now, share)
        if endpoint is None:
            self.note("no endpoint is left", listed=len(endpoints), tried=len(self.tried))
            return None
        self.note(
            "endpoint chosen",
            endpoint=endpoint.instance,
            role=role.value,
            pressure=round(tools.balancer.pressure(endpoint, now, share), 3),
            listed=len(endpoints),
            tried=len(self.tried),
        )
        return endpoint

    def note_break(self, tools: Tools, endpoint: Endpoint) -> None:
        """Note that an endpoint broke off while it ran the request."""
        tools.crashes.note_break(self.fingerprint, endpoint, self.req.log_id)

    def note(self, decision: str, **inputs: object) -> None:
        """Log a decision on this request."""
        log.bind(request=self.req.log_id, config=self.config_version, **inputs).info(decision)
