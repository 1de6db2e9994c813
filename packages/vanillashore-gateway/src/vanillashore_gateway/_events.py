"""Splits a server-sent event stream into complete events."""

import re

import attrs

MAX_EVENT_BYTES = 1_048_576  # Far more than some tokens of text take.

_ID_LINE = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
_END = re.compile(rb"\r?\n\r?\n")


def first_id(events: bytes) -> int | None:
    """Return the id of the first of some complete events, ``None`` if it has none."""
    first = _END.split(events, maxsplit=1)[0]
    found = _ID_LINE.findall(first)
    return int(found[-1]) if found else None


class OversizedEventError(ValueError):
    """An event does not end within `MAX_EVENT_BYTES`."""


@attrs.define
class EventSplitter:
    r"""Splits a stream into complete events and keeps the id of the last one.

    Example::

        splitter = EventSplitter()
        data = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")  # the first event
        splitter.last_id  # 1
    """

    last_id: int | None = None
    events: int = 0
    _rest: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the bytes of all events that are now complete.

        Raises OversizedEventError.
        """
        buffer = self._rest + data
        end = 0
        for match in _END.finditer(buffer):
            end = match.end()
            self.events += 1
        complete, self._rest = buffer[:end], buffer[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            self._rest = b""
            raise OversizedEventError(f"an event has more than {MAX_EVENT_BYTES} bytes")
        ids = _ID_LINE.findall(complete)
        if ids:
            self.last_id = int(ids[-1])
        return complete

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes so far end inside an event."""
        return bool(self._rest)

    def discard_partial_event(self) -> None:
        """Drop a partial event before the stream resumes elsewhere after the last complete one."""
        self._rest = b""
