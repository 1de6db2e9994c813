"""Applying a configuration while the store fails, at each step of the apply."""

import asyncio
from collections.abc import AsyncIterator
from enum import Enum, auto

import attrs
import pytest

from vanillashore_schema import Configuration, ModelConfig, WorkspaceConfig
from vanillashore_standins import KvState
from vanillashore_store import (
    HEAD_KEY,
    CasResult,
    ConfigStore,
    ConflictError,
    StoredValue,
    StoreUnavailableError,
)
from vanillashore_wire import ErrorCode, VanillashoreError


class Fault(Enum):
    """The fault during one swap of the head."""

    LOST_ANSWER = auto()
    LOST_REQUEST = auto()
    OTHER_APPLIES_FIRST = auto()
    ANSWER_LOST_AND_OTHER_APPLIES = auto()


class FaultyStore:
    """A store in memory; each swap of the head meets the next of ``faults``."""

    def __init__(self, faults: list[Fault] | None = None) -> None:
        self.state = KvState(clock=lambda: 0.0)
        self.faults = faults or []
        self.chunks_until_outage = 1_000
        self.writes = 0

    async def get(self, key: str) -> StoredValue | None:
        item = self.state.get(key)
        return StoredValue(item.value, item.version) if item else None

    async def compare_and_swap(
        self, key: str, expected_version: int, value: bytes, lease: int = 0
    ) -> CasResult:
        await asyncio.sleep(0)
        if key != HEAD_KEY:
            return await self._swap_chunk(key, expected_version, value)
        fault = self.faults.pop(0) if self.faults else None
        if fault is Fault.OTHER_APPLIES_FIRST:
            await self._apply_other()
        if fault is Fault.LOST_REQUEST:
            raise StoreUnavailableError("request lost")
        result = await self._swap(key, expected_version, value)
        if fault is Fault.ANSWER_LOST_AND_OTHER_APPLIES:
            await self._apply_other()
        if fault in (Fault.LOST_ANSWER, Fault.ANSWER_LOST_AND_OTHER_APPLIES):
            raise StoreUnavailableError("answer lost")
        return result

    def watch(self, key: str, after_version: int) -> AsyncIterator[StoredValue]:
        raise NotImplementedError

    async def _swap_chunk(self, key: str, expected_version: int, value: bytes) -> CasResult:
        if self.chunks_until_outage == 0:
            raise StoreUnavailableError("outage")
        self.chunks_until_outage -= 1
        return await self._swap(key, expected_version, value)

    async def _swap(self, key: str, expected_version: int, value: bytes) -> CasResult:
        self.writes += 1
        applied = self.state.compare_and_swap(key, expected_version, value, 0)
        return CasResult(applied, await self.get(key))

    async def _apply_other(self) -> None:
        head = await ConfigStore(self).read_head()
        await ConfigStore(self).apply(OTHER, head.revision)


FIRST = Configuration(workspace=(WorkspaceConfig("a", 1.0, 1.0),), model=(ModelConfig("m"),))
MINE = attrs.evolve(FIRST, model=(ModelConfig("mine"),))
OTHER = attrs.evolve(FIRST, model=(ModelConfig("other"),))


async def _store(*faults: Fault) -> FaultyStore:
    store = FaultyStore()
    await ConfigStore(store).apply(FIRST, 0)
    store.faults = list(faults)
    return store


@pytest.mark.parametrize(
    "faults",
    [
        [],
        [Fault.LOST_ANSWER],
        [Fault.LOST_REQUEST],
        [Fault.LOST_REQUEST, Fault.LOST_ANSWER],
        [Fault.LOST_ANSWER, Fault.LOST_REQUEST, Fault.LOST_REQUEST],
        [Fault.ANSWER_LOST_AND_OTHER_APPLIES],
        [Fault.ANSWER_LOST_AND_OTHER_APPLIES, Fault.LOST_REQUEST],
    ],
)
async def test_accepted_apply_is_reported_as_accepted(faults: list[Fault]) -> None:
    store = await _store(*faults)
    head = await ConfigStore(store, retry_pause_s=0.0).apply(MINE, 1)
    assert head.revision == 2
    assert (await ConfigStore(store).read(head)).configuration == MINE


@pytest.mark.parametrize(
    "faults", [[Fault.OTHER_APPLIES_FIRST], [Fault.LOST_REQUEST, Fault.OTHER_APPLIES_FIRST]]
)
async def test_apply_that_lost_the_race_changes_nothing_and_reports_the_difference(
    faults: list[Fault],
) -> None:
    store = await _store(*faults)
    with pytest.raises(ConflictError) as caught:
        await ConfigStore(store, retry_pause_s=0.0).apply(MINE, 1)
    assert caught.value.code is ErrorCode.REVISION_CONFLICT
    assert caught.value.base == FIRST
    assert caught.value.current.configuration == OTHER
    assert (await ConfigStore(store).read_current()).configuration == OTHER


async def test_concurrent_applies_have_one_winner_and_conflicts() -> None:
    store = await _store()
    names = [f"racer-{i}" for i in range(5)]
    configs = [attrs.evolve(FIRST, model=(ModelConfig(name),)) for name in names]
    results = await asyncio.gather(
        *(ConfigStore(store).apply(config, 1) for config in configs), return_exceptions=True
    )
    winners = [i for i, result in enumerate(results) if not isinstance(result, Exception)]
    assert len(winners) == 1
    assert all(isinstance(r, ConflictError) for i, r in enumerate(results) if i not in winners)
    assert (await ConfigStore(store).read_current()).configuration == configs[winners[0]]


@pytest.mark.parametrize("chunks_written", [0, 1])
async def test_partially_written_apply_has_no_effect(chunks_written: int) -> None:
    store = await _store()
    store.chunks_until_outage = chunks_written
    with pytest.raises(StoreUnavailableError):
        await ConfigStore(store, retry_pause_s=0.0).apply(MINE, 1)
    assert await ConfigStore(store).read_current() == await ConfigStore(store).read(
        await ConfigStore(store).read_head()
    )
    assert (await ConfigStore(store).read_current()).configuration == FIRST


async def test_outcome_is_unknown_after_a_long_outage() -> None:
    store = await _store(*[Fault.LOST_REQUEST] * 100)
    with pytest.raises(VanillashoreError) as caught:
        await ConfigStore(store, retry_pause_s=0.0).apply(MINE, 1)
    assert caught.value.code is ErrorCode.OUTCOME_UNKNOWN


async def test_change_of_one_workspace_costs_three_writes() -> None:
    workspaces = tuple(WorkspaceConfig(f"w-{i}", 1.0, 1.0) for i in range(500))
    store = FaultyStore()
    config = Configuration(workspace=workspaces)
    await ConfigStore(store).apply(config, 0)
    store.writes = 0
    changed = attrs.evolve(workspaces[3], rate_tokens_per_s=2.0)
    config = attrs.evolve(config, workspace=(*workspaces[:3], changed, *workspaces[4:]))
    await ConfigStore(store).apply(config, 1)
    assert store.writes == 3
