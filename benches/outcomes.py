"""Measure the cost of claims, of resumed answers and of quarantine, on small fleets.

Run ``python benches/outcomes.py --seed 1 [--quick]``. All load goes to stand-ins on loopback.
"""

import argparse
import asyncio
import random
import statistics
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import orjson
import uvloop
from loguru import logger as log

from vanillashore_schema import RouteConfig
from vanillashore_standins import EngineOptions, generate
from vanillashore_standins.payments import pay
from vanillashore_standins.testing import (
    MODEL,
    SERVICE,
    FleetPlan,
    SmallFleet,
    small_configuration,
)

STORE_DELAY_S = 0.003
PROMPT_TOKENS = 1_000
ANSWER_TOKENS = 100
STORE_PATHS = ("/v3/kv/txn", "/v3/kv/range", "/v3/lease/grant")
POISON = "CRASH-THE-ENGINE "
Result = dict[str, Any]


@attrs.frozen
class Scale:
    """How many calls, engine deaths and poison requests to run."""

    calls: int
    deaths: int
    poisons: int


FULL = Scale(calls=400, deaths=40, poisons=5)
QUICK = Scale(calls=100, deaths=10, poisons=2)


async def measure_claims(scale: Scale, rng: random.Random) -> list[Result]:
    """Compare claimed calls with the same calls on an idempotent route, which needs no claim."""
    plan = FleetPlan(entries=2, prefills=0, decodes=0, services=2)
    async with SmallFleet(plan) as fleet:
        config = small_configuration(plan)
        idempotent_route = RouteConfig("/free", ("POST",), SERVICE, idempotent=True)
        await fleet.apply(attrs.evolve(config, route=(*config.route, idempotent_route)), 1)
        fleet.kv_faults.delay_s = STORE_DELAY_S
        return [
            await _measure_calls(fleet, "unclaimed", lambda i: _post(fleet, "/free"), scale),
            await _measure_calls(fleet, "vanillashore", lambda i: pay(fleet, i % 2, ""), scale),
            await _measure_calls(
                fleet, "vanillashore with key", lambda i: pay(fleet, i % 2, f"key {i}"), scale
            ),
            await _measure_calls(
                fleet, "vanillashore, resend", lambda i: pay(fleet, i % 2, f"key {i}"), scale
            ),
        ]


async def _post(fleet: SmallFleet, path: str) -> None:
    async with fleet.request("POST", 0, path, data="order 17") as response:
        await response.read()


async def _measure_calls(
    fleet: SmallFleet, scheme: str, call: Callable[[int], Awaitable[Any]], scale: Scale
) -> Result:
    before = _store_calls(fleet)
    times_ms = []
    for number in range(scale.calls):
        started = time.perf_counter()
        await call(number)
        times_ms.append((time.perf_counter() - started) * 1_000)
    quantiles = statistics.quantiles(times_ms, n=20)
    return {
        "scheme": scheme,
        "case": "non-idempotent call",
        "store_calls_per_request": round((_store_calls(fleet) - before) / scale.calls, 2),
        "p50_ms": round(statistics.median(times_ms), 2),
        "p95_ms": round(quantiles[18], 2),
    }


def _store_calls(fleet: SmallFleet) -> int:
    return sum(fleet.kv.calls[path] for path in STORE_PATHS)


async def measure_deaths(scale: Scale, rng: random.Random) -> list[Result]:
    """Crash the decode engine of each answer at a random token."""
    engine = EngineOptions(step_s=0.004, prefill_s_per_token=0.00002, restart_s=0.3)
    resumed = 0
    async with SmallFleet(FleetPlan(prefills=2, decodes=3, services=0, engine=engine)) as fleet:
        for number in range(scale.deaths):
            resumed += await _answer_survives_crash(
                fleet, number, rng.randrange(1, ANSWER_TOKENS - 5)
            )
        engines = fleet.engines.values()
        deaths = sum(e.ledger.crashes for e in engines)
        decoded = sum(e.ledger.decoded_tokens for e in engines)
        prefilled = sum(e.ledger.prefilled_tokens for e in engines)
    decoded_twice = decoded - scale.deaths * ANSWER_TOKENS
    prefilled_twice = prefilled - scale.deaths * PROMPT_TOKENS
    return [
        {
            "scheme": "vanillashore",
            "case": "decode death at a random token",
            "deaths": deaths,
            "resumed_share": round(resumed / scale.deaths, 3),
            "tokens_decoded_twice_per_death": round(decoded_twice / deaths, 1),
            "tokens_prefilled_twice_per_death": round(prefilled_twice / deaths, 1),
        }
    ]


async def _answer_survives_crash(fleet: SmallFleet, number: int, crash_at: int) -> bool:
    prompt = f"{number:04d}" + "cake" * (PROMPT_TOKENS - 1)
    body = {"model": MODEL, "prompt": prompt, "max_tokens": ANSWER_TOKENS}
    answer = asyncio.ensure_future(_complete(fleet, 0, body))
    engines = [e for vm, e in fleet.engines.items() if vm.startswith("decode")]

    def has_reached() -> bool:
        return any(len(s.tokens) >= crash_at and not s.done for s in _sequences(engines))

    await fleet.until(lambda: has_reached() or answer.done())
    for engine in engines:
        if any(not s.done for s in engine.sequences.values()):
            engine.crash()
    status, text = await answer
    return status == 200 and text == generate(prompt, ANSWER_TOKENS)


def _sequences(engines: list[Any]) -> list[Any]:
    return [sequence for engine in engines for sequence in engine.sequences.values()]


async def _complete(fleet: SmallFleet, entry: int, body: dict[str, Any]) -> tuple[int, str]:
    async with fleet.post(entry, "/v1/completions", body) as response:
        answer = orjson.loads(await response.read())
    if response.status != 200:
        return response.status, answer["error"]["code"]
    return 200, answer["choices"][0]["text"]


async def measure_quarantine(scale: Scale, rng: random.Random) -> list[Result]:
    """Send a request that crashes engines to one entry, then to the other entries."""
    engine = EngineOptions(step_s=0.004, prefill_s_per_token=0.00002, restart_s=0.3)
    quarantine_ms, other_entry_ms, crashes = [], [], 0
    for number in range(scale.poisons):
        plan = FleetPlan(entries=3, prefills=3, decodes=2, services=0, engine=engine)
        async with SmallFleet(plan) as fleet:
            body = {"model": MODEL, "prompt": f"{POISON}{number}", "max_tokens": 10}
            started = time.perf_counter()
            await _complete(fleet, 0, body)
            quarantine_ms.append((time.perf_counter() - started) * 1_000)
            for entry in (1, 2):
                started = time.perf_counter()
                _, code = await _complete(fleet, entry, body)
                assert code == "quarantined", code
                other_entry_ms.append((time.perf_counter() - started) * 1_000)
            crashes += sum(e.ledger.crashes for e in fleet.engines.values())
    return [
        {
            "scheme": "vanillashore",
            "case": "poison through three entries",
            "crashes_per_poison": round(crashes / scale.poisons, 2),
            "first_send_to_quarantine_ms": round(statistics.median(quarantine_ms), 1),
            "refused_at_other_entries_within_ms": round(max(other_entry_ms), 1),
        }
    ]


async def run(scale: Scale, seed: int) -> list[Result]:
    """Run all measurements in sequence."""
    rng = random.Random(seed)
    results = await measure_claims(scale, rng)
    results += await measure_deaths(scale, rng)
    results += await measure_quarantine(scale, rng)
    return results


def main() -> None:
    """Run the bench and print a table and a line of JSON."""
    parser = argparse.ArgumentParser(prog="benches/outcomes.py")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    args = parser.parse_args()
    log.remove()
    log.add(sys.stderr, level="CRITICAL")
    scale = QUICK if args.quick else FULL
    results = uvloop.run(run(scale, args.seed))
    for result in results:
        fields = {k: v for k, v in result.items() if k not in ("scheme", "case")}
        print(f"{result['case']:32} {result['scheme']:24} {fields}")
    line = {"bench": "outcomes", "results": results, "scale": attrs.asdict(scale)}
    print(orjson.dumps(line).decode())


if __name__ == "__main__":
    main()
