"""Command line and main routine of the ``vanillashore-node`` process."""

import argparse
import asyncio
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import uvloop
from loguru import logger as log

from vanillashore_node._entry import EntryNode
from vanillashore_node._logging import set_up_logging
from vanillashore_node._sidecar import SidecarNode
from vanillashore_schema import FindingsError, NodeRole, NodeSettings, load_node_settings
from vanillashore_wire import VanillashoreError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def main(argv: Sequence[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    args = _parser().parse_args(argv)
    try:
        cfg, warnings = load_node_settings(args.settings)
    except FindingsError as exc:
        for finding in exc.findings:
            print(finding, file=sys.stderr)
        return EXIT_USAGE
    except VanillashoreError as exc:
        print(exc, file=sys.stderr)
        return EXIT_USAGE
    if args.check:
        for warning in warnings:
            print(warning, file=sys.stderr)
        print(f"{args.settings}: ok")
        return EXIT_OK
    set_up_logging(cfg.node.name, args.log_level)
    for warning in warnings:
        log.bind(finding=str(warning)).warning("a setting may be wrong")
    try:
        uvloop.run(_run(cfg))
    except OSError as exc:
        log.bind(error=str(exc)).error("the process cannot start")
        return EXIT_FAILED
    return EXIT_OK


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="vanillashore-node",
        description="Run one process of the fleet: an entry, or the sidecar of an endpoint.",
        epilog="example: vanillashore-node --settings entry-1.toml --check",
    )
    parser.add_argument("--settings", type=Path, required=True, metavar="FILE")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    parser.add_argument(
        "--log-level", default="INFO", choices=["DEBUG", "INFO", "WARNING", "ERROR"]
    )
    return parser


async def _run(cfg: NodeSettings) -> None:
    node = EntryNode(cfg) if cfg.node.role is NodeRole.ENTRY else SidecarNode(cfg)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def on_signal() -> None:
        node.core.record_stop_signal()
        stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await node.start()
    log.bind(address=node.core.address).info("listening")
    await stop.wait()
    await node.core.shut_down()
