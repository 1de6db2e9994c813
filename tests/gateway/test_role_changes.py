"""Engines that change their roles, and what entries send them meanwhile."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import pytest

from vanillashore_gateway import Endpoint, EndpointRole, OrderAnswer
from vanillashore_gateway._domain import EndpointStart
from vanillashore_gateway._duty import DutyState, RoleDuty
from vanillashore_gateway._engine_calls import EngineUnreachableError
from vanillashore_gateway._membership import Membership
from vanillashore_gateway._role_changes import (
    CHANGE_S,
    RoleChanges,
    RoleNotice,
    decode_role_notice,
)
from vanillashore_gateway._role_plan import RoleChange
from vanillashore_standins import wait_until
from vanillashore_standins.platform_endpoint import Fault
from vanillashore_standins.platform_rig import PlatformRig
from vanillashore_standins.virtual_time import run_in_virtual_time

ENGINE = Endpoint("d0", "llm", "10.0.0.1", 80, "a", 8, EndpointRole.DECODE, started_ms=3)


async def test_generations_at_all_entries_avoid_an_engine_that_changes_its_role() -> None:
    async with PlatformRig(prefills=2, decodes=3, entries=3) as rig:
        changing = rig.decodes[0]
        changing.faults.extend([Fault.SHED] * 100)  # It still grants reservations.
        gateways = [process.gateway for process in rig.processes]
        start = gateways[0].membership.get(changing.instance).start
        gateways[0].role_changes.announce(start, EndpointRole.PREFILL)
        listed = [gateway.membership.get(changing.instance) for gateway in gateways]
        await wait_until(
            lambda: all(
                g.role_changes.is_changing(e) for g, e in zip(gateways, listed, strict=True)
            )
        )
        answers = await asyncio.gather(
            *(rig.generate("/idea/1", f"id-{n}", entry=n % 3) for n in range(30))
        )
        assert [answer.status for answer in answers] == [200] * 30
        assert changing.arrivals == []
        changing.faults.clear()
        changing.engine.stage = "prefill"
        rig.store.put(f"servers/{changing.instance}", changing.entry())
        await wait_until(
            lambda: all(
                g.membership.get(changing.instance).role is EndpointRole.PREFILL for g in gateways
            )
        )
        assert not any(
            g.role_changes.is_changing(g.membership.get(changing.instance)) for g in gateways
        )


@attrs.define
class _Log:
    """The order of notices and calls."""

    steps: list[str] = attrs.field(factory=list)


@attrs.define
class _Changes:
    log: _Log

    def announce(self, start: EndpointStart, role: EndpointRole | None) -> None:
        self.log.steps.append(f"announce {role}")


@attrs.define
class _Calls:
    log: _Log
    answer: OrderAnswer
    is_withheld: bool

    async def orders_taken(self, endpoint: Endpoint) -> int:
        if self.is_withheld:
            raise EngineUnreachableError("not now", True)
        return 0

    async def order_role(self, order: Any) -> OrderAnswer:
        self.log.steps.append("order")
        return self.answer


@pytest.mark.parametrize(
    ("answer", "is_withheld", "steps"),
    [
        (OrderAnswer.ACCEPTED, False, ["announce prefill", "order", "announce prefill"]),
        (OrderAnswer.FAILED, False, ["announce prefill", "order", "announce prefill"]),
        (OrderAnswer.CONFLICT, False, ["announce prefill", "order", "announce None"]),
        (OrderAnswer.FENCED, False, ["announce prefill", "order", "announce None"]),
        (OrderAnswer.FAILED, True, ["announce prefill", "announce None"]),
    ],
)
def test_other_entries_are_notified_before_the_order_and_if_it_is_refused(
    answer: OrderAnswer, is_withheld: bool, steps: list[str]
) -> None:
    log = _Log()

    async def order() -> None:
        duty = _duty(_Calls(log, answer, is_withheld), _Changes(log))
        await duty._send_orders([RoleChange(ENGINE, EndpointRole.PREFILL)])

    run_in_virtual_time(order())
    assert log.steps == steps


def test_new_holder_does_not_repeat_an_order_that_is_being_carried_out() -> None:
    async def plan() -> None:
        loop = asyncio.get_running_loop()
        changes = RoleChanges("e1", loop.time)
        members = Membership()
        pool = [attrs.evolve(ENGINE, instance=f"d{n}") for n in range(3)]
        members.replace_all(pool, loop.time())
        duty = _duty(None, changes, members)
        assert duty._due_changes() == []  # The plan has to settle.
        await asyncio.sleep(2.0)
        (change,) = duty._due_changes()
        changes.announce(change.endpoint.start, change.role)
        assert duty._due_changes() == []
        await asyncio.sleep(CHANGE_S)
        assert duty._due_changes() == [change]

    run_in_virtual_time(plan())


def test_several_engines_are_announced_together_and_then_ordered() -> None:
    log = _Log()

    async def order() -> None:
        duty = _duty(_Calls(log, OrderAnswer.ACCEPTED, False), _Changes(log))
        engines = [attrs.evolve(ENGINE, instance=f"d{n}") for n in range(3)]
        began = asyncio.get_running_loop().time()
        await duty._send_orders([RoleChange(e, EndpointRole.PREFILL) for e in engines])
        assert asyncio.get_running_loop().time() - began < 1.0

    run_in_virtual_time(order())
    assert log.steps[:4] == ["announce prefill"] * 3 + ["order"]


def test_entry_that_has_lost_the_duty_takes_its_notices_back() -> None:
    log = _Log()

    async def order() -> None:
        duty = _duty(_Calls(log, OrderAnswer.ACCEPTED, False), _Changes(log))
        duty._is_holder = lambda: False
        await duty._send_orders([RoleChange(ENGINE, EndpointRole.PREFILL)])

    run_in_virtual_time(order())
    assert log.steps == ["announce prefill", "announce None"]


def _duty(calls: Any, changes: Any, members: Membership | None = None) -> RoleDuty:
    clock: Callable[[], float] = asyncio.get_running_loop().time
    duty = RoleDuty("e1", None, DutyState(), members, calls, changes, None, None, clock, None, 0.0)
    duty._is_holder = lambda: True
    return duty


def test_notice_holds_until_the_record_shows_the_role_or_the_order_counts_as_lost() -> None:
    now = 5.0
    changes = RoleChanges("e1", lambda: now)
    changes.announce(ENGINE.start, EndpointRole.PREFILL)
    assert changes.is_changing(ENGINE)
    assert not changes.is_changing(attrs.evolve(ENGINE, started_ms=4))
    now += CHANGE_S
    assert not changes.is_changing(ENGINE)
    changes.announce(ENGINE.start, EndpointRole.PREFILL)
    assert not changes.is_changing(attrs.evolve(ENGINE, role=EndpointRole.PREFILL))
    changes.announce(ENGINE.start, EndpointRole.PREFILL)
    changes.announce(ENGINE.start, None)
    assert not changes.is_changing(ENGINE)


@pytest.mark.parametrize("role", [EndpointRole.DECODE, None])
def test_notices_survive_encoding(role: EndpointRole | None) -> None:
    notice = RoleNotice(ENGINE.start, role)
    assert decode_role_notice(notice.encode()) == notice


@pytest.mark.parametrize(
    "data", [b'["role change","d0",1,"chief"]', b'["role change","d0"]', b"[]", b"{"]
)
def test_malformed_notices_are_rejected(data: bytes) -> None:
    with pytest.raises(ValueError, match=r"."):
        decode_role_notice(data)
