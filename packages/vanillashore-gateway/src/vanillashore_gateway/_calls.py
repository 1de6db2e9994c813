"""Forwards plain requests; a request that is not idempotent runs at most once."""

import asyncio
from enum import Enum, auto

import attrs

from vanillashore_gateway._dialect import OutboundRequest
from vanillashore_gateway._domain import AnswerHead, Endpoint, EndpointRole, RouteKind
from vanillashore_gateway._errors import ErrorCode, RefusalError, refusal
from vanillashore_gateway._http_client import LinkError, LinkFailure
from vanillashore_gateway._http_messages import end_to_end
from vanillashore_gateway._job import Job, Tools
from vanillashore_gateway._responder import Responder
from vanillashore_gateway._sending import Sending
from vanillashore_gateway._statements import WithheldError

# An idempotent request is resent after this share of the target latency.
RESEND_AFTER_SHARE = 0.6
# While no other endpoint has room, a resend only adds load: it would wait there as well. After this
# multiple of the target the answer is late anyway, and the endpoint may have failed.
RESEND_AFTER_SHARE_FULL = 2.0
MAX_QUEUE_SHARE = 0.5  # Longest wait for a free endpoint, as a share of the target latency.
ENDPOINT_POLL_S = 0.02  # While all endpoints are full; much shorter than a usual request.
# Part of an endpoint that one request is assumed to take when endpoints are compared; it need not
# be exact, as all endpoints of a service have the same number of slots.
USUAL_SHARE = 1 / 8
MIN_TIME_LEFT_S = 0.005  # Less than a round trip plus minimal processing.
# Retry-After as a share of the caller's remaining time; callers that would have to wait for a third
# of it do not retry.
RETRY_AFTER_SHARE = 0.25


class _Outcome(Enum):
    """Outcome of one send attempt."""

    ANSWERED = auto()
    NOT_SENT = auto()
    NOT_RUN = auto()
    UNCLEAR = auto()


@attrs.frozen
class _Result:
    """Result of one send attempt.

    A long answer ``is_relayed`` to the caller already; one that must not reach it is withheld, and
    the caller gets a ``refusal`` in its place. A request that was not sent ``is_withheld``
    if the endpoint was not to get it. An answer ``is_unread`` if its caller read it too slowly.
    """

    outcome: _Outcome
    head: AnswerHead | None = None
    body: bytes = b""
    reason: str = ""
    is_broken: bool = False
    is_relayed: bool = False
    is_withheld: bool = False
    is_unread: bool = False
    refusal: RefusalError | None = None


class CallForwarder:
    """Forwards one plain request."""

    def __init__(self, tools: Tools, job: Job) -> None:
        self._tools = tools
        self._job = job
        self._budget = tools.budgets.of(job.service.name)
        self._error_answer: _Result | None = None
        self._is_resend_paid = False
        self._responder: Responder

    async def run(self, responder: Responder) -> None:
        """Forward the request; raise RefusalError if no endpoint answers."""
        job = self._job
        self._budget.earn()
        self._responder = responder
        result = await self._obtain_answer()
        if result.refusal is not None:
            raise result.refusal
        head = result.head
        if not result.is_relayed:
            headers = end_to_end(head.headers)
            responder.begin(head.status, head.reason, headers, len(result.body))
            await responder.write(result.body)
            responder.finish()
        job.log_decision("answered", status=head.status, sends=job.sends, bytes=len(result.body))

    async def _obtain_answer(self) -> _Result:
        while True:
            result = await self._send_next()
            if result.outcome is _Outcome.ANSWERED and not self._should_repeat(result):
                return result
            if result.outcome is _Outcome.ANSWERED:
                self._error_answer = result
            if not await self._may_send_again(result):
                return self._give_up(result)

    async def _send_next(self) -> _Result:
        """Send to the best endpoint; wait for one if all are full or at their limits."""
        job, tools = self._job, self._tools
        endpoint = await self._next_endpoint()
        if endpoint is None:
            return self._error_answer
        job.tried.add(endpoint.instance)
        time_left_s = job.give_up_at - tools.clock()
        if time_left_s < MIN_TIME_LEFT_S:
            raise self._refuse(ErrorCode.TOO_LATE, "no time is left for the request")
        job.check_crashes(tools)
        outbound = OutboundRequest(job.req, endpoint, job.workspace, time_left_s)
        had_run, job.may_have_run = job.may_have_run, True
        began = tools.clock()
        result = await self._send(outbound)
        if result.outcome in (_Outcome.ANSWERED, _Outcome.UNCLEAR):
            job.sends += 1
        else:
            job.may_have_run = had_run
        if result.outcome is _Outcome.NOT_RUN:
            # The endpoint is full or paused, which is no failure; it has no room for the moment.
            tools.balancer.record_full(endpoint, tools.clock())
        elif not result.is_withheld and not result.is_unread:
            is_healthy = result.outcome is _Outcome.ANSWERED and not _is_failure(result)
            tools.balancer.record_result(endpoint, is_healthy, tools.clock())
            # The time of a relayed answer depends on how fast the caller reads.
            if is_healthy and not result.is_relayed:
                tools.balancer.record_time(endpoint, tools.clock() - began, tools.clock())
        if result.is_broken:
            job.record_disconnect(tools, endpoint)
        elif result.outcome is _Outcome.ANSWERED:
            tools.crashes.record_success(job.fingerprint)
        if result.outcome is not _Outcome.ANSWERED or _is_failure(result):
            job.log_decision(
                "send attempt failed",
                endpoint=endpoint.instance,
                end=result.outcome.name,
                reason=result.reason,
                status=result.head.status if result.head else 0,
            )
        return result

    async def _next_endpoint(self) -> Endpoint | None:
        """Return the endpoint to send to; ``None`` leaves it at an earlier endpoint's error."""
        job, tools = self._job, self._tools
        while True:
            endpoint = job.choose(tools, EndpointRole.SERVICE, USUAL_SHARE)
            if endpoint is not None:
                if await job.acquire_permit(tools, endpoint):
                    return endpoint
                continue
            if self._error_answer is not None:
                return None
            endpoints = tools.membership.usable(job.service.name, EndpointRole.SERVICE)
            if not endpoints:
                raise self._refuse_no_endpoint(ErrorCode.NO_ENDPOINT)
            patience_s = job.req.arrived + job.route.target_s * MAX_QUEUE_SHARE - tools.clock()
            if patience_s <= 0:
                raise self._refuse_no_endpoint(ErrorCode.ENDPOINTS_FULL)
            if endpoints and not tools.limits.open_endpoints(endpoints):
                first, wait_s = tools.limits.first_open(endpoints)
                if wait_s > patience_s:
                    raise self._refuse_no_endpoint(ErrorCode.ENDPOINTS_FULL, wait_s)
                if await job.acquire_permit(tools, first, patience_s):
                    return first
                continue
            await asyncio.sleep(ENDPOINT_POLL_S * (1 + tools.rng.random()))
            job.tried.clear()

    def _refuse_no_endpoint(self, code: ErrorCode, min_retry_s: float = 0.0) -> RefusalError:
        text = f"no endpoint of {self._job.service.name} accepts the request now"
        return self._refuse(code, text, min_retry_s)

    async def _send(self, outbound: OutboundRequest) -> _Result:
        timeout_s = outbound.time_left_s
        share = _share(outbound.endpoint)
        may_repeat = self._job.route.kind is RouteKind.IDEMPOTENT
        resend: asyncio.Task[None] | None = None
        try:
            async with asyncio.timeout(timeout_s) as limit:
                if may_repeat and self._has_sends_left():
                    resend_s = self._job.route.target_s * self._resend_after_share()
                    resend = asyncio.create_task(self._end_to_resend(resend_s, limit))
                async with self._tools.sender.send(
                    outbound, share, timeout_s, not may_repeat
                ) as sent:
                    if sent.head.was_not_run:
                        await sent.skip_body()
                        return _Result(_Outcome.NOT_RUN, sent.head)
                    if not self._job.may_pass_on(sent.head):
                        await sent.drain_body()
                        withheld = self._job.withhold_answer(outbound.endpoint, sent.head)
                        return _Result(_Outcome.ANSWERED, sent.head, refusal=withheld)
                    body, is_complete = await sent.read_start()
                    if resend is not None:
                        resend.cancel()
                    if is_complete:
                        return _Result(_Outcome.ANSWERED, sent.head, body)
                    left_s = self._job.give_up_at - self._tools.clock()
                    limit.reschedule(asyncio.get_running_loop().time() + left_s)
                    await self._relay(sent, body)
                    return _Result(_Outcome.ANSWERED, sent.head, is_relayed=True)
        except TimeoutError:
            if self._responder.is_blocked:
                reason = "the caller did not read its answer in time"
                return _Result(_Outcome.UNCLEAR, reason=reason, is_unread=True)
            return _Result(_Outcome.UNCLEAR, reason="timed out")
        except LinkError as exc:
            if exc.failure is LinkFailure.NOT_SENT:
                is_withheld = isinstance(exc, WithheldError)
                return _Result(_Outcome.NOT_SENT, reason=str(exc), is_withheld=is_withheld)
            is_broken = exc.failure is LinkFailure.BROKEN
            return _Result(_Outcome.UNCLEAR, reason=str(exc), is_broken=is_broken)
        finally:
            if resend is not None:
                resend.cancel()

    async def _end_to_resend(self, resend_s: float, limit: asyncio.Timeout) -> None:
        """End a slow attempt if the budget pays for another one; without it, keep waiting."""
        await asyncio.sleep(resend_s)
        if not limit.expired() and await self._budget.spend(self._job.req.log_id):
            self._is_resend_paid = True
            limit.reschedule(asyncio.get_running_loop().time())

    async def _relay(self, sent: Sending, body: bytes) -> None:
        """Pass a long answer on as it arrives; from here on it cannot be repeated."""
        head = sent.head
        self._responder.begin(head.status, head.reason, end_to_end(head.headers), None)
        await self._responder.write(body)
        del body
        while data := await sent.read():
            await self._responder.write(data)
            del data
        self._responder.finish()

    def _resend_after_share(self) -> float:
        job, tools = self._job, self._tools
        endpoints = tools.limits.open_endpoints(
            tools.membership.usable(job.service.name, EndpointRole.SERVICE)
        )
        others = [e for e in endpoints if e.instance not in job.tried]
        if others and not tools.balancer.has_room(others, tools.clock()):
            job.log_decision("resend postponed, no other endpoint has room", others=len(others))
            return RESEND_AFTER_SHARE_FULL
        return RESEND_AFTER_SHARE

    def _has_sends_left(self) -> bool:
        return self._job.sends + 1 < self._job.route.max_attempts

    def _should_repeat(self, result: _Result) -> bool:
        if result.is_relayed or self._job.route.kind is not RouteKind.IDEMPOTENT:
            return False
        return _is_failure(result) and self._job.sends < self._job.route.max_attempts

    async def _may_send_again(self, result: _Result) -> bool:
        if self._responder.has_begun:
            return False
        if self._tools.clock() > self._job.give_up_at - MIN_TIME_LEFT_S:
            return False
        if result.outcome is _Outcome.NOT_SENT:
            return True
        is_paid, self._is_resend_paid = self._is_resend_paid, False
        if result.outcome is not _Outcome.NOT_RUN:
            if self._job.route.kind is not RouteKind.IDEMPOTENT:
                return False
            if self._job.sends >= self._job.route.max_attempts:
                return False
        return is_paid or await self._budget.spend(self._job.req.log_id)

    def _give_up(self, result: _Result) -> _Result:
        """Return an earlier endpoint's error, if the answer has not begun; else raise."""
        if self._responder.has_begun:
            text = f"the relayed answer broke off: {result.reason}"
            raise refusal(ErrorCode.ENDPOINT_FAILED, text)
        if self._error_answer is not None:
            return self._error_answer
        job = self._job
        if result.outcome is _Outcome.NOT_RUN or result.outcome is _Outcome.NOT_SENT:
            if job.sends == 0:
                raise self._refuse(ErrorCode.ENDPOINTS_FULL, "the endpoints are at capacity")
            raise refusal(ErrorCode.ENDPOINT_FAILED, "the endpoint's answer was lost")
        if self._tools.clock() >= job.give_up_at - MIN_TIME_LEFT_S:
            raise refusal(ErrorCode.TIMED_OUT, "no answer came in time")
        raise refusal(ErrorCode.ENDPOINT_FAILED, f"the endpoint's answer was lost: {result.reason}")

    def _refuse(self, code: ErrorCode, text: str, min_retry_s: float = 0.0) -> RefusalError:
        """Refuse as not run, unless an earlier attempt may have run the request."""
        job = self._job
        if job.sends:
            return refusal(ErrorCode.ENDPOINT_FAILED, text)
        time_left_s = max(0.0, job.req.deadline - self._tools.clock())
        spread = 0.5 + self._tools.rng.random() / 2
        retry_s = max(time_left_s * RETRY_AFTER_SHARE, 2 * min_retry_s) * spread
        return refusal(code, text, retry_s)


def _share(endpoint: Endpoint) -> float:
    return 1 / max(1, endpoint.slots)


def _is_failure(result: _Result) -> bool:
    return result.head is not None and result.head.status >= 500
