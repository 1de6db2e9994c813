"""Choice between the prefill engines and the decode engine itself, by estimated prefill time.

Handles bursts in which prompts arrive nearly as fast as the prefill engines process them. A decode
engine prefills at about half the speed, between the tokens of its streams, but without a queue. So
a prompt is sent to the prefill engine that would finish first, unless the queue there is long, or
it would miss the target there and the decode engine would prefill it sooner.
"""

import itertools
import random
from collections import defaultdict, deque
from collections.abc import Callable, Collection, Sequence

import attrs

from vanillashore_gateway._domain import Endpoint, Load

INITIAL_PREFILL_S = 50e-6  # Per token, on a usual accelerator.
MIN_PREFILL_S = 1e-6  # Per token; faster than any accelerator.
INITIAL_DECODE_S = 90e-6  # Per prompt token, at a decode engine that also runs nine streams.
# An engine's time per token is the shortest one that most of the last `RECENT_PREFILLS` confirm. A
# single short one shows nothing, as its prompt may have been in the engine's cache. It grows by
# the drift with each prompt, to follow an engine that slows down; a long one shows nothing either,
# as its prompt may have been queued.
RECENT_PREFILLS = 9
MIN_PREFILLS = 5
PREFILL_DRIFT = 1.02
SMOOTHING = 0.1  # Weight of the newest value; a decode engine's time varies with its other prompts.
INITIAL_PROMPT_TOKENS = 3_000
# Time for which an engine that failed counts as busy; it is down for some seconds after a crash.
FAILURE_PENALTY_S = 1.0
LOST_AFTER_S = 1.0  # Far longer than a message between entries takes.
# Added if the prefill engine is in another data centre than the decode engine, as fetching the
# cache then costs up to three times as much.
REMOTE_PENALTY_S = 0.04
# A prompt at a decode engine slows its streams down, and they keep their slots for longer. So a
# queue at the prefill engines is preferred up to this multiple of the time at the decode engine.
# Beyond it, the queue only delays later prompts, as a lasting burst overflows to the decode engines
# anyway. The factor is an assumption: the cost to the streams was not measured.
STREAM_COST = 3.0
# A cold engine's time per token, as a multiple of the learnt one. How much slower it is nobody
# states; twice makes it the choice only if the others have as much work waiting.
COLD_SLOWDOWN = 2.0
FIRST_EVENT_S = 0.1  # From the end of the prefill to the first event at the caller.
# Time-out, as a share of the target, of a prefill that the decode engine could not repeat in time.
TIMEOUT_SHARE = 0.6


@attrs.frozen
class Prompt:
    """A prompt to prefill; its first event should reach the caller within ``left_s``.

    The decode engine, which could prefill it in ``decode_s``, is in ``data_centre``.
    """

    tokens: int
    target_s: float
    left_s: float
    decode_s: float
    data_centre: str


@attrs.frozen
class PrefillSend:
    """A prompt that is sent to a prefill engine, which is expected to take ``expected_s``."""

    endpoint: Endpoint
    tokens: int
    sent_at: float
    expected_s: float
    timeout_s: float

    def is_lost(self, now: float) -> bool:
        """Whether its end is so long overdue that the entry that sent it must have stopped."""
        return now - self.sent_at > self.timeout_s + LOST_AFTER_S


@attrs.define
class _EngineState:
    """Estimates for a prefill engine, which should be idle at ``free_at``."""

    per_token_s: float = INITIAL_PREFILL_S
    recent_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=RECENT_PREFILLS))
    free_at: float = 0.0
    sends: dict[int, PrefillSend] = attrs.field(factory=dict)

    def add(self, number: int, send: PrefillSend) -> None:
        """Add a prompt that is sent."""
        self.sends[number] = send
        self.free_at = max(self.free_at, send.sent_at) + send.tokens * self.per_token_s

    def record_prefill(self, per_token_s: float) -> None:
        """Record the time per token of a completed prefill, its wait in the queue included."""
        self.recent_s.append(per_token_s)
        if len(self.recent_s) < MIN_PREFILLS:
            return
        confirmed_s = sorted(self.recent_s)[len(self.recent_s) // 2]
        self.per_token_s = max(MIN_PREFILL_S, min(self.per_token_s * PREFILL_DRIFT, confirmed_s))

    def remove(self, number: int, now: float, min_left_s: float) -> None:
        """Remove a prompt that has ended; the engine stays busy for at least ``min_left_s``."""
        self.sends.pop(number, None)
        for lost in [n for n, send in self.sends.items() if send.is_lost(now)]:
            del self.sends[lost]
        left_s = sum(send.tokens for send in self.sends.values()) * self.per_token_s
        self.free_at = now + max(left_s, min_left_s)

    def wait_s(self, now: float) -> float:
        """Return how long a new prompt would wait."""
        return max(0.0, self.free_at - now)


class PrefillEstimator:
    """Estimates prefill times and chooses engines by them; callers pass in the current time.

    Example::

        prompt = Prompt(3_000, target_s=0.9, left_s=0.9, decode_s=0.27, data_centre="a")
        send = estimator.choose(engines, tried, prompt, now)
        if send is None:
            ...  # the decode engine prefills the prompt
        number = estimator.begin(send)
        ...
        estimator.end(number, send, load, now)
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.is_cold: Callable[[Endpoint], bool] = lambda endpoint: False
        self._engines: dict[str, _EngineState] = defaultdict(_EngineState)
        self._decode_per_token_s = INITIAL_DECODE_S
        self._mean_tokens = float(INITIAL_PROMPT_TOKENS)
        self._numbers = itertools.count(1)

    def choose(
        self,
        engines: Sequence[Endpoint],
        tried: Collection[str],
        prompt: Prompt,
        now: float,
    ) -> PrefillSend | None:
        """Return the engine to use and its time-out, or ``None`` for the decode engine."""
        tokens = prompt.tokens
        untried = [engine for engine in engines if engine.instance not in tried]
        if not untried:
            return None
        # Without this, all entries that have seen no queue would choose the first engine.
        self._rng.shuffle(untried)
        engine = min(untried, key=lambda e: self._score_s(e, prompt, now))
        expected_s = self.expected_s(engine, tokens, now)
        left_s = prompt.left_s - FIRST_EVENT_S
        if expected_s > left_s and prompt.decode_s < max(left_s, expected_s):
            return None
        if expected_s > prompt.decode_s * STREAM_COST:
            return None
        return self.send_to(engine, prompt, expected_s, now)

    def send_to(
        self, engine: Endpoint, prompt: Prompt, expected_s: float, now: float
    ) -> PrefillSend:
        """Return a `PrefillSend` of the prompt to ``engine``, with its time-out."""
        # After this time-out the decode engine still has time to meet the target.
        timeout_s = prompt.left_s - FIRST_EVENT_S - prompt.decode_s
        if timeout_s < expected_s:
            timeout_s = max(prompt.target_s * TIMEOUT_SHARE, expected_s)
        return PrefillSend(engine, prompt.tokens, now, expected_s, timeout_s)

    def expected_s(self, engine: Endpoint, tokens: int, now: float) -> float:
        """Return how long a prefill engine would take for a prompt that is sent now."""
        state = self._engines[engine.instance]
        slowdown = COLD_SLOWDOWN if self.is_cold(engine) else 1.0
        return state.wait_s(now) + tokens * state.per_token_s * slowdown

    def decode_s(self, tokens: int) -> float:
        """Return how long a decode engine takes to prefill a prompt."""
        return tokens * self._decode_per_token_s

    def min_prefill_s(self, tokens: int) -> float:
        """Return how long the fastest prefill engine takes for a prompt when it is idle."""
        times_s = [state.per_token_s for state in self._engines.values()]
        return tokens * min(times_s, default=INITIAL_PREFILL_S)

    def begin(self, send: PrefillSend) -> int:
        """Record a prompt that is sent; return the number to end it with."""
        number = next(self._numbers)
        self._engines[send.endpoint.instance].add(number, send)
        self._mean_tokens += SMOOTHING * (send.tokens - self._mean_tokens)
        return number

    def end(self, number: int, send: PrefillSend, load: Load | None, now: float) -> None:
        """Record a completed prefill, and the load that the engine reported with its answer."""
        state = self._engines[send.endpoint.instance]
        state.record_prefill((now - send.sent_at) / max(1, send.tokens))
        queued = 0 if load is None else load.running + load.waiting
        state.remove(number, now, queued * self._mean_tokens * state.per_token_s)

    def give_up(self, number: int, send: PrefillSend, now: float) -> None:
        """Record a prefill that failed or timed out.

        Without a penalty, an engine that fails at once would look idle and attract all prompts.
        """
        state = self._engines[send.endpoint.instance]
        if number in state.sends:
            state.remove(number, now, max(FAILURE_PENALTY_S, now - send.sent_at))

    def record_decode_time(self, tokens: int, seconds: float) -> None:
        """Record how long a decode engine took to prefill a prompt."""
        per_token_s = seconds / max(1, tokens)
        self._decode_per_token_s += SMOOTHING * (per_token_s - self._decode_per_token_s)

    def forget(self, instance: str) -> None:
        """Drop the estimates of an engine that has left."""
        self._engines.pop(instance, None)

    def _score_s(self, engine: Endpoint, prompt: Prompt, now: float) -> float:
        remote_s = REMOTE_PENALTY_S if engine.data_centre != prompt.data_centre else 0.0
        return self.expected_s(engine, prompt.tokens, now) + remote_s
