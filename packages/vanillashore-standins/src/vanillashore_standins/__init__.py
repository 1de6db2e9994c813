"""Development tools: stand-ins for engines and the platform, the demo and the load generator.

Each stand-in is an aiohttp application that runs in a test or as its own process::

    python -m vanillashore_standins engine --port 9001 --model baker
"""

from vanillashore_standins._byte_tap import ByteTap
from vanillashore_standins._engine_app import engine_app
from vanillashore_standins._engine_state import EngineOptions, EngineState
from vanillashore_standins._kv_app import KvFaults, kv_app
from vanillashore_standins._kv_state import KvState
from vanillashore_standins._load import LoadPlan, LoadReport, run_load
from vanillashore_standins._service_app import ServiceOptions, ServiceState, service_app
from vanillashore_standins._serving import ServedApp, serve
from vanillashore_standins._text_generator import continuation, generate
from vanillashore_standins._vm_list_app import VmListState, vm_list_app
from vanillashore_standins._waiting import wait_until
from vanillashore_standins._weight_store_app import WeightStoreState, weight_store_app

__all__ = [
    "ByteTap",
    "EngineOptions",
    "EngineState",
    "KvFaults",
    "KvState",
    "LoadPlan",
    "LoadReport",
    "ServedApp",
    "ServiceOptions",
    "ServiceState",
    "VmListState",
    "WeightStoreState",
    "continuation",
    "engine_app",
    "generate",
    "kv_app",
    "run_load",
    "serve",
    "service_app",
    "vm_list_app",
    "wait_until",
    "weight_store_app",
]
