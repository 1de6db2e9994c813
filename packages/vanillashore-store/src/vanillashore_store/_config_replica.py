"""One process's copy of the configuration, without I/O: the caller passes in updates."""

import base64
from collections import OrderedDict
from collections.abc import Mapping

from vanillashore_schema import Configuration
from vanillashore_store._config_chunks import (
    check_chunk,
    chunk_slot,
    decode_chunk,
    join,
    pack,
    parse_index,
    unpack,
)
from vanillashore_store._config_store import ConfigSnapshot
from vanillashore_wire import ChunkData, ConfigHead, ConfigUpdate

MAX_OLD_CHUNKS = 64
MAX_OLD_HEADS = 32


class ConfigReplica:
    """Holds the newest configuration that this process has received; its revision never decreases.

    Example::

        update = relay.update_since(mine.revision)
        missing = mine.stage_update(update)
        if not missing:
            snapshot = mine.install(update.head)
    """

    def __init__(self) -> None:
        self.head: ConfigHead | None = None
        self._chunks: dict[str, bytes] = {}
        self._parts: dict[str, Configuration] = {}
        self._old_chunks: OrderedDict[str, bytes] = OrderedDict()
        self._old_heads: OrderedDict[int, ConfigHead] = OrderedDict()
        self._staged: dict[str, bytes] = {}

    @property
    def revision(self) -> int:
        """Revision of the copy; 0 if there is none."""
        return self.head.revision if self.head else 0

    def is_newer(self, head: ConfigHead) -> bool:
        """Whether ``head`` is newer than the copy."""
        return head.revision > self.revision

    def stage(self, chunks: Mapping[str, bytes]) -> None:
        """Hold chunks for the next `install`; raise VanillashoreError if one is damaged."""
        for name, data in chunks.items():
            check_chunk(name, data)
            self._staged[name] = data

    def missing(self, head: ConfigHead) -> tuple[str, ...]:
        """Return the names of the chunks of ``head`` that are neither held nor staged."""
        index = self._find(head.index)
        if index is None:
            return (head.index,)
        return tuple(name for name in parse_index(index) if self._find(name) is None)

    def install(self, head: ConfigHead) -> ConfigSnapshot | None:
        """Install ``head``; return ``None`` if it is not newer.

        All its chunks must be held or staged.
        """
        if not self.is_newer(head):
            return None
        index = self._find(head.index)
        names = parse_index(index)
        chunks = {name: self._find(name) for name in names}
        parts = {name: self._parts.get(name) or decode_chunk(chunks[name]) for name in names}
        self._archive(chunks)
        self._chunks = {**chunks, head.index: index}
        self._parts = parts
        self._staged = {}
        self.head = head
        return ConfigSnapshot(head.revision, join(parts.values()))

    def update_since(self, revision: int) -> ConfigUpdate:
        """Return the head and the changed chunks for a peer at ``revision``.

        The update is empty if the peer is up to date, and has no chunks if ``revision`` is too old
        to tell which ones changed.
        """
        if self.head is None or revision >= self.revision:
            return ConfigUpdate()
        old_head = self._old_heads.get(revision)
        old_index = self._find(old_head.index) if old_head else None
        if old_index is None:
            return ConfigUpdate(self.head)
        old_names = set(parse_index(old_index))
        bases = {chunk_slot(name): name for name in (*old_names, old_head.index)}
        changed = [name for name in self._chunks if name not in old_names]
        return ConfigUpdate(self.head, tuple(self._delta_chunk(name, bases) for name in changed))

    def chunks_for(self, names: tuple[str, ...]) -> tuple[ChunkData, ...]:
        """Return the named chunks that are held here, complete rather than as deltas."""
        found = ((name, self._find(name)) for name in names)
        return tuple(_chunk_data(name, data) for name, data in found if data is not None)

    def stage_update(self, update: ConfigUpdate) -> tuple[str, ...]:
        """Stage the chunks of an update; return the names of those that are still missing.

        Raises VanillashoreError or ValueError if a chunk is damaged.
        """
        for chunk in update.chunks:
            self.stage_chunk(chunk)
        return self.missing(update.head) if update.head else ()

    def stage_chunk(self, chunk: ChunkData) -> None:
        """Stage a chunk from a peer, unless it is a delta to a chunk that is not held here."""
        base = self._find(chunk.base) if chunk.base else b""
        if base is not None:
            self.stage({chunk.name: unpack(base64.b64decode(chunk.data_base64), base)})

    def _find(self, name: str) -> bytes | None:
        for source in (self._chunks, self._staged, self._old_chunks):
            if name in source:
                return source[name]
        return None

    def _delta_chunk(self, name: str, bases: dict[str, str]) -> ChunkData:
        base_name = bases.get(chunk_slot(name), "")
        base = self._find(base_name) if base_name else None
        if base is None:
            return _chunk_data(name, self._chunks[name])
        data = base64.b64encode(pack(self._chunks[name], base)).decode()
        return ChunkData(name, data, base_name)

    def _archive(self, chunks: Mapping[str, bytes]) -> None:
        if self.head is None:
            return
        self._old_heads[self.revision] = self.head
        for name, data in self._chunks.items():
            if name not in chunks:
                self._old_chunks[name] = data
        while len(self._old_chunks) > MAX_OLD_CHUNKS:
            self._old_chunks.popitem(last=False)
        while len(self._old_heads) > MAX_OLD_HEADS:
            self._old_heads.popitem(last=False)


def _chunk_data(name: str, data: bytes) -> ChunkData:
    return ChunkData(name, base64.b64encode(pack(data)).decode())
