"""Messages that distribute the configuration between processes."""

import attrs

from vanillashore_wire._codec import message


@attrs.frozen
class EarlierHead:
    """A replaced `ConfigHead`, as listed in its successors."""

    index: str
    apply_id: str


@attrs.frozen
class ConfigHead:
    """The small stored value that identifies the current configuration.

    ``index`` names the chunk that lists all other chunks. ``apply_id`` lets a writer that lost the
    store's response find out whether its write succeeded. ``earlier`` lists the replaced heads,
    newest first.
    """

    revision: int
    index: str
    apply_id: str
    earlier: tuple[EarlierHead, ...] = ()


@attrs.frozen
class Withdrawal:
    """Announces, before ``revision`` is accepted, that its configuration withdraws keys.

    Keys are identified by their hashes. ``apply_id`` distinguishes announcements for the same
    revision.
    """

    revision: int
    apply_id: str
    key_hashes: tuple[str, ...]


@message("cfg_ask")
@attrs.frozen
class ConfigRequest:
    """Ask a peer for its withdrawals and for a configuration newer than ``revision``.

    ``withdrawals`` identifies those that the sender has. The peer answers at once if its own
    differ or its configuration is newer, otherwise when either changes, and at the latest after
    ``wait_s`` seconds.
    """

    revision: int
    wait_s: float = 0.0
    withdrawals: tuple[str, ...] = ()


@attrs.frozen
class ChunkData:
    """A packed chunk; ``base`` names the older chunk used as compression dictionary, if any."""

    name: str
    data_base64: str
    base: str = ""


@message("cfg_update")
@attrs.frozen
class ConfigUpdate:
    """Answer to a `ConfigRequest`; ``head`` is ``None`` if there is no newer configuration.

    ``withdrawals`` are those announced for revisions that the answering process does not have yet.
    """

    head: ConfigHead | None = None
    chunks: tuple[ChunkData, ...] = ()
    withdrawals: tuple[Withdrawal, ...] = ()


@message("cfg_chunk_ask")
@attrs.frozen
class ConfigChunkRequest:
    """Ask a peer for complete chunks."""

    names: tuple[str, ...]


@message("cfg_chunks")
@attrs.frozen
class ConfigChunks:
    """Answer to a `ConfigChunkRequest`: those of the named chunks that the peer has."""

    chunks: tuple[ChunkData, ...]
