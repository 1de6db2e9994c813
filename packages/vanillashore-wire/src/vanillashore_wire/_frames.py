"""Compact codec for decode stream frames: one JSON array per line."""

from typing import Any

import orjson

from vanillashore_wire._codec import structure, unstructure
from vanillashore_wire._errors import Refused
from vanillashore_wire._messages import Frame, FrameKind

_KIND_OF_VALUE = {kind.value: kind for kind in FrameKind}


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as one line, including the newline."""
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
    """Decode one line; raise ValueError if it is not exactly one frame."""
    frames = _decode_lines(line)
    if len(frames) != 1:
        raise ValueError(f"expected one frame, got {len(frames)}")
    return frames[0]


class FrameSplitter:
    r"""Splits a byte stream into frames as data arrives.

    Example::

        splitter = FrameSplitter()
        splitter.feed(b'["r",1,"t",0,"a","",nu')  # []
        splitter.feed(b"ll]\n")  # [Frame(...)]
    """

    def __init__(self) -> None:
        self._incomplete_line = b""

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that ``data`` completes; raise ValueError if one is malformed."""
        lines, newline, self._incomplete_line = (self._incomplete_line + data).rpartition(b"\n")
        return _decode_lines(lines) if newline else []


def _decode_lines(lines: bytes) -> list[Frame]:
    """Decode all lines in one parse; JSON strings escape newlines, so each newline ends a frame."""
    try:
        rows = orjson.loads(b"[" + lines.replace(b"\n", b",") + b"]")
        return [_build_frame(*row) for row in rows]
    except (KeyError, TypeError, ValueError) as exc:
        raise ValueError(f"malformed frame: {exc}") from exc


def _build_frame(
    request_id: str,
    attempt: int,
    kind: str,
    sequence: int,
    text: str,
    finish_reason: str,
    refused: Any,
) -> Frame:
    cause = structure(refused, Refused) if refused else None
    return Frame(request_id, attempt, _KIND_OF_VALUE[kind], sequence, text, finish_reason, cause)
