"""Scripted scenarios: a TOML file with steps that run against a small fleet.

Example::

    name = "a payment is not lost when its entry is killed"
    processes = true

    [plan]
    entries = 2

    [[step]]
    do = "call"
    entry = 0
    path = "/pay"
    body = "order 17"
    headers = { Idempotency-Key = "k-1" }
    save_as = "first"

    [[step]]
    do = "expect"
    answer = "first"
    status = 200

    [[step]]
    do = "expect_runs"
    path = "/pay"
    body = "order 17"
    count = 1
"""

import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs
from cattrs import Converter

from vanillashore_standins._fleet_base import FleetBase, FleetPlan
from vanillashore_standins._scenario_steps import STEP_TYPES, ScenarioRun, Step

FleetFactory = Callable[[FleetPlan], FleetBase]

_converter = Converter(forbid_extra_keys=True)
_converter.register_structure_hook(Step, lambda raw, _: _structure_step(raw))
_converter.register_structure_hook(str | int | float | bool, lambda raw, _: raw)


@attrs.frozen
class Scenario:
    """Contents of a scenario file; with ``processes`` each node runs as a separate process."""

    name: str
    step: list[Step]
    processes: bool = False
    plan: FleetPlan = FleetPlan()


def load_scenario(path: Path) -> Scenario:
    """Read a scenario; raise an exception group that names each invalid part."""
    return _converter.structure(tomllib.loads(path.read_text()), Scenario)


async def run_scenario(scenario: Scenario, new_fleet: FleetFactory) -> None:
    """Execute all steps; raise AssertionError at the first expectation that fails."""
    async with new_fleet(scenario.plan) as fleet:
        run = ScenarioRun(fleet)
        try:
            for number, step in enumerate(scenario.step, 1):
                await _run_step(step, run, f"{scenario.name}: step {number}")
        finally:
            await run.close()


async def _run_step(step: Step, run: ScenarioRun, label: str) -> None:
    action: Callable[[ScenarioRun], Awaitable[None]] = step.run
    try:
        await action(run)
    except AssertionError as exc:
        raise AssertionError(f"{label}: {exc}") from exc


def _structure_step(raw: dict[str, Any]) -> Step:
    fields = dict(raw)
    kind = fields.pop("do")
    return _converter.structure(fields, STEP_TYPES[kind])
