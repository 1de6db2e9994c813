"""Finds decode slots for generations: a reservation at an engine, or a position in the queue."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
from loguru import logger as log

from vanillashore_gateway._balancing import Balancer
from vanillashore_gateway._domain import (
    DEFAULT_RANK,
    CallerRequest,
    Endpoint,
    EndpointRole,
    Hold,
    Route,
    Service,
    SlotTicket,
)
from vanillashore_gateway._engine_calls import EngineCalls, EngineUnreachableError
from vanillashore_gateway._errors import ErrorCode, RefusalError, refusal
from vanillashore_gateway._limit_requests import RequestLimits
from vanillashore_gateway._membership import Membership
from vanillashore_gateway._output_sizes import OutputSizes
from vanillashore_gateway._prefill_estimator import PrefillEstimator
from vanillashore_gateway._slot_queue import SlotQueue, Waiter
from vanillashore_gateway._slot_requests import SlotRequests
from vanillashore_gateway._slot_schedule import SlotAsk, Turndown
from vanillashore_gateway._start_checks import StartChecks

MAX_ENGINES_ASKED = 3  # One after the other, in each attempt to reserve a slot.
POLL_INTERVAL_S = 0.03  # While all engines are full; as long as a few decode steps.
# A slot is in time within this share of the target, less the time to prefill the prompt. The rest
# is for the first decode steps.
ON_TIME_TARGET_SHARE = 0.85
# A new generation in the queue is refused after this share of the caller's time-out or after this
# multiple of the target latency, whichever is shorter; callers abandon a silent stream after four
# times the target.
MAX_WAIT_TIMEOUT_SHARE = 0.3
MAX_WAIT_TARGETS = 3.0
MAX_QUEUE_WAIT_S = 2.7  # With a longer expected wait, new generations are refused at once.
DEFAULT_OUTPUT_SHARE = 0.35  # Of the maximum output, for callers that give no estimate.
# Longest wait to resume a stream: callers abandon a silent one after 3.6 s, and the new engine
# needs the remaining time.
CONTINUATION_WAIT_S = 2.0
LATE_RESERVE_SHARE = 0.2  # Of an engine's memory, kept for generations that can still be on time.
RETRY_JITTER = 0.3  # Keeps callers that were refused together from returning together.


@attrs.frozen
class Urgency:
    """How urgent a generation is, and for whom; ``repeat_key`` is kept when it is sent again.

    Where the routes of the service differ in rank, its slots are scheduled for all entries.
    """

    rank: int = DEFAULT_RANK
    workspace: str = ""
    repeat_key: str = ""
    is_scheduled: bool = False


@attrs.define(eq=False)
class SlotRequest:
    """A generation that needs a decode slot; ``avoided`` are engines that have failed it.

    A stream that has begun can only go on at an engine with the same ``software``; ``None`` allows
    any.
    """

    req: CallerRequest
    route: Route
    service: Service
    tokens: int
    avoided: set[str]
    software: str | None
    fut: "asyncio.Future[Hold]"
    urgency: Urgency = attrs.field(factory=Urgency)
    unreachable: set[str] = attrs.field(factory=set)

    @property
    def queue_key(self) -> tuple[str, str | None]:
        """The queue to wait in: a stream that waits for its version must not block others."""
        return self.service.name, self.software


class SlotFinder:
    """Reserves slots at decode engines, in the order of the queue."""

    def __init__(
        self,
        calls: EngineCalls,
        balancer: Balancer,
        limits: RequestLimits,
        start_checks: StartChecks,
        prefill_estimator: PrefillEstimator,
        membership: Membership,
        schedule: SlotRequests,
        data_centre: str,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._schedule = schedule
        self._data_centre = data_centre
        self._calls = calls
        self._balancer = balancer
        self._limits = limits
        self._start_checks = start_checks
        self._prefill_estimator = prefill_estimator
        self._membership = membership
        self._clock = clock
        self._rng = rng
        self.output_sizes = OutputSizes()
        self._queues: dict[tuple[str, str | None], SlotQueue[SlotRequest]] = defaultdict(SlotQueue)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._assigning: set[tuple[str, str | None]] = set()

    def needed_tokens(self, req: CallerRequest, service: Service) -> int:
        """Return the memory to reserve for a generation, in tokens."""
        size = req.generation_size
        if size is None:
            return 1
        if size.expected_output_tokens is None:
            return size.input_tokens + int(size.max_output_tokens * DEFAULT_OUTPUT_SHARE)
        output_tokens = self.output_sizes.reserved_tokens(
            service.name, size.expected_output_tokens, size.max_output_tokens
        )
        return size.input_tokens + output_tokens

    async def find(
        self,
        req: CallerRequest,
        route: Route,
        service: Service,
        avoided: set[str],
        has_begun: bool = False,
        software: str | None = None,
        urgency: Urgency | None = None,
    ) -> Hold:
        """Return a reservation; raise RefusalError if none is expected or made in time.

        With ``has_begun`` the caller has already received a part of the answer, so the request is
        put at the front of the queue.
        """
        tokens = self.needed_tokens(req, service)
        request = SlotRequest(
            req, route, service, tokens, avoided, software, _future(), urgency or Urgency()
        )
        is_new = not has_begun and software is None
        if request.urgency.is_scheduled and is_new and req.generation_size is not None:
            hold = await self._find_scheduled(request)
            if hold is not None:
                return hold
        queue = self._queues[request.queue_key]
        if has_begun or not len(queue):
            hold = await self._try(request)
            if hold is not None:
                return hold
        if has_begun:
            until = self._clock() + CONTINUATION_WAIT_S
            return await self._wait(
                queue, Waiter(request, self._clock(), until, until), is_first=True
            )
        self._check_queue(queue, request)
        return await self._wait(queue, self._waiter(request))

    async def find_now(
        self,
        req: CallerRequest,
        service: Service,
        route: Route,
        avoided: set[str],
        software: str | None = None,
    ) -> Hold | None:
        """Return a reservation, or ``None`` if no engine that was asked has room at once."""
        tokens = self.needed_tokens(req, service)
        request = SlotRequest(req, route, service, tokens, avoided, software, _future())
        try:
            return await self._try(request)
        except RefusalError as exc:
            log.bind(request=req.log_id, reason=exc.refused.text).info("no other engine")
            return None

    def queue(self, service: str) -> SlotQueue[SlotRequest]:
        """Return the queue for decode slots at any engine of a service."""
        return self._queues[service, None]

    def waiting(self, service: str) -> int:
        """Return how many generations wait, those that wait for a version included."""
        return sum(len(queue) for (name, _), queue in self._queues.items() if name == service)

    def record_answer_time(self, service: Service, seconds: float) -> None:
        """Record how long an answer held its slot."""
        self.queue(service.name).record_answer_time(seconds)

    def release(self, hold: Hold) -> None:
        """Release a reservation that was not used, in the background."""
        self.end(hold)
        self._start(self._calls.release_hold(hold))

    def end(self, hold: Hold) -> None:
        """Record that the generation that used a reservation has ended."""
        if hold.ticket is not None:
            self._schedule.end(hold.ticket)

    async def _find_scheduled(self, request: SlotRequest) -> Hold | None:
        """Return a reservation at the engine that the home grants, ``None`` without a home.

        Raises RefusalError if the home expects no slot in time.
        """
        is_repeated = False
        while True:
            ask = self._slot_ask(request, is_repeated)
            is_repeated = True
            decision = await self._schedule.ask(request.service, ask)
            if decision is None:
                return None
            if isinstance(decision, Turndown):
                bound = log.bind(request=request.req.log_id, rank=request.urgency.rank)
                bound.bind(tokens=request.tokens).info("no decode slot in time")
                text = "no decode slot is expected in time"
                raise refusal(ErrorCode.ENDPOINTS_FULL, text, decision.retry_s)
            try:
                hold = await self._reserve_granted(request, decision)
            except BaseException:
                self._schedule.end(decision)
                raise
            if hold is not None:
                return hold
            is_full = decision.instance not in request.unreachable
            self._schedule.fail(decision, is_full)

    async def _reserve_granted(self, request: SlotRequest, ticket: SlotTicket) -> Hold | None:
        endpoint = self._membership.get(ticket.instance)
        if endpoint is None or self._membership.is_leaving(endpoint):
            return None
        hold = await self._reserve_at(request, endpoint, 0.0)
        return None if hold is None else attrs.evolve(hold, ticket=ticket)

    def _slot_ask(self, request: SlotRequest, is_repeated: bool) -> SlotAsk:
        req, urgency, now = request.req, request.urgency, self._clock()
        waiter = self._waiter(request)
        return SlotAsk(
            rank=urgency.rank,
            tokens=request.tokens,
            output_tokens=request.tokens - req.generation_size.input_tokens,
            on_time_s=waiter.on_time_until - now,
            wait_s=waiter.give_up_at - now,
            left_s=req.deadline - now,
            data_centre=self._data_centre,
            workspace=urgency.workspace,
            repeat_key=urgency.repeat_key,
            avoided=tuple(request.avoided | request.unreachable),
            is_repeated=is_repeated,
        )

    def _check_queue(self, queue: SlotQueue[SlotRequest], request: SlotRequest) -> None:
        if queue.expected_wait_s() > MAX_QUEUE_WAIT_S:
            raise self._refusal(queue, request, "too many generations wait for a decode slot")
        engines = self._membership.usable(request.service.name, EndpointRole.DECODE)
        wait_s = self._limits.queue_wait_s(engines, len(queue))
        if wait_s > MAX_QUEUE_WAIT_S:
            text = "no decode engine accepts a request soon"
            raise self._refusal(queue, request, text, wait_s)

    def _waiter(self, request: SlotRequest) -> Waiter[SlotRequest]:
        req, route = request.req, request.route
        max_wait_s = min(
            (req.deadline - req.arrived) * MAX_WAIT_TIMEOUT_SHARE, route.target_s * MAX_WAIT_TARGETS
        )
        give_up_at = req.arrived + max_wait_s
        tokens = req.generation_size.input_tokens if req.generation_size is not None else 0
        prefill_s = self._prefill_estimator.min_prefill_s(tokens)
        on_time_until = req.arrived + route.target_s * ON_TIME_TARGET_SHARE - prefill_s
        rank = request.urgency.rank if request.urgency.is_scheduled else 0
        return Waiter(request, self._clock(), on_time_until, give_up_at, rank)

    async def _wait(
        self,
        queue: SlotQueue[SlotRequest],
        waiter: Waiter[SlotRequest],
        is_first: bool = False,
    ) -> Hold:
        request = waiter.item
        queue.add(waiter, is_first)
        bound = log.bind(request=request.req.log_id, waiting=len(queue), tokens=request.tokens)
        bound.info("waiting for a decode slot")
        key = request.queue_key
        if key not in self._assigning:
            self._assigning.add(key)
            self._start(self._assign_slots(key, queue))
        try:
            return await request.fut
        except asyncio.CancelledError:
            if request.fut.done() and not request.fut.cancelled():
                self.release(request.fut.result())
            raise
        finally:
            queue.remove(waiter)

    async def _assign_slots(
        self, key: tuple[str, str | None], queue: SlotQueue[SlotRequest]
    ) -> None:
        """Reserve slots for the first in the queue, polling, until the queue is empty."""
        try:
            while len(queue):
                now = self._clock()
                engines = self._membership.usable(key[0], EndpointRole.DECODE)
                closed_s = self._limits.queue_wait_s(engines, 0)
                for expired in queue.remove_expired(now + closed_s):
                    self._refuse(queue, expired.item, closed_s)
                first = queue.first(now)
                if first is None:
                    break
                try:
                    is_late = now >= first.on_time_until
                    hold = await self._try(first.item, LATE_RESERVE_SHARE if is_late else 0.0)
                except RefusalError as exc:
                    queue.remove(first)
                    _fail(first.item, exc)
                    continue
                if hold is None:
                    await asyncio.sleep(POLL_INTERVAL_S * (0.5 + self._rng.random()))
                    continue
                queue.remove(first)
                queue.record_assigned(self._clock())
                if first.item.fut.done():
                    self.release(hold)
                else:
                    first.item.fut.set_result(hold)
        finally:
            queue.record_empty()
            self._assigning.discard(key)

    def _refuse(self, queue: SlotQueue[SlotRequest], request: SlotRequest, closed_s: float) -> None:
        text = "no decode slot became free in time"
        _fail(request, self._refusal(queue, request, text, closed_s))

    def _refusal(
        self,
        queue: SlotQueue[SlotRequest],
        request: SlotRequest,
        text: str,
        min_retry_s: float = 0.0,
    ) -> RefusalError:
        retry_s = max(queue.retry_after_s(), min_retry_s)
        after_s = retry_s * (1 + RETRY_JITTER * self._rng.random())
        bound = log.bind(request=request.req.log_id, waiting=len(queue), tokens=request.tokens)
        bound.bind(would_wait_s=round(queue.expected_wait_s(), 3)).info("no decode slot in time")
        return refusal(ErrorCode.ENDPOINTS_FULL, text, after_s)

    async def _try(self, request: SlotRequest, reserve_share: float = 0.0) -> Hold | None:
        """Ask the engines with most room for a reservation.

        ``reserve_share`` of an engine's memory has to stay free besides the reservation.
        """
        endpoints = self._membership.usable(request.service.name, EndpointRole.DECODE)
        if not endpoints:
            after_s = MAX_QUEUE_WAIT_S / 2 * (1 + RETRY_JITTER * self._rng.random())
            raise refusal(ErrorCode.NO_ENDPOINT, "no decode engine is available", after_s)
        endpoints = self._limits.open_endpoints(self._of_version(request, endpoints))
        tried = set(request.avoided)
        share = request.tokens / max(1, request.service.kv_tokens)
        for _ in range(MAX_ENGINES_ASKED):
            endpoint = self._balancer.choose(endpoints, tried, self._clock(), share)
            if endpoint is None:
                break
            tried.add(endpoint.instance)
            hold = await self._reserve_at(request, endpoint, reserve_share)
            if hold is not None:
                return hold
        return None

    def _of_version(self, request: SlotRequest, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return the engines that may run a request.

        Those with the version for which a stream that has begun waits are left to that stream.
        """
        if request.software is None:
            awaited = {
                software
                for (service, software), queue in self._queues.items()
                if service == request.service.name and software is not None and len(queue)
            }
            endpoints = [endpoint for endpoint in endpoints if endpoint.software not in awaited]
        else:
            endpoints = [e for e in endpoints if e.software == request.software]
            if not endpoints:
                text = f"no decode engine of version {request.software}, which is the stream's"
                raise refusal(ErrorCode.NO_ENDPOINT, text)
        return endpoints

    async def _reserve_at(
        self, request: SlotRequest, endpoint: Endpoint, reserve_share: float
    ) -> Hold | None:
        now = self._clock()
        tokens = request.tokens + int(reserve_share * request.service.kv_tokens)
        try:
            if request.route.is_resumable and not await self._start_checks.is_current(endpoint):
                return None
            hold = await self._calls.request_hold(endpoint, tokens, request.service.hold_s, now)
        except EngineUnreachableError as exc:
            if not exc.is_withheld:
                self._balancer.record_result(endpoint, False, self._clock())
            request.unreachable.add(endpoint.instance)
            log.bind(request=request.req.log_id, endpoint=endpoint.instance, reason=str(exc)).info(
                "an engine did not respond to a reservation"
            )
            return None
        if not self._membership.accepts(endpoint):
            return None  # What it reserved expires.
        if hold is None:
            self._balancer.record_full(endpoint, now)
            return None
        # Reservations do not count as requests, so a permit is used only where there is room.
        wait_s = await self._limits.acquire(endpoint)
        if wait_s is None:
            return hold
        self.release(hold)
        bound = log.bind(request=request.req.log_id, endpoint=endpoint.instance)
        bound.bind(wait_s=round(wait_s, 3)).info("the endpoint is at its request limit")
        return None

    def _start(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _fail(request: SlotRequest, exc: RefusalError) -> None:
    if not request.fut.done():
        request.fut.set_exception(exc)


def _future() -> "asyncio.Future[Hold]":
    return asyncio.get_running_loop().create_future()
