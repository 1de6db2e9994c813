"""Messages by which processes hand the configuration on to each other."""

import attrs

from vanillashore_wire._codec import message


@attrs.frozen
class EarlierHead:
    """What is remembered of a head that was replaced."""

    index: str
    apply_id: str


@attrs.frozen
class ConfigHead:
    """The small value that makes a configuration current.

    ``index`` names the chunk that lists all others. ``apply_id`` lets a writer whose answer was
    lost find out whether its write won; ``earlier`` holds the heads before, newest first.
    """

    revision: int
    index: str
    apply_id: str
    earlier: tuple[EarlierHead, ...] = ()


@message("cfg_ask")
@attrs.frozen
class ConfigAsk:
    """Ask a peer for anything newer than ``revision``.

    The peer answers at once if it has it, otherwise when it gets it or after ``wait_s`` seconds.
    """

    revision: int
    wait_s: float = 0.0


@attrs.frozen
class ChunkData:
    """A packed chunk; ``base`` names the older chunk that it was packed against, if any."""

    name: str
    data_base64: str
    base: str = ""


@message("cfg_update")
@attrs.frozen
class ConfigUpdate:
    """Answer to a `ConfigAsk`; ``head`` is ``None`` if there is nothing newer."""

    head: ConfigHead | None = None
    chunks: tuple[ChunkData, ...] = ()


@message("cfg_chunk_ask")
@attrs.frozen
class ConfigChunkAsk:
    """Ask a peer for whole chunks."""

    names: tuple[str, ...]


@message("cfg_chunks")
@attrs.frozen
class ConfigChunks:
    """Answer to a `ConfigChunkAsk`: those of the chunks that the peer holds."""

    chunks: tuple[ChunkData, ...]
