"""A played burst of prompts: five prefill engines, 21 decode engines, 30 then 100 prompts a second.

Guards against prompts that queue at the prefill engines for nearly their whole target while decode
engines could read them, and against decode engines that read prompts without need.
"""

import heapq
import random
from collections.abc import Collection, Sequence

import attrs
import pytest

from vanillashore_gateway import Endpoint, EndpointRole, Load
from vanillashore_gateway._prefill_estimator import (
    FIRST_EVENT_S,
    PrefillEstimator,
    PrefillSend,
    Prompt,
)

TARGET_S = 2.013
TOKENS = 3_200
PREFILL_S = TOKENS / 33_300
DECODE_S = 2 * PREFILL_S
PREFILLS = [
    Endpoint(f"p{n}", "llm", "10.0.0.1", 80, "a", 12, EndpointRole.PREFILL) for n in range(5)
]
DECODES = 21
BURST = ((30.0, 10.0), (100.0, 10.0), (30.0, 10.0))  # Prompts a second, and seconds.


class QueueingEstimator(PrefillEstimator):
    """Uses the prefill engines until a prompt would miss its target there, as before."""

    def choose(
        self, engines: Sequence[Endpoint], tried: Collection[str], prompt: Prompt, now: float
    ) -> PrefillSend | None:
        engine = min(engines, key=lambda e: self.expected_s(e, prompt.tokens, now))
        expected_s = self.expected_s(engine, prompt.tokens, now)
        left_s = prompt.left_s - FIRST_EVENT_S
        if expected_s > left_s and prompt.decode_s < max(left_s, expected_s):
            return None
        return self.send_to(engine, prompt, expected_s, now)


@attrs.frozen(order=True)
class _End:
    at: float
    number: int
    send: PrefillSend | None = attrs.field(order=False)
    took_s: float = attrs.field(order=False)


@attrs.define
class Burst:
    """The home's decisions, and engines that read one prompt after the other."""

    estimator: PrefillEstimator
    rng: random.Random
    prefill_free: dict[str, float] = attrs.field(
        factory=lambda: {e.instance: 0.0 for e in PREFILLS}
    )
    decode_free: list[float] = attrs.field(factory=lambda: [0.0] * DECODES)
    ends: list[_End] = attrs.field(factory=list)

    def play(self, phases: tuple[tuple[float, float], ...]) -> tuple[list[float], int]:
        """Return the times to the first events, and how many prompts decode engines read."""
        now, end, firsts, local = 0.0, 0.0, [], 0
        for rate_per_s, seconds in phases:
            end += seconds
            while (now := now + self.rng.expovariate(rate_per_s)) < end:
                self._finish_until(now)
                decode_s = self.estimator.decode_s(TOKENS)
                prompt = Prompt(TOKENS, TARGET_S, TARGET_S, decode_s, "a")
                send = self.estimator.choose(PREFILLS, (), prompt, now)
                read_at = self._read_locally(now) if send is None else self._prefill(send, now)
                local += send is None
                firsts.append(read_at + FIRST_EVENT_S - now)
        return firsts, local

    def _prefill(self, send: PrefillSend, now: float) -> float:
        name = send.endpoint.instance
        number = self.estimator.begin(send)
        self.prefill_free[name] = max(now, self.prefill_free[name]) + PREFILL_S
        done_at = self.prefill_free[name]
        heapq.heappush(self.ends, _End(done_at, number, send, done_at - now))
        return done_at

    def _read_locally(self, now: float) -> float:
        """Read at the less busy of two engines, as the holders of slots are not chosen by reads."""
        engine = min(self.rng.sample(range(DECODES), 2), key=self.decode_free.__getitem__)
        self.decode_free[engine] = max(now, self.decode_free[engine]) + DECODE_S
        done_at = self.decode_free[engine]
        heapq.heappush(self.ends, _End(done_at, 0, None, done_at - now))
        return done_at

    def _finish_until(self, now: float) -> None:
        while self.ends and self.ends[0].at <= now:
            end = heapq.heappop(self.ends)
            if end.send is None:
                self.estimator.record_decode_time(TOKENS, end.took_s)
                continue
            name = end.send.endpoint.instance
            queued = round((self.prefill_free[name] - end.at) / PREFILL_S)
            load = Load(min(1, queued), max(0, queued - 1), 12)
            self.estimator.end(end.number, end.send, load, end.at)


def _share(firsts: list[float], within_s: float) -> float:
    return sum(first <= within_s for first in firsts) / len(firsts)


@pytest.mark.parametrize("seed", range(3))
def test_burst_is_spread_before_the_queue_has_used_up_the_target(seed: int) -> None:
    before, before_local = Burst(QueueingEstimator(random.Random(seed)), random.Random(seed)).play(
        BURST
    )
    firsts, local = Burst(PrefillEstimator(random.Random(seed)), random.Random(seed)).play(BURST)
    assert 1 - _share(firsts, 0.8) < (1 - _share(before, 0.8)) / 2
    assert _share(firsts, 2.0) >= _share(before, 2.0)
    # More than before only by the queue that is not built up: two seconds of five engines.
    assert local - before_local <= 2.0 * len(PREFILLS) / PREFILL_S


@pytest.mark.parametrize("seed", range(3))
def test_usual_load_is_left_to_the_prefill_engines(seed: int) -> None:
    """Each prompt at a decode engine slows its streams down."""
    _, local = Burst(PrefillEstimator(random.Random(seed)), random.Random(seed)).play(
        ((30.0, 30.0),)
    )
    assert local == 0
