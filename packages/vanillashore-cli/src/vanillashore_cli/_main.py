"""Command line of the operators' tool: runs a command's function and prints its report."""

import argparse
import sys
from collections.abc import Sequence
from typing import Any

import attrs
import orjson
import uvloop
from loguru import logger as log

from vanillashore_cli import _burn, _config_commands, _fleet_commands
from vanillashore_cli._parser import build_parser
from vanillashore_cli._report import EXIT_CODES, ExitCode, Report
from vanillashore_schema import FindingsError
from vanillashore_store import ConflictError
from vanillashore_wire import VanillashoreError


def main(argv: Sequence[str] | None = None) -> int:
    """Run the tool and return its exit code."""
    args = build_parser().parse_args(argv)
    log.remove()
    try:
        report = _run(args)
    except VanillashoreError as exc:
        return _report_error(exc, args.json)
    if args.json:
        _print_json(report.data)
    else:
        print("\n".join(report.lines))
    return report.exit_code


def _run(args: argparse.Namespace) -> Report:
    match args.command:
        case "check":
            return _config_commands.check(args.file)
        case "key":
            return _config_commands.new_key()
        case "plan":
            return uvloop.run(_config_commands.plan(args.settings, args.file))
        case "apply":
            return uvloop.run(
                _config_commands.apply(args.settings, args.file, _apply_options(args))
            )
        case "show":
            return uvloop.run(_config_commands.show(args.settings))
        case "explain":
            return uvloop.run(_fleet_commands.explain(args.settings, args.request))
        case "burn":
            return uvloop.run(_burn.burn(args.settings, args.picture))
        case _:
            return uvloop.run(_fleet_commands.status(args.settings))


def _apply_options(args: argparse.Namespace) -> _config_commands.ApplyOptions:
    return _config_commands.ApplyOptions(args.base, frozenset(args.allow), args.wait)


def _report_error(exc: VanillashoreError, as_json: bool) -> int:
    details = _details(exc)
    if as_json:
        _print_json({"error": {"code": exc.code.value, "text": exc.text, "details": details}})
    else:
        for detail in details:
            print(detail, file=sys.stderr)
        print(exc, file=sys.stderr)
    return EXIT_CODES.get(exc.code, ExitCode.FAILED)


def _details(exc: VanillashoreError) -> list[str]:
    if isinstance(exc, FindingsError):
        return [str(finding) for finding in exc.findings]
    if isinstance(exc, ConflictError):
        return _config_commands.describe_conflict(exc)
    return []


def _print_json(data: dict[str, Any]) -> None:
    print(orjson.dumps(data, default=_to_json).decode())


def _to_json(value: object) -> object:
    return attrs.asdict(value)
