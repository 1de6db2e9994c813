"""Runs every scenario file in this directory."""

from pathlib import Path

import pytest

from vanillashore_standins.testing import ProcessFleet, SmallFleet, load_scenario, run_scenario

SCENARIOS = sorted(Path(__file__).parent.glob("*.toml"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
async def test_scenario(path: Path) -> None:
    scenario = load_scenario(path)
    await run_scenario(scenario, ProcessFleet if scenario.processes else SmallFleet)
