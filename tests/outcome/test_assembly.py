import pytest

from vanillashore_outcome import Assembly
from vanillashore_wire import Frame, FrameKind


def _token(sequence: int, text: str, attempt: int = 1, request_id: str = "r") -> Frame:
    return Frame(request_id, attempt, FrameKind.TOKEN, sequence, text)


def _assembly() -> Assembly:
    assembly = Assembly("r")
    assembly.begin_attempt(1)
    return assembly


def test_late_foreign_and_repeated_frames_are_dropped_and_counted() -> None:
    assembly = _assembly()
    assembly.accept(_token(0, "a"))
    assembly.begin_attempt(2)
    frames = [
        _token(1, "late", attempt=1),
        _token(1, "foreign", attempt=2, request_id="q"),
        _token(0, "repeated", attempt=2),
        _token(1, "b", attempt=2),
    ]
    assert [assembly.accept(frame) for frame in frames] == ["", "", "", "b"]
    assert assembly.text == "ab"
    counts = assembly.counts
    assert (counts.late, counts.foreign, counts.repeated) == (1, 1, 1)


def test_skipped_position_is_rejected() -> None:
    with pytest.raises(ValueError, match="position 0 is missing"):
        _assembly().accept(_token(1, "b"))


def test_end_with_another_token_count_is_rejected() -> None:
    with pytest.raises(ValueError, match="states 2 tokens"):
        _assembly().accept(Frame("r", 1, FrameKind.END, 2, "", "stop"))
