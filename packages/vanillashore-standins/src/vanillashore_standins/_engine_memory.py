"""KV memory of the stand-in engine: held pieces, exported caches and the prefix cache."""

import itertools
from collections import OrderedDict, deque
from collections.abc import Callable

import attrs
import xxhash

from vanillashore_standins._text_generator import CHARS_PER_TOKEN

EVENT_GAP_EVERY = 7
EVENT_LOG_SIZE = 1_000


@attrs.define
class Export:
    """A finished prefill's cache that waits to be imported elsewhere."""

    handle: str
    request_id: str
    context: str
    pieces: int
    evicted_at: float


@attrs.frozen
class CacheEvent:
    """A change of the prefix cache; published late, and one in a few is never published."""

    id: int
    visible_at: float
    kind: str
    piece: int


class KvMemory:
    """Accounts for pieces by the request that holds them; ``clock`` gives seconds."""

    def __init__(
        self,
        total_pieces: int,
        piece_tokens: int,
        cache_pieces: int,
        event_lag_s: float,
        clock: Callable[[], float],
    ) -> None:
        self.total_pieces = total_pieces
        self.piece_tokens = piece_tokens
        self.held: dict[str, int] = {}
        self.exports: dict[str, Export] = {}
        self._cache_pieces = cache_pieces
        self._event_lag_s = event_lag_s
        self._clock = clock
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=EVENT_LOG_SIZE)
        self._event_ids = itertools.count(1)

    @property
    def free_pieces(self) -> int:
        """Pieces that nothing holds now."""
        self.evict_exports()
        exported = sum(export.pieces for export in self.exports.values())
        return self.total_pieces - sum(self.held.values()) - exported

    def pieces_for(self, tokens: int) -> int:
        """Return how many pieces ``tokens`` need."""
        return -(-tokens // self.piece_tokens)

    def evict_exports(self) -> None:
        """Drop exported caches whose time is over."""
        now = self._clock()
        self.exports = {h: e for h, e in self.exports.items() if e.evicted_at > now}

    def clear(self) -> None:
        """Lose everything, as in a crash."""
        self.held.clear()
        self.exports.clear()
        self._cache.clear()

    def take_cached(self, prompt: str) -> int:
        """Return how many leading pieces of ``prompt`` were cached, and cache all of them."""
        hashes = self._piece_hashes(prompt)
        hits = 0
        while hits < len(hashes) and hashes[hits] in self._cache:
            hits += 1
        for piece in hashes:
            self._remember(piece)
        return hits

    def events_after(self, event_id: int) -> list[CacheEvent]:
        """Return the events after ``event_id`` that are visible by now, with gaps."""
        now = self._clock()
        return [
            event
            for event in self._events
            if event.id > event_id and event.visible_at <= now and event.id % EVENT_GAP_EVERY
        ]

    def _piece_hashes(self, prompt: str) -> list[int]:
        size = self.piece_tokens * CHARS_PER_TOKEN
        digest = xxhash.xxh64()
        hashes = []
        for start in range(0, len(prompt) - size + 1, size):
            digest.update(prompt[start : start + size].encode())
            hashes.append(digest.intdigest())
        return hashes

    def _remember(self, piece: int) -> None:
        if piece not in self._cache:
            self._log_event("stored", piece)
        self._cache[piece] = None
        self._cache.move_to_end(piece)
        if len(self._cache) > self._cache_pieces:
            evicted, _ = self._cache.popitem(last=False)
            self._log_event("evicted", evicted)

    def _log_event(self, kind: str, piece: int) -> None:
        visible_at = self._clock() + self._event_lag_s
        self._events.append(CacheEvent(next(self._event_ids), visible_at, kind, piece))
