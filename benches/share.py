"""Fleet-wide rates: shares, loans and grants beside a static split and a single owner.

The schemes run in virtual time; the messages of ours are encoded and counted with their headers.
"""

import argparse
import json
import statistics
from collections import defaultdict

import attrs

from share_schemes import SingleOwner, StaticSplit, Vanillashore
from share_sim import UNUSED_PART, Plan, Scheme, Sim

FAIL_AT_S = 10.0
WATCH_S = 10.0
TARGET_NODES = 370
TARGET_REQUESTS_PER_S = 5_100
TARGET_WORKSPACES = 22_000
LIMIT_BYTES_PER_S = 9_000
MEAN_TOKENS = 200.0
SCALE_S = 30.0
SETTLED_S = 20.0
CASES = (
    Plan("steady"),
    Plan("noisy", noisy=5.0),
    Plan("holder_killed", killed_at=FAIL_AT_S, seconds=60.0),
    Plan("holder_frozen", frozen_at=FAIL_AT_S),
    Plan("store_outage", outage_at=5.0, seconds=80.0),
    Plan("skewed", skew=0.8),
)
SCHEMES = (Vanillashore, StaticSplit, SingleOwner)


@attrs.frozen
class CaseResult:
    """What one scheme did in one case."""

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
    goodput = _goodput(sim)
    if plan.noisy > 1:
        quiet = _goodput(Sim(attrs.evolve(plan, noisy=1.0), scheme(), seed).run())
        worst = min(goodput[w] / quiet[w] for w in goodput if w != 0)
    else:
        offered = _offered(sim)
        worst = min(goodput[w] / offered[w] for w in offered)
    waits = [
        (r.admitted_at - r.at) * 1_000
        for r in sim.requests
        if r.admitted_at is not None and not (plan.noisy > 1 and r.workspace == 0)
    ]
    cuts = statistics.quantiles(waits, n=20)
    return CaseResult(
        scheme.name,
        plan.case,
        round(_over(sim), 1),
        round(_wrongly_refused(sim), 5),
        round(worst, 4),
        round(statistics.median(waits), 2),
        round(cuts[-1], 2),
    )


def measure_scale(seed: int, sizes: tuple[int, ...]) -> dict[str, object]:
    """Count control traffic a node at several sizes, and what it comes to at the target."""
    requests_per_s = TARGET_REQUESTS_PER_S / TARGET_NODES
    bytes_per_s = {}
    frames_per_s = {}
    for nodes in sizes:
        workspaces = nodes * TARGET_WORKSPACES // TARGET_NODES
        load = 0.5
        rate = nodes * requests_per_s * MEAN_TOKENS / workspaces / load
        plan = Plan(
            "scale",
            nodes,
            workspaces,
            rate,
            20 * rate,
            load,
            seconds=SCALE_S,
            counted_from=SETTLED_S,
        )
        sim = Sim(plan, Vanillashore(), seed).run()
        bytes_per_s[nodes] = round(sum(sim.bytes.values()) / nodes / (SCALE_S - SETTLED_S))
        frames_per_s[nodes] = round(sum(sim.frames.values()) / nodes / (SCALE_S - SETTLED_S), 1)
    slope, _ = statistics.linear_regression(sizes[-2:], [bytes_per_s[n] for n in sizes[-2:]])
    return {
        "bytes_per_s_per_node": bytes_per_s,
        "frames_per_s_per_node": frames_per_s,
        "slope_bytes_per_s_per_node": round(slope, 2),
        "at_370_nodes_bytes_per_s": bytes_per_s.get(TARGET_NODES),
        "limit_bytes_per_s": LIMIT_BYTES_PER_S,
    }


def _goodput(sim: Sim) -> dict[int, float]:
    tokens: dict[int, float] = defaultdict(float)
    for req in sim.requests:
        if req.admitted_at is not None:
            tokens[req.workspace] += req.tokens
    return tokens


def _offered(sim: Sim) -> dict[int, float]:
    tokens: dict[int, float] = defaultdict(float)
    for req in sim.requests:
        if req.inside:
            tokens[req.workspace] += req.tokens
    return tokens


def _wrongly_refused(sim: Sim) -> float:
    failed_at = sim.plan.killed_at or sim.plan.frozen_at
    is_noisy = sim.plan.noisy > 1
    inside = [r for r in sim.requests if r.inside and not (is_noisy and r.workspace == 0)]
    if failed_at is not None:
        inside = [r for r in inside if failed_at <= r.at < failed_at + WATCH_S]
    return sum(r.admitted_at is None for r in inside) / len(inside)


def _over(sim: Sim) -> float:
    worst = 0.0
    used_part = 1 - UNUSED_PART if isinstance(sim.scheme, Vanillashore) else 1.0
    for workspace in range(sim.plan.workspaces):
        used = sorted(
            (r.admitted_at, r.tokens * used_part)
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
