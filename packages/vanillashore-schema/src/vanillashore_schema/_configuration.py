"""The operators' declarative configuration: models, services, routes, workspaces and rates."""

import hashlib
from pathlib import Path

import attrs

from vanillashore_schema._findings import Finding, FindingsError
from vanillashore_schema._roles import EndpointRole
from vanillashore_schema._row_checks import check_rows
from vanillashore_schema._table import (
    TableReader,
    at_least_zero,
    not_empty,
    option,
    positive,
)
from vanillashore_wire import ErrorCode, RouteClass, VanillashoreError

SHA256_HEX_CHARS = 64


def hash_key(key: str) -> str:
    """Return the SHA-256 hash by which the configuration identifies a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def _sha256(value: str) -> str | None:
    if len(value) == SHA256_HEX_CHARS and all(c in "0123456789abcdef" for c in value):
        return None
    return "must be a SHA-256 in lower-case hex; `vanillashore key new` prints one"


def _path(value: str) -> str | None:
    return None if value.startswith("/") else 'must start with "/"'


@attrs.frozen
class KeyConfig:
    """One key of a workspace; only its hash is stored, with an id for display."""

    id: str = option(not_empty)
    sha256: str = option(_sha256)
    granted: str = option(default="")


@attrs.frozen
class WorkspaceConfig:
    """A caller's workspace, with its rate limit and scheduling weight."""

    name: str = option(not_empty)
    rate_tokens_per_s: float = option(positive)
    burst_tokens: float = option(positive)
    weight: float = option(positive, default=1.0)
    key: tuple[KeyConfig, ...] = option(default=())


@attrs.frozen
class ModelConfig:
    """A model available to callers, with the version and adapters that its endpoints load."""

    name: str = option(not_empty)
    version: str = option(default="1")
    adapters: tuple[str, ...] = option(default=())
    route_class: RouteClass = option(default=RouteClass.INTERACTIVE)
    context_tokens: int = option(positive, default=131_072)
    first_token_target_ms: float = option(positive, default=1_600.0)
    token_gap_target_ms: float = option(positive, default=32.0)


@attrs.frozen
class ServiceConfig:
    """A plain service."""

    name: str = option(not_empty)


@attrs.frozen
class RouteConfig:
    """A public path that is forwarded to a plain service."""

    path: str = option(_path)
    methods: tuple[str, ...] = option()
    service: str = option(not_empty)
    idempotent: bool = option()
    route_class: RouteClass = option(default=RouteClass.INTERACTIVE)
    open: bool = option(default=False)
    cost_tokens: float = option(at_least_zero, default=1.0)
    target_ms: float = option(positive, default=250.0)


@attrs.frozen
class EndpointConfig:
    """Role of the endpoint on a VM; its address comes from the platform's VM list."""

    vm: str = option(not_empty)
    role: EndpointRole = option()
    model: str = option(default="")
    service: str = option(default="")


@attrs.frozen
class QuarantineConfig:
    """A request that must not run again, identified by the fingerprint given in its refusal."""

    fingerprint: str = option(not_empty)
    reason: str = option(default="")


@attrs.frozen
class Configuration:
    """Everything that operators declare, applied as a whole."""

    workspace: tuple[WorkspaceConfig, ...] = option(default=())
    model: tuple[ModelConfig, ...] = option(default=())
    service: tuple[ServiceConfig, ...] = option(default=())
    route: tuple[RouteConfig, ...] = option(default=())
    endpoint: tuple[EndpointConfig, ...] = option(default=())
    quarantine: tuple[QuarantineConfig, ...] = option(default=())


def load_configuration(path: Path) -> tuple[Configuration, tuple[Finding, ...]]:
    """Read and check a configuration file; return it with any warnings.

    Raises FindingsError with all findings, or VanillashoreError if the file cannot be
    read.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise VanillashoreError(ErrorCode.FILE_UNREADABLE, f"{path}: {exc}") from exc
    return check_configuration(str(path), text)


def check_configuration(file: str, text: str) -> tuple[Configuration, tuple[Finding, ...]]:
    """Check the text of a configuration file; ``file`` names it in findings.

    Raises FindingsError.
    """
    reader = TableReader(file, text)
    config = None if reader.failed else reader.read(Configuration)
    if config is not None:
        check_rows(reader, config)
    if config is None or reader.failed:
        raise FindingsError(ErrorCode.CONFIG_INVALID, reader.findings)
    return config, tuple(reader.findings)
