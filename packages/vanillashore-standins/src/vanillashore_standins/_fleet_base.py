"""Base of the small fleets: their plan, configuration and stand-ins on loopback ports."""

import asyncio
import sys
from collections.abc import Callable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Any, Self

import aiohttp
import attrs

from vanillashore_schema import (
    BackEndKind,
    Configuration,
    EndpointConfig,
    EndpointRole,
    EndpointSettings,
    KeyConfig,
    LimitSettings,
    ModelConfig,
    NodeRole,
    NodeSection,
    NodeSettings,
    PlatformSettings,
    RouteConfig,
    ServiceConfig,
    ShareSettings,
    TimingSettings,
    WorkspaceConfig,
    hash_key,
)
from vanillashore_standins._engine_app import engine_app
from vanillashore_standins._engine_state import EngineOptions, EngineState
from vanillashore_standins._kv_app import KvFaults, kv_app
from vanillashore_standins._kv_state import KvState
from vanillashore_standins._service_app import ServiceOptions, ServiceState, service_app
from vanillashore_standins._serving import ServedApp
from vanillashore_standins._vm_list_app import VmListState, vm_list_app
from vanillashore_store import ConfigStore, EtcdStore

MODEL = "model-a"
SERVICE = "service-a"
WORKSPACE = "workspace-a"
KEY = "key-of-workspace-a"
OTHER_WORKSPACE = "workspace-b"
OTHER_KEY = "key-of-workspace-b"
FLEET_SECRET = "0123456789abcdef0123"
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
DEFAULT_WAIT_S = 10.0
POLL_S = 0.01


@attrs.frozen
class FleetPlan:
    """Composition and settings of a small fleet."""

    entries: int = 1
    prefills: int = 1
    decodes: int = 2
    services: int = 1
    engine: EngineOptions = EngineOptions(step_s=0.002, prefill_s_per_token=0.00001)
    service: ServiceOptions = ServiceOptions()
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings(balancer_delay_s=0.0, shutdown_wait_s=5.0)
    share: ShareSettings = ShareSettings()
    store_timeout_s: float = 0.5
    first_token_target_ms: float = 1_600.0
    vm_list_poll_s: float = 0.05


def small_configuration(plan: FleetPlan) -> Configuration:
    """Return the configuration of a small fleet: two workspaces, one model, one service."""
    return Configuration(
        workspace=(_workspace(WORKSPACE, KEY), _workspace(OTHER_WORKSPACE, OTHER_KEY)),
        model=(ModelConfig(MODEL, first_token_target_ms=plan.first_token_target_ms),),
        service=(ServiceConfig(SERVICE),),
        route=(
            RouteConfig("/pay", ("POST",), SERVICE, idempotent=False),
            RouteConfig("/stock", ("GET",), SERVICE, idempotent=True),
            RouteConfig("/hours", ("GET",), SERVICE, idempotent=True, open=True),
        ),
        endpoint=(
            *_endpoints("prefill", EndpointRole.PREFILL, plan.prefills),
            *_endpoints("decode", EndpointRole.DECODE, plan.decodes),
            *_endpoints("service", EndpointRole.SERVICE, plan.services),
        ),
    )


class FleetBase:
    """Stand-ins of a fleet and requests to it; subclasses start the nodes.

    ``engines`` and ``service_states`` are keyed by VM name and record what was executed.
    """

    def __init__(self, plan: FleetPlan | None = None) -> None:
        self.plan = plan or FleetPlan()
        self.kv = KvState()
        self.kv_faults = KvFaults()
        self.vm_list = VmListState()
        self.engines: dict[str, EngineState] = {}
        self.service_states: dict[str, ServiceState] = {}
        self.session: aiohttp.ClientSession
        self._stack = AsyncExitStack()
        self._platform: PlatformSettings
        self._node_count = 0

    async def __aenter__(self) -> Self:
        try:
            await self._start()
        except BaseException:
            await self._stack.__aexit__(*sys.exc_info())
            raise
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.__aexit__(exc_type, exc, trace)

    async def start_sidecar(self, vm: str, endpoint: EndpointSettings) -> None:
        """Start a sidecar and add its VM to the VM list."""
        raise NotImplementedError

    async def start_entry(self, vm: str) -> None:
        """Start an entry and add its VM to the VM list."""
        raise NotImplementedError

    async def wait_until_serving(self, revision: int) -> None:
        """Wait until every node has a configuration and the VM list."""
        raise NotImplementedError

    def entry_address(self, entry: int) -> str:
        """Return the address of an entry."""
        raise NotImplementedError

    @property
    def config_store(self) -> ConfigStore:
        """Client of the configuration store, connected as an operator's tool would be."""
        return ConfigStore(EtcdStore(self.session, self._platform.store_address, 2.0))

    async def apply(self, config: Configuration, base: int) -> None:
        """Apply a configuration and wait until all nodes have it in force."""
        head = await self.config_store.apply(config, base)
        await self.wait_until_serving(head.revision)

    async def until(self, condition: Callable[[], bool], wait_s: float = DEFAULT_WAIT_S) -> None:
        """Wait until a condition holds; raise TimeoutError after ``wait_s``."""
        async with asyncio.timeout(wait_s):
            while not condition():
                await asyncio.sleep(POLL_S)

    def post(self, entry: int, path: str, body: Any, key: str = KEY, **kwargs: Any) -> Any:
        """Send a JSON request to an entry; return a context manager that yields the response."""
        return self.request("POST", entry, path, key=key, json=body, **kwargs)

    def get(self, entry: int, path: str, key: str = KEY, **kwargs: Any) -> Any:
        """Send a GET request to an entry; return a context manager that yields the response."""
        return self.request("GET", entry, path, key=key, **kwargs)

    def request(self, method: str, entry: int, path: str, key: str = KEY, **kwargs: Any) -> Any:
        """Send any request to an entry; return a context manager that yields the response."""
        headers = {"Authorization": f"Bearer {key}"} | kwargs.pop("headers", {})
        return self.session.request(
            method, self.entry_address(entry) + path, headers=headers, **kwargs
        )

    def held_pieces(self) -> int:
        """Return the number of KV pieces that all engines hold now."""
        return sum(sum(engine.holdings().values()) for engine in self.engines.values())

    async def start_engine(self, vm: str) -> None:
        """Start an engine and its sidecar on a VM."""
        options = attrs.evolve(self.plan.engine, name=vm, model=MODEL)
        self.engines[vm] = EngineState(options)
        address = await self._serve(engine_app(self.engines[vm]))
        await self.start_sidecar(vm, EndpointSettings(address, BackEndKind.ENGINE, options.slots))

    async def start_service(self, vm: str) -> None:
        """Start a plain service and its sidecar on a VM."""
        self.service_states[vm] = ServiceState(attrs.evolve(self.plan.service, name=vm))
        address = await self._serve(service_app(self.service_states[vm]))
        await self.start_sidecar(vm, EndpointSettings(address, BackEndKind.SERVICE))

    async def _start(self) -> None:
        self.session = await self._stack.enter_async_context(aiohttp.ClientSession())
        store = await self._serve(kv_app(self.kv, self.kv_faults))
        vm_list = await self._serve(vm_list_app(self.vm_list))
        timeout_s = self.plan.store_timeout_s
        self._platform = PlatformSettings(store, vm_list, timeout_s, self.plan.vm_list_poll_s)
        for i in range(self.plan.prefills):
            await self.start_engine(f"prefill-{i}")
        for i in range(self.plan.decodes):
            await self.start_engine(f"decode-{i}")
        for i in range(self.plan.services):
            await self.start_service(f"service-{i}")
        for i in range(self.plan.entries):
            await self.start_entry(f"entry-{i}")
        await self.apply(small_configuration(self.plan), 0)

    async def _serve(self, app: Any) -> str:
        served = await self._stack.enter_async_context(ServedApp(app))
        return served.address

    def _settings(
        self, vm: str, role: NodeRole, endpoint: EndpointSettings | None, port: int = 0
    ) -> NodeSettings:
        data_centre = DATA_CENTRES[self._node_count % len(DATA_CENTRES)]
        self._node_count += 1
        section = NodeSection(vm, role, data_centre, "127.0.0.1", port, FLEET_SECRET)
        plan = self.plan
        return NodeSettings(section, self._platform, endpoint, plan.limits, plan.timing, plan.share)

    def _add_to_vm_list(self, cfg: NodeSettings, address: str) -> None:
        self.vm_list.put(
            {
                "name": cfg.node.name,
                "address": address,
                "data_centre": cfg.node.data_centre,
                "kind": "entry" if cfg.node.role is NodeRole.ENTRY else "endpoint",
                "state": "live",
            }
        )


def _workspace(name: str, key: str) -> WorkspaceConfig:
    return WorkspaceConfig(name, 1e6, 1e6, key=(KeyConfig("main", hash_key(key)),))


def _endpoints(prefix: str, role: EndpointRole, count: int) -> list[EndpointConfig]:
    if role is EndpointRole.SERVICE:
        return [EndpointConfig(f"{prefix}-{i}", role, service=SERVICE) for i in range(count)]
    return [EndpointConfig(f"{prefix}-{i}", role, model=MODEL) for i in range(count)]
