"""A process's view of the fleet: the configuration joined with the VM list."""

from collections import defaultdict
from collections.abc import Callable

import attrs

from vanillashore_schema import (
    Configuration,
    EndpointConfig,
    EndpointRole,
    ModelConfig,
    RouteConfig,
    WorkspaceConfig,
)
from vanillashore_store import ConfigSnapshot, VmEntry, VmState
from vanillashore_wire import ErrorCode, RefusalError, Refused


@attrs.frozen
class Endpoint:
    """An endpoint that accepts work, with the address of its sidecar."""

    vm: str
    address: str
    data_centre: str


class Directory:
    """Holds the newest configuration and VM list; the revision never decreases."""

    def __init__(self) -> None:
        self._snapshot = ConfigSnapshot(0, Configuration())
        self._vm_list: tuple[VmEntry, ...] = ()
        self._vms: dict[str, VmEntry] = {}
        self._last_addresses: dict[str, str] = {}
        self._workspaces: dict[str, WorkspaceConfig] = {}
        self._workspace_of_key: dict[str, str] = {}
        self._models: dict[str, ModelConfig] = {}
        self._routes: dict[str, list[RouteConfig]] = {}
        self._endpoints: dict[tuple[EndpointRole, str], list[EndpointConfig]] = {}
        self._endpoint_of_vm: dict[str, EndpointConfig] = {}
        self._listeners: list[Callable[[ConfigSnapshot], None]] = []

    @property
    def revision(self) -> int:
        """Revision in effect in this process; 0 before the first configuration."""
        return self._snapshot.revision

    @property
    def snapshot(self) -> ConfigSnapshot:
        """The configuration in effect in this process."""
        return self._snapshot

    @property
    def vms(self) -> tuple[VmEntry, ...]:
        """The VM list that was received last."""
        return tuple(self._vms.values())

    def on_change(self, listener: Callable[[ConfigSnapshot], None]) -> None:
        """Call ``listener`` after each change of the configuration."""
        self._listeners.append(listener)

    def apply_snapshot(self, snapshot: ConfigSnapshot) -> None:
        """Apply a configuration if it is newer than the current one."""
        if snapshot.revision <= self._snapshot.revision:
            return
        self._snapshot = snapshot
        self._index(snapshot.configuration)
        for listener in self._listeners:
            listener(snapshot)

    def apply_vm_list(self, vms: tuple[VmEntry, ...]) -> None:
        """Replace the VM list."""
        if vms is not self._vm_list:
            self._vm_list = vms
            self._vms = {vm.name: vm for vm in vms}
            self._last_addresses |= {vm.name: vm.address for vm in vms}

    def last_address_of(self, vm: str) -> str | None:
        """Return the last listed address of a VM, also after the VM has left the list."""
        return self._last_addresses.get(vm)

    def vm(self, name: str) -> VmEntry | None:
        """Return a VM by name, if it is listed."""
        return self._vms.get(name)

    def workspace_of_key(self, key_hash: str) -> WorkspaceConfig | None:
        """Return the workspace that a key belongs to."""
        name = self._workspace_of_key.get(key_hash)
        return self._workspaces.get(name) if name else None

    def workspace(self, name: str) -> WorkspaceConfig | None:
        """Return a workspace by name."""
        return self._workspaces.get(name)

    def models(self) -> list[ModelConfig]:
        """Return all models."""
        return list(self._models.values())

    def model(self, name: str) -> ModelConfig:
        """Return a model; raise RefusalError if it is not declared."""
        model = self._models.get(name)
        if model is None:
            raise RefusalError(Refused(ErrorCode.MODEL_UNKNOWN, f"no model {name!r} here"))
        return model

    def has_route(self, path: str) -> bool:
        """Return whether a route is declared for a path."""
        return path in self._routes

    def route(self, method: str, path: str) -> RouteConfig:
        """Return the route of a call; raise RefusalError if there is none."""
        routes = self._routes.get(path)
        if routes is None:
            raise RefusalError(Refused(ErrorCode.ROUTE_UNKNOWN, f"no route {path!r} here"))
        for route in routes:
            if method in route.methods:
                return route
        raise RefusalError(Refused(ErrorCode.METHOD_NOT_ALLOWED, f"{method} is not allowed here"))

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a call may be repeated; a path without a route counts as idempotent."""
        routes = self._routes.get(path, ())
        return all(route.idempotent for route in routes if method in route.methods)

    def endpoints(self, role: EndpointRole, subject: str) -> list[Endpoint]:
        """Return the live endpoints of a model or service in ``role``."""
        found = []
        for config in self._endpoints.get((role, subject), ()):
            vm = self._vms.get(config.vm)
            if vm is not None and vm.state is VmState.LIVE:
                found.append(Endpoint(vm.name, vm.address, vm.data_centre))
        return found

    def address_of(self, vm: str) -> str | None:
        """Return the address of the process on ``vm``, if the VM is listed."""
        entry = self._vms.get(vm)
        return entry.address if entry else None

    def endpoint_config(self, vm: str) -> EndpointConfig | None:
        """Return the declared configuration of the endpoint on ``vm``."""
        return self._endpoint_of_vm.get(vm)

    def _index(self, config: Configuration) -> None:
        self._workspaces = {w.name: w for w in config.workspace}
        self._workspace_of_key = {k.sha256: w.name for w in config.workspace for k in w.key}
        self._models = {m.name: m for m in config.model}
        self._endpoint_of_vm = {e.vm: e for e in config.endpoint}
        routes: dict[str, list[RouteConfig]] = defaultdict(list)
        for route in config.route:
            routes[route.path].append(route)
        self._routes = dict(routes)
        endpoints: dict[tuple[EndpointRole, str], list[EndpointConfig]] = defaultdict(list)
        for endpoint in config.endpoint:
            subject = endpoint.service or endpoint.model
            endpoints[endpoint.role, subject].append(endpoint)
        self._endpoints = dict(endpoints)
