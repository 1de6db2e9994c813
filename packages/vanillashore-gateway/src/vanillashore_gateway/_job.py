"""An admitted request, and the objects that all requests share."""

import random
from collections.abc import Callable

import attrs
from loguru import logger as log

from vanillashore_gateway._balancing import Balancer
from vanillashore_gateway._crashes import CrashMonitor, LostRun
from vanillashore_gateway._crashing_parts import CrashingParts
from vanillashore_gateway._dialect import Dialect
from vanillashore_gateway._domain import (
    DEFAULT_RANK,
    AnswerHead,
    CallerRequest,
    Endpoint,
    EndpointRole,
    Route,
    Service,
)
from vanillashore_gateway._errors import ErrorCode, RefusalError, Refused, refusal
from vanillashore_gateway._limit_requests import RequestLimits
from vanillashore_gateway._membership import Membership
from vanillashore_gateway._origin_store import OriginStore
from vanillashore_gateway._prefill_estimator import PrefillEstimator
from vanillashore_gateway._prefill_scheduler import PrefillScheduler
from vanillashore_gateway._retry_requests import RetryBudgets
from vanillashore_gateway._sending import Sender
from vanillashore_gateway._shutdown import Shutdown
from vanillashore_gateway._slot_finder import SlotFinder
from vanillashore_gateway._start_checks import StartChecks
from vanillashore_gateway._stream_origins import StreamOrigin, StreamOrigins


@attrs.frozen
class Tools:
    """The objects that all requests of a gateway use."""

    dialect: Dialect
    sender: Sender
    slot_finder: SlotFinder
    start_checks: StartChecks
    balancer: Balancer
    limits: RequestLimits
    origins: StreamOrigins
    origin_store: OriginStore
    prefill_estimator: PrefillEstimator
    prefills: PrefillScheduler
    crashes: CrashMonitor
    parts: CrashingParts
    membership: Membership
    budgets: RetryBudgets
    shutdown: Shutdown
    clock: Callable[[], float]
    rng: random.Random


def give_up_at(req: CallerRequest, route: Route) -> float:
    """Return the time by which the caller of a request must have a final answer."""
    return min(req.deadline, req.arrived + route.timeout_s)


@attrs.define
class Job:
    """An admitted request that is being forwarded under configuration ``config_version``.

    ``fingerprint`` is the same each time that the caller sends the request; ``traits`` are it and
    the parts of the prompt that other requests may share, as digests. ``origin`` is that of a
    stream that the caller takes up again. ``may_have_run`` is true from the moment at which an
    endpoint may have begun to work on the request, unless it states that it has not. A request
    ``on_trial`` is let through although it may crash an endpoint. ``rank`` is the urgency, of the
    workspace if it has one, else of the route. If it ``is_scheduled``, the home of the service
    schedules its decode slot.
    """

    req: CallerRequest
    route: Route
    service: Service
    workspace: str
    config_version: int
    fingerprint: str
    traits: tuple[str, ...]
    received: float
    origin: StreamOrigin | None = None
    on_trial: bool = False
    rank: int = DEFAULT_RANK
    is_scheduled: bool = False
    tried: set[str] = attrs.field(factory=set)
    sends: int = 0
    may_have_run: bool = False

    @property
    def give_up_at(self) -> float:
        """Time by which the caller must have a final answer."""
        return give_up_at(self.req, self.route)

    def state_run(self, refused: Refused) -> Refused:
        """Replace a refusal as not run if an endpoint may have run the request."""
        if not self.may_have_run or refused.ran != "no":
            return refused
        return Refused(ErrorCode.ENDPOINT_FAILED, f"the answer was lost; {refused.text}")

    def may_pass_on(self, head: AnswerHead) -> bool:
        """Whether the answer of an endpoint that may have run the request may reach the caller.

        Some statuses make callers send the request again, which not every request allows.
        """
        return self.route.may_repeat or not head.implies_not_run

    def withhold_answer(self, endpoint: Endpoint, head: AnswerHead) -> RefusalError:
        """Log that an answer is not passed on, and return what the caller gets in its place."""
        self.log_decision("answer withheld", endpoint=endpoint.instance, status=head.status)
        text = f"an endpoint failed with status {head.status}, and may have run the request"
        return refusal(ErrorCode.ENDPOINT_FAILED, text)

    def choose(self, tools: Tools, role: EndpointRole, share: float) -> Endpoint | None:
        """Choose an endpoint that was not tried yet, and log the choice."""
        now = tools.clock()
        endpoints = tools.membership.usable(self.service.name, role)
        open_endpoints = tools.limits.open_endpoints(endpoints)
        endpoint = tools.balancer.choose(open_endpoints, self.tried, now, share)
        if endpoint is None:
            self.log_decision(
                "no untried endpoint",
                listed=len(endpoints),
                at_limit=len(endpoints) - len(open_endpoints),
                tried=len(self.tried),
            )
            return None
        self.log_decision(
            "endpoint chosen",
            endpoint=endpoint.instance,
            role=role.value,
            pressure=round(tools.balancer.pressure(endpoint, now, share), 3),
            slowness=round(tools.balancer.speeds.slowness(endpoint, now), 2),
            listed=len(endpoints),
            tried=len(self.tried),
        )
        return endpoint

    async def acquire_permit(
        self, tools: Tools, endpoint: Endpoint, max_wait_s: float = 0.0
    ) -> bool:
        """Return whether the endpoint's request limit permits a request, and log if it does not."""
        wait_s = await tools.limits.acquire(endpoint, max_wait_s)
        if wait_s is None:
            return True
        self.log_decision(
            "the endpoint is at its request limit",
            endpoint=endpoint.instance,
            wait_s=round(wait_s, 3),
        )
        return False

    def check_shutdown(self, shutdown: Shutdown, wait_s: float = 0.0) -> None:
        """Raise RefusalError if this request may not end before a stopping process does."""
        if shutdown.ends_at is None:
            return
        if self.route.is_generation:
            shutdown.check_generation(self.service.name, self.received, self.give_up_at, wait_s)
        else:
            shutdown.check_arrival(self.received, self.give_up_at)
        now = shutdown.clock()
        self.log_decision(
            "accepted while stopping",
            in_rotation=self.received < shutdown.out_of_rotation_at,
            left_s=round(shutdown.ends_at - now, 3),
            limit_s=round(self.give_up_at - now, 3),
        )

    def check_crashes(self, tools: Tools) -> None:
        """Raise RefusalError if the request is refused because it crashes endpoints.

        To be called before each time that an endpoint gets the request.
        """
        if tools.crashes.is_refused(self.fingerprint):
            raise crash_refusal()
        if not tools.parts.refuses(self.traits) or (self.on_trial and not self.may_have_run):
            return
        if self.may_have_run or not tools.parts.is_trial_due(self.service.name, self.traits):
            raise crash_refusal()
        tools.parts.begin_trial(self.traits, self.req.log_id)
        self.on_trial = True

    def record_disconnect(
        self, tools: Tools, endpoint: Endpoint, events: int = 0, is_early: bool = True
    ) -> None:
        """Record that a connection broke, ``events`` events after it got the request.

        A run that ``is_early`` may be the cause.
        """
        req = self.req
        run = LostRun(
            req.log_id,
            self.fingerprint,
            endpoint,
            events,
            is_early,
            req.prompt_parts,
            self.traits,
        )
        tools.crashes.record_disconnect(run)

    def log_decision(self, decision: str, **inputs: object) -> None:
        """Log a decision about this request."""
        log.bind(request=self.req.log_id, config=self.config_version, **inputs).info(decision)


def crash_refusal() -> RefusalError:
    """Return the refusal of a request that crashes endpoints."""
    text = "this request is blocked because it crashes endpoints"
    return refusal(ErrorCode.CRASHES_ENDPOINTS, text)
