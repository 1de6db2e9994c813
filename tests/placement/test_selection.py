import random

import pytest

from vanillashore_placement import (
    EndpointLoads,
    EndpointSelector,
    OvercommitLimit,
    TransferPacer,
    rank_by_affinity,
)
from vanillashore_resilience import Breaker
from vanillashore_wire import Load

NAMES = [f"p{i}" for i in range(10)]
LONG = "x" * 8_000


def selector(loads: EndpointLoads, breaker: Breaker | None = None) -> EndpointSelector:
    return EndpointSelector(loads, random.Random(1), breaker or Breaker())


def test_prompts_with_the_same_prefix_go_to_the_same_endpoint() -> None:
    pick = selector(EndpointLoads()).prefill_candidates
    chosen = {pick(NAMES, "w", LONG + str(i), 0.0)[0] for i in range(20)}
    assert len(chosen) == 1


def test_copies_of_a_short_prompt_go_to_one_endpoint_from_every_entry() -> None:
    chosen = {
        tuple(
            EndpointSelector(EndpointLoads(), random.Random(seed), Breaker()).prefill_candidates(
                NAMES, "w", "short", 0.0
            )
        )
        for seed in range(20)
    }
    assert len(chosen) == 1
    assert len(chosen.pop()) == 1


def test_short_prompts_avoid_the_busier_of_their_two_endpoints() -> None:
    loads = EndpointLoads()
    first, second = rank_by_affinity("w", "short", NAMES)[:2]
    loads.record_load(first, Load(running=1, slots=20))
    assert selector(loads).prefill_candidates(NAMES, "w", "short", 0.0) == [second]


def test_removing_an_endpoint_moves_only_its_own_prefixes() -> None:
    for i in range(50):
        prompt = f"{i}" + LONG
        ranked = rank_by_affinity("w", prompt, NAMES)
        without = [name for name in NAMES if name != ranked[-1]]
        assert rank_by_affinity("w", prompt, without) == ranked[:-1]


def test_an_overloaded_endpoint_loses_its_affinity() -> None:
    loads = EndpointLoads()
    first, second = rank_by_affinity("w", LONG, NAMES)[:2]
    loads.record_load(first, Load(running=20, slots=20))
    assert selector(loads).prefill_candidates(NAMES, "w", LONG, 0.0) == [second]


def test_the_less_loaded_of_two_endpoints_comes_first() -> None:
    loads = EndpointLoads()
    loads.record_load("p0", Load(running=20, slots=20))
    assert selector(loads).candidates(["p0", "p1"], 0.0) == ["p1", "p0"]


def test_overcommit_shrinks_on_eviction_and_grows_again() -> None:
    limit = OvercommitLimit(slots=20)
    assert limit.places(20, 3.0) == 0
    limit.record_use(lead_s=0.6)
    before = limit.places(20, 3.0)
    limit.record_evicted()
    assert limit.places(20, 3.0) < before
    for _ in range(100):
        limit.record_started(waited_s=0.0)
    assert limit.places(20, 3.0) == 4
    assert limit.places(20, 0.1) == 5


def test_a_stalled_transfer_does_not_delay_others() -> None:
    pacer = TransferPacer(pieces_per_s=100.0)
    assert pacer.start_in(10, 0.0) == 0.0
    assert pacer.start_in(10, 0.0) == pytest.approx(0.1)
    assert pacer.start_in(10, 50.0) == 0.0
