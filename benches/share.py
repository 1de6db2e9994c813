"""Fleet-wide rates: shares, loans and grants compared with a static split and a single owner.

The schemes run in simulated time; the messages of the product's scheme are encoded and counted
with their headers.
"""

import argparse
import json
import statistics
from collections import defaultdict

import attrs

from share_schemes import SingleOwner, StaticSplit, Vanillashore
from share_sim import UNUSED_FRACTION, Plan, Scheme, Sim

FAILURE_AT_S = 10.0
FAILURE_WINDOW_S = 10.0
TARGET_NODES = 370
TARGET_REQUESTS_PER_S = 5_100
TARGET_WORKSPACES = 22_000
CONTROL_LIMIT_BYTES_PER_S = 9_000
MEAN_TOKENS = 200.0
SCALE_RUN_S = 30.0
SCALE_COUNTED_FROM_S = 20.0
CASES = (
    Plan("steady"),
    Plan("noisy", noisy_factor=5.0),
    Plan("holder_killed", killed_at=FAILURE_AT_S, seconds=60.0),
    Plan("holder_frozen", frozen_at=FAILURE_AT_S),
    Plan("store_outage", outage_at=5.0, seconds=80.0),
    Plan("skewed", skewed_share=0.8),
)
SCHEMES = (Vanillashore, StaticSplit, SingleOwner)


@attrs.frozen
class CaseResult:
    """Results of one scheme in one case.

    ``over_tokens`` is the largest amount by which a workspace exceeded its rate and burst;
    ``wrongly_refused_share`` is the share of requests that were not admitted, of those that an
    ideal token bucket would have admitted.
    """

    scheme: str
    case: str
    over_tokens: float
    wrongly_refused_share: float
    worst_workspace_goodput: float
    latency_p50_ms: float
    latency_p95_ms: float


def main() -> None:
    """Run all cases and print the results."""
    parser = argparse.ArgumentParser(prog="share")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    args = parser.parse_args()
    results = [run_case(scheme, plan, args.seed) for plan in CASES for scheme in SCHEMES]
    print(
        f"{'case':<14} {'scheme':<13} {'over':>8} {'wrong':>8} {'goodput':>8} {'p50 ms':>8} p95 ms"
    )
    for r in results:
        print(
            f"{r.case:<14} {r.scheme:<13} {r.over_tokens:>8.0f} {r.wrongly_refused_share:>8.2%} "
            f"{r.worst_workspace_goodput:>8.3f} {r.latency_p50_ms:>8.1f} {r.latency_p95_ms:>8.1f}"
        )
    scale = measure_scale(args.seed, (3, 10, 30) if args.quick else (3, 10, 30, 100, TARGET_NODES))
    for key, value in scale.items():
        print(f"{key}: {value}")
    rows = [attrs.asdict(result) for result in results]
    print(json.dumps({"bench": "share", "results": rows, "scale": scale}))


def run_case(scheme: type[Scheme], plan: Plan, seed: int) -> CaseResult:
    """Run one scheme through one case."""
    sim = Sim(plan, scheme(), seed).run()
    goodput = _admitted_tokens(sim)
    if plan.noisy_factor > 1:
        without_noise = _admitted_tokens(
            Sim(attrs.evolve(plan, noisy_factor=1.0), scheme(), seed).run()
        )
        worst = min(goodput[w] / without_noise[w] for w in goodput if w != 0)
    else:
        offered = _offered_tokens(sim)
        worst = min(goodput[w] / offered[w] for w in offered)
    waits = [
        (r.admitted_at - r.arrived_at) * 1_000
        for r in sim.requests
        if r.admitted_at is not None and not (plan.noisy_factor > 1 and r.workspace == 0)
    ]
    quantiles = statistics.quantiles(waits, n=20)
    return CaseResult(
        scheme.name,
        plan.case,
        round(_worst_over_tokens(sim), 1),
        round(_wrongly_refused_share(sim), 5),
        round(worst, 4),
        round(statistics.median(waits), 2),
        round(quantiles[-1], 2),
    )


def measure_scale(seed: int, sizes: tuple[int, ...]) -> dict[str, object]:
    """Count control traffic per node at several fleet sizes, up to the target's."""
    requests_per_s = TARGET_REQUESTS_PER_S / TARGET_NODES
    bytes_per_s = {}
    frames_per_s = {}
    for nodes in sizes:
        workspaces = nodes * TARGET_WORKSPACES // TARGET_NODES
        utilization = 0.5
        rate = nodes * requests_per_s * MEAN_TOKENS / workspaces / utilization
        plan = Plan(
            "scale",
            nodes,
            workspaces,
            rate,
            20 * rate,
            utilization,
            seconds=SCALE_RUN_S,
            counted_from=SCALE_COUNTED_FROM_S,
        )
        sim = Sim(plan, Vanillashore(), seed).run()
        bytes_per_s[nodes] = round(
            sum(sim.bytes.values()) / nodes / (SCALE_RUN_S - SCALE_COUNTED_FROM_S)
        )
        frames_per_s[nodes] = round(
            sum(sim.frames.values()) / nodes / (SCALE_RUN_S - SCALE_COUNTED_FROM_S), 1
        )
    slope, _ = statistics.linear_regression(sizes[-2:], [bytes_per_s[n] for n in sizes[-2:]])
    return {
        "bytes_per_s_per_node": bytes_per_s,
        "frames_per_s_per_node": frames_per_s,
        "slope_bytes_per_s_per_node": round(slope, 2),
        "at_370_nodes_bytes_per_s": bytes_per_s.get(TARGET_NODES),
        "limit_bytes_per_s": CONTROL_LIMIT_BYTES_PER_S,
    }


def _admitted_tokens(sim: Sim) -> dict[int, float]:
    tokens: dict[int, float] = defaultdict(float)
    for req in sim.requests:
        if req.admitted_at is not None:
            tokens[req.workspace] += req.tokens
    return tokens


def _offered_tokens(sim: Sim) -> dict[int, float]:
    tokens: dict[int, float] = defaultdict(float)
    for req in sim.requests:
        if req.is_within_rate:
            tokens[req.workspace] += req.tokens
    return tokens


def _wrongly_refused_share(sim: Sim) -> float:
    failed_at = sim.plan.killed_at or sim.plan.frozen_at
    is_noisy = sim.plan.noisy_factor > 1
    within_rate = [
        r for r in sim.requests if r.is_within_rate and not (is_noisy and r.workspace == 0)
    ]
    if failed_at is not None:
        within_rate = [
            r for r in within_rate if failed_at <= r.arrived_at < failed_at + FAILURE_WINDOW_S
        ]
    return sum(r.admitted_at is None for r in within_rate) / len(within_rate)


def _worst_over_tokens(sim: Sim) -> float:
    worst = 0.0
    used_fraction = 1 - UNUSED_FRACTION if isinstance(sim.scheme, Vanillashore) else 1.0
    for workspace in range(sim.plan.workspaces):
        used = sorted(
            (r.admitted_at, r.tokens * used_fraction)
            for r in sim.requests
            if r.workspace == workspace and r.admitted_at is not None
        )
        level = last = 0.0
        for at, tokens in used:
            level = max(0.0, level - (at - last) * sim.plan.rate) + tokens
            last = at
            worst = max(worst, level - sim.plan.burst)
    return worst


if __name__ == "__main__":
    main()
