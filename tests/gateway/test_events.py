"""Splitting of streams into complete events."""

import pytest

from vanillashore_gateway._events import EventSplitter, first_id

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: id: 9\n\nid: 3\r\ndata: c\r\n\r\n"


@pytest.mark.parametrize("size", [1, 2, 3, 5, 7, 100])
def test_events_are_complete_for_any_chunk_size(size: int) -> None:
    splitter = EventSplitter()
    got = [splitter.feed(STREAM[i : i + size]) for i in range(0, len(STREAM), size)]
    assert b"".join(got) == STREAM
    assert (splitter.last_id, splitter.events) == (3, 3)
    assert not splitter.has_partial_event


def test_partial_event_is_dropped_when_the_stream_resumes_elsewhere() -> None:
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    assert splitter.has_partial_event
    splitter.discard_partial_event()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert splitter.last_id == 2


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        (b"id: 7\ndata: a\n\nid: 8\ndata: b\n\n", 7),
        (b"x-weight-versions: 2\nid: 7\ndata: a\n\n", 7),
        (b"data: a\n\nid: 8\ndata: b\n\n", None),
        (b'{"error":"overloaded"}\n\n', None),
    ],
)
def test_first_id_is_that_of_the_first_event(events: bytes, expected: int | None) -> None:
    assert first_id(events) == expected
