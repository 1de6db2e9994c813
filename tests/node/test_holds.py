"""No engine memory and no hold remains for a request that has ended."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import pytest

from vanillashore_node import EntryNode, SidecarNode
from vanillashore_node._reconciliation import Reconciliation
from vanillashore_placement import rank_by_affinity
from vanillashore_schema import TimingSettings
from vanillashore_standins import EngineOptions, generate
from vanillashore_standins.testing import MODEL, WORKSPACE, FleetPlan, SmallFleet
from vanillashore_wire import HoldEnd, ReserveRequest, ReserveWithdraw

FREED_WITHIN_S = 5.0
LONG_PROMPT = "x" * 40_000
SHORT_HOLDS = TimingSettings(
    balancer_delay_s=0.0,
    reservation_valid_s=0.6,
    hold_valid_s=0.8,
    hold_renewal_s=0.3,
    transfer_stall_s=0.5,
    ask_timeout_s=0.5,
)
ENGINE = EngineOptions(step_s=0.005, prefill_s_per_token=0.00001, export_keep_s=60.0)
PLAN = FleetPlan(engine=ENGINE, timing=SHORT_HOLDS)


def is_all_freed(fleet: SmallFleet) -> bool:
    schedulers = [sidecar.reservations.scheduler for sidecar in fleet.sidecars.values()]
    held = sum(len(scheduler.holds) + scheduler.load.waiting for scheduler in schedulers)
    return fleet.held_pieces() == 0 and held == 0


def holds_of(fleet: SmallFleet, kind: str) -> int:
    return sum(
        hold.request.kind.value == kind
        for sidecar in fleet.sidecars.values()
        for hold in sidecar.reservations.scheduler.holds
    )


async def complete(fleet: SmallFleet, max_tokens: int = 5, prompt: str = LONG_PROMPT) -> Any:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
    async with fleet.post(0, "/v1/completions", body) as response:
        return await response.json()


@pytest.mark.parametrize("phase", ["prefill", "transfer", "decode"])
@pytest.mark.parametrize("with_sweeps", [True, False])
async def test_cancelled_request_frees_everything(
    phase: str, with_sweeps: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not with_sweeps:
        monkeypatch.setattr(Reconciliation, "sweep", _ignore)
    async with SmallFleet(PLAN) as fleet:
        prefill = fleet.engines["prefill-0"]
        if phase == "prefill":
            prefill.options.prefill_s_per_token = 0.001
        prefill.options.stall_transfers = phase == "transfer"
        reached: dict[str, Callable[[], bool]] = {
            "prefill": lambda: bool(prefill.memory.held),
            "transfer": lambda: bool(prefill.memory.exports),
            "decode": lambda: sum(e.ledger.decoded_tokens for e in fleet.engines.values()) > 3,
        }
        task = asyncio.create_task(complete(fleet, max_tokens=10_000))
        await fleet.until(reached[phase])
        task.cancel()
        await fleet.until(lambda: is_all_freed(fleet), FREED_WITHIN_S)


async def test_cancelled_request_leaves_the_queue() -> None:
    plan = attrs.evolve(PLAN, decodes=1, engine=attrs.evolve(ENGINE, slots=1))
    async with SmallFleet(plan) as fleet:
        scheduler = fleet.sidecars["decode-0"].reservations.scheduler
        running = asyncio.create_task(complete(fleet, max_tokens=10_000))
        await fleet.until(lambda: scheduler.holds.in_use() == 1)
        queued = asyncio.create_task(complete(fleet))
        await fleet.until(lambda: scheduler.load.waiting == 1)
        queued.cancel()
        await fleet.until(lambda: scheduler.load.waiting == 0, FREED_WITHIN_S)
        running.cancel()
        await fleet.until(lambda: is_all_freed(fleet), FREED_WITHIN_S)


async def _hang(*args: object) -> None:
    await asyncio.Event().wait()


async def _ignore(*args: object) -> None:
    return None


def lose_grants(fleet: SmallFleet) -> None:
    def without_reply(sidecar: SidecarNode) -> Callable[..., Any]:
        async def handle(message: ReserveRequest, sender: str) -> None:
            await sidecar.reservations.reserve(message, sender)
            await asyncio.Event().wait()

        return handle

    for sidecar in fleet.sidecars.values():
        sidecar.core.hub.on(ReserveRequest, without_reply(sidecar))
        sidecar.core.hub.on(ReserveWithdraw, _ignore)


def lose_hold_ends(fleet: SmallFleet) -> None:
    for sidecar in fleet.sidecars.values():
        sidecar.core.hub.on(HoldEnd, _ignore)


def lose_prefill_replies(fleet: SmallFleet) -> None:
    entry: EntryNode = fleet.entries[0]
    ask = entry._sidecars.prefill

    async def lost(*args: Any) -> None:
        await ask(*args)
        await asyncio.sleep(60.0)

    entry._sidecars.prefill = lost
    lose_hold_ends(fleet)


@pytest.mark.parametrize("fault", [lose_grants, lose_hold_ends, lose_prefill_replies])
async def test_holds_expire_when_the_message_that_frees_them_is_lost(
    fault: Callable[[SmallFleet], None],
) -> None:
    async with SmallFleet(PLAN) as fleet:
        fault(fleet)
        task = asyncio.create_task(complete(fleet))
        await fleet.until(
            lambda: any(len(s.reservations.scheduler.holds) for s in fleet.sidecars.values())
        )
        await asyncio.wait([task], timeout=1.0)
        task.cancel()
        await fleet.until(lambda: is_all_freed(fleet), FREED_WITHIN_S)


async def test_decode_reservation_is_renewed_during_a_slow_prefill() -> None:
    async with SmallFleet(PLAN) as fleet:
        fleet.engines["prefill-0"].options.prefill_s_per_token = 0.0002
        answer = await complete(fleet)
        assert answer["choices"][0]["text"] == generate(LONG_PROMPT, 5)
        [prefill] = fleet.engines["prefill-0"].ledger.prefills
        assert prefill.endswith("/1/prefill")


async def test_stalled_transfer_is_retried_elsewhere_without_blocking_others() -> None:
    async with SmallFleet(attrs.evolve(PLAN, prefills=2)) as fleet:
        fleet.engines["prefill-0"].options.stall_transfers = True
        prompts = [f"{i}" + LONG_PROMPT for i in range(8)]
        answers = await asyncio.gather(*(complete(fleet, 5, p) for p in prompts))
        assert [a["choices"][0]["text"] for a in answers] == [generate(p, 5) for p in prompts]
        assert fleet.engines["prefill-0"].ledger.prefills
        await fleet.until(lambda: is_all_freed(fleet), FREED_WITHIN_S)


async def test_next_attempt_uses_another_endpoint() -> None:
    async with SmallFleet(attrs.evolve(PLAN, prefills=2)) as fleet:
        names = ["prefill-0", "prefill-1"]
        first = rank_by_affinity(WORKSPACE, LONG_PROMPT, names)[0]
        fleet.engines[first].options.stall_transfers = True
        answer = await complete(fleet)
        assert answer["choices"][0]["text"] == generate(LONG_PROMPT, 5)
        assert len(fleet.engines[first].ledger.prefills) == 1


async def test_unclaimed_engine_memory_is_freed() -> None:
    async with SmallFleet(PLAN) as fleet:
        engine = fleet.engines["decode-0"]
        engine.hold_for_import("of-an-earlier-incarnation/1/decode", 5_000)
        await fleet.until(lambda: fleet.held_pieces() == 0, FREED_WITHIN_S)


async def test_leaving_endpoint_gets_no_new_work() -> None:
    async with SmallFleet(PLAN) as fleet:
        leaving = fleet.sidecars["decode-0"]
        state = {"name": "decode-0", "address": leaving.core.address, "kind": "endpoint"}
        listed = {"data_centre": leaving.core.cfg.node.data_centre, "state": "leaving"}
        fleet.vm_list.put(state | listed)
        await fleet.until(lambda: leaving.reservations.scheduler.is_leaving, 3.0)
        fleet.entries[0].core.directory.apply_vm_list = lambda vms: None
        before = len(fleet.engines["decode-0"].ledger.decodes)
        for i in range(6):
            answer = await complete(fleet, 3, f"cake {i}")
            assert answer["choices"][0]["text"] == generate(f"cake {i}", 3)
        assert len(fleet.engines["decode-0"].ledger.decodes) == before
