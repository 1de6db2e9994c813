"""Command line of the soak: runs one seed, or several seeds one after the other."""

import argparse
import asyncio
import sys
from pathlib import Path

from vanillashore_standins.soak import SoakPlan, run_soak


def main() -> int:
    """Run the soak and return 1 if a guarantee was broken."""
    parser = argparse.ArgumentParser(prog="soak", description="Randomized soak of real processes.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of seeds to run, starting at --seed"
    )
    parser.add_argument("--minutes", type=float, default=0.5)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument(
        "--mutant", default="", help="break this guarantee in the entries on purpose"
    )
    parser.add_argument("--stops", action="store_true", help="stop entries during long streams")
    parser.add_argument(
        "--parts", action="store_true", help="let engines crash on parts of prompts"
    )
    parser.add_argument(
        "--zones", action="store_true", help="evacuate data centres, and let endpoints turn cold"
    )
    parser.add_argument("--crowds", action="store_true", help="let callers come that misbehave")
    parser.add_argument("--logs", type=Path, help="folder in which to keep the entries' logs")
    args = parser.parse_args()
    broken = 0
    for seed in range(args.seed, args.seed + args.seeds):
        folder = args.logs / str(seed) if args.logs else None
        plan = SoakPlan(
            seed,
            args.minutes * 60,
            args.entries,
            mutant=args.mutant,
            stops=args.stops,
            parts=args.parts,
            zones=args.zones,
            crowds=args.crowds,
            folder=folder,
        )
        report = asyncio.run(run_soak(plan))
        faults = sum(report.faults.values())
        verdict = "broken" if report.violations else "kept"
        print(
            f"seed {seed}: {verdict}; {report.request_count} requests, {faults} faults, "
            f"mixed streams: {list(report.mixed_streams)}",
            flush=True,
        )
        print(f"  {dict(report.statuses)} {dict(report.faults)}", flush=True)
        for figure in report.figures:
            print(f"  {figure}", flush=True)
        for violation in report.violations[:10]:
            print(f"  {violation}", flush=True)
        broken += bool(report.violations)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
