"""Command line of the demo: ``python -m vanillashore_standins.demo``."""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from vanillashore_standins.demo._checks import run_checks
from vanillashore_standins.demo._fleet import DemoFleet

FOLDER_PREFIX = "vanillashore-demo-"


def main() -> int:
    """Run the demo; return 0 only if all checks passed and every process has stopped."""
    parser = argparse.ArgumentParser(prog="vanillashore_standins.demo")
    parser.add_argument("--keep", action="store_true", help="leave the fleet running until Ctrl-C")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    with (
        tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX) as folder,
        DemoFleet(Path(folder)) as fleet,
    ):
        failures = asyncio.run(_demo(fleet))
        if args.keep and not failures:
            fleet.wait_for_interrupt()
    print(f"stopped; {fleet.left_running} processes left behind")
    return 1 if failures or fleet.left_running else 0


async def _demo(fleet: DemoFleet) -> int:
    await fleet.start()
    failures = await run_checks(fleet)
    for failure in failures:
        print(f"WRONG: {failure}", file=sys.stderr)
    return len(failures)


if __name__ == "__main__":
    sys.exit(main())
