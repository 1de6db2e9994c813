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


@attrs.frozen
class Withdrawal:
    """Announces that the configuration of ``revision`` withdraws keys, before it is accepted.

    Keys are named by their hashes. ``apply_id`` tells announcements for one revision apart.
    """

    revision: int
    apply_id: str
    key_hashes: tuple[str, ...]


@message("cfg_ask")
@attrs.frozen
class ConfigRequest:
    """Ask a peer for anything newer than ``revision``, or other withdrawals than are known here.

    The peer answers at once if it has it, otherwise when it gets it or after ``wait_s`` seconds.
    ``withdrawals`` names those that are known.
    """

    revision: int
    wait_s: float = 0.0
    withdrawals: tuple[str, ...] = ()


@attrs.frozen
class ChunkData:
    """A packed chunk; ``base`` names the older chunk that it was packed against, if any."""

    name: str
    data_base64: str
    base: str = ""


@message("cfg_update")
@attrs.frozen
class ConfigUpdate:
    """Answer to a `ConfigRequest`; ``head`` is ``None`` if there is nothing newer.

    ``withdrawals`` were announced for revisions that the peer does not have yet.
    """

    head: ConfigHead | None = None
    chunks: tuple[ChunkData, ...] = ()
    withdrawals: tuple[Withdrawal, ...] = ()


@message("cfg_chunk_ask")
@attrs.frozen
class ConfigChunkRequest:
    """Ask a peer for whole chunks."""

    names: tuple[str, ...]


@message("cfg_chunks")
@attrs.frozen
class ConfigChunks:
    """Answer to a `ConfigChunkRequest`: those of the chunks that the peer holds."""

    chunks: tuple[ChunkData, ...]
