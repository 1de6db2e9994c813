"""Sends payments, for tests of non-idempotent calls, and reports their results."""

import aiohttp
import attrs

from vanillashore_schema import LimitSettings
from vanillashore_standins._fleet_base import FleetBase, FleetPlan

ORDER = "order 17"
IDEMPOTENCY_KEY = "k-17"
DAY_S = 86_400


@attrs.frozen
class PaymentResult:
    """The response to a payment; status 0 means that the connection broke."""

    status: int
    text: str = ""
    code: str = ""
    ran: str = ""
    retry_after: str = ""
    replayed: bool = False


def service_plan(**fields: object) -> FleetPlan:
    """Return a plan of two entries and two replicas of the service, without engines."""
    limits = LimitSettings(request_timeout_s=6.0)
    plan = FleetPlan(entries=2, prefills=0, decodes=0, services=2, limits=limits)
    return attrs.evolve(plan, **fields)


async def pay(
    fleet: FleetBase, entry: int = 0, key: str = IDEMPOTENCY_KEY, body: str = ORDER
) -> PaymentResult:
    """Send one payment and return its result."""
    headers = {"Idempotency-Key": key} if key else {}
    try:
        async with fleet.request("POST", entry, "/pay", data=body, headers=headers) as response:
            text = await response.text()
    except aiohttp.ClientError as exc:
        return PaymentResult(0, repr(exc))
    error = {} if response.status == 200 else (await response.json())["error"]
    return PaymentResult(
        response.status,
        text,
        error.get("code", ""),
        error.get("ran", ""),
        response.headers.get("Retry-After", ""),
        "Idempotency-Replayed" in response.headers,
    )


def runs(fleet: FleetBase, body: str = ORDER) -> int:
    """Return how many times the service stand-ins ran a payment."""
    return sum(s.runs_of("/pay", body.encode()) for s in fleet.service_states.values())


def set_service(fleet: FleetBase, **fields: object) -> None:
    """Set options of every replica of the service."""
    for state in fleet.service_states.values():
        for name, value in fields.items():
            setattr(state.options, name, value)
