"""Run one stand-in as a process: ``python -m vanillashore_standins engine --port 9001``."""

import argparse

import orjson
import uvloop
from aiohttp import web

from vanillashore_standins import (
    EngineOptions,
    EngineState,
    KvState,
    ServiceOptions,
    ServiceState,
    VmListState,
    WeightStoreState,
    engine_app,
    kv_app,
    serve,
    service_app,
    vm_list_app,
    weight_store_app,
)


def main() -> None:
    """Parse the command line and serve the stand-in until SIGINT or SIGTERM."""
    parser = argparse.ArgumentParser(prog="vanillashore_standins")
    parser.add_argument("kind", choices=["engine", "service", "kv", "vm-list", "weights"])
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", default="stand-in")
    parser.add_argument("--model", default="model")
    parser.add_argument("--options", type=orjson.loads, default={}, metavar="JSON")
    parser.add_argument("--lag-s", type=float, default=0.2)
    args = parser.parse_args()
    uvloop.install()
    serve(_build_app(args), args.port)


def _build_app(args: argparse.Namespace) -> web.Application:
    if args.kind == "engine":
        options = EngineOptions(name=args.name, model=args.model, **args.options)
        return engine_app(EngineState(options))
    if args.kind == "service":
        return service_app(ServiceState(ServiceOptions(name=args.name)))
    if args.kind == "kv":
        return kv_app(KvState())
    if args.kind == "vm-list":
        return vm_list_app(VmListState(args.lag_s))
    return weight_store_app(WeightStoreState())


if __name__ == "__main__":
    main()
