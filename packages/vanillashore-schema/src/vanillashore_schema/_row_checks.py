"""Checks across the rows of a configuration: repeated, undeclared and unused names."""

from typing import TYPE_CHECKING

from vanillashore_schema._findings import Severity
from vanillashore_schema._roles import EndpointRole
from vanillashore_schema._table import TableReader, nearest_match

if TYPE_CHECKING:
    from vanillashore_schema._configuration import Configuration


def check_rows(reader: TableReader, config: "Configuration") -> None:
    """Report findings in ``config`` that checks of single fields cannot detect."""
    _check_names(reader, config)
    _check_references(reader, config)
    _warn_of_unusable(reader, config)


def _check_names(reader: TableReader, config: "Configuration") -> None:
    _check_unique(reader, "workspace", [w.name for w in config.workspace], "name")
    _check_unique(reader, "model", [m.name for m in config.model], "name")
    _check_unique(reader, "service", [s.name for s in config.service], "name")
    _check_unique(reader, "endpoint", [e.vm for e in config.endpoint], "vm")
    fingerprints = [q.fingerprint for q in config.quarantine]
    _check_unique(reader, "quarantine", fingerprints, "fingerprint")
    hashes = [
        (f"workspace[{i}].key[{j}].sha256", key.sha256)
        for i, workspace in enumerate(config.workspace)
        for j, key in enumerate(workspace.key)
    ]
    _report_repeated(reader, hashes)
    routes = [
        (f"route[{i}].path", f"{method} {route.path}")
        for i, route in enumerate(config.route)
        for method in route.methods
    ]
    _report_repeated(reader, routes)


def _check_unique(reader: TableReader, table: str, values: list[str], field: str) -> None:
    _report_repeated(reader, [(f"{table}[{i}].{field}", v) for i, v in enumerate(values)])


def _report_repeated(reader: TableReader, keyed_values: list[tuple[str, str]]) -> None:
    first: dict[str, str] = {}
    for key, value in keyed_values:
        earlier = first.setdefault(value, key)
        if earlier != key:
            reader.report(key, f"repeats {value!r} of {earlier}")


def _check_references(reader: TableReader, config: "Configuration") -> None:
    models = [m.name for m in config.model]
    services = [s.name for s in config.service]
    for i, route in enumerate(config.route):
        _check_declared(reader, f"route[{i}].service", route.service, services)
    for i, endpoint in enumerate(config.endpoint):
        if endpoint.role is EndpointRole.SERVICE:
            _check_declared(reader, f"endpoint[{i}].service", endpoint.service, services)
        else:
            _check_declared(reader, f"endpoint[{i}].model", endpoint.model, models)


def _check_declared(reader: TableReader, key: str, name: str, names: list[str]) -> None:
    if name not in names:
        reader.report(key, f"names {name!r}, which is not declared{nearest_match(name, names)}")


def _warn_of_unusable(reader: TableReader, config: "Configuration") -> None:
    served = {(e.role, e.service or e.model) for e in config.endpoint}
    for i, model in enumerate(config.model):
        for role in (EndpointRole.PREFILL, EndpointRole.DECODE):
            if (role, model.name) not in served:
                text = f"has no {role.value} endpoint; its requests will be refused"
                reader.report(f"model[{i}].name", text, Severity.WARNING)
    for i, service in enumerate(config.service):
        if (EndpointRole.SERVICE, service.name) not in served:
            text = "has no endpoint; its calls will be refused"
            reader.report(f"service[{i}].name", text, Severity.WARNING)
    for i, workspace in enumerate(config.workspace):
        if not workspace.key:
            text = "has no key; nobody can use it"
            reader.report(f"workspace[{i}].name", text, Severity.WARNING)
