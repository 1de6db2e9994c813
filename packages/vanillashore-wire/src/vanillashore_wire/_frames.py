"""Compact codec of decode stream frames, one JSON array a line."""

import orjson

from vanillashore_wire._codec import structure, unstructure
from vanillashore_wire._errors import Refused
from vanillashore_wire._messages import Frame, FrameKind


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as one line, its newline included."""
    refused = unstructure(frame.refused) if frame.refused else None
    row = [
        frame.request_id,
        frame.attempt,
        frame.kind.value,
        frame.sequence,
        frame.text,
        frame.finish_reason,
        refused,
    ]
    return orjson.dumps(row) + b"\n"


def decode_frame(line: bytes) -> Frame:
    """Decode one line; raise ValueError if it is not a frame."""
    try:
        request_id, attempt, kind, sequence, text, finish_reason, refused = orjson.loads(line)
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed frame: {exc}") from exc
    return Frame(
        request_id,
        attempt,
        FrameKind(kind),
        sequence,
        text,
        finish_reason,
        structure(refused, Refused) if refused else None,
    )


class FrameSplitter:
    r"""Cuts a byte stream into frames as its pieces arrive.

    Example::

        splitter = FrameSplitter()
        splitter.feed(b'["r",1,"t",0,"a","",nu')  # []
        splitter.feed(b"ll]\n")  # [Frame(...)]
    """

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that ``data`` completes; raise ValueError on a damaged one."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        return [decode_frame(line) for line in lines]
