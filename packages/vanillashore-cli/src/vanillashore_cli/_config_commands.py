"""Commands for the configuration: check, plan, apply, show and key new."""

import asyncio
import secrets
import time
from pathlib import Path

import attrs
import tomlkit

from vanillashore_cli._fleet import Fleet
from vanillashore_cli._report import ExitCode, Report
from vanillashore_schema import (
    AccessLoss,
    Change,
    Configuration,
    difference,
    find_access_losses,
    hash_key,
    load_configuration,
)
from vanillashore_store import ConfigSnapshot, ConflictError, VmState
from vanillashore_wire import ErrorCode, VanillashoreError, unstructure

KEY_BYTES = 24
POLL_S = 0.1


@attrs.frozen
class ApplyOptions:
    """Options of apply: ``base`` is by default the current revision, without ``wait_s`` no wait."""

    base: int | None = None
    allow: frozenset[str] = frozenset()
    wait_s: float | None = None


def check(file: Path) -> Report:
    """Check a configuration file; raise FindingsError if it is invalid."""
    config, warnings = load_configuration(file)
    counts = {name: len(rows) for name, rows in attrs.asdict(config, recurse=False).items()}
    texts = [str(warning) for warning in warnings]
    return Report([*texts, f"{file}: ok"], {"ok": True, "warnings": texts, "counts": counts})


def new_key() -> Report:
    """Generate a key and the configuration entry for it."""
    key = f"vs-{secrets.token_urlsafe(KEY_BYTES)}"
    granted = time.strftime("%Y-%m-%d")
    sha256 = hash_key(key)
    entry = f'{{ id = "new", sha256 = "{sha256}", granted = "{granted}" }}'
    data = {"key": key, "sha256": sha256, "granted": granted}
    return Report([f"key: {key}", f"entry: {entry}"], data)


async def plan(settings: Path, file: Path) -> Report:
    """Show what applying a file would change, and which changes would be held back."""
    config, _ = load_configuration(file)
    async with Fleet.open(settings) as fleet:
        current = await fleet.config_store.read_current()
    changes = difference(current.configuration, config)
    held = find_access_losses(current.configuration, config)
    lines = [str(change) for change in changes] or ["nothing to change"]
    lines += [f"held back without --allow {loss}" for loss in held]
    lines.append(f"planned from revision {current.revision}")
    data = {
        "base": current.revision,
        "changes": [_change_data(change) for change in changes],
        "held_back": [attrs.asdict(loss) for loss in held],
    }
    return Report(lines, data)


async def apply(settings: Path, file: Path, options: ApplyOptions) -> Report:
    """Apply a configuration.

    Raises ConflictError if another apply was faster, and VanillashoreError if there is an access
    loss (see `find_access_losses`) whose subject ``options.allow`` does not name.
    """
    config, _ = load_configuration(file)
    async with Fleet.open(settings) as fleet:
        current = await fleet.config_store.read_current()
        base = current.revision if options.base is None else options.base
        if base == current.revision:
            _check_access_losses(current.configuration, config, options.allow)
            if not difference(current.configuration, config):
                return await _report_unchanged(fleet, current, options)
        head = await fleet.config_store.apply(config, base)
        report = Report(
            [f"revision {head.revision} is accepted"],
            {"revision": head.revision, "apply_id": head.apply_id, "changed": True},
        )
        if options.wait_s is None:
            return report
        return await _wait_until_in_force(fleet, head.revision, options.wait_s, report)


async def show(settings: Path) -> Report:
    """Show the current configuration as a file that can be edited and applied."""
    async with Fleet.open(settings) as fleet:
        current = await fleet.config_store.read_current()
    data = unstructure(current.configuration)
    lines = [f"# revision {current.revision}", *tomlkit.dumps(data).splitlines()]
    return Report(lines, {"revision": current.revision, "configuration": data})


def describe_conflict(exc: ConflictError) -> list[str]:
    """Return the changes of the faster apply, one a line."""
    if exc.base is None:
        return ["the base revision is too old to show what changed since; see `vanillashore plan`"]
    return [str(change) for change in difference(exc.base, exc.current.configuration)]


def _check_access_losses(old: Configuration, new: Configuration, allowed: frozenset[str]) -> None:
    held: list[AccessLoss] = [
        loss for loss in find_access_losses(old, new) if loss.subject not in allowed
    ]
    if held:
        text = "; ".join(f"{loss}; to apply it anyway: --allow {loss.subject}" for loss in held)
        raise VanillashoreError(ErrorCode.HELD_BACK, text)


async def _report_unchanged(fleet: Fleet, current: ConfigSnapshot, options: ApplyOptions) -> Report:
    lines = [f"nothing to change: revision {current.revision} is current"]
    report = Report(lines, {"revision": current.revision, "changed": False})
    if options.wait_s is None:
        return report
    return await _wait_until_in_force(fleet, current.revision, options.wait_s, report)


async def _wait_until_in_force(
    fleet: Fleet, revision: int, wait_s: float, report: Report
) -> Report:
    """Wait until ``revision`` is in force on every live VM; after ``wait_s`` list the others."""
    started = time.monotonic()
    while True:
        stale = await _stale_vms(fleet, revision)
        waited_s = time.monotonic() - started
        if not stale or waited_s >= wait_s:
            break
        await asyncio.sleep(POLL_S)
    data = report.data | {"in_force": not stale, "waited_s": round(waited_s, 2), "behind": stale}
    if stale:
        line = f"not in force after {waited_s:.1f} s at: {', '.join(stale)}"
        return Report([*report.lines, line], data, ExitCode.NOT_IN_FORCE)
    return Report([*report.lines, f"in force on all live VMs after {waited_s:.1f} s"], data)


async def _stale_vms(fleet: Fleet, revision: int) -> list[str]:
    answers = await fleet.request_all("/internal/status")
    return [
        a.vm.name
        for a in answers
        if a.vm.state is VmState.LIVE and (a.body is None or a.body["revision"] < revision)
    ]


def _change_data(change: Change) -> dict[str, object]:
    return {
        "kind": change.kind.name.lower(),
        "table": change.table,
        "name": change.name,
        "details": list(change.details),
    }
