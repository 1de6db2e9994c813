"""Cutting a configuration into chunks named by their content, and putting it together again.

Workspaces are spread over a number of chunks by a hash of their name, so that a change to one of
them rewrites one chunk. Every other table has a chunk of its own. An index chunk lists the names.
"""

import hashlib
import zlib
from collections import defaultdict
from collections.abc import Iterable

import attrs

from vanillashore_schema import Configuration, WorkspaceConfig
from vanillashore_wire import ErrorCode, VanillashoreError, decode, encode

CHUNK_HASH_HEX_CHARS = 32
FEWEST_WORKSPACES_PER_CHUNK = 24
USUAL_WORKSPACES_PER_CHUNK = 64
MOST_WORKSPACES_PER_CHUNK = 128
INDEX_SLOT = "index"
WORKSPACE_SLOT = "workspace"
OTHER_TABLES = ("model", "service", "route", "endpoint", "quarantine")


@attrs.frozen
class ChunkSet:
    """A configuration as chunks: their bytes by name, and the name of the index."""

    index: str
    chunks: dict[str, bytes]


def chunk_name(slot: str, data: bytes) -> str:
    """Return the name of a chunk: its slot and the hash of its content."""
    return f"{slot}-{hashlib.sha256(data).hexdigest()[:CHUNK_HASH_HEX_CHARS]}"


def slot_of(name: str) -> str:
    """Return the slot part of a chunk's name."""
    return name.rpartition("-")[0]


def check_chunk(name: str, data: bytes) -> None:
    """Raise VanillashoreError unless ``data`` is what ``name`` stands for."""
    if chunk_name(slot_of(name), data) != name:
        raise VanillashoreError(ErrorCode.CONFIG_INVALID, f"chunk {name} is damaged")


def pack(data: bytes, base: bytes = b"") -> bytes:
    """Compress a chunk; against ``base``, an older chunk of its slot, little more than the change.

    Example::

        unpack(pack(new, old), old) == new
    """
    packer = zlib.compressobj(level=9, zdict=base) if base else zlib.compressobj(level=9)
    return packer.compress(data) + packer.flush()


def unpack(data: bytes, base: bytes = b"") -> bytes:
    """Undo `pack`; raise ValueError if the data is damaged."""
    try:
        unpacker = zlib.decompressobj(zdict=base) if base else zlib.decompressobj()
        return unpacker.decompress(data) + unpacker.flush()
    except zlib.error as exc:
        raise ValueError(f"damaged chunk: {exc}") from exc


def split(config: Configuration, workspace_chunks: int) -> ChunkSet:
    """Cut ``config`` into chunks, its workspaces into at most ``workspace_chunks``."""
    chunks: dict[str, bytes] = {}
    for number, workspaces in _spread(config.workspace, workspace_chunks).items():
        part = Configuration(workspace=tuple(sorted(workspaces, key=lambda w: w.name)))
        _add(chunks, f"{WORKSPACE_SLOT}-{workspace_chunks}-{number}", encode(part))
    for table in OTHER_TABLES:
        rows = getattr(config, table)
        if rows:
            _add(chunks, table, encode(Configuration(**{table: rows})))
    index = "\n".join(sorted(chunks)).encode()
    return ChunkSet(_add(chunks, INDEX_SLOT, index), chunks)


def names_of_index(data: bytes) -> tuple[str, ...]:
    """Return the chunks that an index lists."""
    return tuple(data.decode().split("\n")) if data else ()


def read_part(data: bytes) -> Configuration:
    """Decode one chunk; raise VanillashoreError if it is no part of a configuration."""
    try:
        return decode(data, Configuration)
    except ValueError as exc:
        raise VanillashoreError(ErrorCode.CONFIG_INVALID, str(exc)) from exc


def join(parts: Iterable[Configuration]) -> Configuration:
    """Put the parts of a configuration together."""
    rows: dict[str, list[object]] = defaultdict(list)
    for part in parts:
        for table in (WORKSPACE_SLOT, *OTHER_TABLES):
            rows[table].extend(getattr(part, table))
    return Configuration(**{table: tuple(found) for table, found in rows.items()})


def workspace_chunk_count(workspaces: int, current: int) -> int:
    """Return into how many chunks to spread workspaces; ``current`` is kept while it fits."""
    if current and _fits(workspaces / current, current):
        return current
    count = 1
    while workspaces > count * USUAL_WORKSPACES_PER_CHUNK:
        count *= 2
    return count


def current_chunk_count(names: Iterable[str]) -> int:
    """Return into how many chunks the workspaces of an index are spread, or 0."""
    for name in names:
        if name.startswith(WORKSPACE_SLOT + "-"):
            return int(name.split("-")[1])
    return 0


def _fits(mean: float, current: int) -> bool:
    return (mean >= FEWEST_WORKSPACES_PER_CHUNK or current == 1) and (
        mean <= MOST_WORKSPACES_PER_CHUNK
    )


def _spread(workspaces: Iterable[WorkspaceConfig], count: int) -> dict[int, list[WorkspaceConfig]]:
    spread: dict[int, list[WorkspaceConfig]] = defaultdict(list)
    for workspace in workspaces:
        digest = hashlib.sha256(workspace.name.encode()).digest()
        spread[int.from_bytes(digest[:8]) % count].append(workspace)
    return spread


def _add(chunks: dict[str, bytes], slot: str, data: bytes) -> str:
    name = chunk_name(slot, data)
    chunks[name] = data
    return name
