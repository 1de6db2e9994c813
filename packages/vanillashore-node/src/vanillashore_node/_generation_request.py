"""A validated request for a generated answer, as passed between the parts of an entry."""

import hashlib
import time
from functools import cached_property

import attrs

from vanillashore_schema import ModelConfig
from vanillashore_wire import Sampling


@attrs.frozen
class GenerationRequest:
    """A caller's validated request; ``deadline`` is in seconds of the monotonic clock."""

    request_id: str
    workspace: str
    model: ModelConfig
    prompt: str
    prompt_tokens: int
    max_tokens: int
    sampling: Sampling
    deadline: float

    @cached_property
    def fingerprint(self) -> str:
        """Hash of the content; a request that is sent again has the same fingerprint."""
        content = (self.workspace, self.model.name, self.prompt, self.max_tokens, self.sampling)
        return hashlib.sha256(repr(content).encode()).hexdigest()

    @property
    def time_left_s(self) -> float:
        """Seconds until the deadline."""
        return max(0.0, self.deadline - time.monotonic())
