"""Commands that query the processes of the fleet: status and explain."""

from collections import Counter
from pathlib import Path
from typing import Any

from vanillashore_cli._fleet import Fleet, NodeAnswer
from vanillashore_cli._report import Report


async def status(settings: Path) -> Report:
    """Show one line for each process of the fleet, and the number of processes per revision."""
    async with Fleet.open(settings) as fleet:
        answers = await fleet.request_all("/internal/status")
    revisions = Counter(a.body["revision"] for a in answers if a.body)
    silent = [a.vm.name for a in answers if a.body is None]
    spread = ", ".join(f"{count} at revision {n}" for n, count in sorted(revisions.items()))
    summary = f"{len(answers)} VMs: {spread or 'none answered'}"
    if silent:
        summary += f"; no answer from {', '.join(silent)}"
    data = {"nodes": [_status_data(answer) for answer in answers], "silent": silent}
    return Report([*(_status_line(answer) for answer in answers), summary], data)


async def explain(settings: Path, request: str) -> Report:
    """Show the decisions of all processes about a request, in order of time."""
    async with Fleet.open(settings) as fleet:
        answers = await fleet.request_all(f"/internal/explain/{request}")
        decisions = _decisions(answers)
        for request_id in {d["runs_as"] for d in decisions if d.get("runs_as")}:
            decisions += _decisions(await fleet.request_all(f"/internal/explain/{request_id}"))
    decisions.sort(key=lambda decision: decision["at"])
    lines = [f"{d['at']:.3f} {d['node']}: {d['step']}: {d['text']}" for d in decisions]
    silent = sorted({a.vm.name for a in answers if a.body is None})
    if silent:
        lines.append(f"no answer from {', '.join(silent)}")
    if not decisions:
        lines.append(f"no process that answered has a record of {request}")
    return Report(lines, {"request": request, "decisions": decisions, "silent": silent})


def _decisions(answers: list[NodeAnswer]) -> list[dict[str, Any]]:
    return [d for answer in answers if answer.body for d in answer.body["decisions"]]


def _status_data(answer: NodeAnswer) -> dict[str, object]:
    vm = answer.vm
    return {
        "vm": vm.name,
        "data_centre": vm.data_centre,
        "state": vm.state.value,
        "status": answer.body,
    }


def _status_line(answer: NodeAnswer) -> str:
    vm, body = answer.vm, answer.body
    head = f"{vm.name:<14} {vm.data_centre:<8} {vm.state.value:<8}"
    if body is None:
        return f"{head} no answer"
    relay = " relay" if body.get("relay") else ""
    line = f"{head} {body['role']:<6} revision {body['revision']} active {body['active']}{relay}"
    return line + _shares_text(body["shares"]["holder"]) if "shares" in body else line


def _shares_text(holder: dict[str, Any]) -> str:
    text = f" shares {holder['owned']} lent {holder['lent']} borrowed {holder['borrowed']}"
    fenced = " FENCED" if holder["fenced"] else ""
    return f"{text} refused-short {holder['refused_short']}{fenced}"
