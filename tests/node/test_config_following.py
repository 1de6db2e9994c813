"""Fault cases of following the configuration, with entries and sidecars on loopback."""

import asyncio
import random
from typing import Any

import attrs
import pytest

from vanillashore_node import EntryNode
from vanillashore_node._core import NodeCore
from vanillashore_schema import Configuration, TimingSettings, WorkspaceConfig, hash_key
from vanillashore_standins import EngineOptions, generate
from vanillashore_standins.testing import (
    KEY,
    MODEL,
    OTHER_KEY,
    FleetPlan,
    SmallFleet,
    small_configuration,
)
from vanillashore_store import (
    CHUNK_PREFIX,
    HEAD_KEY,
    CasResult,
    ConfigReplica,
    ConfigStore,
    ConflictError,
    EtcdStore,
)
from vanillashore_store._config_chunks import split
from vanillashore_wire import Ack, ConfigHead, RefusalError

SHORT_TIMING = TimingSettings(
    balancer_delay_s=0.0,
    shutdown_wait_s=1.0,
    config_wait_s=0.3,
    config_probe_s=0.3,
    cut_off_s=1.5,
    ask_timeout_s=0.5,
)
INSTALL_TIMEOUT_S = 3.0
APPLY_READS = 2  # The index and the replaced chunk, which are read for the withdrawn keys.


def _plan(entries: int, services: int = 0) -> FleetPlan:
    return FleetPlan(
        entries=entries,
        prefills=0,
        decodes=0,
        services=services,
        timing=SHORT_TIMING,
        store_timeout_s=0.2,
    )


def _without_key(config: Configuration, workspace: int) -> Configuration:
    workspaces = list(config.workspace)
    workspaces[workspace] = attrs.evolve(workspaces[workspace], key=())
    return attrs.evolve(config, workspace=tuple(workspaces))


def _relays(fleet: SmallFleet) -> list[EntryNode]:
    return [entry for entry in fleet.entries if entry.core.config_follower.is_relay]


def _is_key_in_doubt(core: NodeCore) -> bool:
    try:
        core.config_follower.check_key(hash_key(KEY))
    except RefusalError:
        return True
    return False


def _is_cut_off(core: NodeCore) -> bool:
    try:
        core.config_follower.check_contact()
    except RefusalError:
        return True
    return False


def _with_rate(plan: FleetPlan, rate: float) -> Configuration:
    config = small_configuration(plan)
    first = attrs.evolve(config.workspace[0], rate_tokens_per_s=rate)
    return attrs.evolve(config, workspace=(first, *config.workspace[1:]))


async def _completion(fleet: SmallFleet, body: dict[str, object], key: str) -> tuple[int, str]:
    async with fleet.post(0, "/v1/completions", body, key=key) as response:
        answer = await response.json()
    return response.status, answer["choices"][0]["text"] if response.status == 200 else ""


async def _status_of(fleet: SmallFleet, path: str, key: str) -> int:
    async with fleet.get(0, path, key=key) as response:
        return response.status


async def _until_installed(fleet: SmallFleet, revision: int) -> None:
    nodes = [n for n in [*fleet.entries, *fleet.sidecars.values()] if not n.core.is_closed]
    await fleet.until(
        lambda: all(n.core.directory.revision >= revision for n in nodes), INSTALL_TIMEOUT_S
    )


async def test_only_relays_watch_the_store_and_read_changed_chunks() -> None:
    # A read that takes longer than its time limit would be counted twice.
    plan = attrs.evolve(_plan(entries=15), store_timeout_s=2.0)
    async with SmallFleet(plan) as fleet:
        await fleet.until(lambda: len(_relays(fleet)) == 6)
        await fleet.until(lambda: fleet.kv.watchers(HEAD_KEY) == 6)
        fleet.kv.read_requests.clear()
        await fleet.apply(_without_key(small_configuration(plan), 0), 1)
        assert fleet.kv.watchers(HEAD_KEY) == 6
        reads = sum(n for key, n in fleet.kv.read_requests.items() if key.startswith(CHUNK_PREFIX))
        assert reads <= 6 * 2 + APPLY_READS


async def test_stopped_relays_that_are_still_listed_are_skipped() -> None:
    plan = _plan(entries=12)
    async with SmallFleet(plan) as fleet:
        for relay in _relays(fleet):
            await relay.core.close()
        await fleet.config_store.apply(_without_key(small_configuration(plan), 0), 1)
        await _until_installed(fleet, 2)


async def test_relays_removed_from_the_list_are_replaced() -> None:
    plan = _plan(entries=12)
    async with SmallFleet(plan) as fleet:
        former_relays = _relays(fleet)
        for relay in former_relays:
            await relay.core.close()
            fleet.vm_list.remove(relay.core.cfg.node.name)
        await fleet.until(
            lambda: any(
                relay not in former_relays and not relay.core.is_closed for relay in _relays(fleet)
            )
        )
        await fleet.config_store.apply(_without_key(small_configuration(plan), 0), 1)
        await _until_installed(fleet, 2)


async def test_new_node_gets_the_configuration_from_a_peer_while_the_store_is_down() -> None:
    async with SmallFleet(_plan(entries=5)) as fleet:
        fleet.kv_faults.down = True
        await fleet.start_entry("entry-late")
        late = fleet.entries[-1].core
        await fleet.until(lambda: late.directory.revision == 1)
        assert late.directory.snapshot == fleet.entries[0].core.directory.snapshot


async def test_relay_that_missed_a_change_catches_up_after_a_message() -> None:
    plan = _plan(entries=6)
    async with SmallFleet(plan) as fleet:
        stale = _relays(fleet)[0].core
        async with stale.config_follower._install_lock:
            await fleet.config_store.apply(_without_key(small_configuration(plan), 0), 1)
            others = [e.core for e in fleet.entries if e.core is not stale]
            await fleet.until(lambda: all(o.directory.revision == 2 for o in others))
            fleet.kv_faults.down = True
            assert stale.directory.revision == 1
        await fleet.until(lambda: stale.directory.revision == 2)


async def test_node_catches_up_after_any_message_with_a_newer_revision() -> None:
    plan = _plan(entries=2)
    async with SmallFleet(plan) as fleet:
        isolated, other = (entry.core for entry in fleet.entries)
        for task in list(isolated.tasks._tasks):
            if task.get_name().startswith("configuration"):
                task.cancel()
        await fleet.config_store.apply(_without_key(small_configuration(plan), 0), 1)
        await fleet.until(lambda: other.directory.revision == 2)
        assert isolated.directory.revision == 1
        other.hub.send(isolated.address, Ack())
        await fleet.until(lambda: isolated.directory.revision == 2)


@pytest.mark.parametrize("fault", ["lose_answers", "delay_s", "outage"])
async def test_change_is_installed_despite_store_faults(fault: str) -> None:
    plan = _plan(entries=4, services=1)
    if fault == "delay_s":
        plan = attrs.evolve(plan, store_timeout_s=1.0)
    async with SmallFleet(plan) as fleet:
        if fault == "lose_answers":
            fleet.kv_faults.lose_answers = 1
        elif fault == "delay_s":
            fleet.kv_faults.delay_s = plan.store_timeout_s / 2
        head = await fleet.config_store.apply(_without_key(small_configuration(plan), 0), 1)
        if fault == "outage":
            await fleet.until(lambda: any(e.core.directory.revision == 2 for e in fleet.entries))
            fleet.kv_faults.down = True
        await _until_installed(fleet, head.revision)


async def test_chunks_without_a_new_head_change_nothing() -> None:
    plan = _plan(entries=3)
    async with SmallFleet(plan) as fleet:
        chunks = split(_without_key(small_configuration(plan), 0), 1).chunks
        for name, data in chunks.items():
            fleet.kv.compare_and_swap(CHUNK_PREFIX + name, 0, data, 0)
        for entry in fleet.entries:
            await entry.core.config_follower.catch_up(fleet.entries[0].core.address)
        assert {entry.core.directory.revision for entry in fleet.entries} == {1}


@pytest.mark.parametrize(("key", "status", "runs"), [(KEY, 401, 0), (OTHER_KEY, 200, 1)])
async def test_stale_entry_runs_nothing_for_a_withdrawn_key(
    key: str, status: int, runs: int
) -> None:
    plan = _plan(entries=1, services=1)
    async with SmallFleet(plan) as fleet:
        entry, sidecar = fleet.entries[0].core, fleet.sidecars["service-0"].core
        lock = entry.config_follower._install_lock
        await lock.acquire()
        # A stale entry has not received the withdrawal either.
        entry.config_follower._apply_withdrawal = lambda withdrawal: None
        await fleet.config_store.apply(_without_key(small_configuration(plan), 0), 1)
        await fleet.until(lambda: sidecar.directory.revision == 2)
        assert entry.directory.revision == 1
        task = asyncio.create_task(_status_of(fleet, "/stock", key))
        await fleet.until(lambda: entry.state.active > 0)
        lock.release()
        assert await task == status
        ran = sum(state.runs_of("/stock", b"") for state in fleet.service_states.values())
        assert ran == runs
        assert entry.directory.revision == 2


async def test_waiting_request_is_refused_when_its_key_is_withdrawn() -> None:
    engine = EngineOptions(step_s=0.01, prefill_s_per_token=0.00001, slots=1)
    plan = FleetPlan(decodes=1, services=0, engine=engine, timing=SHORT_TIMING)
    async with SmallFleet(plan) as fleet:
        body = {"model": MODEL, "prompt": "a cake", "max_tokens": 100}
        running = asyncio.create_task(_completion(fleet, body, OTHER_KEY))
        ledger = fleet.engines["decode-0"].ledger
        await fleet.until(lambda: ledger.decoded_tokens > 0)
        waiting = asyncio.create_task(_completion(fleet, body, KEY))
        await fleet.until(lambda: fleet.entries[0].core.state.active == 2)
        await fleet.apply(_without_key(small_configuration(plan), 0), 1)
        assert not running.done()
        assert (await waiting)[0] == 401
        assert await running == (200, generate("a cake", 100))


@pytest.mark.parametrize("crash", [False, True])
async def test_begun_answer_is_finished_when_its_key_is_withdrawn(crash: bool) -> None:
    engine = EngineOptions(step_s=0.01, prefill_s_per_token=0.00001)
    plan = FleetPlan(decodes=2, services=0, engine=engine, timing=SHORT_TIMING)
    async with SmallFleet(plan) as fleet:
        body = {"model": MODEL, "prompt": "a cake", "max_tokens": 100}
        running = asyncio.create_task(_completion(fleet, body, KEY))
        engines = [fleet.engines[f"decode-{i}"] for i in range(2)]
        await fleet.until(lambda: any(e.ledger.decoded_tokens for e in engines))
        await fleet.apply(_without_key(small_configuration(plan), 0), 1)
        if crash:
            next(e for e in engines if e.ledger.decoded_tokens).crash()
        assert await running == (200, generate("a cake", 100))


async def test_open_route_needs_no_key_on_a_connection_that_carried_one() -> None:
    async with SmallFleet(_plan(entries=1, services=1)) as fleet:
        async with fleet.get(0, "/stock") as response:
            assert response.status == 200
        async with fleet.session.get(fleet.entry_address(0) + "/hours") as response:
            assert response.status == 200


async def test_flapping_vm_list_does_not_delay_changes() -> None:
    plan = _plan(entries=8)
    async with SmallFleet(plan) as fleet:
        listed = fleet.vm_list.visible()
        rng = random.Random(1)
        for revision in range(2, 8):
            for vm in rng.sample(listed, 4):
                fleet.vm_list.remove(vm["name"])
            await fleet.config_store.apply(_with_rate(plan, 100.0 + revision), revision - 1)
            await _until_installed(fleet, revision)
            for vm in listed:
                fleet.vm_list.put(vm)


@pytest.mark.parametrize("revision", ["", "0", "-1", "x"])
async def test_sidecar_refuses_an_order_of_an_older_revision(revision: str) -> None:
    async with SmallFleet(_plan(entries=1, services=1)) as fleet:
        sidecar = fleet.sidecars["service-0"].core
        headers = {"X-Fleet-Secret": sidecar.cfg.node.fleet_secret, "X-Config-Revision": revision}
        url = sidecar.address + "/internal/call"
        async with fleet.session.post(url, data=b"{}", headers=headers) as response:
            answer = await response.json()
        assert (answer["code"], answer.get("ran", "no")) == ("revision_stale", "no")


async def test_older_order_is_stale_even_at_a_cut_off_process() -> None:
    async with SmallFleet(_plan(entries=1, services=1)) as fleet:
        sidecar = fleet.sidecars["service-0"].core
        headers = {"X-Fleet-Secret": sidecar.cfg.node.fleet_secret, "X-Config-Revision": "0"}
        fleet.kv_faults.down = True
        await fleet.entries[0].core.close()
        await fleet.until(lambda: _is_cut_off(sidecar))
        url = sidecar.address + "/internal/call"
        async with fleet.session.post(url, data=b"{}", headers=headers) as response:
            assert (await response.json())["code"] == "revision_stale"


class _HeldStore(EtcdStore):
    """A client that holds back swaps of the head until ``may_swap`` is set."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.may_swap = asyncio.Event()

    async def compare_and_swap(self, key: str, *args: Any) -> CasResult:
        if key == HEAD_KEY:
            await self.may_swap.wait()
        return await super().compare_and_swap(key, *args)


async def test_key_is_usable_again_after_another_change_supersedes_its_withdrawal() -> None:
    plan = _plan(entries=8, services=1)
    async with SmallFleet(plan) as fleet:
        store = _HeldStore(fleet.session, fleet._platform.store_address, 2.0)
        slow = ConfigStore(store, announce_pause_s=0.0)
        withdrawing = asyncio.ensure_future(
            slow.apply(_without_key(small_configuration(plan), 0), 1)
        )
        cores = [entry.core for entry in fleet.entries]
        await fleet.until(lambda: all(_is_key_in_doubt(core) for core in cores))
        async with fleet.get(0, "/stock") as response:
            error = (await response.json())["error"]
        assert (error["code"], error["ran"]) == ("key_in_doubt", "no")

        await fleet.config_store.apply(_with_rate(plan, 77.0), 1)
        store.may_swap.set()
        with pytest.raises(ConflictError):
            await withdrawing
        await _until_installed(fleet, 2)
        for number in range(8):
            async with fleet.get(number, "/stock") as response:
                assert response.status == 200


async def test_cut_off_process_refuses_without_running() -> None:
    async with SmallFleet(_plan(entries=4, services=1)) as fleet:
        last = fleet.entries[0].core
        fleet.kv_faults.down = True
        for entry in fleet.entries[1:]:
            await entry.core.close()
        await fleet.sidecars["service-0"].core.close()

        await fleet.until(lambda: _is_cut_off(last))
        async with fleet.get(0, "/stock") as response:
            error = (await response.json())["error"]
        assert (error["code"], error["ran"]) == ("cut_off", "no")
        fleet.kv_faults.down = False
        await fleet.until(lambda: not _is_cut_off(last))


async def test_store_outage_alone_causes_no_refusals() -> None:
    async with SmallFleet(_plan(entries=4, services=1)) as fleet:
        fleet.kv_faults.down = True
        for _ in range(10):
            for number in range(4):
                async with fleet.get(number, "/stock") as response:
                    assert response.status == 200
            await asyncio.sleep(SHORT_TIMING.cut_off_s / 5)


@pytest.mark.parametrize("seed", range(20))
def test_duplicate_and_reordered_updates_never_revert(seed: int) -> None:
    rng = random.Random(seed)
    configs = [_config_with_rates_from(number) for number in range(1, 13)]
    peers = [_replica(configs[:count]) for count in range(1, 13)]
    replica = ConfigReplica()
    updates = []
    last = 0
    for _ in range(120):
        asked = rng.choice([0, replica.revision, rng.randint(0, 12)])
        updates.append(rng.choice(peers).update_since(asked))
        update = rng.choice(updates)
        missing = replica.stage_update(update)
        for chunk in peers[-1].chunks_for(missing) if rng.random() < 0.7 else ():
            replica.stage_chunk(chunk)
        if update.head is None or replica.missing(update.head):
            continue
        snapshot = replica.install(update.head)
        assert replica.revision >= last
        last = replica.revision
        if snapshot is not None:
            assert _rates(snapshot.configuration) == _rates(configs[snapshot.revision - 1])
    assert last > 1


def _config_with_rates_from(number: int) -> Configuration:
    return Configuration(
        workspace=tuple(WorkspaceConfig(f"w-{i}", float(number + i), 1.0) for i in range(30))
    )


def _rates(config: Configuration) -> dict[str, float]:
    return {w.name: w.rate_tokens_per_s for w in config.workspace}


def _replica(configs: list[Configuration]) -> ConfigReplica:
    replica = ConfigReplica()
    for revision, config in enumerate(configs, start=1):
        chunk_set = split(config, 4)
        replica.stage(chunk_set.chunks)
        replica.install(ConfigHead(revision, chunk_set.index, f"apply-{revision}"))
    return replica
