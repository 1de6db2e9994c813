"""Measure the cost of following the configuration, from 3 to 100 nodes and at target size.

Each node is a complete entry inside this process, with its own listener and links.
"""

import argparse
import asyncio
import ctypes
import gc
import logging
import random
import resource
import statistics
import sys
import time

import attrs
import uvloop
from loguru import logger as log

from _control_report import (
    FULL_MODELS,
    FULL_WORKSPACES,
    FullResult,
    NodesResult,
    Rates,
    as_json,
    print_tables,
)
from vanillashore_node import EntryNode
from vanillashore_schema import (
    Configuration,
    KeyConfig,
    ModelConfig,
    TimingSettings,
    WorkspaceConfig,
    check_configuration,
    hash_key,
)
from vanillashore_standins.testing import FleetPlan, SmallFleet
from vanillashore_wire import ConfigHead, encode

NODE_COUNTS = (3, 10, 30, 100)
CHANGES = 12
QUICK_CHANGES = 4
IDLE_S = 8.0
QUICK_IDLE_S = 4.0
FRAME_OVERHEAD_BYTES = 60
VM_LIST_POLL_S = 1.0
TIMING = TimingSettings(balancer_delay_s=0.0, shutdown_wait_s=0.1)


@attrs.frozen
class Usage:
    """Totals used by the process and the fleet up to a point in time."""

    at: float
    cpu_s: float
    all_bytes: int
    link_bytes: int
    store_calls: int


def make_configuration(workspaces: int, models: int) -> Configuration:
    """Return a configuration with one key for each workspace."""
    return Configuration(
        workspace=tuple(
            WorkspaceConfig(
                f"workspace-{i:05}",
                1_000.0 + i,
                5_000.0,
                key=(KeyConfig("main", hash_key(f"key-{i}"), "2026-01-01"),),
            )
            for i in range(workspaces)
        ),
        model=tuple(ModelConfig(f"model-{i}") for i in range(models)),
    )


def with_changed_rate(config: Configuration, index: int, rate: float) -> Configuration:
    """Return the configuration with one workspace's rate changed."""
    rows = list(config.workspace)
    rows[index] = attrs.evolve(rows[index], rate_tokens_per_s=rate)
    return attrs.evolve(config, workspace=tuple(rows))


def as_toml(config: Configuration) -> str:
    """Return the configuration as the TOML file of an operator."""
    lines: list[str] = []
    for row in config.workspace:
        key = row.key[0]
        lines.append(
            f'[[workspace]]\nname = "{row.name}"\nrate_tokens_per_s = {row.rate_tokens_per_s}\n'
            f"burst_tokens = {row.burst_tokens}\n"
            f'key = [{{ id = "{key.id}", sha256 = "{key.sha256}", granted = "{key.granted}" }}]\n'
        )
    lines += [f'[[model]]\nname = "{row.name}"\n' for row in config.model]
    return "\n".join(lines)


def measure_usage(fleet: SmallFleet) -> Usage:
    """Return the totals used up to now."""
    hubs = [entry.core.hub for entry in fleet.entries]
    sent = sum(hub.stats.bytes_sent + hub.stats.bytes_received for hub in hubs)
    frames = 2 * sum(hub.stats.frames_sent for hub in hubs)
    own = resource.getrusage(resource.RUSAGE_SELF)
    platform_bytes = fleet.kv.traffic_bytes + fleet.vm_list.traffic_bytes
    link_bytes = sent + frames * FRAME_OVERHEAD_BYTES
    calls = sum(fleet.kv.calls.values())
    cpu_s = own.ru_utime + own.ru_stime
    return Usage(time.monotonic(), cpu_s, link_bytes + platform_bytes, link_bytes, calls)


def memory_mb() -> float:
    """Return this process's resident memory."""
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize() / 1e6


def rates_between(before: Usage, after: Usage, nodes: int) -> Rates:
    """Return the rates of use between two points in time."""
    seconds = after.at - before.at
    return Rates(
        (after.all_bytes - before.all_bytes) / seconds / nodes,
        (after.link_bytes - before.link_bytes) / 2 / seconds,
        (after.store_calls - before.store_calls) / seconds,
        (after.cpu_s - before.cpu_s) / seconds / nodes,
    )


async def wait_until_in_force(fleet: SmallFleet, revision: int) -> float:
    """Wait until ``revision`` is in force at every node; return the seconds that it took."""
    started = time.monotonic()
    await fleet.until(
        lambda: all(entry.core.directory.revision >= revision for entry in fleet.entries), 30.0
    )
    return time.monotonic() - started


async def measure_nodes(
    nodes: int, changes: int, idle_s: float, rng: random.Random, base_mb: float
) -> NodesResult:
    """Measure a fleet while idle, and then during one-line changes."""
    plan = FleetPlan(
        entries=nodes,
        prefills=0,
        decodes=0,
        services=0,
        timing=TIMING,
        vm_list_poll_s=VM_LIST_POLL_S,
    )
    async with SmallFleet(plan) as fleet:
        config = make_configuration(200, 3)
        await fleet.apply(config, 1)
        await asyncio.sleep(1.0)
        before_idle = measure_usage(fleet)
        await asyncio.sleep(idle_s)
        after_idle = measure_usage(fleet)
        idle = rates_between(before_idle, after_idle, nodes)
        in_force_s = []
        for number in range(changes):
            config = with_changed_rate(config, rng.randrange(200), 10.0 + number)
            head = await fleet.config_store.apply(config, 2 + number)
            in_force_s.append(await wait_until_in_force(fleet, head.revision))
        after = measure_usage(fleet)
        seconds = after.at - after_idle.at
        used = after.all_bytes - after_idle.all_bytes
        idle_bytes = idle.bytes_per_node_per_s * nodes * seconds
        cpu_s = after.cpu_s - after_idle.cpu_s - idle.cpu_share * nodes * seconds
        calls = after.store_calls - after_idle.store_calls - idle.store_calls_per_s * seconds
        return NodesResult(
            nodes,
            sum(entry.core.config_follower.is_relay for entry in fleet.entries),
            in_force_s,
            idle,
            max(0.0, used - idle_bytes) / nodes / changes,
            max(0.0, calls) / changes,
            max(0.0, cpu_s) * 1_000 / nodes / changes,
            (memory_mb() - base_mb) / nodes,
        )


async def measure_full(changes: int, rng: random.Random) -> FullResult:
    """Measure a configuration of target size on three nodes."""
    config = make_configuration(FULL_WORKSPACES, FULL_MODELS)
    text = as_toml(config)
    started = time.monotonic()
    check_configuration("full.toml", text)
    check_s = time.monotonic() - started
    timing = attrs.evolve(TIMING, ask_timeout_s=10.0)
    plan = FleetPlan(
        entries=3, prefills=0, decodes=0, services=0, timing=timing, store_timeout_s=10.0
    )
    async with SmallFleet(plan) as fleet:
        memory_before = memory_mb()
        started = time.monotonic()
        head = await fleet.config_store.apply(config, 1)
        apply_s = time.monotonic() - started
        fetch_s = await wait_until_in_force(fleet, head.revision)
        memory = (memory_mb() - memory_before) / len(fleet.entries)
        in_force_s, apply_times = [], []
        for number in range(changes):
            config = with_changed_rate(config, rng.randrange(FULL_WORKSPACES), 10.0 + number)
            started = time.monotonic()
            head = await fleet.config_store.apply(config, 2 + number)
            apply_times.append(time.monotonic() - started)
            in_force_s.append(await wait_until_in_force(fleet, head.revision))
        replica = fleet.entries[0].core.config_follower.replica
        update = encode(replica.update_since(head.revision - 1))
        install_ms = measure_install(fleet.entries[0], head)
        return FullResult(
            len(text) / 1e6,
            check_s,
            apply_s,
            statistics.median(apply_times),
            in_force_s,
            fetch_s,
            len(update),
            install_ms,
            memory,
        )


def measure_install(entry: EntryNode, head: ConfigHead) -> float:
    """Return the milliseconds of CPU time that a process needs to install one more revision."""
    newer = attrs.evolve(head, revision=head.revision + 1)
    started = time.process_time()
    snapshot = entry.core.config_follower.replica.install(newer)
    entry.core.directory.apply_snapshot(snapshot)
    return (time.process_time() - started) * 1_000


async def run(seed: int, quick: bool) -> None:
    """Run all cases."""
    rng = random.Random(seed)
    changes = QUICK_CHANGES if quick else CHANGES
    idle_s = QUICK_IDLE_S if quick else IDLE_S
    full = await measure_full(changes, rng)
    gc.collect()
    ctypes.CDLL(None).malloc_trim(0)
    base_mb = memory_mb()
    results = [await measure_nodes(n, changes, idle_s, rng, base_mb) for n in NODE_COUNTS]
    print_tables(results, full)
    print(as_json(results, full))


def main() -> None:
    """Read the command line and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="end within a minute")
    args = parser.parse_args()
    log.remove()
    log.add(sys.stderr, level="ERROR")
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    uvloop.run(run(args.seed, args.quick))


if __name__ == "__main__":
    main()
