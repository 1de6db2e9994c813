"""Command line of the operators' tool: a thin shell over the functions of its commands."""

import argparse
import sys
from collections.abc import Sequence
from typing import Any

import attrs
import orjson
import uvloop
from loguru import logger as log

from vanillashore_cli import _burn, _configuring, _watching
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
        return _fail(exc, args.json)
    if args.json:
        _print_json(report.data)
    else:
        print("\n".join(report.lines))
    return report.exit_code


def _run(args: argparse.Namespace) -> Report:
    match args.command:
        case "check":
            return _configuring.check(args.file)
        case "key":
            return _configuring.new_key()
        case "plan":
            return uvloop.run(_configuring.plan(args.settings, args.file))
        case "apply":
            return uvloop.run(_configuring.apply(args.settings, args.file, _apply_options(args)))
        case "show":
            return uvloop.run(_configuring.show(args.settings))
        case "explain":
            return uvloop.run(_watching.explain(args.settings, args.request))
        case "burn":
            return uvloop.run(_burn.burn(args.settings, args.picture))
        case _:
            return uvloop.run(_watching.status(args.settings))


def _apply_options(args: argparse.Namespace) -> _configuring.ApplyOptions:
    return _configuring.ApplyOptions(args.base, frozenset(args.allow), args.wait)


def _fail(exc: VanillashoreError, as_json: bool) -> int:
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
        return _configuring.conflict_changes(exc)
    return []


def _print_json(data: dict[str, Any]) -> None:
    print(orjson.dumps(data, default=_plain).decode())


def _plain(value: object) -> object:
    return attrs.asdict(value)
