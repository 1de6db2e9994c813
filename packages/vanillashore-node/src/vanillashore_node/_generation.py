"""One generated answer: reserve, prefill, decode, and go on elsewhere after a failure."""

from collections.abc import AsyncIterator

from vanillashore_node._back_ends import BackEnds
from vanillashore_node._core import NodeCore
from vanillashore_node._generation_request import GenerationRequest
from vanillashore_node._placer import Place, Placer
from vanillashore_outcome import Assembly
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

MAX_ATTEMPTS = 3
RETRIED_CODES = frozenset(
    {
        ErrorCode.ENDPOINT_FAILED,
        ErrorCode.PEER_UNREACHABLE,
        ErrorCode.RESERVATION_UNKNOWN,
        ErrorCode.ROLE_MISMATCH,
        ErrorCode.SHUTTING_DOWN,
    }
)


class Generation:
    """Produces one answer; `run` yields runs of tokens in order, each token exactly once."""

    def __init__(
        self, core: NodeCore, placer: Placer, back_ends: BackEnds, req: GenerationRequest
    ) -> None:
        self._core = core
        self._placer = placer
        self._back_ends = back_ends
        self._req = req
        self.assembly = Assembly(req.request_id)

    async def run(self) -> AsyncIterator[list[str]]:
        """Yield the tokens that came in together; raise RefusalError if the answer breaks off."""
        try:
            async for texts in self._attempts():
                yield texts
        finally:
            self._placer.forget(self._req)

    async def _attempts(self) -> AsyncIterator[list[str]]:
        for attempt in range(1, MAX_ATTEMPTS + 1):
            self.assembly.begin_attempt(attempt)
            try:
                async for texts in self._attempt(attempt):
                    yield texts
                return
            except RefusalError as exc:
                self._note(attempt, "failed", str(exc))
                self._placer.note_failed(self._req, attempt, exc)
                if exc.code not in RETRIED_CODES or attempt == MAX_ATTEMPTS:
                    raise
            finally:
                self._placer.end_attempt(self._req, attempt)
        raise AssertionError("unreachable")

    async def _attempt(self, attempt: int) -> AsyncIterator[list[str]]:
        place = await self._placer.decode_place(self._req, attempt)
        self._note(attempt, "decode place", place.endpoint.vm)
        done = await self._prefill(attempt)
        self._placer.note_prefilled(self._req, attempt)
        order = self._decode_order(attempt, place, done)
        async for frames in self._back_ends.decode(place.endpoint.address, order):
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
                return
        raise _broken("the decode stream ended early")

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
            self._req.time_left_s,
            self._core.directory.revision,
        )
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
