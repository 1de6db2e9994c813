"""Payments, for tests of calls that may run at most once."""

from vanillashore_standins._payments import (
    DAY_S,
    IDEMPOTENCY_KEY,
    ORDER,
    PaymentResult,
    pay,
    runs,
    service_plan,
    set_service,
)

__all__ = [
    "DAY_S",
    "IDEMPOTENCY_KEY",
    "ORDER",
    "PaymentResult",
    "pay",
    "runs",
    "service_plan",
    "set_service",
]
