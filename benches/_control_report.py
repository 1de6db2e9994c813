"""Results of the control bench: tables, a line of JSON and extrapolation to the target."""

import json
import statistics

import attrs

from vanillashore_schema import TimingSettings

SCHEME = "vanillashore"
FULL_WORKSPACES = 22_000
FULL_MODELS = 29
TARGET_NODES = 970
TARGET_DATA_CENTRES = 5
CHANGES_PER_DAY = 1_500
SECONDS_PER_DAY = 86_400
CONFIG_PROBE_S = TimingSettings().config_probe_s


@attrs.frozen
class Rates:
    """Use per second between two points in time.

    ``bytes_per_node_per_s`` and ``cpu_share`` are per node, the other fields for the whole fleet.
    """

    bytes_per_node_per_s: float
    link_bytes_per_s: float
    store_calls_per_s: float
    cpu_share: float


@attrs.frozen
class NodesResult:
    """Results for one number of nodes."""

    nodes: int
    relays: int
    in_force_s: list[float]
    idle: Rates
    bytes_per_node_per_change: float
    store_calls_per_change: float
    cpu_ms_per_node_per_change: float
    memory_mb: float


@attrs.frozen
class FullResult:
    """Results for a configuration of target size."""

    file_mb: float
    check_s: float
    apply_s: float
    change_apply_s: float
    in_force_s: list[float]
    fetch_s: float
    change_bytes: int
    install_ms: float
    memory_mb: float


def print_tables(results: list[NodesResult], full: FullResult) -> None:
    """Print all results as text."""
    print(
        f"{'nodes':>6} {'relays':>6} {'in force p50':>13} {'max':>8} {'idle B/s/node':>14}", end=""
    )
    print(f" {'store calls/s':>14} {'idle cpu/node':>14} {'B/node/change':>14}", end="")
    print(f" {'calls/change':>13} {'cpu ms/node/change':>19} {'MB/node':>8}")
    for r in results:
        p50, max_s = statistics.median(r.in_force_s), max(r.in_force_s)
        print(f"{r.nodes:>6} {r.relays:>6} {p50:>11.3f} s {max_s:>6.3f} s", end="")
        print(f" {r.idle.bytes_per_node_per_s:>14.0f} {r.idle.store_calls_per_s:>14.2f}", end="")
        print(f" {r.idle.cpu_share:>14.5f} {r.bytes_per_node_per_change:>14.0f}", end="")
        print(f" {r.store_calls_per_change:>13.1f} {r.cpu_ms_per_node_per_change:>19.2f}", end="")
        print(f" {r.memory_mb:>8.2f}")
    print(
        f"\n{FULL_WORKSPACES} workspaces, {FULL_MODELS} models: file {full.file_mb:.1f} MB,", end=""
    )
    print(f" check {full.check_s:.2f} s, first apply {full.apply_s:.2f} s,", end="")
    print(f" on 3 nodes after {full.fetch_s:.2f} s more")
    print(f"a one-line change: apply {full.change_apply_s:.2f} s, in force after", end="")
    print(
        f" {statistics.median(full.in_force_s):.2f} s more, update {full.change_bytes} bytes,",
        end="",
    )
    print(f" install {full.install_ms:.1f} ms, {full.memory_mb:.0f} MB a node")


def as_json(results: list[NodesResult], full: FullResult) -> str:
    """Return the line of JSON: fields of each case, and the extrapolation to the target."""
    rows = [nodes_row(result) for result in results]
    rows.append(full_row(full))
    return json.dumps({"bench": "control", "results": rows, "scale": scale(results, full)})


def nodes_row(r: NodesResult) -> dict[str, object]:
    """Return the JSON fields of a result, for changes at the target's rate."""
    per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    return {
        "scheme": SCHEME,
        "case": f"nodes_{r.nodes}",
        "in_force_s_p50": round(statistics.median(r.in_force_s), 4),
        "in_force_s_max": round(max(r.in_force_s), 4),
        "bytes_per_node_per_s": round(
            r.idle.bytes_per_node_per_s + r.bytes_per_node_per_change * per_s, 1
        ),
        "store_calls_per_s": round(r.idle.store_calls_per_s + r.store_calls_per_change * per_s, 2),
        "cpu_share": round(r.idle.cpu_share + r.cpu_ms_per_node_per_change / 1_000 * per_s, 6),
        "memory_mb": round(r.memory_mb, 2),
    }


def full_row(full: FullResult) -> dict[str, object]:
    """Return the JSON fields of the result for a configuration of target size."""
    per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    return {
        "scheme": SCHEME,
        "case": "full_configuration",
        "in_force_s_p50": round(statistics.median(full.in_force_s), 4),
        "in_force_s_max": round(max(full.in_force_s), 4),
        "bytes_per_node_per_s": round(full.change_bytes * per_s, 1),
        "cpu_share": round(full.install_ms / 1_000 * per_s, 6),
        "memory_mb": round(full.memory_mb, 1),
        "file_mb": round(full.file_mb, 2),
        "check_s": round(full.check_s, 2),
        "apply_s": round(full.apply_s, 2),
        "change_apply_s": round(full.change_apply_s, 3),
        "change_bytes": full.change_bytes,
    }


def scale(results: list[NodesResult], full: FullResult) -> dict[str, object]:
    """Extrapolate to the target from the smallest and the largest number of nodes."""
    small, large = results[0], results[-1]
    extra_nodes = large.nodes - small.nodes
    slope = (
        statistics.median(large.in_force_s) - statistics.median(small.in_force_s)
    ) / extra_nodes
    per_data_centre = TARGET_NODES // TARGET_DATA_CENTRES
    relays = int(per_data_centre**0.5)
    followers = per_data_centre // relays
    per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    per_follower = large.idle.link_bytes_per_s / (large.nodes - large.relays)
    relay_bytes = small.idle.bytes_per_node_per_s + per_follower * followers
    return {
        "nodes": TARGET_NODES,
        "relays": relays * TARGET_DATA_CENTRES,
        "followers_per_relay": followers,
        "in_force_s_per_node": round(slope, 6),
        "in_force_s": round(statistics.median(large.in_force_s) + slope * (TARGET_NODES - 100), 3),
        "relay_bytes_per_s": round(relay_bytes + full.change_bytes * (followers + 1) * per_s, 1),
        "store_watches": relays * TARGET_DATA_CENTRES,
        "store_reads_per_s": round(relays * TARGET_DATA_CENTRES / CONFIG_PROBE_S, 1),
        "install_ms": round(full.install_ms, 1),
    }
