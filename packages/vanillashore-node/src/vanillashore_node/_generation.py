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
    """Produces one answer; `run` yields texts in order, each token exactly once."""

    def __init__(
        self, core: NodeCore, placer: Placer, back_ends: BackEnds, req: GenerationRequest
    ) -> None:
        self._core = core
        self._placer = placer
        self._back_ends = back_ends
        self._req = req
        self.assembly = Assembly(req.request_id)

    async def run(self) -> AsyncIterator[str]:
        """Yield the answer's tokens; raise RefusalError if it cannot be finished."""
        for attempt in range(1, MAX_ATTEMPTS + 1):
            self.assembly.begin_attempt(attempt)
            try:
                async for text in self._attempt(attempt):
                    yield text
                return
            except RefusalError as exc:
                self._note(attempt, "failed", str(exc))
                if exc.code not in RETRIED_CODES or attempt == MAX_ATTEMPTS:
                    raise
        raise AssertionError("unreachable")

    async def _attempt(self, attempt: int) -> AsyncIterator[str]:
        place = await self._placer.decode_place(self._req, attempt)
        self._note(attempt, "decode place", place.endpoint.vm)
        try:
            done = await self._prefill(attempt)
        except BaseException:
            self._placer.give_up(place, self._req, attempt)
            raise
        order = self._decode_order(attempt, place, done)
        async for frames in self._back_ends.decode(place.endpoint.address, order):
            for frame in frames:
                if frame.kind is FrameKind.FAILED and frame.refused is not None:
                    raise RefusalError(frame.refused)
                text = self._accept(frame)
                if text:
                    yield text
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

    def _accept(self, frame: Frame) -> str:
        try:
            return self.assembly.accept(frame)
        except ValueError as exc:
            raise _broken(str(exc)) from exc

    def _note(self, attempt: int, step: str, text: str) -> None:
        self._core.decisions.note(self._req.request_id, step, f"attempt {attempt}: {text}")


def _broken(text: str) -> RefusalError:
    return RefusalError(Refused(ErrorCode.ENDPOINT_FAILED, text, Ran.UNKNOWN))
