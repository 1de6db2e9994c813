"""KV memory of the stand-in engine: held pieces, exported caches and the prefix cache.

A piece is a block of memory for the KV cache of ``piece_tokens`` tokens.
"""

import itertools
from collections import OrderedDict, deque
from collections.abc import Callable

import attrs
import xxhash

from vanillashore_standins._text_generator import CHARS_PER_TOKEN

LOST_EVENT_INTERVAL = 7
MAX_LOGGED_EVENTS = 1_000


@attrs.define
class Export:
    """The KV cache of a finished prefill, kept for import by another engine until it expires."""

    handle: str
    request_id: str
    context: str
    pieces: int
    evicted_at: float


@attrs.frozen
class CacheEvent:
    """A change of the prefix cache.

    Events are published with a delay, and every ``LOST_EVENT_INTERVAL``-th is never published.
    """

    id: int
    visible_at: float
    kind: str
    piece: int


class KvMemory:
    """Tracks the pieces held by each request; ``clock`` returns seconds."""

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
        self._events: deque[CacheEvent] = deque(maxlen=MAX_LOGGED_EVENTS)
        self._event_ids = itertools.count(1)

    @property
    def free_pieces(self) -> int:
        """Number of pieces that no request and no exported cache holds."""
        self.evict_exports()
        exported = sum(export.pieces for export in self.exports.values())
        return self.total_pieces - sum(self.held.values()) - exported

    def pieces_for(self, tokens: int) -> int:
        """Return the number of pieces that ``tokens`` need."""
        return -(-tokens // self.piece_tokens)

    def evict_exports(self) -> None:
        """Drop exported caches that have expired."""
        now = self._clock()
        self.exports = {h: e for h, e in self.exports.items() if e.evicted_at > now}

    def clear(self) -> None:
        """Drop all contents, as a crash does."""
        self.held.clear()
        self.exports.clear()
        self._cache.clear()

    def cache_prompt(self, prompt: str) -> int:
        """Cache all pieces of ``prompt``; return how many leading ones were cached before."""
        hashes = self._piece_hashes(prompt)
        hits = 0
        while hits < len(hashes) and hashes[hits] in self._cache:
            hits += 1
        for piece in hashes:
            self._cache_piece(piece)
        return hits

    def events_after(self, event_id: int) -> list[CacheEvent]:
        """Return the published events after ``event_id``; lost events leave gaps in the ids."""
        now = self._clock()
        return [
            event
            for event in self._events
            if event.id > event_id and event.visible_at <= now and event.id % LOST_EVENT_INTERVAL
        ]

    def _piece_hashes(self, prompt: str) -> list[int]:
        size = self.piece_tokens * CHARS_PER_TOKEN
        digest = xxhash.xxh64()
        hashes = []
        for start in range(0, len(prompt) - size + 1, size):
            digest.update(prompt[start : start + size].encode())
            hashes.append(digest.intdigest())
        return hashes

    def _cache_piece(self, piece: int) -> None:
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
