"""Forwarding of generations: a place, prefill, decode, and a stream that may go on elsewhere."""

import asyncio
from enum import Enum, auto

import attrs

from vanillashore_gateway._dialect import SendOrder
from vanillashore_gateway._domain import Endpoint, Hold, PrefillHandle
from vanillashore_gateway._errors import ErrorCode, RefusalError, refusal
from vanillashore_gateway._events import EventSplitter
from vanillashore_gateway._front import Responder
from vanillashore_gateway._http_client import LinkError, LinkFailure
from vanillashore_gateway._http_messages import end_to_end
from vanillashore_gateway._job import Job, Tools
from vanillashore_gateway._place_finder import needed_tokens
from vanillashore_gateway._prefill_desk import PrefillTurn
from vanillashore_gateway._reading import Prompt
from vanillashore_gateway._sending import Sending

FIRST_EVENT_SHARE = 1.2  # Of the target: a resumable stream without an event moves then.
STALL_GAPS = 2.0  # Longest pauses between events before a resumable stream moves.
MIN_STALL_S = 0.4  # Streams pause for some hundred milliseconds when an endpoint is busy.
HANDLE_MARGIN_S = 0.1  # A handle this near to its end is not worth a transfer.
HOLD_MARGIN_S = 0.2  # A reservation this near to its end may lapse on the way.
PREFILL_TOKENS = 16_384  # Prompt tokens of a full prefill engine: half a second of its work.
MAX_PREFILLS = 2
MAX_DECODES = 4  # Endpoints asked to run it; those that did not count too.
MAX_WAIT_S = 60.0  # For callers and routes without a time limit.
RETRY_AFTER_S = 1.0  # After engines that had a place took it back; usually a crash.


class _End(Enum):
    """How one decode attempt ended."""

    DONE = auto()
    NOT_SENT = auto()
    NOT_RUN = auto()
    BROKEN = auto()


@attrs.define
class _Stream:
    """What of the stream the caller has, and how many endpoints may have run the request."""

    splitter: EventSplitter = attrs.field(factory=EventSplitter)
    runs: int = 0


class GenerationForwarder:
    """Forwards one generation."""

    def __init__(self, tools: Tools, job: Job) -> None:
        self._tools = tools
        self._job = job
        self._budget = tools.budgets.of(job.service.name)
        self._share = needed_tokens(job.req) / max(1, job.service.kv_tokens)
        self._stream = _Stream()
        self._stream.splitter.last_id = job.req.last_event_id
        self._reason = ""
        self._next_hold: Hold | None = None
        self._reads_since: float | None = None

    async def run(self, responder: Responder) -> None:
        """Forward the request; raise RefusalError if it is given up."""
        self._budget.earn()
        try:
            async with asyncio.timeout(max(0.0, self._job.give_up_at - self._tools.clock())):
                await self._run(responder)
        except TimeoutError:
            raise refusal(ErrorCode.TIMED_OUT, "the answer did not end in time") from None
        except RefusalError as exc:
            raise self._truthful(exc) from exc
        finally:
            if self._next_hold is not None:
                self._tools.places.release(self._next_hold)

    def _truthful(self, exc: RefusalError) -> RefusalError:
        """Say "not run" only if no endpoint may have run the request."""
        if not self._stream.runs or exc.refused.ran != "no":
            return exc
        return refusal(ErrorCode.ENDPOINT_FAILED, f"the answer was lost; {exc.refused.text}")

    async def _run(self, responder: Responder) -> None:
        handle: PrefillHandle | None = None
        for asked in range(1, MAX_DECODES + 1):
            hold = await self._take_hold()
            endpoint = hold.endpoint
            is_used = False
            try:
                if asked == 1:
                    handle = await self._prefill(endpoint)
                usable = handle if handle is not None and self._is_fresh(handle) else None
                current = hold if self._tools.clock() < self._hold_ends(hold) else None
                is_used = current is not None
                end = await self._decode(endpoint, usable, current, responder)
            finally:
                if not is_used:
                    self._tools.places.release(hold)
            if end is _End.DONE:
                responder.finish()
                self._tools.crashes.note_success(self._job.fingerprint)
                held_s = self._tools.clock() - hold.taken_at
                self._tools.places.note_answered(self._job.service, held_s)
                self._note_answered()
                return
            if end is not _End.NOT_SENT:
                handle = None
            if asked == MAX_DECODES or not self._may_go_on(end):
                break
        raise self._give_up(end)

    async def _take_hold(self) -> Hold:
        job = self._job
        hold, self._next_hold = self._next_hold, None
        if hold is None:
            hold = await self._tools.places.find(
                job.req, job.route, job.service, job.tried, has_begun=self._stream.runs > 0
            )
        job.tried.add(hold.endpoint.instance)
        job.note(
            "place reserved",
            endpoint=hold.endpoint.instance,
            waited_s=round(self._tools.clock() - job.req.arrived, 3),
        )
        return hold

    def _hold_ends(self, hold: Hold) -> float:
        return hold.taken_at + self._job.service.hold_s - HOLD_MARGIN_S

    async def _prefill(self, decode: Endpoint) -> PrefillHandle | None:
        """Have the prompt read; ``None`` leaves that to the engine that will ``decode``."""
        job, tools = self._job, self._tools
        if job.req.prompt is None:
            return None
        for _ in range(MAX_PREFILLS):
            turn = await self._take_turn(job.req.prompt.read, decode)
            if turn is None:
                return None
            engine = turn.send.endpoint
            job.tried.add(engine.instance)
            began = tools.clock()
            handle = await self._prefill_at(turn)
            tools.balancer.note_result(engine, handle is not None, tools.clock())
            if handle is not None:
                return handle
            # Each later arrival of the request counts as a repetition.
            if tools.clock() - began >= turn.send.timeout_s or not self._budget.spend():
                return None
        return None

    async def _take_turn(self, tokens: int, decode: Endpoint) -> PrefillTurn | None:
        job, tools = self._job, self._tools
        target_s = job.route.target_s
        left_s = job.req.arrived + target_s - tools.clock()
        decode_s = tools.reading.decode_s(tokens)
        prompt = Prompt(tokens, target_s, left_s, decode_s, decode.data_centre)
        turn = await tools.prefills.take(job.service.name, prompt, job.tried)
        if turn is None:
            decode_s = round(decode_s, 3)
            job.note("prefill is left to decode", decode_s=decode_s, left_s=round(left_s, 3))
            return None
        tools.balancer.record_selected(turn.send.endpoint, tools.clock())
        job.note(
            "prefill engine chosen",
            endpoint=turn.send.endpoint.instance,
            home=turn.home,
            expected_s=round(turn.send.expected_s, 3),
            timeout_s=round(turn.send.timeout_s, 3),
        )
        return turn

    async def _prefill_at(self, turn: PrefillTurn) -> PrefillHandle | None:
        job, tools, send = self._job, self._tools, turn.send
        left_s = job.give_up_at - tools.clock()
        order = SendOrder(job.req, send.endpoint, job.workspace, left_s, is_prefill=True)
        share = send.tokens / PREFILL_TOKENS
        timeout_s = min(left_s, send.timeout_s)
        handle: PrefillHandle | None = None
        try:
            async with asyncio.timeout(timeout_s):
                async with tools.sender.send(order, share, timeout_s) as sent:
                    body = await sent.read_whole()
                    if sent.head.status == 200:
                        name = tools.dialect.decode_handle(body)
                        tools.prefills.end(turn, sent.head.load)
                        handle = PrefillHandle(send.endpoint, name, tools.clock())
                        return handle
                    reason = f"status {sent.head.status}"
        except TimeoutError:
            reason = "timed out"
        except (LinkError, ValueError) as exc:
            reason = str(exc)
            if isinstance(exc, LinkError) and exc.failure is LinkFailure.BROKEN:
                job.note_break(tools, send.endpoint)
        finally:
            if handle is None:
                tools.prefills.give_up(turn)
        failed = send.endpoint.instance
        job.note("prefill failed", endpoint=failed, reason=reason, tokens=send.tokens)
        return None

    def _is_fresh(self, handle: PrefillHandle) -> bool:
        age_s = self._tools.clock() - handle.made_at
        return age_s < self._job.service.kv_hold_s - HANDLE_MARGIN_S

    async def _decode(
        self,
        endpoint: Endpoint,
        handle: PrefillHandle | None,
        hold: Hold | None,
        responder: Responder,
    ) -> _End:
        job, tools = self._job, self._tools
        left_s = job.give_up_at - tools.clock()
        resume_after = self._stream.splitter.last_id if job.route.is_resumable else None
        order = SendOrder(
            job.req,
            endpoint,
            job.workspace,
            left_s,
            kv=handle,
            hold=hold,
            resume_after=resume_after,
        )
        reads_prompt = handle is None and job.req.prompt is not None
        self._reads_since = tools.clock() if reads_prompt else None
        end = await self._send_decode(order, self._first_event_timeout_s(left_s), responder)
        if end is _End.BROKEN:
            self._stream.splitter.begin_again()
            self._stream.runs = max(1, self._stream.runs)
        # An engine that is changing its role reserves places and then refuses what comes for them.
        is_full = end is _End.NOT_RUN and hold is None
        tools.balancer.note_result(endpoint, end is _End.DONE or is_full, tools.clock())
        if end is not _End.DONE:
            job.note(
                "decode ended early",
                endpoint=endpoint.instance,
                end=end.name,
                reason=self._reason,
                events=self._stream.splitter.events,
            )
        return end

    async def _send_decode(self, order: SendOrder, timeout_s: float, responder: Responder) -> _End:
        must_be_fresh = not self._job.route.is_resumable
        sender = self._tools.sender
        try:
            async with sender.send(order, self._share, timeout_s, must_be_fresh) as sent:
                if sent.head.was_not_run:
                    await sent.read_whole()
                    self._reason = f"not run, status {sent.head.status}"
                    return _End.NOT_RUN
                self._stream.runs += 1
                await self._pass_on(sent, responder, timeout_s)
                return _End.DONE
        except TimeoutError:
            self._reason = "the stream stalled"
        except LinkError as exc:
            self._reason = str(exc)
            if exc.failure is LinkFailure.NOT_SENT:
                return _End.NOT_SENT
            if exc.failure is LinkFailure.BROKEN:
                self._job.note_break(self._tools, order.endpoint)
        return _End.BROKEN

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
        while data := await self._read_on(sent, timeout_s):
            self._note_reading(splitter.events)
            await responder.write(splitter.feed(data))
            timeout_s = self._stall_timeout_s()
        if splitter.has_partial_event:
            raise LinkError(LinkFailure.BROKEN, "the stream ended inside an event")

    def _note_reading(self, events_before: int) -> None:
        """Take in how long the decode engine took to read the prompt, if it did."""
        sent_at, self._reads_since = self._reads_since, None
        if sent_at is not None and not events_before:
            took_s = self._tools.clock() - sent_at
            self._tools.reading.note_decode(self._job.req.prompt.read, took_s)

    async def _read_on(self, sent: Sending, timeout_s: float) -> bytes:
        """Read on; raise TimeoutError if the stream stalls and a place elsewhere is reserved."""
        while True:
            try:
                return await sent.read(timeout_s)
            except TimeoutError:
                if await self._reserve_elsewhere():
                    raise

    async def _reserve_elsewhere(self) -> bool:
        """Reserve a place for a stream that stalls; without one it is better left where it is."""
        job, tools = self._job, self._tools
        if not self._may_move():
            return False
        hold = await tools.places.find_now(job.req, job.service, job.route, job.tried)
        if hold is not None and not self._budget.spend():
            tools.places.release(hold)
            hold = None
        self._next_hold = hold
        job.note("the stream stalls", moves=hold is not None)
        return hold is not None

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

    def _may_go_on(self, end: _End) -> bool:
        if end is _End.NOT_SENT or self._next_hold is not None:
            return True
        if end is _End.BROKEN and not self._may_move():
            return False
        return self._budget.spend()

    def _give_up(self, end: _End) -> RefusalError:
        if end is _End.BROKEN or self._stream.runs:
            return refusal(ErrorCode.ENDPOINT_FAILED, f"the answer was lost: {self._reason}")
        text = "no decode engine takes the request now"
        after_s = RETRY_AFTER_S * (0.5 + self._tools.rng.random())
        return refusal(ErrorCode.ENDPOINTS_FULL, text, after_s)

    def _note_answered(self) -> None:
        stream = self._stream
        took_s = round(self._tools.clock() - self._job.req.arrived, 3)
        self._job.note("answered", runs=stream.runs, events=stream.splitter.events, took_s=took_s)
