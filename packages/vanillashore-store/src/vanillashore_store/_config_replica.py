"""One process's copy of the configuration: plain state that is fed with updates."""

import base64
from collections import OrderedDict
from collections.abc import Mapping

from vanillashore_schema import Configuration
from vanillashore_store._config_chunks import (
    check_chunk,
    join,
    names_of_index,
    pack,
    read_part,
    slot_of,
    unpack,
)
from vanillashore_store._config_store import ConfigSnapshot
from vanillashore_wire import ChunkData, ConfigHead, ConfigUpdate

OLD_CHUNKS_KEPT = 64
OLD_HEADS_KEPT = 32


class ConfigReplica:
    """Holds the newest configuration that this process has seen; its revision only rises.

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
        """Keep chunks for the next `install`; raise VanillashoreError if one is damaged."""
        for name, data in chunks.items():
            check_chunk(name, data)
            self._staged[name] = data

    def missing(self, head: ConfigHead) -> tuple[str, ...]:
        """Return the chunks of ``head`` that are neither held nor staged."""
        index = self._find(head.index)
        if index is None:
            return (head.index,)
        return tuple(name for name in names_of_index(index) if self._find(name) is None)

    def install(self, head: ConfigHead) -> ConfigSnapshot | None:
        """Make a complete ``head`` the copy; return ``None`` if it is not newer."""
        if not self.is_newer(head):
            return None
        index = self._find(head.index)
        names = names_of_index(index)
        chunks = {name: self._find(name) for name in names}
        parts = {name: self._parts.get(name) or read_part(chunks[name]) for name in names}
        self._keep_old(chunks)
        self._chunks = {**chunks, head.index: index}
        self._parts = parts
        self._staged = {}
        self.head = head
        return ConfigSnapshot(head.revision, join(parts.values()))

    def update_since(self, revision: int) -> ConfigUpdate:
        """Return what a peer at ``revision`` lacks, or no head if it is not behind."""
        if self.head is None or revision >= self.revision:
            return ConfigUpdate()
        old_head = self._old_heads.get(revision)
        old_index = self._find(old_head.index) if old_head else None
        if old_index is None:
            return ConfigUpdate(self.head)
        old_names = set(names_of_index(old_index))
        bases = {slot_of(name): name for name in (*old_names, old_head.index)}
        news = [name for name in self._chunks if name not in old_names]
        return ConfigUpdate(self.head, tuple(self._patch(name, bases) for name in news))

    def chunks_for(self, names: tuple[str, ...]) -> tuple[ChunkData, ...]:
        """Return those of the named chunks that are held here, whole."""
        found = ((name, self._find(name)) for name in names)
        return tuple(_chunk_data(name, data) for name, data in found if data is not None)

    def stage_update(self, update: ConfigUpdate) -> tuple[str, ...]:
        """Stage an update's chunks; return the names of those that are still missing.

        Raises VanillashoreError or ValueError if a chunk is damaged.
        """
        for chunk in update.chunks:
            self.stage_chunk(chunk)
        return self.missing(update.head) if update.head else ()

    def stage_chunk(self, chunk: ChunkData) -> None:
        """Stage one chunk of a peer, unless it builds on one that is not held here."""
        base = self._find(chunk.base) if chunk.base else b""
        if base is not None:
            self.stage({chunk.name: unpack(base64.b64decode(chunk.data_base64), base)})

    def _find(self, name: str) -> bytes | None:
        for source in (self._chunks, self._staged, self._old_chunks):
            if name in source:
                return source[name]
        return None

    def _patch(self, name: str, bases: dict[str, str]) -> ChunkData:
        base_name = bases.get(slot_of(name), "")
        base = self._find(base_name) if base_name else None
        if base is None:
            return _chunk_data(name, self._chunks[name])
        data = base64.b64encode(pack(self._chunks[name], base)).decode()
        return ChunkData(name, data, base_name)

    def _keep_old(self, chunks: Mapping[str, bytes]) -> None:
        if self.head is None:
            return
        self._old_heads[self.revision] = self.head
        for name, data in self._chunks.items():
            if name not in chunks:
                self._old_chunks[name] = data
        while len(self._old_chunks) > OLD_CHUNKS_KEPT:
            self._old_chunks.popitem(last=False)
        while len(self._old_heads) > OLD_HEADS_KEPT:
            self._old_heads.popitem(last=False)


def _chunk_data(name: str, data: bytes) -> ChunkData:
    return ChunkData(name, base64.b64encode(pack(data)).decode())
