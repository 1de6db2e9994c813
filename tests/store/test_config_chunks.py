import attrs
import pytest

from vanillashore_schema import Configuration, KeyConfig, ModelConfig, WorkspaceConfig, hash_key
from vanillashore_store import ConfigReplica
from vanillashore_store._config_chunks import (
    ChunkSet,
    current_chunk_count,
    decode_chunk,
    join,
    pack,
    parse_index,
    split,
    unpack,
    workspace_chunk_count,
)
from vanillashore_wire import ChunkData, ConfigHead, VanillashoreError, encode


def _workspaces(count: int) -> tuple[WorkspaceConfig, ...]:
    return tuple(
        WorkspaceConfig(f"w-{i}", 100.0, 200.0, key=(KeyConfig("k", hash_key(f"key-{i}")),))
        for i in range(count)
    )


def _join(chunk_set: ChunkSet) -> Configuration:
    names = parse_index(chunk_set.chunks[chunk_set.index])
    return join(decode_chunk(chunk_set.chunks[name]) for name in names)


def _with_rate(config: Configuration, rate: float) -> Configuration:
    first = attrs.evolve(config.workspace[0], rate_tokens_per_s=rate)
    return attrs.evolve(config, workspace=(first, *config.workspace[1:]))


def _replica(*configs: Configuration) -> ConfigReplica:
    replica = ConfigReplica()
    for revision, config in enumerate(configs, start=1):
        chunk_set = split(config, 4)
        replica.stage(chunk_set.chunks)
        replica.install(ConfigHead(revision, chunk_set.index, f"apply-{revision}"))
    return replica


CONFIG = Configuration(workspace=_workspaces(40), model=(ModelConfig("m"),))


def test_joined_chunks_equal_the_configuration() -> None:
    found = _join(split(CONFIG, 8))
    assert set(found.workspace) == set(CONFIG.workspace)
    assert found.model == CONFIG.model


def test_one_changed_workspace_rewrites_one_chunk_and_the_index() -> None:
    before = split(CONFIG, 8).chunks
    after = split(_with_rate(CONFIG, 7.0), 8).chunks
    assert len(set(after) - set(before)) == 2


@pytest.mark.parametrize(
    ("workspaces", "current", "count"),
    [(5, 0, 1), (64, 1, 1), (22_000, 0, 512), (22_000, 256, 256), (22_000, 64, 512), (10, 256, 1)],
)
def test_number_of_workspace_chunks(workspaces: int, current: int, count: int) -> None:
    assert workspace_chunk_count(workspaces, current) == count


def test_number_of_chunks_is_read_from_the_index() -> None:
    chunk_set = split(CONFIG, 8)
    assert current_chunk_count(parse_index(chunk_set.chunks[chunk_set.index])) == 8


def test_chunk_packed_with_an_older_one_is_little_larger_than_the_change() -> None:
    old = encode(CONFIG)
    new = encode(_with_rate(CONFIG, 7.0))
    packed = pack(new, old)
    assert unpack(packed, old) == new
    assert len(packed) * 20 < len(pack(new))


def test_stale_peer_receives_only_changed_chunks() -> None:
    newer = _replica(CONFIG, _with_rate(CONFIG, 7.0))
    stale = _replica(CONFIG)
    update = newer.update_since(1)
    assert len(update.chunks) == 2
    assert stale.stage_update(update) == ()
    snapshot = stale.install(update.head)
    assert snapshot.revision == 2
    assert {w.rate_tokens_per_s for w in snapshot.configuration.workspace} == {7.0, 100.0}


def test_new_peer_requests_every_chunk() -> None:
    newer = _replica(CONFIG)
    fresh = ConfigReplica()
    missing = fresh.stage_update(newer.update_since(0))
    while missing:
        for chunk in newer.chunks_for(missing):
            fresh.stage_chunk(chunk)
        missing = fresh.missing(newer.head)
    snapshot = fresh.install(newer.head)
    assert set(snapshot.configuration.workspace) == set(CONFIG.workspace)


def test_older_or_repeated_head_is_ignored() -> None:
    replica = _replica(CONFIG, _with_rate(CONFIG, 7.0))
    old = _replica(CONFIG)
    assert replica.install(old.head) is None
    assert replica.install(replica.head) is None
    assert replica.revision == 2


def test_damaged_chunk_is_rejected() -> None:
    newer = _replica(CONFIG)
    index, other = newer.chunks_for((newer.head.index, *split(CONFIG, 4).chunks))[:2]
    forged = ChunkData(index.name, other.data_base64[:-8] + "AAAAAAA=")
    with pytest.raises((VanillashoreError, ValueError), match="damaged"):
        ConfigReplica().stage_chunk(forged)


def test_chunk_with_a_wrong_name_is_rejected() -> None:
    replica = ConfigReplica()
    with pytest.raises(VanillashoreError, match="damaged"):
        replica.stage({"model-" + "0" * 32: b"{}"})
