import pytest

from vanillashore_wire import (
    Batch,
    Envelope,
    ErrorCode,
    Frame,
    FrameKind,
    FrameSplitter,
    Refused,
    decode_batch,
    encode_batch,
    encode_frame,
)


def test_batch_round_trip() -> None:
    refused = Refused(ErrorCode.RATE_LIMITED, "over", retry_after_s=1.5)
    batch = Batch("entry-1", 7, (Envelope(3, 0, refused), Envelope(0, 9, refused)))
    assert decode_batch(encode_batch(batch)) == batch


@pytest.mark.parametrize(
    "data", [b"", b"{}", b"[1,2]", b'["a","b",[]]', b'["a",1,[["no_such_kind",1,0,{}]]]']
)
def test_malformed_batch_is_refused(data: bytes) -> None:
    with pytest.raises(ValueError, match="malformed"):
        decode_batch(data)


def test_frames_are_split_at_any_offset() -> None:
    frames = [Frame("r", 1, FrameKind.TOKEN, 0, " a"), Frame("r", 1, FrameKind.END, 1, "", "stop")]
    data = b"".join(encode_frame(frame) for frame in frames)
    for offset in range(len(data)):
        splitter = FrameSplitter()
        assert splitter.feed(data[:offset]) + splitter.feed(data[offset:]) == frames
