"""JSON codec for typed messages and for the batches that carry them on a link.

A message is an attrs class registered under a short kind::

    @message("ping")
    @attrs.frozen
    class Ping:
        nonce: int

    encode_batch(Batch(revision=3, sender="entry-1", envelopes=(Envelope(1, 0, Ping(7)),)))
"""

from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import orjson
from cattrs.preconf.orjson import make_converter

T = TypeVar("T")

_converter = make_converter(omit_if_default=True)
_kind_of_type: dict[type, str] = {}
_type_of_kind: dict[str, type] = {}


def compact(cls: type[T]) -> type[T]:
    """Register an attrs class to be encoded as an array of field values, without field names."""
    _converter.register_unstructure_hook(cls, _converter.unstructure_attrs_astuple)
    _converter.register_structure_hook(cls, _converter.structure_attrs_fromtuple)
    return cls


def message(kind: str) -> Callable[[type[T]], type[T]]:
    """Register an attrs class as a link message that is identified by ``kind``."""

    def register(cls: type[T]) -> type[T]:
        if _type_of_kind.setdefault(kind, cls) is not cls:
            raise ValueError(
                f"message kind {kind!r} is already registered for {_type_of_kind[kind].__name__}"
            )
        _kind_of_type[cls] = kind
        return cls

    return register


def unstructure(value: object) -> Any:
    """Convert an attrs object to plain JSON types."""
    return _converter.unstructure(value)


def structure(plain: Any, cls: type[T]) -> T:
    """Build ``cls`` from plain JSON types.

    Raises ValueError if the data does not match the class.
    """
    try:
        return _converter.structure(plain, cls)
    except Exception as exc:
        raise ValueError(f"not a valid {cls.__name__}: {exc}") from exc


def encode(value: object) -> bytes:
    """Encode one attrs object as JSON bytes."""
    return orjson.dumps(_converter.unstructure(value))


def decode(data: bytes | str, cls: type[T]) -> T:
    """Decode JSON bytes into ``cls``; raise ValueError if they do not match."""
    try:
        plain = orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        raise ValueError(f"not JSON: {exc}") from exc
    return structure(plain, cls)


@attrs.frozen
class Envelope:
    """One message with the ids that match replies to requests.

    ``id`` is 0 if no reply is expected; ``reply_to`` is 0 if the message is not a reply.
    """

    id: int
    reply_to: int
    body: Any


@attrs.frozen
class Batch:
    """Content of one link frame: messages, the sender's name and its configuration revision.

    ``sender`` is set only in the first frame of a link and empty in all later ones.
    """

    sender: str
    revision: int
    envelopes: tuple[Envelope, ...]


def encode_batch(batch: Batch) -> bytes:
    """Encode a batch as one compact JSON frame; raise KeyError for an unregistered message."""
    rows = [
        [_kind_of_type[type(env.body)], env.id, env.reply_to, _converter.unstructure(env.body)]
        for env in batch.envelopes
    ]
    return orjson.dumps([batch.sender, batch.revision, rows])


def decode_batch(data: bytes | str) -> Batch:
    """Decode a link frame.

    Raises ValueError if the frame is malformed or contains an unknown message kind.
    """
    try:
        sender, revision, rows = orjson.loads(data)
        envelopes = tuple(
            Envelope(id_, reply_to, structure(body, _type_of_kind[kind]))
            for kind, id_, reply_to, body in rows
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise ValueError(f"malformed link frame: {exc}") from exc
    if not isinstance(sender, str) or not isinstance(revision, int):
        raise ValueError("malformed link frame: wrong header types")
    return Batch(sender, revision, envelopes)
