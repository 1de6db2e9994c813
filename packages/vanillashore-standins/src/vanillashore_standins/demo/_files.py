"""Settings and configuration files of the demo."""

import hashlib
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from vanillashore_standins.demo._fleet import DemoFleet, DemoNode

DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
MODEL = "baker-assistant"
SERVICE = "order-desk"
WORKSPACES = ("counter", "workshop", "wholesale", "stock-room", "accounts")


@attrs.frozen
class FleetShape:
    """Process counts of a fleet, and options of its engines and workspaces.

    ``engine_options`` are fields of `EngineOptions`, ``endpoint_options`` are settings of the
    sidecars; ``slots`` applies to both.
    """

    entries: int = 3
    prefills: int = 4
    decodes: int = 6
    services: int = 3
    slots: int = 20
    engine_options: dict[str, Any] = attrs.Factory(dict)
    endpoint_options: dict[str, float] = attrs.Factory(dict)
    rate_tokens_per_s: float = 20_000.0
    burst_tokens: float = 60_000.0


def node_settings_text(fleet: "DemoFleet", node: "DemoNode") -> str:
    """Return the settings of one node, without its endpoint section."""
    role = "entry" if node.kind == "entry" else "side"
    return f"""[node]
name = "{node.name}"
role = "{role}"
data_centre = "{node.data_centre}"
host = "127.0.0.1"
port = {node.port}
fleet_secret = "{fleet.fleet_secret}"

[platform]
store_address = "{fleet.store_address}"
vm_list_address = "{fleet.vm_list_address}"
vm_list_poll_s = 0.5

[timing]
balancer_delay_s = 0.2
shutdown_wait_s = 5.0
"""


def operator_settings_text(fleet: "DemoFleet") -> str:
    """Return the settings of the operators' command-line tool."""
    return f"""fleet_secret = "{fleet.fleet_secret}"

[platform]
store_address = "{fleet.store_address}"
vm_list_address = "{fleet.vm_list_address}"
"""


def configuration_text(fleet: "DemoFleet") -> str:
    """Return the fleet's configuration; the demo's key belongs to the first workspace."""
    parts = [_workspace(fleet, name, i) for i, name in enumerate(WORKSPACES)]
    parts.append(f'[[model]]\nname = "{MODEL}"\n\n[[service]]\nname = "{SERVICE}"\n')
    parts.append(_route("/orders/pay", "POST", idempotent=False, is_open=False))
    parts.append(_route("/stock", "GET", idempotent=True, is_open=False))
    parts.append(_route("/hours", "GET", idempotent=True, is_open=True))
    parts += [_endpoint(node.name, "prefill", "model", MODEL) for node in fleet.prefills]
    parts += [_endpoint(node.name, "decode", "model", MODEL) for node in fleet.decodes]
    parts += [_endpoint(node.name, "service", "service", SERVICE) for node in fleet.services]
    return "\n".join(parts)


def _workspace(fleet: "DemoFleet", name: str, index: int) -> str:
    text = (
        f'[[workspace]]\nname = "{name}"\n'
        f"rate_tokens_per_s = {fleet.shape.rate_tokens_per_s}\n"
        f"burst_tokens = {fleet.shape.burst_tokens}\n"
    )
    if index == 0:
        sha256 = hashlib.sha256(fleet.key.encode()).hexdigest()
        text += f'key = [{{ id = "demo", sha256 = "{sha256}" }}]\n'
    return text


def _route(path: str, method: str, *, idempotent: bool, is_open: bool) -> str:
    return (
        f'[[route]]\npath = "{path}"\nmethods = ["{method}"]\nservice = "{SERVICE}"\n'
        f"idempotent = {str(idempotent).lower()}\nopen = {str(is_open).lower()}\n"
    )


def _endpoint(vm: str, role: str, kind: str, subject: str) -> str:
    return f'[[endpoint]]\nvm = "{vm}"\nrole = "{role}"\n{kind} = "{subject}"\n'
