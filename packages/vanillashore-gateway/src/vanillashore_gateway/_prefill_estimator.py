"""Where a prompt is read: at which prefill engine, or at the decode engine itself.

Answers bursts in which prompts come nearly as fast as the prefill engines read them. A decode
engine reads a prompt at about half the speed, between the tokens of its streams, but at once. So a
prompt goes to the prefill engine that would end first, unless the target would be missed there and
the decode engine can still meet it.
"""

import itertools
import random
from collections import defaultdict
from collections.abc import Collection, Sequence

import attrs

from vanillashore_gateway._domain import Endpoint, Load

FIRST_PREFILL_S = 50e-6  # For a token, until an engine has read a prompt: a usual accelerator.
LEAST_PREFILL_S = 1e-6  # For a token; faster than any accelerator.
FIRST_DECODE_S = 90e-6  # For a token, until one was read so: half of that, beside nine streams.
RATE_DRIFT = 1.02  # Of the best time for a token that was seen; slower answers had to wait.
SMOOTHING = 0.1  # Of the newest time at a decode engine, which varies with what else it reads.
USUAL_TOKENS = 3_000  # Of a prompt, until some were read.
FAILED_S = 1.0  # An engine that failed is tried again after that; a crash lasts some seconds.
LOST_S = 1.0  # Far more than the way of a message between entries.
FAR_S = 0.04  # For another data centre than the decode engine's: a cache there costs up to thrice.
AFTER_READING_S = 0.1  # From a prompt that was read to its first event at the caller.
TIMEOUT_SHARE = (
    0.6  # Of the target, for a prefill which no reading at a decode engine could replace.
)


@attrs.frozen
class Prompt:
    """A prompt to read; its first event should reach the caller within ``left_s``.

    The decode engine, which would read it in ``decode_s``, is in ``data_centre``.
    """

    tokens: int
    target_s: float
    left_s: float
    decode_s: float
    data_centre: str


@attrs.frozen
class PrefillSend:
    """A prompt that is sent to a prefill engine; ``expected_s`` is when it should be read."""

    endpoint: Endpoint
    tokens: int
    sent_at: float
    expected_s: float
    timeout_s: float

    def is_lost(self, now: float) -> bool:
        """Whether its end should have been told long ago: the entry that sent it is gone."""
        return now - self.sent_at > self.timeout_s + LOST_S


@attrs.define
class _Engine:
    """What is known of a prefill engine, which should have read all by ``free_at``."""

    rate_s: float = FIRST_PREFILL_S
    free_at: float = 0.0
    sends: dict[int, PrefillSend] = attrs.field(factory=dict)

    def add(self, number: int, send: PrefillSend) -> None:
        """Take in a prompt that is sent."""
        self.sends[number] = send
        self.free_at = max(self.free_at, send.sent_at) + send.tokens * self.rate_s

    def remove(self, number: int, now: float, least_s: float) -> None:
        """Take in a prompt that has ended; those left take as long, or ``least_s`` if longer."""
        self.sends.pop(number, None)
        for lost in [n for n, send in self.sends.items() if send.is_lost(now)]:
            del self.sends[lost]
        left_s = sum(send.tokens for send in self.sends.values()) * self.rate_s
        self.free_at = now + max(left_s, least_s)

    def wait_s(self, now: float) -> float:
        """Return how long a new prompt would wait."""
        return max(0.0, self.free_at - now)


class PrefillEstimator:
    """Times that prompts take; time is passed in.

    Example::

        prompt = Prompt(3_000, target_s=0.9, left_s=0.9, decode_s=0.27, data_centre="a")
        send = reading.choose(engines, tried, prompt, now)
        if send is None:
            ...  # the decode engine reads the prompt
        number = reading.begin(send)
        ...
        reading.end(number, send, load, now)
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._engines: dict[str, _Engine] = defaultdict(_Engine)
        self._decode_rate_s = FIRST_DECODE_S
        self._usual_tokens = float(USUAL_TOKENS)
        self._numbers = itertools.count(1)

    def choose(
        self,
        engines: Sequence[Endpoint],
        tried: Collection[str],
        prompt: Prompt,
        now: float,
    ) -> PrefillSend | None:
        """Return where and how long to have a prompt read, ``None`` for the decode engine."""
        tokens = prompt.tokens
        untried = [engine for engine in engines if engine.instance not in tried]
        if not untried:
            return None
        # Entries that know of no queue would all choose the first one otherwise.
        self._rng.shuffle(untried)
        engine = min(untried, key=lambda e: self._score_s(e, prompt, now))
        expected_s = self.expected_s(engine, tokens, now)
        left_s = prompt.left_s - AFTER_READING_S
        if expected_s > left_s and prompt.decode_s < max(left_s, expected_s):
            return None
        return self.send_to(engine, prompt, expected_s, now)

    def send_to(
        self, engine: Endpoint, prompt: Prompt, expected_s: float, now: float
    ) -> PrefillSend:
        """Return how long to wait for an engine that should take ``expected_s``."""
        # A prefill that is given up then leaves the decode engine time to meet the target.
        timeout_s = prompt.left_s - AFTER_READING_S - prompt.decode_s
        if timeout_s < expected_s:
            timeout_s = max(prompt.target_s * TIMEOUT_SHARE, expected_s)
        return PrefillSend(engine, prompt.tokens, now, expected_s, timeout_s)

    def expected_s(self, engine: Endpoint, tokens: int, now: float) -> float:
        """Return how long a prefill engine would take for a prompt that is sent now."""
        known = self._engines[engine.instance]
        return known.wait_s(now) + tokens * known.rate_s

    def decode_s(self, tokens: int) -> float:
        """Return how long a decode engine takes to read a prompt."""
        return tokens * self._decode_rate_s

    def least_s(self, tokens: int) -> float:
        """Return how long a prompt takes at a prefill engine without a queue."""
        rates = [engine.rate_s for engine in self._engines.values()]
        return tokens * min(rates, default=FIRST_PREFILL_S)

    def begin(self, send: PrefillSend) -> int:
        """Count a prompt that is sent; return its number."""
        number = next(self._numbers)
        self._engines[send.endpoint.instance].add(number, send)
        self._usual_tokens += SMOOTHING * (send.tokens - self._usual_tokens)
        return number

    def end(self, number: int, send: PrefillSend, load: Load | None, now: float) -> None:
        """Count a prompt that was read, and take in what the engine told with its answer."""
        known = self._engines[send.endpoint.instance]
        took_s = now - send.sent_at
        rate_s = min(known.rate_s * RATE_DRIFT, took_s / max(1, send.tokens))
        known.rate_s = max(LEAST_PREFILL_S, rate_s)
        queued = 0 if load is None else load.running + load.waiting
        known.remove(number, now, queued * self._usual_tokens * known.rate_s)

    def give_up(self, number: int, send: PrefillSend, now: float) -> None:
        """Count a prompt that was not read.

        An engine that fails at once would look idle and draw all prompts.
        """
        known = self._engines[send.endpoint.instance]
        if number in known.sends:
            known.remove(number, now, max(FAILED_S, now - send.sent_at))

    def record_decode_time(self, tokens: int, seconds: float) -> None:
        """Take in how long a decode engine took to read a prompt."""
        rate_s = seconds / max(1, tokens)
        self._decode_rate_s += SMOOTHING * (rate_s - self._decode_rate_s)

    def forget(self, instance: str) -> None:
        """Forget an engine that is gone."""
        self._engines.pop(instance, None)

    def _score_s(self, engine: Endpoint, prompt: Prompt, now: float) -> float:
        far_s = FAR_S if engine.data_centre != prompt.data_centre else 0.0
        return self.expected_s(engine, prompt.tokens, now) + far_s
