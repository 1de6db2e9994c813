"""One generated answer: reserve, prefill, decode, and go on elsewhere after a failure."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing

from vanillashore_node._back_ends import BackEnds
from vanillashore_node._copies import CopyBook
from vanillashore_node._core import NodeCore
from vanillashore_node._generation_request import GenerationRequest
from vanillashore_node._placer import Place, Placer
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
    Ran,
    RefusalError,
    Refused,
)


class Generation:
    """Produces one answer; `run` yields runs of tokens in order, each token exactly once."""

    def __init__(
        self,
        core: NodeCore,
        placer: Placer,
        back_ends: BackEnds,
        budget: RetryBudget,
        copies: CopyBook,
        req: GenerationRequest,
    ) -> None:
        self._core = core
        self._placer = placer
        self._back_ends = back_ends
        self._budget = budget
        self._copies = copies
        self._policy = RetryPolicy(budget)
        self._req = req
        self._was_dispatched = False
        self.assembly = Assembly(req.request_id)

    async def run(self) -> AsyncIterator[list[str]]:
        """Yield the tokens that came in together; raise RefusalError if the answer breaks off."""
        self._budget.earn()
        turn = await self._copies.begin(self._req.fingerprint)
        try:
            async with aclosing(self._attempts()) as runs:
                async for texts in runs:
                    turn.prove()
                    yield texts
        finally:
            turn.end()
            self._placer.forget(self._req.request_id)

    async def _attempts(self) -> AsyncIterator[list[str]]:
        for attempt in range(1, MAX_ATTEMPTS + 1):
            self.assembly.begin_attempt(attempt)
            try:
                async with aclosing(self._attempt(attempt)) as runs:
                    async for texts in runs:
                        yield texts
                return
            except RefusalError as exc:
                refused = exc.refused
                self._placer.note_failed(self._req, attempt, exc)
            finally:
                self._placer.end_attempt(self._req, attempt)
            self._note(attempt, "failed", f"{refused.code.value}: {refused.text}")
            if self.assembly.finish_if_complete(self._req.max_tokens):
                return
            await self._pause_or_give_up(attempt, refused)
        raise AssertionError("unreachable")

    async def _pause_or_give_up(self, attempt: int, refused: Refused) -> None:
        emitted = self.assembly.next_sequence
        failure = Failure(attempt, refused, emitted, self._req.time_left_s)
        pause_s = self._policy.pause_s(failure)
        if pause_s is None:
            raise RefusalError(final_refusal(refused, self._was_dispatched))
        await asyncio.sleep(pause_s)

    async def _attempt(self, attempt: int) -> AsyncIterator[list[str]]:
        place = await self._placer.decode_place(self._req, attempt)
        self._note(attempt, "decode place", place.endpoint.vm)
        done = await self._prefill(attempt)
        self._placer.note_prefilled(self._req, attempt)
        order = self._decode_order(attempt, place, done)
        async with aclosing(self._batches(place, order)) as batches:
            async for frames in batches:
                if frames[0].kind is not FrameKind.FAILED:
                    self._placer.note_imported(self._req, attempt)
                position = self.assembly.next_sequence
                failure = self._accept(frames)
                texts = self.assembly.tokens_from(position)
                if texts:
                    yield texts
                if failure is not None:
                    raise failure
                if self.assembly.is_complete:
                    self._placer.note_finished(self._req, attempt)
                    return
        raise _broken("the decode stream ended early")

    async def _batches(self, place: Place, order: DecodeOrder) -> AsyncIterator[list[Frame]]:
        """Yield the frames of a stream as they come in; it must not pause for long."""
        wait_s = self._core.cfg.timing.frame_wait_s
        async with aclosing(self._back_ends.decode(place.endpoint.address, order)) as batches:
            while True:
                try:
                    async with asyncio.timeout(wait_s):
                        batch = await anext(batches, None)
                except TimeoutError as exc:
                    raise _broken(f"no frame within {wait_s:g} s") from exc
                if batch is None:
                    return
                yield batch

    async def _prefill(self, attempt: int) -> PrefillDone:
        place = await self._placer.prefill_place(self._req, attempt)
        self._note(attempt, "prefill place", place.endpoint.vm)
        order = PrefillOrder(
            self._req.request_id,
            attempt,
            place.grant.reservation,
            self._req.workspace,
            self._req.model.name,
            self._req.prompt + self.assembly.text,
            self._req.model.route_class,
            min(self._req.time_left_s, self._core.cfg.timing.prefill_wait_s),
            self._core.directory.revision,
            self._req.fingerprint,
        )
        self._was_dispatched = True
        return await self._back_ends.prefill(place.endpoint.address, order)

    def _decode_order(self, attempt: int, place: Place, done: PrefillDone) -> DecodeOrder:
        emitted = self.assembly.next_sequence
        return DecodeOrder(
            self._req.request_id,
            attempt,
            place.grant.reservation,
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
        """Take frames until one ends the attempt, and return why it did; ``None`` if none did."""
        try:
            for frame in frames:
                if frame.kind is FrameKind.FAILED and frame.refused is not None:
                    return RefusalError(frame.refused)
                self.assembly.accept(frame)
        except ValueError as exc:
            return _broken(str(exc))
        return None

    def _note(self, attempt: int, step: str, text: str) -> None:
        self._core.decisions.note(self._req.request_id, step, f"attempt {attempt}: {text}")


def _broken(text: str) -> RefusalError:
    return RefusalError(Refused(ErrorCode.ENDPOINT_FAILED, text, Ran.UNKNOWN))
