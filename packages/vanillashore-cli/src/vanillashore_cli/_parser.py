"""The command-line parser, with an example for each command."""

import argparse
from pathlib import Path

DEFAULT_WAIT_S = 15.0

_EXIT_CODES = """exit codes:
  0 done            1 failed            2 wrong usage
  3 findings        4 conflict          5 held back
  6 not in force everywhere in time     7 not known whether it was accepted
"""
_EXAMPLES = {
    "check": "vanillashore check fleet.toml",
    "plan": "vanillashore plan --settings operator.toml fleet.toml",
    "apply": "vanillashore apply --settings operator.toml fleet.toml --wait\n"
    "  vanillashore apply --settings operator.toml fleet.toml --allow workspace:counter",
    "show": "vanillashore show --settings operator.toml > fleet.toml",
    "key": "vanillashore key new",
    "status": "vanillashore status --settings operator.toml --json",
    "explain": "vanillashore explain --settings operator.toml req-0123456789abcdef",
    "burn": "vanillashore burn --settings operator.toml --picture burn.png",
}


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole tool."""
    parser = argparse.ArgumentParser(
        prog="vanillashore",
        description="Operate a fleet.",
        epilog=_EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add(commands, "check", "check a configuration file", file=True)
    _add(commands, "plan", "show what applying a file would change", settings=True, file=True)
    _add_apply(commands)
    _add(commands, "show", "print the current configuration", settings=True)
    key = _add(commands, "key", "generate a key")
    key.add_argument("action", choices=["new"])
    _add(commands, "status", "show the fleet's processes", settings=True)
    explain = _add(commands, "explain", "show the decisions made about a request", settings=True)
    explain.add_argument("request", help="a request's id")
    burn = _add(commands, "burn", "show how fast error budgets are consumed", settings=True)
    burn.add_argument(
        "--picture", type=Path, metavar="FILE.png", help="draw the report as a PNG image"
    )
    return parser


def _add_apply(commands: argparse._SubParsersAction) -> None:
    apply = _add(commands, "apply", "apply a configuration", settings=True, file=True)
    apply.add_argument(
        "--base",
        type=int,
        help="revision that the change was planned from (default: the current one)",
    )
    apply.add_argument(
        "--wait",
        type=float,
        nargs="?",
        const=DEFAULT_WAIT_S,
        metavar="SECONDS",
        help="wait until it is in force on every live VM; name the VMs where it is not",
    )
    apply.add_argument(
        "--allow",
        action="append",
        default=[],
        metavar="SUBJECT",
        help="allow the change to cut off this workspace or model, such as workspace:counter",
    )


def _add(
    commands: argparse._SubParsersAction,
    name: str,
    help_text: str,
    *,
    settings: bool = False,
    file: bool = False,
) -> argparse.ArgumentParser:
    parser = commands.add_parser(
        name,
        help=help_text,
        description=help_text.capitalize() + ".",
        epilog=f"example:\n  {_EXAMPLES[name]}\n\n{_EXIT_CODES}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    if settings:
        parser.add_argument("--settings", type=Path, required=True, metavar="FILE")
    if file:
        parser.add_argument("file", type=Path)
    parser.add_argument("--json", action="store_true", help="print JSON for scripts")
    return parser
