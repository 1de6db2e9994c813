"""The stand-in model engine: a prefill queue, continuous batching, orders and crashes."""

import asyncio
import contextlib
import heapq
import itertools
import time
from collections.abc import AsyncIterator, Iterator
from typing import Any

import attrs

from vanillashore_standins._engine_memory import Export, KvMemory
from vanillashore_standins._text_generator import continuation, count_tokens

POISON_TEXT = "CRASH-THE-ENGINE"


class EngineError(Exception):
    """The engine refused or lost a request; ``status`` is the HTTP status."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@attrs.define
class EngineOptions:
    """Speed, capacity and injected faults of an engine; times in seconds.

    ``lose_ends`` is the number of streams whose connection breaks before the end marker.
    """

    name: str = "engine"
    model: str = "model"
    slots: int = 20
    step_s: float = 0.01
    prefill_s_per_token: float = 0.0001
    transfer_s_per_piece: float = 0.002
    total_pieces: int = 200
    piece_tokens: int = 1_000
    cache_pieces: int = 100
    export_keep_s: float = 0.8
    finished_keep_s: float = 5.0
    load_lag_s: float = 1.0
    event_lag_s: float = 2.0
    restart_s: float = 0.5
    honours_fencing: bool = True
    stall_transfers: bool = False
    stall_streams: bool = False
    lose_ends: int = 0


@attrs.define(eq=False)
class Sequence:
    """An answer that is queued, is being decoded or ended recently."""

    request_id: str
    prompt: str
    max_tokens: int
    priority: int
    token_source: Iterator[str]
    tokens: list[str] = attrs.field(factory=list)
    done: bool = False
    failure: str = ""
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def notify_readers(self) -> None:
        """Notify all readers of the change."""
        self.changed.set()
        self.changed = asyncio.Event()


@attrs.define
class EngineLedger:
    """Record of the work that the engine has done, for tests."""

    prefills: list[str] = attrs.field(factory=list)
    prefilled_tokens: int = 0
    decodes: list[str] = attrs.field(factory=list)
    decoded_tokens: int = 0
    orders: list[str] = attrs.field(factory=list)
    crashes: int = 0
    headers: list[dict[str, str]] = attrs.field(factory=list)
    sampling: list[dict[str, Any]] = attrs.field(factory=list)


class EngineState:
    """State and scheduling of an engine; call `start` before use and `stop` after."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.memory = KvMemory(
            options.total_pieces,
            options.piece_tokens,
            options.cache_pieces,
            options.event_lag_s,
            time.monotonic,
        )
        self.ledger = EngineLedger()
        self.sequences: dict[str, Sequence] = {}
        self.down_until = 0.0
        self.order_number = 0
        self.role = "any"
        self.model_version = "1"
        self._sequence_numbers = itertools.count()
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: list[Sequence] = []
        self._prefill_queue: list[tuple[int, int, asyncio.Future[None]]] = []
        self._is_prefilling = False
        self._reported_load: dict[str, int] = {}
        self._reported_at = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the decode loop."""
        self._task = asyncio.get_running_loop().create_task(self._decode_loop())

    async def stop(self) -> None:
        """Stop the decode loop."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    # Requests

    async def prefill(self, request_id: str, prompt: str, priority: int) -> tuple[Export, int]:
        """Run a prefill; return the exported KV cache and the number of pieces already cached."""
        tokens = count_tokens(prompt)
        self._hold(request_id, self.memory.pieces_for(tokens))
        try:
            cached = await self._run_prefill(prompt, priority)
        finally:
            still_held = self.memory.held.pop(request_id, None) is not None
        if not still_held:
            raise EngineError(409, "aborted")
        self.ledger.prefills.append(request_id)
        handle = f"{self.options.name}-{next(self._sequence_numbers)}"
        evicted_at = time.monotonic() + self.options.export_keep_s
        pieces = self.memory.pieces_for(tokens)
        export = Export(handle, request_id, prompt, pieces, evicted_at)
        self.memory.exports[handle] = export
        return export, cached

    async def pull(self, handle: str) -> Export:
        """Transfer an exported cache to another engine, at ``transfer_s_per_piece`` per piece."""
        self.memory.evict_exports()
        export = self.memory.exports.get(handle)
        if export is None:
            raise EngineError(404, "cache was evicted")
        while self.options.stall_transfers:
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.options.transfer_s_per_piece * export.pieces)
        if self.memory.exports.pop(handle, None) is None and self.is_down:
            raise EngineError(410, "engine crashed")
        return export

    def decode(
        self, request_id: str, prompt: str, max_tokens: int, priority: int, pieces: int
    ) -> Sequence:
        """Queue an answer for decoding."""
        if request_id not in self.memory.held:
            self._hold(request_id, pieces)
        sequence = Sequence(request_id, prompt, max_tokens, priority, continuation(prompt))
        self.sequences[request_id] = sequence
        heapq.heappush(self._waiting, (priority, next(self._sequence_numbers), sequence))
        self.ledger.decodes.append(request_id)
        return sequence

    def hold_for_import(self, request_id: str, tokens: int) -> int:
        """Hold memory for an import before it starts; return the number of pieces."""
        pieces = self.memory.pieces_for(tokens)
        self._hold(request_id, pieces)
        return pieces

    async def stream(self, sequence: Sequence, start: int) -> AsyncIterator[list[str]]:
        """Yield batches of new tokens of ``sequence``, from position ``start`` on."""
        position = start
        while True:
            changed = sequence.changed
            new_tokens = sequence.tokens[position:]
            if new_tokens:
                position += len(new_tokens)
                yield new_tokens
            elif sequence.failure:
                raise EngineError(410, sequence.failure)
            elif sequence.done:
                return
            else:
                await changed.wait()

    def abort(self, request_id: str) -> bool:
        """Cancel a request and free what it holds; return whether it was known."""
        known = self.memory.held.pop(request_id, None) is not None
        for handle, export in list(self.memory.exports.items()):
            if export.request_id == request_id:
                del self.memory.exports[handle]
                known = True
        sequence = self.sequences.pop(request_id, None)
        if sequence is not None:
            self._end(sequence, "aborted")
        return known or sequence is not None

    def holdings(self) -> dict[str, int]:
        """Return the number of pieces held by each request, exported caches included."""
        self.memory.evict_exports()
        held = dict(self.memory.held)
        for export in self.memory.exports.values():
            held[export.request_id] = held.get(export.request_id, 0) + export.pieces
        return held

    def load(self) -> dict[str, int]:
        """Return a load report that may be up to ``load_lag_s`` old."""
        now = time.monotonic()
        if now - self._reported_at >= self.options.load_lag_s or not self._reported_load:
            self._reported_at = now
            self._reported_load = {
                "running": len(self._running),
                "waiting": len(self._waiting),
                "free_pieces": self.memory.free_pieces,
                "slots": self.options.slots,
            }
        return self._reported_load

    # Orders and crashes

    def order(self, number: int, role: str, model: str, version: str) -> None:
        """Apply an order; raise EngineError if its fencing number is older than the last one.

        An engine with ``honours_fencing`` unset applies every order.
        """
        if self.options.honours_fencing and number < self.order_number:
            raise EngineError(409, f"order {number} is older than {self.order_number}")
        self.order_number = number
        self.role = role or self.role
        self.options.model = model or self.options.model
        self.model_version = version or self.model_version
        self.ledger.orders.append(f"{number} {self.role} {model} {version}")

    def crash(self) -> None:
        """Drop all requests and memory, and stay down for ``restart_s``."""
        self.ledger.crashes += 1
        self.down_until = time.monotonic() + self.options.restart_s
        self.memory.clear()
        for sequence in list(self.sequences.values()):
            self._end(sequence, "engine crashed")
        self.sequences.clear()
        self._waiting.clear()
        self._running.clear()

    @property
    def is_down(self) -> bool:
        """Whether the engine is restarting after a crash."""
        return time.monotonic() < self.down_until

    # Internals

    def _hold(self, request_id: str, pieces: int) -> None:
        if pieces > self.memory.free_pieces:
            raise EngineError(429, "out of KV memory")
        self.memory.held[request_id] = pieces

    async def _run_prefill(self, prompt: str, priority: int) -> int:
        crashes = self.ledger.crashes
        await self._acquire_prefill(priority)
        try:
            if self.ledger.crashes != crashes:
                raise EngineError(410, "engine crashed")
            cached = self.memory.cache_prompt(prompt)
            uncached_tokens = count_tokens(prompt) - cached * self.options.piece_tokens
            await asyncio.sleep(max(0, uncached_tokens) * self.options.prefill_s_per_token)
            if POISON_TEXT in prompt:
                self.crash()
            if self.ledger.crashes != crashes:
                raise EngineError(410, "engine crashed")
            self.ledger.prefilled_tokens += max(0, uncached_tokens)
            return cached
        finally:
            self._release_prefill()

    async def _acquire_prefill(self, priority: int) -> None:
        if not self._is_prefilling:
            self._is_prefilling = True
            return
        waiter = asyncio.get_running_loop().create_future()
        heapq.heappush(self._prefill_queue, (priority, next(self._sequence_numbers), waiter))
        await waiter

    def _release_prefill(self) -> None:
        while self._prefill_queue:
            _, _, waiter = heapq.heappop(self._prefill_queue)
            if not waiter.done():
                waiter.set_result(None)
                return
        self._is_prefilling = False

    async def _decode_loop(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due = max(due + self.options.step_s, loop.time())
            await asyncio.sleep(due - loop.time())
            self._step()

    def _step(self) -> None:
        while self._waiting and len(self._running) < self.options.slots:
            sequence = heapq.heappop(self._waiting)[2]
            if not sequence.done:
                self._running.append(sequence)
        for sequence in self._running:
            sequence.tokens.append(next(sequence.token_source))
            self.ledger.decoded_tokens += 1
            if len(sequence.tokens) >= sequence.max_tokens:
                self._finish(sequence)
            else:
                sequence.notify_readers()
        self._running = [sequence for sequence in self._running if not sequence.done]

    def _finish(self, sequence: Sequence) -> None:
        self._end(sequence, "")
        self.memory.held.pop(sequence.request_id, None)
        loop = asyncio.get_running_loop()
        keep_s = self.options.finished_keep_s
        loop.call_later(keep_s, self._drop_finished, sequence)

    def _drop_finished(self, sequence: Sequence) -> None:
        if self.sequences.get(sequence.request_id) is sequence:
            del self.sequences[sequence.request_id]

    def _end(self, sequence: Sequence, failure: str) -> None:
        sequence.done = True
        sequence.failure = failure
        sequence.notify_readers()
        if failure and sequence in self._running:
            self._running.remove(sequence)
