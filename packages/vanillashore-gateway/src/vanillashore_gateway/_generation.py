"""Forwarding of generations: prefill, decode, and a stream that may go on elsewhere."""

import asyncio
from enum import Enum, auto

import attrs

from vanillashore_gateway._dialect import SendOrder
from vanillashore_gateway._domain import Endpoint, EndpointRole, PrefillHandle, PromptShape
from vanillashore_gateway._errors import ErrorCode, RefusalError, refusal
from vanillashore_gateway._events import EventSplitter
from vanillashore_gateway._front import Responder
from vanillashore_gateway._http_client import LinkError, LinkFailure
from vanillashore_gateway._http_messages import end_to_end
from vanillashore_gateway._job import Job, Tools
from vanillashore_gateway._sending import Sending

PREFILL_SHARE = 0.6  # Of the target: a prefill that takes longer is tried elsewhere.
FIRST_EVENT_SHARE = 1.2  # Of the target: a resumable stream without an event moves then.
STALL_GAPS = 2.0  # Longest pauses between events before a resumable stream moves.
MIN_STALL_S = 0.4  # Streams pause for some hundred milliseconds when an endpoint is busy.
HANDLE_MARGIN_S = 0.1  # A handle this near to its end is not worth a transfer.
MAX_PREFILLS = 2
MAX_DECODES = 4  # Endpoints asked for a place; those that did not run the request count too.
QUEUE_SHARE = 0.5  # Of the target: as long a generation waits for a place.
PLACE_POLL_S = 0.05  # Between tries when all were full; a few steps of a full batch.
RETRY_AFTER_S = 1.5  # A usual generation takes half a second; a burst is over in some seconds.
MAX_WAIT_S = 60.0  # For callers and routes without a time limit.


class _End(Enum):
    """How one decode attempt ended."""

    DONE = auto()
    NOT_SENT = auto()
    NOT_RUN = auto()
    BROKEN = auto()


@attrs.define
class _Stream:
    """What of the stream the caller has."""

    splitter: EventSplitter = attrs.field(factory=EventSplitter)
    runs: int = 0


class GenerationForwarder:
    """Forwards one generation."""

    def __init__(self, tools: Tools, job: Job) -> None:
        self._tools = tools
        self._job = job
        self._budget = tools.budgets.of(job.service)
        self._stream = _Stream()
        self._stream.splitter.last_id = job.req.last_event_id
        self._reason = ""

    async def run(self, responder: Responder) -> None:
        """Forward the request; raise RefusalError if it is given up."""
        self._budget.earn()
        try:
            async with asyncio.timeout(max(0.0, self._job.give_up_at - self._tools.clock())):
                await self._run(responder)
        except TimeoutError:
            raise refusal(ErrorCode.TIMED_OUT, "the answer did not end in time") from None

    async def _run(self, responder: Responder) -> None:
        handle = await self._prefill()
        asked = 0
        while True:
            endpoint = await self._decode_place(asked)
            asked += 1
            usable = handle if handle is not None and self._is_fresh(handle) else None
            end = await self._decode(endpoint, usable, responder)
            if end is _End.DONE:
                responder.finish()
                self._job.note(
                    "answered", runs=self._stream.runs, events=self._stream.splitter.events
                )
                return
            if end is not _End.NOT_SENT:
                handle = None
            if not self._may_go_on(end, asked):
                raise self._give_up(end)

    async def _prefill(self) -> PrefillHandle | None:
        """Have the prompt read; ``None`` leaves that to the decode endpoint."""
        job, tools = self._job, self._tools
        if job.req.prompt is None:
            return None
        for number in range(MAX_PREFILLS):
            if number and not self._budget.spend():
                return None
            endpoint = job.choose(tools, EndpointRole.PREFILL)
            if endpoint is None:
                return None
            job.tried.add(endpoint.instance)
            handle = await self._prefill_at(endpoint, job.req.prompt)
            tools.balancer.note_result(endpoint, handle is not None, tools.clock())
            if handle is not None:
                return handle
        return None

    async def _prefill_at(self, endpoint: Endpoint, prompt: PromptShape) -> PrefillHandle | None:
        job, tools = self._job, self._tools
        left_s = job.give_up_at - tools.clock()
        order = SendOrder(job.req, endpoint, job.workspace, left_s, is_prefill=True)
        timeout_s = min(left_s, job.route.target_s * PREFILL_SHARE)
        try:
            async with asyncio.timeout(timeout_s):
                async with tools.sender.send(order, _prefill_weight(prompt), timeout_s) as sent:
                    body = await sent.read_whole()
                    if sent.head.status == 200:
                        name = tools.dialect.decode_handle(body)
                        return PrefillHandle(endpoint, name, tools.clock())
                    reason = f"status {sent.head.status}"
        except TimeoutError:
            reason = "timed out"
        except (LinkError, ValueError) as exc:
            reason = str(exc)
        job.note("prefill failed", endpoint=endpoint.instance, reason=reason)
        return None

    def _is_fresh(self, handle: PrefillHandle) -> bool:
        age_s = self._tools.clock() - handle.made_at
        return age_s < self._tools.kv_hold_s(self._job.service) - HANDLE_MARGIN_S

    async def _decode_place(self, asked: int) -> Endpoint:
        """Choose a decode endpoint; wait a little if all of them were full."""
        job, tools = self._job, self._tools
        while True:
            endpoint = job.choose(tools, EndpointRole.DECODE)
            if endpoint is not None:
                job.tried.add(endpoint.instance)
                return endpoint
            waited_s = tools.clock() - job.req.arrived
            if asked == 0 or waited_s > job.route.target_s * QUEUE_SHARE:
                code = ErrorCode.ENDPOINTS_FULL if asked else ErrorCode.NO_ENDPOINT
                raise self._refuse(code, f"no decode endpoint of {job.service} is free")
            await asyncio.sleep(PLACE_POLL_S * (1 + tools.rng.random()))
            job.tried.clear()

    async def _decode(
        self, endpoint: Endpoint, handle: PrefillHandle | None, responder: Responder
    ) -> _End:
        job, tools = self._job, self._tools
        left_s = job.give_up_at - tools.clock()
        resume_after = self._stream.splitter.last_id if job.route.is_resumable else None
        order = SendOrder(
            job.req, endpoint, job.workspace, left_s, kv=handle, resume_after=resume_after
        )
        timeout_s = self._first_event_timeout_s(left_s)
        end = _End.BROKEN
        try:
            async with tools.sender.send(order, 1.0, timeout_s, not job.route.is_resumable) as sent:
                if sent.head.was_not_run:
                    await sent.read_whole()
                    self._reason = f"not run, status {sent.head.status}"
                    end = _End.NOT_RUN
                else:
                    self._stream.runs += 1
                    await self._pass_on(sent, responder, timeout_s)
                    end = _End.DONE
        except TimeoutError:
            self._reason = "the stream stalled"
        except LinkError as exc:
            self._reason = str(exc)
            if exc.failure is LinkFailure.NOT_SENT:
                end = _End.NOT_SENT
        if end is _End.BROKEN:
            self._stream.splitter.begin_again()
            self._stream.runs = max(1, self._stream.runs)
        tools.balancer.note_result(endpoint, end in (_End.DONE, _End.NOT_RUN), tools.clock())
        if end is not _End.DONE:
            job.note(
                "decode ended early",
                endpoint=endpoint.instance,
                end=end.name,
                reason=self._reason,
                events=self._stream.splitter.events,
            )
        return end

    async def _pass_on(self, sent: Sending, responder: Responder, timeout_s: float) -> None:
        """Pass a stream on, whole events only; the head of the first run stands for all."""
        head = sent.head
        is_stream = head.status == 200
        if not responder.has_begun:
            if not is_stream:
                body = await sent.read_whole()
                responder.begin(head.status, head.reason, end_to_end(head.headers), len(body))
                await responder.write(body)
                return
            responder.begin(head.status, head.reason, end_to_end(head.headers), None)
        elif not is_stream:
            raise LinkError(LinkFailure.BROKEN, f"the stream went on with status {head.status}")
        splitter = self._stream.splitter
        while data := await sent.read(timeout_s):
            await responder.write(splitter.feed(data))
            timeout_s = self._stall_timeout_s()
        if splitter.has_partial_event:
            raise LinkError(LinkFailure.BROKEN, "the stream ended inside an event")

    def _first_event_timeout_s(self, left_s: float) -> float:
        if not self._may_move():
            return min(left_s, MAX_WAIT_S)
        return min(left_s, self._job.route.target_s * FIRST_EVENT_SHARE)

    def _stall_timeout_s(self) -> float:
        if not self._may_move():
            return MAX_WAIT_S
        return max(MIN_STALL_S, STALL_GAPS * self._job.route.gap_target_s)

    def _may_move(self) -> bool:
        """Whether the stream may go on at another endpoint if this one stalls."""
        route = self._job.route
        return route.is_resumable and self._stream.runs < route.max_attempts

    def _may_go_on(self, end: _End, asked: int) -> bool:
        if asked >= MAX_DECODES:
            return False
        if end is _End.NOT_SENT:
            return True
        if end is _End.BROKEN and not self._may_move():
            return False
        return self._budget.spend()

    def _give_up(self, end: _End) -> RefusalError:
        if end is _End.BROKEN or self._stream.runs:
            return refusal(ErrorCode.ENDPOINT_FAILED, f"the answer was lost: {self._reason}")
        return self._refuse(ErrorCode.ENDPOINTS_FULL, "no decode endpoint takes the request now")

    def _refuse(self, code: ErrorCode, text: str) -> RefusalError:
        if self._stream.runs:
            return refusal(ErrorCode.ENDPOINT_FAILED, text)
        return refusal(code, text, RETRY_AFTER_S * (0.5 + self._tools.rng.random()))


def _prefill_weight(prompt: PromptShape) -> float:
    """Return a prompt's part of an engine's time, in places: one for each 1,000 tokens."""
    return max(1.0, prompt.read / 1_000)
