"""Command line of the operators' tool: a thin shell over the functions of `_commands`."""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

import uvloop

from vanillashore_cli import _commands
from vanillashore_schema import FindingsError
from vanillashore_wire import VanillashoreError

EXIT_OK = 0
EXIT_FAILED = 1


def main(argv: Sequence[str] | None = None) -> int:
    """Run the tool and return its exit code."""
    args = _parser().parse_args(argv)
    try:
        for line in _run(args):
            print(line)
    except FindingsError as exc:
        for finding in exc.findings:
            print(finding, file=sys.stderr)
        print(exc, file=sys.stderr)
        return EXIT_FAILED
    except VanillashoreError as exc:
        print(exc, file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


def _run(args: argparse.Namespace) -> list[str]:
    if args.command == "check":
        return _commands.check(args.file)
    if args.command == "key":
        return _commands.new_key()
    if args.command == "apply":
        return uvloop.run(_commands.apply(args.settings, args.file, args.base))
    if args.command == "explain":
        return uvloop.run(_commands.explain(args.settings, args.request))
    return uvloop.run(_commands.status(args.settings))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="vanillashore", description="Operate a fleet.")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    check = commands.add_parser("check", help="check a configuration file")
    check.add_argument("file", type=Path)
    key = commands.add_parser("key", help="make a key")
    key.add_argument("action", choices=["new"])
    apply = commands.add_parser("apply", help="put a configuration into force")
    _add_settings(apply)
    apply.add_argument("file", type=Path)
    apply.add_argument("--base", type=int, required=True, help="revision it was planned from")
    status = commands.add_parser("status", help="show the fleet's processes")
    _add_settings(status)
    explain = commands.add_parser("explain", help="show the decisions that a request met")
    _add_settings(explain)
    explain.add_argument("request", help="a request's id")
    return parser


def _add_settings(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--settings", type=Path, required=True, metavar="FILE")
