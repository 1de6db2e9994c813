"""Compare placement policies: goodput, wasted prefill, fairness and leaked holds.

A seeded load runs against fakes in one process, with the product's decision classes and a
simulated clock, at the sizes of both deployments.
"""

import argparse
import json
import statistics
import time
import tracemalloc
from random import Random

import attrs

from _placement_load import (
    CASES,
    DEPLOYMENTS,
    WORKSPACES,
    WORKSPACES_OVER_RATE,
    Deployment,
    Request,
    make_load,
)
from _placement_policies import LaggedLeastLoaded, Policy, RoundRobin, StaticPairs, new_world
from _placement_reserved import ReservedPlacement
from vanillashore_placement import EndpointLoads, EndpointSelector
from vanillashore_resilience import Breaker
from vanillashore_wire import Load, RouteClass

RUN_S = 60.0
QUICK_RUN_S = 20.0
WARM_UP_S = 5.0
DRAIN_S = 60.0
HELD_CHECK_DELAY_S = 5.0
FIRST_TOKEN_TARGET_S = 1.6
TOKEN_GAP_TARGET_S = 0.032
POLICIES = (ReservedPlacement, RoundRobin, LaggedLeastLoaded, StaticPairs)
FLEET_REPLICAS = 600
FLEET_MODELS = 29
DECISIONS = 2_000


@attrs.define
class Measured:
    """Results of one policy in one case."""

    scheme: str
    case: str
    goodput: float
    goodput_of_capacity: float
    wasted_prefill_share: float
    worst_workspace_goodput: float
    quick_p95_ms: float
    wrongly_refused_share: float
    prefix_hit_share: float
    held_after_gone: int
    unanswered: int
    lost_after_failure: int


class Run:
    """One policy in one case."""

    def __init__(
        self,
        policy_type: type[Policy],
        deployment: Deployment,
        case: str,
        seed: int,
        seconds: float,
    ) -> None:
        self._world = new_world(deployment, seed)
        self._policy = policy_type(self._world)
        self._deployment = deployment
        self._case = case
        self._seconds = seconds
        self._requests = make_load(deployment, case, seed, seconds)
        self._held_after_gone = 0

    def measure(self) -> Measured:
        """Run the case and return its results."""
        clock = self._world.clock
        for req in self._requests:
            clock.call_later(req.arrives_at, lambda req=req: self._policy.start(req))
            if req.cancels_at is not None:
                clock.call_later(req.cancels_at, lambda req=req: self._cancel(req))
        if self._case == "deaths":
            clock.call_later(self._seconds / 2, self._kill_endpoints)
            clock.call_later(self._seconds / 4, self._freeze_entry)
        clock.run(self._seconds + DRAIN_S)
        return self._summarize()

    def _cancel(self, req: Request) -> None:
        if not req.is_finished:
            req.disconnected_at = self._world.clock.now
            self._policy.cancel(req)
            self._schedule_held_check(req)

    def _kill_endpoints(self) -> None:
        self._world.decodes[0].fail()
        self._world.prefills[0].fail()

    def _freeze_entry(self) -> None:
        """Freeze the last entry; the balancer sends later requests to the others."""
        now = self._world.clock.now
        frozen_entry = 2
        self._policy.freeze_entry(frozen_entry)
        for req in self._requests:
            if req.entry != frozen_entry:
                continue
            if req.arrives_at > now:
                req.entry = int(req.arrives_at * 1_000) % frozen_entry
            elif not req.is_finished:
                req.disconnected_at = now
                self._schedule_held_check(req)

    def _schedule_held_check(self, req: Request) -> None:
        def check() -> None:
            self._held_after_gone += self._policy.held_pieces().get(req.id, 0)

        self._world.clock.call_later(HELD_CHECK_DELAY_S, check)

    def _summarize(self) -> Measured:
        counted = [
            r for r in self._requests if r.arrives_at >= WARM_UP_S and r.disconnected_at is None
        ]
        generations = [r for r in counted if not r.is_call]
        good = [r for r in generations if _is_good(r)]
        within_rate = [w for w in WORKSPACES if w not in WORKSPACES_OVER_RATE.get(self._case, ())]
        within_rate_requests = [r for r in counted if r.workspace in within_rate]
        worst = min(_good_share([r for r in generations if r.workspace == w]) for w in within_rate)
        completed_in_time = [
            r
            for r in self._requests
            if not r.is_call and _is_good(r) and WARM_UP_S <= r.completed_at <= self._seconds
        ]
        capacity = self._deployment.requests_per_s * (self._seconds - WARM_UP_S)
        prefills = self._world.prefills
        prefix_pieces = sum(p.prefix_pieces for p in prefills)
        interactive_call_ms = [
            (r.completed_at - r.arrives_at) * 1_000
            for r in counted
            if r.is_call and r.route_class is RouteClass.INTERACTIVE and r.completed_at is not None
        ]
        return Measured(
            self._policy.name,
            f"{self._deployment.name}_{self._case}",
            len(good) / len(generations),
            len(completed_in_time) / min(capacity, len(generations)),
            _wasted_prefill_share(self._requests),
            worst,
            statistics.quantiles(interactive_call_ms, n=20)[-1],
            sum(r.refused for r in within_rate_requests) / len(within_rate_requests),
            sum(p.hit_pieces for p in prefills) / max(1, prefix_pieces),
            self._held_after_gone,
            sum(r.completed_at is None for r in counted),
            sum(r.completed_at is None and r.attempt > 1 for r in counted),
        )


def _is_good(req: Request) -> bool:
    if req.completed_at is None or req.first_token_at is None:
        return False
    if req.route_class is RouteClass.BATCH:
        return True
    gap_s = (req.completed_at - req.first_token_at) / max(1, req.output_tokens - 1)
    return (
        req.first_token_at - req.arrives_at <= FIRST_TOKEN_TARGET_S and gap_s <= TOKEN_GAP_TARGET_S
    )


def _good_share(requests: list[Request]) -> float:
    return sum(map(_is_good, requests)) / max(1, len(requests))


def _wasted_prefill_share(requests: list[Request]) -> float:
    """Return the share of prefilled tokens not used for an answer, for callers that stayed."""
    connected = [r for r in requests if r.disconnected_at is None and r.completed_prefills]
    useful = sum(r.prompt_tokens for r in connected if r.completed_at is not None)
    return 1 - useful / sum(r.prompt_tokens * r.completed_prefills for r in connected)


def measure_decision(seed: int) -> dict[str, float]:
    """Time how long an entry takes to choose decode and prefill candidates at target size."""
    rng = Random(seed)
    tracemalloc.start()
    loads = EndpointLoads()
    chooser = EndpointSelector(loads, rng, Breaker())
    names = [f"replica-{i:03}" for i in range(FLEET_REPLICAS)]
    for name in names:
        loads.record_load(name, Load(rng.randrange(20), rng.randrange(4), 20, 100))
    state_kb = tracemalloc.get_traced_memory()[0] / 1_000
    tracemalloc.stop()
    pools = [names[i::FLEET_MODELS] for i in range(FLEET_MODELS - 1)] + [names]
    prompts = [f"{i} " + "x" * 40_000 for i in range(20)]
    times_us: dict[bool, list[float]] = {False: [], True: []}
    for i in range(DECISIONS):
        is_one_model = i % 2 == 1
        pool = pools[-1] if is_one_model else pools[i % (FLEET_MODELS - 1)]
        started = time.perf_counter()
        chooser.candidates(pool, float(i))
        chooser.prefill_candidates(pool, "workspace", prompts[i % 20], float(i))
        times_us[is_one_model].append((time.perf_counter() - started) * 1e6)
    return {
        "decision_us": statistics.median(times_us[False]),
        "decision_p95_us": statistics.quantiles(times_us[False], n=20)[-1],
        "decision_one_model_us": statistics.median(times_us[True]),
        "entry_kb": state_kb,
    }


def main() -> None:
    """Run all policies in all cases."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    args = parser.parse_args()
    seconds = QUICK_RUN_S if args.quick else RUN_S
    results = []
    fields = [f.name for f in attrs.fields(Measured)]
    print(" ".join(f"{name[:13]:>13}" for name in fields))
    for deployment in DEPLOYMENTS:
        for case in CASES:
            for policy in POLICIES:
                measured = Run(policy, deployment, case, args.seed, seconds).measure()
                results.append(_rounded(attrs.asdict(measured)))
                print(" ".join(f"{value!s:>13}" for value in results[-1].values()), flush=True)
    decision = _rounded(
        {"scheme": "vanillashore", "case": "decision"} | measure_decision(args.seed)
    )
    results.append(decision)
    print(decision)
    scale = {
        "seconds": seconds,
        "seed": args.seed,
        "replicas_of_decision": FLEET_REPLICAS,
        "models_of_decision": FLEET_MODELS,
    }
    print(json.dumps({"bench": "placement", "results": results, "scale": scale}))


def _rounded(row: dict[str, object]) -> dict[str, object]:
    return {k: round(v, 4) if isinstance(v, float) else v for k, v in row.items()}


if __name__ == "__main__":
    main()
