"""Splitting a configuration into content-addressed chunks, and joining them again.

Workspaces are distributed over a number of chunks by a hash of their name, so that a change to one
workspace rewrites one chunk. Every other table has a chunk of its own. An index chunk lists the
names of all other chunks.
"""

import hashlib
import zlib
from collections import defaultdict
from collections.abc import Iterable

import attrs

from vanillashore_schema import Configuration, WorkspaceConfig
from vanillashore_wire import ErrorCode, VanillashoreError, decode, encode

CHUNK_HASH_HEX_CHARS = 32
MIN_WORKSPACES_PER_CHUNK = 24
TARGET_WORKSPACES_PER_CHUNK = 64
MAX_WORKSPACES_PER_CHUNK = 128
INDEX_SLOT = "index"
WORKSPACE_SLOT = "workspace"
OTHER_TABLES = ("model", "service", "route", "endpoint", "quarantine")


@attrs.frozen
class ChunkSet:
    """A configuration as chunks: their bytes by name, and the name of the index chunk."""

    index: str
    chunks: dict[str, bytes]


def chunk_name(slot: str, data: bytes) -> str:
    """Return the name of a chunk: its slot and the hash of its content."""
    return f"{slot}-{hashlib.sha256(data).hexdigest()[:CHUNK_HASH_HEX_CHARS]}"


def chunk_slot(name: str) -> str:
    """Return the slot part of a chunk's name."""
    return name.rpartition("-")[0]


def check_chunk(name: str, data: bytes) -> None:
    """Raise VanillashoreError if the hash in ``name`` is not that of ``data``."""
    if chunk_name(chunk_slot(name), data) != name:
        raise VanillashoreError(ErrorCode.CONFIG_INVALID, f"chunk {name} is damaged")


def pack(data: bytes, base: bytes = b"") -> bytes:
    """Compress a chunk, with ``base`` as the dictionary if it is given.

    With an older chunk of the same slot as ``base``, the result is little larger than the change.

    Example::

        unpack(pack(new, old), old) == new
    """
    compressor = zlib.compressobj(level=9, zdict=base) if base else zlib.compressobj(level=9)
    return compressor.compress(data) + compressor.flush()


def unpack(data: bytes, base: bytes = b"") -> bytes:
    """Decompress data of `pack`; raise ValueError if it is damaged."""
    try:
        decompressor = zlib.decompressobj(zdict=base) if base else zlib.decompressobj()
        return decompressor.decompress(data) + decompressor.flush()
    except zlib.error as exc:
        raise ValueError(f"damaged chunk: {exc}") from exc


def split(config: Configuration, workspace_chunks: int) -> ChunkSet:
    """Split ``config`` into chunks, its workspaces into at most ``workspace_chunks``."""
    chunks: dict[str, bytes] = {}
    for number, workspaces in _group_by_hash(config.workspace, workspace_chunks).items():
        part = Configuration(workspace=tuple(sorted(workspaces, key=lambda w: w.name)))
        _add_chunk(chunks, f"{WORKSPACE_SLOT}-{workspace_chunks}-{number}", encode(part))
    for table in OTHER_TABLES:
        rows = getattr(config, table)
        if rows:
            _add_chunk(chunks, table, encode(Configuration(**{table: rows})))
    index = "\n".join(sorted(chunks)).encode()
    return ChunkSet(_add_chunk(chunks, INDEX_SLOT, index), chunks)


def parse_index(data: bytes) -> tuple[str, ...]:
    """Return the names of the chunks that an index lists."""
    return tuple(data.decode().split("\n")) if data else ()


def decode_chunk(data: bytes) -> Configuration:
    """Decode one chunk; raise VanillashoreError if it is not part of a configuration."""
    try:
        return decode(data, Configuration)
    except ValueError as exc:
        raise VanillashoreError(ErrorCode.CONFIG_INVALID, str(exc)) from exc


def join(parts: Iterable[Configuration]) -> Configuration:
    """Join the parts of a configuration."""
    rows: dict[str, list[object]] = defaultdict(list)
    for part in parts:
        for table in (WORKSPACE_SLOT, *OTHER_TABLES):
            rows[table].extend(getattr(part, table))
    return Configuration(**{table: tuple(found) for table, found in rows.items()})


def workspace_chunk_count(workspaces: int, current: int) -> int:
    """Return the number of workspace chunks to use.

    ``current`` is kept while the mean number of workspaces per chunk is within the limits.
    """
    if current and _is_size_allowed(workspaces / current, current):
        return current
    count = 1
    while workspaces > count * TARGET_WORKSPACES_PER_CHUNK:
        count *= 2
    return count


def current_chunk_count(names: Iterable[str]) -> int:
    """Return the ``workspace_chunks`` of the split that made ``names``; 0 without workspaces."""
    for name in names:
        if name.startswith(WORKSPACE_SLOT + "-"):
            return int(name.split("-")[1])
    return 0


def _is_size_allowed(mean_workspaces: float, current: int) -> bool:
    return (mean_workspaces >= MIN_WORKSPACES_PER_CHUNK or current == 1) and (
        mean_workspaces <= MAX_WORKSPACES_PER_CHUNK
    )


def _group_by_hash(
    workspaces: Iterable[WorkspaceConfig], count: int
) -> dict[int, list[WorkspaceConfig]]:
    groups: dict[int, list[WorkspaceConfig]] = defaultdict(list)
    for workspace in workspaces:
        digest = hashlib.sha256(workspace.name.encode()).digest()
        groups[int.from_bytes(digest[:8]) % count].append(workspace)
    return groups


def _add_chunk(chunks: dict[str, bytes], slot: str, data: bytes) -> str:
    name = chunk_name(slot, data)
    chunks[name] = data
    return name
