"""Events of a stream, whole ones only."""

import re

import attrs

_ID_LINE = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
_END = re.compile(rb"\r?\n\r?\n")


@attrs.define
class EventSplitter:
    r"""Splits a stream into whole events and remembers the id of the last one.

    Example::

        splitter = EventSplitter()
        data = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")  # the first event
        splitter.last_id  # 1
    """

    last_id: int | None = None
    events: int = 0
    _rest: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are whole now."""
        buffer = self._rest + data
        end = 0
        for match in _END.finditer(buffer):
            end = match.end()
            self.events += 1
        whole, self._rest = buffer[:end], buffer[end:]
        ids = _ID_LINE.findall(whole)
        if ids:
            self.last_id = int(ids[-1])
        return whole

    @property
    def has_partial_event(self) -> bool:
        """Whether the stream has stopped inside an event."""
        return bool(self._rest)

    def begin_again(self) -> None:
        """Drop a partial event: the stream goes on elsewhere after the last whole one."""
        self._rest = b""
