"""Forwards generations: reserve a slot, prefill, decode, and resume broken streams elsewhere."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from enum import Enum, auto

import attrs

from vanillashore_gateway._dialect import OutboundRequest
from vanillashore_gateway._domain import AnswerHead, Endpoint, Hold, PrefillHandle
from vanillashore_gateway._endpoint_speeds import StepTimer
from vanillashore_gateway._engine_calls import EngineUnreachableError
from vanillashore_gateway._errors import ErrorCode, RefusalError, refusal
from vanillashore_gateway._events import EventSplitter, OversizedEventError, first_id
from vanillashore_gateway._first_events import first_event_wait_s
from vanillashore_gateway._http_client import LinkError, LinkFailure
from vanillashore_gateway._http_messages import end_to_end
from vanillashore_gateway._job import Job, Tools
from vanillashore_gateway._origin_store import MAX_FIRST_EVENT_DELAY_S
from vanillashore_gateway._prefill_estimator import Prompt
from vanillashore_gateway._prefill_scheduler import PrefillAssignment
from vanillashore_gateway._responder import Responder
from vanillashore_gateway._sending import Sending
from vanillashore_gateway._slot_finder import Urgency
from vanillashore_gateway._statements import WithheldError
from vanillashore_gateway._stream_origins import StreamOrigin

# A resumable stream is given up if its first event takes longer than this multiple of the target
# latency; before that it moves if another endpoint has room (`_first_events.py`). It also moves if
# it pauses for longer than `STALL_GAPS` times the gap target.
FIRST_EVENT_SHARE = 1.2
STALL_GAPS = 2.0
MIN_STALL_S = 1.5  # A sound endpoint may be silent for a second; callers wait for two at least.
SILENCE_CHECK_S = 0.25  # Between two attempts to reserve another endpoint for a silent one.
HANDLE_MARGIN_S = 0.1  # A handle this close to its expiry is not worth a transfer.
EVENT_STREAM = b"text/event-stream"
HOLD_MARGIN_S = 0.2  # A hold this close to its expiry may expire in transit.
# A run that ends sooner after its first event may have crashed its engine by beginning.
EARLY_RUN_S = 0.25
PREFILL_TOKENS = 16_384  # Prompt tokens that count as a full engine: half a second of work.
MAX_PREFILLS = 2
MAX_DECODES = 4  # Includes attempts that the endpoint did not run.
MAX_WAIT_S = 60.0  # For callers and routes without a time limit.
RETRY_AFTER_S = 1.0  # After engines revoked their holds, usually because of a crash.


class _Outcome(Enum):
    """Outcome of one decode attempt."""

    DONE = auto()
    WITHHELD = auto()
    NOT_SENT = auto()
    NOT_RUN = auto()
    BROKEN = auto()


UNSENT = frozenset({_Outcome.WITHHELD, _Outcome.NOT_SENT})


@attrs.define
class _Stream:
    """Events passed to the caller, and how many endpoints may have run the request.

    ``software`` is the version that made the events; ``None`` while the caller has none. The
    present run began after ``events_before`` events, and brought its first one at ``began_at``.
    ``media_type`` is that of the head that the caller has, or the usual one if it states none;
    a further run has the same, or states none.
    """

    splitter: EventSplitter = attrs.field(factory=EventSplitter)
    runs: int = 0
    software: str | None = None
    events_before: int = 0
    began_at: float | None = None
    media_type: bytes = b""

    @property
    def run_events(self) -> int:
        """How many events the present run has brought."""
        return self.splitter.events - self.events_before


class GenerationForwarder:
    """Forwards one generation."""

    def __init__(self, tools: Tools, job: Job) -> None:
        self._tools = tools
        self._job = job
        self._budget = tools.budgets.of(job.service.name)
        tokens = tools.slot_finder.needed_tokens(job.req, job.service)
        self._share = tokens / max(1, job.service.kv_tokens)
        self._stream = _Stream()
        self._stream.splitter.last_id = job.req.last_event_id
        self._stream.software = job.origin.software if job.origin is not None else None
        self._announced: StreamOrigin | None = None
        self._announcement: asyncio.Future[list[None]] | None = None
        self._reason = ""
        self._refusal: RefusalError | None = None  # In place of an answer that is withheld.
        self._permitted_at = 0.0
        self._next_hold: Hold | None = None
        self._prompt_sent_at: float | None = None
        # When the next whole event is due: an engine in trouble may still send a byte now and then.
        self._event_due_at = 0.0

    async def run(self, responder: Responder) -> None:
        """Forward the request; raise RefusalError if it fails."""
        self._budget.earn()
        try:
            async with asyncio.timeout(max(0.0, self._job.give_up_at - self._tools.clock())):
                await self._run(responder)
        except TimeoutError:
            raise refusal(ErrorCode.TIMED_OUT, "the answer was not complete in time") from None
        finally:
            if self._next_hold is not None:
                self._tools.slot_finder.release(self._next_hold)

    async def _run(self, responder: Responder) -> None:
        handle: PrefillHandle | None = None
        for attempt in range(1, MAX_DECODES + 1):
            hold = await self._acquire_hold()
            endpoint = hold.endpoint
            self._permitted_at = hold.taken_at
            is_used = False
            try:
                self._job.check_crashes(self._tools)
                if attempt == 1:
                    self._job.check_shutdown(self._tools.shutdown)
                    handle = await self._prefill(endpoint)
                    self._job.check_crashes(self._tools)
                usable = handle if self._is_usable(handle, endpoint) else None
                current = hold if self._tools.clock() < self._hold_usable_until(hold) else None
                is_used = current is not None
                outcome = await self._decode(endpoint, usable, current, responder)
            finally:
                if is_used:
                    self._tools.slot_finder.end(hold)
                else:
                    self._tools.slot_finder.release(hold)
            if outcome is _Outcome.DONE:
                if self._refusal is not None:
                    raise self._refusal
                responder.finish()
                self._tools.crashes.record_success(self._job.fingerprint)
                self._record_output_size()
                held_s = self._tools.clock() - hold.taken_at
                self._tools.slot_finder.record_answer_time(self._job.service, held_s)
                self._tools.shutdown.record_answer(self._job.service.name, held_s)
                self._log_answered()
                return
            # An engine that has run the request may have taken the cache, which it can only once.
            if outcome is _Outcome.BROKEN:
                handle = None
            if attempt == MAX_DECODES or not await self._may_retry(outcome):
                break
        raise self._final_refusal(outcome)

    async def _acquire_hold(self) -> Hold:
        job = self._job
        hold, self._next_hold = self._next_hold, None
        if hold is None:
            hold = await self._find_slot()
        job.tried.add(hold.endpoint.instance)
        job.log_decision(
            "slot reserved",
            endpoint=hold.endpoint.instance,
            software=hold.endpoint.software,
            waited_s=round(self._tools.clock() - job.req.arrived, 3),
        )
        self._announce_origin(hold.endpoint)
        return hold

    async def _find_slot(self) -> Hold:
        job = self._job
        try:
            return await self._tools.slot_finder.find(
                job.req,
                job.route,
                job.service,
                job.tried,
                has_begun=self._stream.runs > 0 or job.origin is not None,
                software=self._software,
                urgency=Urgency(job.rank, job.workspace, job.fingerprint, job.is_scheduled),
            )
        except RefusalError as exc:
            refused = exc.refused
            is_only_announced = self._announced is not None and self._stream.software is None
            if not is_only_announced or refused.retry_after_s is not None:
                raise
            # The caller has no event yet, and a new request may begin at any version.
            raise refusal(refused.code, refused.text, self._retry_after_s()) from exc

    @property
    def _software(self) -> str | None:
        """The only version that the stream may be of, ``None`` while it may be of any.

        Once one is announced, others may believe that it began the stream, although no attempt at
        it has run: a later announcement may be lost, or overtaken by the first.
        """
        announced = None if self._announced is None else self._announced.software
        return self._stream.software if self._stream.software is not None else announced

    def _announce_origin(self, endpoint: Endpoint) -> None:
        """Tell other entries and the store which version is about to begin a resumable stream."""
        job = self._job
        if not job.route.is_resumable or self._software is not None:
            return
        left_s = job.req.deadline - self._tools.clock()
        origin = self._announced = StreamOrigin(endpoint.service, endpoint.software)
        notified = self._tools.origins.begin(job.req.log_id, origin, left_s)
        written = self._tools.origin_store.begin(job.req.log_id, origin, left_s)
        self._announcement = asyncio.gather(notified, written)

    async def _record_origin(self, endpoint: Endpoint) -> None:
        """Fix the stream's version, once others can find it, before the first event."""
        if self._stream.software is not None:
            return
        if self._announcement is not None:
            await asyncio.wait([self._announcement], timeout=MAX_FIRST_EVENT_DELAY_S)
        self._stream.software = endpoint.software

    def _hold_usable_until(self, hold: Hold) -> float:
        return hold.taken_at + self._job.service.hold_s - HOLD_MARGIN_S

    async def _prefill(self, decode: Endpoint) -> PrefillHandle | None:
        """Run the prefill; return ``None`` if the ``decode`` engine has to do it."""
        job, tools = self._job, self._tools
        if job.req.generation_size is None:
            return None
        for _ in range(MAX_PREFILLS):
            assignment = await self._choose_prefill(job.req.generation_size.input_tokens, decode)
            if assignment is None:
                return None
            engine = assignment.send.endpoint
            job.tried.add(engine.instance)
            began = tools.clock()
            handle = await self._prefill_at(assignment)
            if handle is not None:
                return handle
            if tools.clock() - began >= assignment.send.timeout_s:
                return None
            # Each further prefill attempt counts as a retry.
            if not await self._budget.spend(job.req.log_id):
                return None
        return None

    async def _choose_prefill(self, tokens: int, decode: Endpoint) -> PrefillAssignment | None:
        job, tools = self._job, self._tools
        target_s = job.route.target_s
        left_s = job.req.arrived + target_s - tools.clock()
        decode_s = tools.prefill_estimator.decode_s(tokens)
        prompt = Prompt(tokens, target_s, left_s, decode_s, decode.data_centre)
        assignment = await tools.prefills.assign(
            job.service.name, prompt, job.tried, decode.software
        )
        while assignment is not None:
            engine = assignment.send.endpoint
            if await job.acquire_permit(tools, engine):
                break
            tools.prefills.give_up(assignment)
            job.tried.add(engine.instance)
            assignment = await tools.prefills.assign(
                job.service.name, prompt, job.tried, decode.software
            )
        if assignment is None:
            decode_s = round(decode_s, 3)
            job.log_decision(
                "prefill left to the decode engine", decode_s=decode_s, left_s=round(left_s, 3)
            )
            return None
        tools.balancer.record_selected(assignment.send.endpoint, tools.clock())
        job.log_decision(
            "prefill engine chosen",
            endpoint=assignment.send.endpoint.instance,
            home=assignment.home,
            expected_s=round(assignment.send.expected_s, 3),
            timeout_s=round(assignment.send.timeout_s, 3),
        )
        return assignment

    async def _prefill_at(self, assignment: PrefillAssignment) -> PrefillHandle | None:
        job, tools, send = self._job, self._tools, assignment.send
        left_s = job.give_up_at - tools.clock()
        outbound = OutboundRequest(
            job.req, send.endpoint, job.workspace, left_s, is_prefill=True, rank=job.rank
        )
        share = send.tokens / PREFILL_TOKENS
        timeout_s = min(left_s, send.timeout_s)
        handle: PrefillHandle | None = None
        is_withheld = False
        try:
            self._job.check_crashes(self._tools)
            async with asyncio.timeout(timeout_s):
                async with tools.sender.send(outbound, share, timeout_s) as sent:
                    body = await sent.read_to_end()
                    if sent.head.status == 200:
                        name = tools.dialect.decode_handle(body)
                        tools.prefills.end(assignment, sent.head.load)
                        handle = PrefillHandle(send.endpoint, name, tools.clock())
                        tools.balancer.record_result(send.endpoint, True, tools.clock())
                        return handle
                    reason = f"status {sent.head.status}"
        except TimeoutError:
            reason = "timed out"
        except WithheldError as exc:
            reason, is_withheld = str(exc), True
        except (LinkError, ValueError) as exc:
            reason = str(exc)
            if isinstance(exc, LinkError) and exc.failure is LinkFailure.BROKEN:
                job.record_disconnect(tools, send.endpoint)
        finally:
            if handle is None:
                tools.prefills.give_up(assignment)
        if not is_withheld:
            tools.balancer.record_result(send.endpoint, False, tools.clock())
        failed = send.endpoint.instance
        job.log_decision("prefill failed", endpoint=failed, reason=reason, tokens=send.tokens)
        return None

    def _is_usable(self, handle: PrefillHandle | None, decode: Endpoint) -> bool:
        """Whether the decode engine can fetch a prefilled cache, and it will still be there."""
        if handle is None or handle.endpoint.software != decode.software:
            return False
        age_s = self._tools.clock() - handle.made_at
        return age_s < self._job.service.kv_hold_s - HANDLE_MARGIN_S

    async def _decode(
        self,
        endpoint: Endpoint,
        handle: PrefillHandle | None,
        hold: Hold | None,
        responder: Responder,
    ) -> _Outcome:
        job, tools = self._job, self._tools
        left_s = job.give_up_at - tools.clock()
        resume_after = self._stream.splitter.last_id if job.route.is_resumable else None
        outbound = OutboundRequest(
            job.req,
            endpoint,
            job.workspace,
            left_s,
            kv=handle,
            hold=hold,
            resume_after=resume_after,
            rank=job.rank,
        )
        # The slot's permit may have been granted before the engine turned cold.
        has_turned_cold = tools.limits.cold.was_learnt_after(endpoint.start, self._permitted_at)
        if has_turned_cold and not await job.acquire_permit(tools, endpoint):
            self._reason = f"{endpoint.instance} has turned cold"
            return _Outcome.WITHHELD
        reads_prompt = handle is None and job.req.generation_size is not None
        self._prompt_sent_at = tools.clock() if reads_prompt else None
        had_run, job.may_have_run = job.may_have_run, True
        outcome = await self._send_decode(outbound, self._first_event_timeout_s(left_s), responder)
        if outcome in UNSENT or outcome is _Outcome.NOT_RUN:
            job.may_have_run = had_run
        if outcome is _Outcome.BROKEN:
            self._stream.splitter.discard_partial_event()
            self._stream.runs = max(1, self._stream.runs)
        # An engine that is changing its role grants holds and then refuses the requests that use
        # them, so only a refusal without a hold shows a full but healthy engine.
        is_full = outcome is _Outcome.NOT_RUN and hold is None
        if outcome is not _Outcome.WITHHELD:
            is_sound = outcome is _Outcome.DONE or is_full
            tools.balancer.record_result(endpoint, is_sound, tools.clock())
        if outcome is not _Outcome.DONE:
            job.log_decision(
                "decode failed",
                endpoint=endpoint.instance,
                end=outcome.name,
                reason=self._reason,
                events=self._stream.splitter.events,
            )
        return outcome

    async def _send_decode(
        self, outbound: OutboundRequest, timeout_s: float, responder: Responder
    ) -> _Outcome:
        must_be_fresh = not self._job.route.is_resumable
        sender, stream = self._tools.sender, self._stream
        stream.events_before = stream.splitter.events
        stream.began_at = None
        if not await self._is_current(outbound.endpoint, stream.software is not None):
            self._reason = "the engine has started again"
            return _Outcome.NOT_SENT
        event_due_at = self._tools.clock() + self._first_event_wait_s(outbound, timeout_s)
        try:
            async with contextlib.AsyncExitStack() as stack:
                sending = sender.send(outbound, self._share, timeout_s, must_be_fresh)
                async with self._moved_if_silent(event_due_at):
                    sent = await stack.enter_async_context(sending)
                if sent.head.was_not_run:
                    await sent.skip_body()
                    self._reason = f"not run, status {sent.head.status}"
                    return _Outcome.NOT_RUN
                stream.runs += 1
                # The sign of a restart may have come after the request was sent.
                if not await self._is_current(outbound.endpoint):
                    raise LinkError(LinkFailure.GARBLED, "the engine has started again")
                await self._relay_answer(sent, responder, event_due_at)
                return _Outcome.DONE
        except TimeoutError:
            self._reason = "the stream stalled"
        except WithheldError as exc:
            self._reason = str(exc)
            return _Outcome.WITHHELD
        except LinkError as exc:
            self._reason = str(exc)
            if exc.failure is LinkFailure.NOT_SENT:
                return _Outcome.NOT_SENT
            if exc.failure is LinkFailure.BROKEN:
                self._job.record_disconnect(
                    self._tools, outbound.endpoint, stream.run_events, self._is_run_early()
                )
        return _Outcome.BROKEN

    async def _is_current(self, endpoint: Endpoint, has_begun: bool = False) -> bool:
        """Whether a resumable stream would get events of the version in the engine's record."""
        if not self._job.route.is_resumable:
            return True
        try:
            return await self._tools.start_checks.is_current(endpoint, has_begun)
        except EngineUnreachableError:
            return False

    async def _relay_answer(self, sent: Sending, responder: Responder, event_due_at: float) -> None:
        """Relay a stream in complete events; the caller gets the head of the first run only."""
        head = sent.head
        is_stream = head.status == 200
        if not responder.has_begun:
            if not is_stream and not self._job.may_pass_on(head):
                await sent.drain_body()
                self._refusal = self._job.withhold_answer(sent.endpoint, head)
                return
            if not is_stream:
                body = await sent.read_to_end()
                responder.begin(head.status, head.reason, end_to_end(head.headers), len(body))
                await responder.write(body)
                return
            self._stream.media_type = _media_type(head) or EVENT_STREAM
            responder.begin(head.status, head.reason, end_to_end(head.headers), None)
        elif not is_stream or _media_type(head) not in (None, self._stream.media_type):
            text = f"the answer does not resume the stream: status {head.status}"
            raise LinkError(LinkFailure.BROKEN, f"{text}, media type {_media_type(head)}")
        splitter = self._stream.splitter
        # Without a type, the first event tells whether the answer goes on with the stream.
        is_unstated = splitter.events > 0 and _media_type(head) is None
        # Until the next whole event: an engine in trouble may still send a byte now and then.
        self._event_due_at = event_due_at
        timer = StepTimer()
        while data := await self._read_or_move(sent):
            read_at, events_before = self._tools.clock(), splitter.events
            self._record_prompt_read(splitter.events)
            is_first, last_id = self._stream.began_at is None, splitter.last_id
            try:
                events = splitter.feed(data)
            except OversizedEventError as exc:
                raise LinkError(LinkFailure.GARBLED, str(exc)) from exc
            if events:
                if is_first and is_unstated and not _follows(events, last_id):
                    splitter.events, splitter.last_id = events_before, last_id
                    text = "the answer does not resume the stream: it states no media type"
                    raise LinkError(LinkFailure.BROKEN, f"{text}, and its first event no later id")
                if is_first:
                    self._stream.began_at = read_at
                    self._tools.parts.record_event(self._job.service.name, self._job.traits)
                elif not self._is_run_early():
                    self._tools.crashes.record_success(self._job.fingerprint)
                await self._record_origin(sent.endpoint)
                timer.record_events(splitter.events - events_before, read_at)
            write_at = self._tools.clock()
            await responder.write(events)
            timer.write_s += self._tools.clock() - write_at
            if events:
                self._event_due_at = self._tools.clock() + self._stall_timeout_s()
        if splitter.has_partial_event:
            raise LinkError(LinkFailure.BROKEN, "the stream ended inside an event")
        # A run brings at least one event, unless it goes on after the last one.
        if not sent.is_framed and splitter.last_id is None and not splitter.events:
            raise LinkError(LinkFailure.BROKEN, "the connection ended without an event")
        if timer.step_s is not None:
            self._tools.balancer.record_time(sent.endpoint, timer.step_s, self._tools.clock())

    def _is_run_early(self) -> bool:
        """Whether the present run has brought no event, or its first one just now."""
        began_at = self._stream.began_at
        return began_at is None or self._tools.clock() < began_at + EARLY_RUN_S

    def _record_prompt_read(self, events_before: int) -> None:
        """Record how long the decode engine took to read the prompt, if it had to."""
        sent_at, self._prompt_sent_at = self._prompt_sent_at, None
        if sent_at is not None and not events_before:
            took_s = self._tools.clock() - sent_at
            self._tools.prefill_estimator.record_decode_time(
                self._job.req.generation_size.input_tokens, took_s
            )

    async def _read_or_move(self, sent: Sending) -> bytes:
        """Read more; raise TimeoutError if the stream stalls and can move to another endpoint."""
        while True:
            with contextlib.suppress(TimeoutError):
                return await sent.read(max(0.0, self._event_due_at - self._tools.clock()))
            if await self._reserve_elsewhere():
                raise TimeoutError
            self._event_due_at = self._tools.clock() + self._stall_timeout_s()

    @contextlib.asynccontextmanager
    async def _moved_if_silent(self, event_due_at: float) -> AsyncIterator[None]:
        """Raise TimeoutError once the head is overdue and another endpoint is reserved."""
        if not self._may_move():
            yield
            return
        async with asyncio.timeout(None) as limit:
            watch = asyncio.ensure_future(self._watch_for_silence(event_due_at, limit))
            try:
                yield
            finally:
                watch.cancel()
                await asyncio.wait([watch])
        # The head came while the other endpoint was reserved.
        if self._next_hold is not None:
            self._tools.slot_finder.release(self._next_hold)
            self._next_hold = None

    async def _watch_for_silence(self, event_due_at: float, limit: asyncio.Timeout) -> None:
        while True:
            await asyncio.sleep(max(0.0, event_due_at - self._tools.clock()))
            if await self._reserve_elsewhere():
                limit.reschedule(asyncio.get_running_loop().time())
                return
            event_due_at = self._tools.clock() + SILENCE_CHECK_S

    async def _reserve_elsewhere(self) -> bool:
        """Reserve another endpoint for a stalled stream; without one, the stream keeps waiting."""
        job, tools = self._job, self._tools
        if not self._may_move():
            return False
        hold = await tools.slot_finder.find_now(
            job.req, job.service, job.route, job.tried, self._software
        )
        if hold is not None and not await self._budget.spend(self._job.req.log_id):
            tools.slot_finder.release(hold)
            hold = None
        self._next_hold = hold
        job.log_decision("the stream is stalled", moves=hold is not None)
        return hold is not None

    def _first_event_wait_s(self, outbound: OutboundRequest, timeout_s: float) -> float:
        """Return how long the first event may take before the stream moves, if it may."""
        size = self._job.req.generation_size
        if not self._may_move() or size is None:
            return timeout_s
        read_s = self._tools.prefill_estimator.decode_s(size.input_tokens)
        left_s = self._job.req.arrived + self._job.route.target_s - self._tools.clock()
        return min(timeout_s, first_event_wait_s(left_s, 0.0 if outbound.kv else read_s, read_s))

    def _first_event_timeout_s(self, left_s: float) -> float:
        if not self._may_move():
            return min(left_s, MAX_WAIT_S)
        return min(left_s, self._job.route.target_s * FIRST_EVENT_SHARE)

    def _stall_timeout_s(self) -> float:
        if not self._may_move():
            return MAX_WAIT_S
        return max(MIN_STALL_S, STALL_GAPS * self._job.route.gap_target_s)

    def _may_move(self) -> bool:
        """Whether the stream may resume at another endpoint if this one stalls."""
        route = self._job.route
        return route.is_resumable and self._stream.runs < route.max_attempts

    async def _may_retry(self, outcome: _Outcome) -> bool:
        if outcome in UNSENT or self._next_hold is not None:
            return True
        if outcome is _Outcome.BROKEN and not self._may_move():
            return False
        return await self._budget.spend(self._job.req.log_id)

    def _final_refusal(self, outcome: _Outcome) -> RefusalError:
        if outcome is _Outcome.BROKEN or self._stream.runs:
            return refusal(ErrorCode.ENDPOINT_FAILED, f"the answer was lost: {self._reason}")
        text = "no decode engine accepts the request now"
        return refusal(ErrorCode.ENDPOINTS_FULL, text, self._retry_after_s())

    def _retry_after_s(self) -> float:
        return RETRY_AFTER_S * (0.5 + self._tools.rng.random())

    def _record_output_size(self) -> None:
        """Record the length of an answer that one engine made from its beginning."""
        size, stream = self._job.req.generation_size, self._stream
        is_whole = stream.runs == 1 and self._job.req.last_event_id is None
        if is_whole and size is not None and size.expected_output_tokens is not None:
            self._tools.slot_finder.output_sizes.record(
                self._job.service.name, size.expected_output_tokens, stream.splitter.events
            )

    def _log_answered(self) -> None:
        stream = self._stream
        took_s = round(self._tools.clock() - self._job.req.arrived, 3)
        self._job.log_decision(
            "answered", runs=stream.runs, events=stream.splitter.events, took_s=took_s
        )


def _follows(events: bytes, last_id: int | None) -> bool:
    """Whether some events go on after the one with an id."""
    begins_at = first_id(events)
    return begins_at is not None and (last_id is None or begins_at > last_id)


def _media_type(head: AnswerHead) -> bytes | None:
    """Return the media type of an answer in lower case, without its parameters."""
    for name, value in head.headers:
        if name.lower() == b"content-type":
            return value.partition(b";")[0].strip().lower()
    return None
