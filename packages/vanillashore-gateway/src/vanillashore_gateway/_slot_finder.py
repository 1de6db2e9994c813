"""Finds decode places for generations: a reservation at an engine, or a turn in the queue."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
from loguru import logger as log

from vanillashore_gateway._balancing import Balancer
from vanillashore_gateway._domain import CallerRequest, Endpoint, EndpointRole, Hold, Route, Service
from vanillashore_gateway._engine_calls import EngineCalls, EngineUnreachableError
from vanillashore_gateway._errors import ErrorCode, RefusalError, refusal
from vanillashore_gateway._membership import Membership
from vanillashore_gateway._place_queue import PlaceQueue, Waiting
from vanillashore_gateway._prefill_estimator import PrefillEstimator

ASKED_AT_ONCE = 3  # Engines that are asked in turn before a generation waits.
POLL_S = 0.03  # Between tries while all engines are full: a few steps of a full batch.
ON_TIME_SHARE = 0.85  # Of the target, less the reading of the prompt; then the first steps.
LATE_SHARE = 0.3  # Of the caller's time: as long a late generation waits before it is refused.
LATE_TARGETS = 3.0  # In targets: callers leave a silent stream after four.
LATE_QUEUE_S = 2.7  # A longer queue would not get its places in that time.
UNKNOWN_SHARE = 0.35  # Of the longest answer, for callers that give no estimate.
GO_ON_S = 2.0  # Callers leave a silent stream after 3.6 s; the new engine needs the rest.
LATE_ROOM = 0.2  # Of an engine's memory, left for those that can still be on time.
RETRY_SPREAD = 0.3  # Callers that were refused together do not return together.


def needed_tokens(req: CallerRequest) -> int:
    """Return the memory that a generation will likely take, in tokens."""
    if req.prompt is None:
        return 1
    likely = req.prompt.expected_output_tokens
    if likely is None:
        likely = int(req.prompt.max_output_tokens * UNKNOWN_SHARE)
    return req.prompt.input_tokens + likely


@attrs.define(eq=False)
class PlaceAsk:
    """A generation that needs a place; ``avoided`` are engines that have failed it."""

    req: CallerRequest
    route: Route
    service: Service
    tokens: int
    avoided: set[str]
    fut: "asyncio.Future[Hold]"


class SlotFinder:
    """Reserves places at decode engines, in the order of the queue."""

    def __init__(
        self,
        calls: EngineCalls,
        balancer: Balancer,
        reading: PrefillEstimator,
        membership: Membership,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._calls = calls
        self._balancer = balancer
        self._prefill_estimator = reading
        self._membership = membership
        self._clock = clock
        self._rng = rng
        self._queues: dict[str, PlaceQueue[PlaceAsk]] = defaultdict(PlaceQueue)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._pumping: set[str] = set()

    async def find(
        self,
        req: CallerRequest,
        route: Route,
        service: Service,
        avoided: set[str],
        has_begun: bool = False,
    ) -> Hold:
        """Return a reservation; raise RefusalError if none is to be had in time.

        An answer that ``has_begun`` goes before all others: its caller has a part of it.
        """
        queue = self.queue(service.name)
        ask = PlaceAsk(req, route, service, needed_tokens(req), avoided, _future())
        if has_begun or not len(queue):
            hold = await self._try(ask)
            if hold is not None:
                return hold
        if has_begun:
            until = self._clock() + GO_ON_S
            return await self._wait(queue, Waiting(ask, self._clock(), until, until), is_first=True)
        self._check_queue(queue, ask)
        return await self._wait(queue, self._waiting(ask))

    async def find_now(
        self, req: CallerRequest, service: Service, route: Route, avoided: set[str]
    ) -> Hold | None:
        """Return a reservation if an engine has room at once."""
        ask = PlaceAsk(req, route, service, needed_tokens(req), avoided, _future())
        return await self._try(ask)

    def queue(self, service: str) -> PlaceQueue[PlaceAsk]:
        """Return the queue for places of a service."""
        return self._queues[service]

    def record_answer_time(self, service: Service, seconds: float) -> None:
        """Note how long an answer held its place."""
        self.queue(service.name).record_answer_time(seconds)

    def release(self, hold: Hold) -> None:
        """Give back a reservation that was not used."""
        self._start(self._calls.drop_hold(hold))

    def _check_queue(self, queue: PlaceQueue[PlaceAsk], ask: PlaceAsk) -> None:
        if queue.would_wait_s() > LATE_QUEUE_S:
            raise self._refusal(queue, ask, "too many generations wait for a place")

    def _waiting(self, ask: PlaceAsk) -> Waiting[PlaceAsk]:
        req, route = ask.req, ask.route
        longest_s = min((req.deadline - req.arrived) * LATE_SHARE, route.target_s * LATE_TARGETS)
        give_up_at = req.arrived + longest_s
        tokens = req.prompt.input_tokens if req.prompt is not None else 0
        reading_s = self._prefill_estimator.least_s(tokens)
        on_time_until = req.arrived + route.target_s * ON_TIME_SHARE - reading_s
        return Waiting(ask, self._clock(), on_time_until, give_up_at)

    async def _wait(
        self,
        queue: PlaceQueue[PlaceAsk],
        waiting: Waiting[PlaceAsk],
        is_first: bool = False,
    ) -> Hold:
        ask = waiting.item
        queue.add(waiting, is_first)
        bound = log.bind(request=ask.req.log_id, waiting=len(queue), tokens=ask.tokens)
        bound.info("waits for a place")
        if ask.service.name not in self._pumping:
            self._pumping.add(ask.service.name)
            self._start(self._pump(ask.service.name, queue))
        try:
            return await ask.fut
        except asyncio.CancelledError:
            if ask.fut.done() and not ask.fut.cancelled():
                self.release(ask.fut.result())
            raise
        finally:
            queue.remove(waiting)

    async def _pump(self, service: str, queue: PlaceQueue[PlaceAsk]) -> None:
        """Try for the first of the queue again and again, until nobody waits."""
        try:
            while len(queue):
                now = self._clock()
                for late in queue.overdue(now):
                    self._refuse(queue, late.item)
                first = queue.first(now)
                if first is None:
                    break
                try:
                    is_late = now >= first.on_time_until
                    hold = await self._try(first.item, LATE_ROOM if is_late else 0.0)
                except RefusalError as exc:
                    queue.remove(first)
                    _fail(first.item, exc)
                    continue
                if hold is None:
                    await asyncio.sleep(POLL_S * (0.5 + self._rng.random()))
                    continue
                queue.remove(first)
                queue.note_given(self._clock())
                if first.item.fut.done():
                    self.release(hold)
                else:
                    first.item.fut.set_result(hold)
        finally:
            queue.note_empty()
            self._pumping.discard(service)

    def _refuse(self, queue: PlaceQueue[PlaceAsk], ask: PlaceAsk) -> None:
        _fail(ask, self._refusal(queue, ask, "no place became free in time"))

    def _refusal(self, queue: PlaceQueue[PlaceAsk], ask: PlaceAsk, text: str) -> RefusalError:
        after_s = queue.retry_after_s() * (1 + RETRY_SPREAD * self._rng.random())
        bound = log.bind(request=ask.req.log_id, waiting=len(queue), tokens=ask.tokens)
        bound.bind(would_wait_s=round(queue.would_wait_s(), 3)).info("no place in time")
        return refusal(ErrorCode.ENDPOINTS_FULL, text, after_s)

    async def _try(self, ask: PlaceAsk, spare: float = 0.0) -> Hold | None:
        """Ask the engines with most room for a reservation.

        ``spare`` is the part of an engine's memory that has to be free beside the place.
        """
        endpoints = self._membership.usable(ask.service.name, EndpointRole.DECODE)
        if not endpoints:
            raise refusal(ErrorCode.NO_ENDPOINT, "no engine decodes", LATE_QUEUE_S / 2)
        tried = set(ask.avoided)
        share = ask.tokens / max(1, ask.service.kv_tokens)
        for _ in range(ASKED_AT_ONCE):
            endpoint = self._balancer.choose(endpoints, tried, self._clock(), share)
            if endpoint is None:
                break
            tried.add(endpoint.instance)
            hold = await self._ask(ask, endpoint, spare)
            if hold is not None:
                return hold
        return None

    async def _ask(self, ask: PlaceAsk, endpoint: Endpoint, spare: float) -> Hold | None:
        now = self._clock()
        tokens = ask.tokens + int(spare * ask.service.kv_tokens)
        try:
            hold = await self._calls.take_hold(endpoint, tokens, ask.service.hold_s, now)
        except EngineUnreachableError as exc:
            self._balancer.record_result(endpoint, False, self._clock())
            log.bind(request=ask.req.log_id, endpoint=endpoint.instance, reason=str(exc)).info(
                "an engine does not answer"
            )
            return None
        if hold is None:
            self._balancer.note_full(endpoint, now)
        return hold

    def _start(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _fail(ask: PlaceAsk, exc: RefusalError) -> None:
    if not ask.fut.done():
        ask.fut.set_exception(exc)


def _future() -> "asyncio.Future[Hold]":
    return asyncio.get_running_loop().create_future()
