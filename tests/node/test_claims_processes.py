"""Payments while processes are killed, frozen and resumed, checked against the service's runs."""

import asyncio

import pytest

from vanillashore_schema import LimitSettings
from vanillashore_standins.payments import (
    DAY_S,
    PaymentResult,
    pay,
    runs,
    service_plan,
    set_service,
)
from vanillashore_standins.testing import FleetBase, ProcessFleet

FREEZE_S = 0.5
CLAIM_PREFIX = "vanillashore/claim/"


def _start_payment(fleet: FleetBase, entry: int = 0) -> "asyncio.Task[PaymentResult]":
    return asyncio.get_running_loop().create_task(pay(fleet, entry))


async def _resend_until_settled(fleet: FleetBase, entry: int) -> PaymentResult:
    got = await pay(fleet, entry)
    while got.code == "in_progress":
        await asyncio.sleep(0.2)
        got = await pay(fleet, entry)
    return got


@pytest.mark.parametrize("resend_at", ["at once", "later", "a day later"])
async def test_entry_killed_during_the_run(resend_at: str) -> None:
    async with ProcessFleet(service_plan()) as fleet:
        set_service(fleet, delay_s=0.5)
        first = _start_payment(fleet)
        await fleet.until(lambda: runs(fleet) == 1)
        fleet.nodes["entry-0"].kill()
        assert (await first).status == 0
        if resend_at == "at once":
            duplicate = await pay(fleet, 1)
            assert (duplicate.code, duplicate.ran) == ("in_progress", "unknown")
        if resend_at == "a day later":
            await asyncio.sleep(1.0)
            fleet.kv.advance(DAY_S)
        again = await _resend_until_settled(fleet, 1)
        assert (again.status, again.replayed) == (200, True), again
        assert runs(fleet) == 1


async def test_entry_killed_before_dispatch() -> None:
    async with ProcessFleet(service_plan()) as fleet:
        sidecars = [fleet.nodes[f"service-{i}"] for i in range(2)]
        for sidecar in sidecars:
            sidecar.freeze()
        first = _start_payment(fleet)
        await asyncio.sleep(FREEZE_S)
        fleet.nodes["entry-0"].kill()
        assert (await first).status == 0
        for sidecar in sidecars:
            sidecar.thaw()
        again = await _resend_until_settled(fleet, 1)
        assert again.status == 200, again
        assert runs(fleet) == 1


async def test_entry_killed_after_the_answer() -> None:
    async with ProcessFleet(service_plan()) as fleet:
        first = await pay(fleet, 0)
        fleet.nodes["entry-0"].kill()
        again = await pay(fleet, 1)
        assert (again.text, again.replayed) == (first.text, True)
        assert runs(fleet) == 1


async def test_entry_resumed_after_the_resend_ran_returns_its_answer() -> None:
    async with ProcessFleet(service_plan()) as fleet:
        fleet.nodes["entry-0"].freeze()
        first = _start_payment(fleet)
        await asyncio.sleep(FREEZE_S)
        again = await pay(fleet, 1)
        fleet.nodes["entry-0"].thaw()
        resumed = await first
        assert again.status == 200
        assert (resumed.text, resumed.replayed) == (again.text, True), resumed
        assert runs(fleet) == 1


async def test_stopped_entry_that_is_resumed_does_not_report_not_run() -> None:
    async with ProcessFleet(service_plan()) as fleet:
        fleet.nodes["entry-0"].freeze()
        first = _start_payment(fleet)
        await asyncio.sleep(FREEZE_S)
        again = await pay(fleet, 1)
        fleet.nodes["entry-0"].terminate()
        fleet.nodes["entry-0"].thaw()
        resumed = await first
        assert again.status == 200
        assert resumed.ran != "no", resumed
        assert runs(fleet) == 1


async def test_sidecar_frozen_between_winning_and_calling() -> None:
    async with ProcessFleet(service_plan(store_timeout_s=2.0)) as fleet:
        fleet.kv_faults.delay_s = 0.4
        first = _start_payment(fleet)
        await fleet.until(lambda: any(k.startswith(CLAIM_PREFIX) for k in fleet.kv.write_requests))
        sidecars = [fleet.nodes[f"service-{i}"] for i in range(2)]
        for sidecar in sidecars:
            sidecar.freeze()
        await asyncio.sleep(0.8)
        fleet.kv_faults.delay_s = 0.0
        assert runs(fleet) == 0
        duplicate = _start_payment(fleet, 1)
        await asyncio.sleep(FREEZE_S)
        for sidecar in sidecars:
            sidecar.thaw()
        got = [await first, await duplicate, await _resend_until_settled(fleet, 1)]
        assert runs(fleet) == 1
        assert got[2].status == 200, got
        assert not [p for p in got if p.ran == "no"], got


async def test_sidecar_frozen_past_the_deadline_does_not_start_the_call() -> None:
    async with ProcessFleet(service_plan(services=1, store_timeout_s=2.0)) as fleet:
        fleet.kv_faults.delay_s = 0.4
        first = _start_payment(fleet)
        await fleet.until(lambda: any(k.startswith(CLAIM_PREFIX) for k in fleet.kv.write_requests))
        fleet.nodes["service-0"].freeze()
        await asyncio.sleep(0.8)
        fleet.kv_faults.delay_s = 0.0
        final_refusal = await first
        assert final_refusal.ran == "unknown", final_refusal
        fleet.nodes["service-0"].thaw()
        await asyncio.sleep(FREEZE_S)
        assert runs(fleet) == 0
        again = await _resend_until_settled(fleet, 1)
        assert again.status == 200, again
        assert runs(fleet) == 1


async def test_sidecar_killed_during_the_run_leaves_the_outcome_unknown() -> None:
    async with ProcessFleet(service_plan()) as fleet:
        set_service(fleet, delay_s=0.5)
        first = _start_payment(fleet)
        await fleet.until(lambda: runs(fleet) == 1)
        ran_on = next(vm for vm, s in fleet.service_states.items() if s.runs)
        fleet.nodes[ran_on].kill()
        got = [await first, await pay(fleet, 1), await pay(fleet, 0)]
        assert {(p.code, p.ran) for p in got} == {("outcome_unknown", "unknown")}, got
        assert runs(fleet) == 1


@pytest.mark.parametrize("key", ["", "k-17"])
async def test_call_reported_as_not_run_never_runs(key: str) -> None:
    limits = LimitSettings(request_timeout_s=2.0)
    async with ProcessFleet(service_plan(services=1, limits=limits)) as fleet:
        fleet.nodes["service-0"].freeze()
        final_refusal = await pay(fleet, 0, key)
        assert final_refusal.ran == "no", final_refusal
        fleet.nodes["service-0"].thaw()
        await asyncio.sleep(2 * FREEZE_S)
        assert runs(fleet) == 0
        assert (await pay(fleet, 1, key)).status == 200
        assert runs(fleet) == 1
