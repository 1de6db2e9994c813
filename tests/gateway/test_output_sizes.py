"""Reservations for answers that are longer than estimated, on engines short of memory."""

import random

import attrs
import pytest

from vanillashore_gateway._output_sizes import INITIAL_FACTOR, OutputSizes

KV_TOKENS = 73_378
TOKENS_PER_S = 1_250.0
EVENT_TOKENS = 63
MAX_OUTPUT = 8_190
PATIENCE_S = 2.7
STEP_S = 0.05
SPREAD = 0.5


@attrs.define(eq=False)
class _Generation:
    arrived: float
    prompt: int
    output: int
    estimate: int
    reserved: int = 0
    made: float = 0.0


def _generation(now: float, rng: random.Random) -> _Generation:
    output = min(MAX_OUTPUT, int(rng.lognormvariate(0, SPREAD) * 3_900))
    estimate = min(MAX_OUTPUT, int(output * rng.lognormvariate(0, SPREAD)))
    return _Generation(
        now, min(11_000, int(rng.lognormvariate(0, SPREAD) * 4_400)), output, estimate
    )


@attrs.define
class _Outcome:
    served: int = 0
    preempted: int = 0


class _Engine:
    """An engine's memory. What is reserved stays reserved, also while it is not used yet."""

    def __init__(self) -> None:
        self.running: list[_Generation] = []

    def free(self) -> float:
        return KV_TOKENS - sum(max(g.reserved, g.prompt + g.made) for g in self.running)

    def step(self, outcome: _Outcome) -> list[_Generation]:
        """Generate for a while, and preempt the newest that have outgrown their reservations."""
        for generation in self.running:
            generation.made += TOKENS_PER_S * STEP_S
        while self.free() < 0:
            outgrown = [g for g in self.running if g.prompt + g.made > g.reserved]
            outgrown[-1].made = 0.0  # Its prompt is read again.
            outcome.preempted += 1
        done = [g for g in self.running if g.made >= g.output]
        self.running = [g for g in self.running if g.made < g.output]
        return done


def _play(sizes: OutputSizes | None, per_s: float, engines: int = 4) -> _Outcome:
    """Play a minute of generations that wait for memory up to `PATIENCE_S`."""
    rng = random.Random(1)
    fleet = [_Engine() for _ in range(engines)]
    waiting: list[_Generation] = []
    outcome = _Outcome()
    for step in range(int(60 / STEP_S)):
        now = step * STEP_S
        if rng.random() < per_s * STEP_S:
            waiting.append(_generation(now, rng))
        for engine in fleet:
            for done in engine.step(outcome):
                outcome.served += 1
                if sizes is not None:
                    sizes.record("models", done.estimate, max(1, done.output // EVENT_TOKENS))
        waiting = [g for g in waiting if now - g.arrived <= PATIENCE_S]
        for generation in list(waiting):
            output = generation.estimate
            if sizes is not None:
                output = sizes.reserved_tokens("models", generation.estimate, MAX_OUTPUT)
            tokens = generation.prompt + output
            engine = max(fleet, key=_Engine.free)
            if engine.free() < tokens:
                break
            generation.reserved = tokens
            engine.running.append(generation)
            waiting.remove(generation)
    return outcome


@pytest.mark.parametrize("per_s", [9.0, 12.0, 14.0])
def test_few_generations_are_preempted_when_memory_is_short(per_s: float) -> None:
    estimates, learned = _play(None, per_s), _play(OutputSizes(), per_s)
    assert learned.preempted < estimates.preempted / 2
    assert learned.served >= estimates.served


def test_reservation_covers_the_stated_share_of_answers() -> None:
    rng = random.Random(2)
    sizes = OutputSizes()
    answers = [_generation(0.0, rng) for _ in range(600)]
    for answer in answers[:200]:
        sizes.record("models", answer.estimate, max(1, answer.output // EVENT_TOKENS))
    covered = sum(
        a.output <= sizes.reserved_tokens("models", a.estimate, MAX_OUTPUT) for a in answers[200:]
    )
    assert 0.6 < covered / 400 < 0.85


def test_exact_estimates_need_no_more() -> None:
    sizes = OutputSizes()
    assert sizes.reserved_tokens("models", 1_000, 9_000) == int(1_000 * INITIAL_FACTOR)
    for _ in range(30):
        sizes.record("models", 1_000, 16)
    assert sizes.reserved_tokens("models", 1_000, 9_000) == 1_000


def test_reservation_does_not_exceed_the_longest_answer() -> None:
    sizes = OutputSizes()
    assert sizes.reserved_tokens("models", 1_000, 1_100) == 1_100
    sizes.record("models", 0, 5)
    sizes.record("models", 5, 0)
