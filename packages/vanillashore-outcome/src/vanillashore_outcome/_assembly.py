"""Assembly of one answer from the frames of one or more attempts."""

import attrs

from vanillashore_wire import Frame, FrameKind

LENGTH_REASON = "length"


@attrs.define
class AssemblyCounts:
    """Numbers of dropped frames.

    ``foreign`` frames belong to another request, ``late`` ones to an earlier attempt, and
    ``repeated`` ones to a position that was already accepted.
    """

    foreign: int = 0
    late: int = 0
    repeated: int = 0


class Assembly:
    """Accepts each token position once, in order, from the current attempt only.

    Example::

        assembly = Assembly("req-1")
        assembly.begin_attempt(1)
        assembly.accept(Frame("req-1", 1, FrameKind.TOKEN, 0, " hello"))  # " hello"
    """

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._attempt = 0
        self._parts: list[str] = []
        self.finish_reason = ""
        self.counts = AssemblyCounts()

    @property
    def attempt(self) -> int:
        """Number of the current attempt; 0 before the first."""
        return self._attempt

    @property
    def next_sequence(self) -> int:
        """Position of the next token, which is the number of tokens accepted so far."""
        return len(self._parts)

    @property
    def text(self) -> str:
        """The answer so far."""
        return "".join(self._parts)

    def tokens_from(self, sequence: int) -> list[str]:
        """Return the accepted tokens from position ``sequence`` on."""
        return self._parts[sequence:]

    @property
    def is_complete(self) -> bool:
        """Whether the answer is complete."""
        return bool(self.finish_reason)

    def begin_attempt(self, attempt: int) -> None:
        """Make ``attempt`` the current one; frames of earlier ones are dropped from now on."""
        self._attempt = attempt

    def finish_if_complete(self, max_tokens: int) -> bool:
        """Finish the answer if all ``max_tokens`` tokens arrived; return whether it is complete.

        Without this, an answer of which only the end frame was lost would need another attempt.
        """
        if not self.is_complete and self.next_sequence >= max_tokens:
            self.finish_reason = LENGTH_REASON
        return self.is_complete

    def accept(self, frame: Frame) -> str:
        """Process a frame and return the text to forward, which may be empty.

        Raises ValueError if a position is missing or the end frame states another token count; the
        attempt must then be abandoned.
        """
        if frame.request_id != self._request_id:
            self.counts.foreign += 1
            return ""
        if frame.attempt != self._attempt:
            self.counts.late += 1
            return ""
        if frame.kind is FrameKind.TOKEN:
            return self._accept_token(frame)
        if frame.kind is FrameKind.END:
            self._accept_end(frame)
        return ""

    def _accept_token(self, frame: Frame) -> str:
        if frame.sequence < self.next_sequence or self.is_complete:
            self.counts.repeated += 1
            return ""
        if frame.sequence > self.next_sequence:
            raise ValueError(f"position {self.next_sequence} is missing")
        self._parts.append(frame.text)
        return frame.text

    def _accept_end(self, frame: Frame) -> None:
        if frame.sequence != self.next_sequence:
            raise ValueError(f"the end states {frame.sequence} tokens, not {self.next_sequence}")
        self.finish_reason = frame.finish_reason
