"""Orders of role changes that are not sent."""

import random

import pytest

from vanillashore_gateway import Endpoint, EndpointRole
from vanillashore_gateway._duty import DutyState, RoleDuty
from vanillashore_gateway._engine_calls import EngineUnreachableError
from vanillashore_gateway._role_changes import RoleChanges
from vanillashore_gateway._role_plan import RoleChange

ENGINE = Endpoint("p0", "llm", "10.0.0.1", 80, "a", 8, EndpointRole.PREFILL)


class _UnreachableCalls:
    def __init__(self, is_withheld: bool) -> None:
        self._is_withheld = is_withheld

    async def orders_taken(self, endpoint: Endpoint) -> int:
        raise EngineUnreachableError("not now", self._is_withheld)


@pytest.mark.parametrize("is_withheld", [True, False])
async def test_order_that_was_withheld_from_an_engine_is_not_pending(is_withheld: bool) -> None:
    duty = RoleDuty(
        "e1",
        None,
        DutyState(),
        None,
        _UnreachableCalls(is_withheld),
        RoleChanges("e1", lambda: 1.0),
        None,
        None,
        lambda: 1.0,
        random.Random(1),
        0.0,
    )
    duty._is_holder = lambda: True
    await duty._send_order(RoleChange(ENGINE, EndpointRole.DECODE))
    assert len(duty._sent_orders) == (0 if is_withheld else 1)
