"""Generation of one answer: reserve, prefill, decode, and resume elsewhere after a failure."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing

from vanillashore_node._core import NodeCore
from vanillashore_node._duplicates import DuplicateGate
from vanillashore_node._generation_request import GenerationRequest
from vanillashore_node._placer import Placement, Placer
from vanillashore_node._sidecar_client import SidecarClient
from vanillashore_outcome import (
    MAX_ATTEMPTS,
    Assembly,
    Failure,
    RetryPolicy,
    final_refusal,
)
from vanillashore_resilience import RetryBudget
from vanillashore_wire import (
    DecodeOrder,
    ErrorCode,
    Frame,
    FrameKind,
    PrefillDone,
    PrefillOrder,
    RefusalError,
    Refused,
    WasExecuted,
)


class Generation:
    """Produces one answer; `run` yields batches of tokens in order, each token exactly once."""

    def __init__(
        self,
        core: NodeCore,
        placer: Placer,
        sidecars: SidecarClient,
        budget: RetryBudget,
        duplicates: DuplicateGate,
        req: GenerationRequest,
    ) -> None:
        self._core = core
        self._placer = placer
        self._sidecars = sidecars
        self._budget = budget
        self._duplicates = duplicates
        self._policy = RetryPolicy(budget)
        self._req = req
        self._was_dispatched = False
        self.assembly = Assembly(req.request_id)

    async def run(self) -> AsyncIterator[list[str]]:
        """Yield the tokens that arrive together; raise RefusalError if the answer fails midway."""
        self._budget.earn()
        run = await self._duplicates.begin(self._req.fingerprint)
        try:
            async with aclosing(self._attempts()) as batches:
                async for texts in batches:
                    run.mark_harmless()
                    yield texts
        finally:
            run.end()
            self._placer.forget(self._req.request_id)

    async def _attempts(self) -> AsyncIterator[list[str]]:
        for attempt in range(1, MAX_ATTEMPTS + 1):
            self.assembly.begin_attempt(attempt)
            try:
                async with aclosing(self._attempt(attempt)) as batches:
                    async for texts in batches:
                        yield texts
                return
            except RefusalError as exc:
                refused = exc.refused
                self._placer.record_failed(self._req, attempt, exc)
            finally:
                self._placer.end_attempt(self._req, attempt)
            self._record_step(attempt, "failed", f"{refused.code.value}: {refused.text}")
            if self.assembly.finish_if_complete(self._req.max_tokens):
                return
            await self._wait_or_raise(attempt, refused)
        raise AssertionError("unreachable")

    async def _wait_or_raise(self, attempt: int, refused: Refused) -> None:
        emitted = self.assembly.next_sequence
        failure = Failure(attempt, refused, emitted, self._req.time_left_s)
        pause_s = self._policy.pause_s(failure)
        if pause_s is None:
            raise RefusalError(final_refusal(refused, self._was_dispatched))
        await asyncio.sleep(pause_s)

    async def _attempt(self, attempt: int) -> AsyncIterator[list[str]]:
        placement = await self._placer.reserve_decode(self._req, attempt)
        self._record_step(attempt, "decode place", placement.endpoint.vm)
        done = await self._prefill(attempt)
        self._placer.record_prefilled(self._req, attempt)
        order = self._decode_order(attempt, placement, done)
        async with aclosing(self._batches(placement, order)) as batches:
            async for frames in batches:
                if frames[0].kind is not FrameKind.FAILED:
                    self._placer.record_imported(self._req, attempt)
                start = self.assembly.next_sequence
                failure = self._accept(frames)
                texts = self.assembly.tokens_from(start)
                if texts:
                    yield texts
                if failure is not None:
                    raise failure
                if self.assembly.is_complete:
                    self._placer.record_finished(self._req, attempt)
                    return
        raise _stream_failure("the decode stream ended early")

    async def _batches(
        self, placement: Placement, order: DecodeOrder
    ) -> AsyncIterator[list[Frame]]:
        """Yield frames as they arrive; raise RefusalError if none arrives within the time limit."""
        wait_s = self._core.cfg.timing.frame_wait_s
        async with aclosing(self._sidecars.decode(placement.endpoint.address, order)) as batches:
            while True:
                try:
                    async with asyncio.timeout(wait_s):
                        batch = await anext(batches, None)
                except TimeoutError as exc:
                    raise _stream_failure(f"no frame within {wait_s:g} s") from exc
                if batch is None:
                    return
                yield batch

    async def _prefill(self, attempt: int) -> PrefillDone:
        placement = await self._placer.reserve_prefill(self._req, attempt)
        self._record_step(attempt, "prefill place", placement.endpoint.vm)
        order = PrefillOrder(
            self._req.request_id,
            attempt,
            placement.grant.reservation,
            self._req.workspace,
            self._req.model.name,
            self._req.prompt + self.assembly.text,
            self._req.model.route_class,
            min(self._req.time_left_s, self._core.cfg.timing.prefill_wait_s),
            self._core.directory.revision,
            self._req.fingerprint,
        )
        self._was_dispatched = True
        return await self._sidecars.prefill(placement.endpoint.address, order)

    def _decode_order(self, attempt: int, placement: Placement, done: PrefillDone) -> DecodeOrder:
        emitted = self.assembly.next_sequence
        return DecodeOrder(
            self._req.request_id,
            attempt,
            placement.grant.reservation,
            self._req.workspace,
            self._req.model.name,
            self._req.prompt + self.assembly.text,
            emitted,
            self._req.max_tokens - emitted,
            done.kv,
            self._req.model.route_class,
            self._req.time_left_s,
            self._core.directory.revision,
            self._req.sampling,
            self._req.fingerprint,
        )

    def _accept(self, frames: list[Frame]) -> RefusalError | None:
        """Process frames; return the error that ends the attempt, or ``None``."""
        try:
            for frame in frames:
                if frame.kind is FrameKind.FAILED and frame.refused is not None:
                    return RefusalError(frame.refused)
                self.assembly.accept(frame)
        except ValueError as exc:
            return _stream_failure(str(exc))
        return None

    def _record_step(self, attempt: int, step: str, text: str) -> None:
        self._core.decisions.record(self._req.request_id, step, f"attempt {attempt}: {text}")


def _stream_failure(text: str) -> RefusalError:
    return RefusalError(Refused(ErrorCode.ENDPOINT_FAILED, text, WasExecuted.UNKNOWN))
