"""Settings of one ``vanillashore-node`` process."""

from enum import StrEnum
from pathlib import Path

import attrs

from vanillashore_schema._findings import Finding, FindingsError, Severity
from vanillashore_schema._table import (
    TableReader,
    at_least_zero,
    http_address,
    not_empty,
    option,
    positive,
)
from vanillashore_wire import ErrorCode, VanillashoreError

MIN_FLEET_SECRET_CHARS = 16


class NodeRole(StrEnum):
    """Role of a process: an ENTRY serves callers, a SIDECAR runs next to one endpoint."""

    ENTRY = "entry"
    SIDECAR = "side"


class BackEndKind(StrEnum):
    """Type of back end that runs on an endpoint VM."""

    ENGINE = "engine"
    SERVICE = "service"


def _long_enough(value: str) -> str | None:
    if len(value) >= MIN_FLEET_SECRET_CHARS:
        return None
    return f"must have at least {MIN_FLEET_SECRET_CHARS} characters"


def _port(value: int) -> str | None:
    return None if 0 <= value <= 65_535 else "must be a port from 0 to 65535"


@attrs.frozen
class NodeSection:
    """Identity of this process and the address it listens on."""

    name: str = option(not_empty)
    role: NodeRole = option()
    data_centre: str = option(not_empty)
    host: str = option(not_empty)
    port: int = option(_port)
    fleet_secret: str = option(_long_enough, secret=True)
    region: str = option(default="")
    metrics_token: str = option(default="", secret=True)


@attrs.frozen
class PlatformSettings:
    """Addresses and timing of the platform's services."""

    store_address: str = option(http_address)
    vm_list_address: str = option(http_address)
    store_timeout_s: float = option(positive, default=2.0)
    vm_list_poll_s: float = option(positive, default=1.0)


@attrs.frozen
class EndpointSettings:
    """The endpoint that a sidecar runs next to."""

    address: str = option(http_address)
    kind: BackEndKind = option()
    slots: int = option(positive, default=20)
    prefill_turns: int = option(positive, default=2)
    kv_pieces: int = option(positive, default=200)
    link_pieces_per_s: float = option(positive, default=500.0)
    honours_fencing: bool = option(default=False)


@attrs.frozen
class LimitSettings:
    """Limits on the requests of callers."""

    body_bytes: int = option(positive, default=4_194_304)
    header_bytes: int = option(positive, default=16_384)
    body_timeout_s: float = option(positive, default=10.0)
    request_timeout_s: float = option(positive, default=600.0)
    concurrent_requests: int = option(positive, default=2_000)
    prompt_tokens: int = option(positive, default=131_072)
    max_tokens: int = option(positive, default=16_384)
    default_max_tokens: int = option(positive, default=256)
    write_buffer_bytes: int = option(positive, default=65_536)
    memory_mb: float = option(at_least_zero, default=0.0)


@attrs.frozen
class TimingSettings:
    """Timing of shutdown and of the communication between processes."""

    balancer_delay_s: float = option(at_least_zero, default=5.0)
    shutdown_wait_s: float = option(at_least_zero, default=600.0)
    reservation_valid_s: float = option(positive, default=3.0)
    hold_valid_s: float = option(positive, default=4.0)
    hold_renewal_s: float = option(positive, default=2.0)
    prefill_wait_s: float = option(positive, default=30.0)
    frame_wait_s: float = option(positive, default=10.0)
    transfer_stall_s: float = option(positive, default=3.0)
    link_idle_s: float = option(positive, default=60.0)
    ask_timeout_s: float = option(positive, default=2.0)
    config_wait_s: float = option(positive, default=2.0)
    config_probe_s: float = option(positive, default=2.0)
    cut_off_s: float = option(positive, default=6.0)
    link_coalesce_ms: float = option(at_least_zero, default=2.0)


def _clock_rate_bound(value: float) -> str | None:
    return None if 0 <= value < 0.1 else "must be from 0 to below 0.1"


@attrs.frozen
class ShareSettings:
    """How entries jointly enforce the workspaces' fleet-wide rates.

    ``loan_s``, ``grant_valid_s``, ``grace_s`` and ``clock_rate_bound`` must be the same on all
    entries of a fleet.
    """

    loan_s: float = option(positive, default=2.0)
    renewal_s: float = option(positive, default=0.9)
    clock_rate_bound: float = option(_clock_rate_bound, default=0.001)
    grant_valid_s: float = option(positive, default=0.5)
    interactive_patience_s: float = option(at_least_zero, default=4.0)
    batch_patience_s: float = option(at_least_zero, default=30.0)
    ask_hold_s: float = option(positive, default=0.3)
    ask_timeout_s: float = option(positive, default=0.8)
    demand_s: float = option(positive, default=4.0)
    grace_s: float = option(positive, default=20.0)
    refund_delay_s: float = option(at_least_zero, default=20.0)


@attrs.frozen
class NodeSettings:
    """All settings of one process, read from one TOML file."""

    node: NodeSection = option()
    platform: PlatformSettings = option()
    endpoint: EndpointSettings | None = option(default=None)
    limits: LimitSettings = option(default=attrs.Factory(LimitSettings))
    timing: TimingSettings = option(default=attrs.Factory(TimingSettings))
    share: ShareSettings = option(default=attrs.Factory(ShareSettings))


@attrs.frozen
class OperatorSettings:
    """Platform addresses and the fleet secret that the operators' tool uses."""

    fleet_secret: str = option(_long_enough, secret=True)
    platform: PlatformSettings = option()


def load_operator_settings(path: Path) -> OperatorSettings:
    """Read and check the settings of the operators' tool.

    Raises FindingsError or VanillashoreError as `load_node_settings` does.
    """
    reader = _open(path)
    settings = None if reader.failed else reader.read(OperatorSettings)
    if settings is None or reader.failed:
        raise FindingsError(ErrorCode.SETTINGS_INVALID, reader.findings)
    return settings


def load_node_settings(path: Path) -> tuple[NodeSettings, tuple[Finding, ...]]:
    """Read and check a settings file; return the settings and any warnings.

    Raises FindingsError with all findings, or VanillashoreError if the file cannot be
    read.
    """
    reader = _open(path)
    settings = None if reader.failed else reader.read(NodeSettings)
    if settings is not None:
        _check_role(reader, settings)
    if settings is None or reader.failed:
        raise FindingsError(ErrorCode.SETTINGS_INVALID, reader.findings)
    return settings, tuple(reader.findings)


def _open(path: Path) -> TableReader:
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise VanillashoreError(ErrorCode.FILE_UNREADABLE, f"{path}: {exc}") from exc
    return TableReader(str(path), text)


def _check_role(reader: TableReader, settings: NodeSettings) -> None:
    is_sidecar = settings.node.role is NodeRole.SIDECAR
    if is_sidecar and settings.endpoint is None:
        reader.report("endpoint", "is missing; a sidecar needs its endpoint")
    if not is_sidecar and settings.endpoint is not None:
        reader.report("endpoint", "is allowed for a sidecar only")
    if settings.limits.default_max_tokens > settings.limits.max_tokens:
        reader.report("limits.default_max_tokens", "must not be above limits.max_tokens")
    if settings.timing.hold_renewal_s >= settings.timing.hold_valid_s:
        reader.report("timing.hold_renewal_s", "must be below timing.hold_valid_s")
    if settings.share.renewal_s >= settings.share.loan_s:
        reader.report("share.renewal_s", "must be below share.loan_s")
    if settings.share.grace_s <= 2 * settings.share.loan_s:
        reader.report("share.grace_s", "must be above twice share.loan_s")
    if settings.timing.shutdown_wait_s < settings.limits.request_timeout_s:
        text = "is below limits.request_timeout_s; a shutdown may abort requests"
        reader.report("timing.shutdown_wait_s", text, Severity.WARNING)
