"""Streams that are taken up at an entry that was out of step while a new version joined."""

import asyncio
import uuid
from typing import Any

import pytest

from vanillashore_gateway import Endpoint, EndpointRole, LinkError, LinkFailure
from vanillashore_standins import wait_until
from vanillashore_standins.platform_endpoint import EngineOptions
from vanillashore_standins.platform_rig import Answer, PlatformRig
from vanillashore_standins.platform_stream import EVENT, SIZE, Stream

ENGINE = EngineOptions(events=40, pause_s=0.02)
STREAMS = 8
ORIGINS = "vanillashore/origins/"
# Entries of tests that run beside may get the port of a killed one, and answer for its streams.
RUN = uuid.uuid4().hex[:8]
TRIES = 4  # A caller comes back after a refusal as often as its time allows.


def _rig(entries: int = 2) -> PlatformRig:
    """Return a rig of which only the first two engines are registered."""
    return PlatformRig(decodes=4, entries=entries, engine=ENGINE, links=True)


async def _release(rig: PlatformRig) -> None:
    """Let two engines of a new version join, and the first entry use nothing else."""
    for engine in rig.decodes[2:]:
        engine.version = "v2"
        rig.store.put(f"servers/{engine.instance}", engine.entry())
    membership = rig.process.gateway.membership
    await wait_until(lambda: "v2" in membership.versions("models", 0.0))
    for engine in rig.decodes[:2]:
        engine.engine.room = 0


async def _remove_new_engines(rig: PlatformRig) -> None:
    for engine in rig.decodes[2:]:
        rig.store.remove(f"servers/{engine.instance}")
    await wait_until(
        lambda: all(
            len(p.gateway.membership.usable("models", EndpointRole.DECODE)) == 2
            for p in rig.processes
        )
    )
    # The versions of engines that have left count for two minutes.
    for process in rig.processes:
        process.gateway.membership._left_versions.clear()


async def _begin(rig: PlatformRig) -> list[Stream]:
    streams = [await Stream.open(rig, f"{RUN}-{n}", entry=0) for n in range(STREAMS)]
    await asyncio.gather(*(stream.read(3) for stream in streams))
    assert {version for stream in streams for _, version in stream.events} == {b"v2"}
    # The first events may leave before, if the store takes long.
    await wait_until(lambda: all(f"{ORIGINS}{RUN}-{n}" in rig.store.items for n in range(STREAMS)))
    return streams


async def _take_up(
    rig: PlatformRig, number: int, begun: Stream, tries: int
) -> list[tuple[int, bytes]]:
    """Return all events of a stream that is taken up at the last entry."""
    last_id, _ = begun.events[-1]
    headers = SIZE | {"Resumes": f"{RUN}-{number}", "Last_Event_Id": str(last_id)}
    for attempt in range(tries):
        data = rig.encode("POST", "/quote/1", f"{RUN}-{number}-{attempt}", b"prompt", **headers)
        answer: Answer = await rig.send(data, entry=len(rig.processes) - 1)
        if answer.status == 200:
            later = [(int(event), version) for event, version in EVENT.findall(answer.body)]
            return begun.events + later
        assert b'"ran":"no"' in answer.body
        if "retry-after" not in answer.headers:
            break
        await asyncio.sleep(float(answer.headers["retry-after"]))
    return begun.events


async def _take_up_all(
    rig: PlatformRig, begun: list[Stream], tries: int = TRIES
) -> list[list[tuple[int, bytes]]]:
    for stream in begun:
        stream.close()
    return await asyncio.gather(*(_take_up(rig, n, s, tries) for n, s in enumerate(begun)))


def _joined(streams: list[list[tuple[int, bytes]]]) -> int:
    return sum(len({version for _, version in events}) > 1 for events in streams)


def _whole(streams: list[list[tuple[int, bytes]]]) -> int:
    return sum([number for number, _ in e] == list(range(1, ENGINE.events + 1)) for e in streams)


@pytest.mark.parametrize("heals_after_s", [0.0, 0.7, 2.5])
async def test_stream_is_not_joined_at_an_entry_that_was_cut_off_as_its_version_joined(
    heals_after_s: float,
) -> None:
    """Guards against streams of two versions in the seconds in which a cut is not noticed."""
    async with _rig() as rig:
        await _remove_new_engines(rig)
        cut_off = rig.processes[1]
        rig.cut_off(cut_off)
        await _release(rig)
        begun = await _begin(rig)
        rig.kill_entry(0)
        for engine in rig.decodes[:2]:
            engine.engine.room = 1_000_000
        heal = asyncio.get_running_loop().call_later(heals_after_s, rig.reconnect, cut_off)
        streams = await _take_up_all(rig, begun)
        heal.cancel()
        assert _joined(streams) == 0
        # The store has kept the origins, and callers come back within their time.
        assert _whole(streams) == STREAMS


async def test_stream_is_not_joined_at_an_entry_that_stood_still_as_its_version_joined() -> None:
    """Guards against an entry that takes what it knew before it was stopped for the present."""
    async with _rig(entries=3) as rig:
        await _remove_new_engines(rig)
        frozen = rig.processes[2]
        rig.cut_off(frozen)
        await _release(rig)
        begun = await _begin(rig)
        rig.kill_entry(0)
        for engine in rig.decodes[:2]:
            engine.engine.room = 1_000_000
        rig.reconnect(frozen)
        frozen.gateway.record_sync()
        streams = await _take_up_all(rig, begun)
        assert _joined(streams) == 0
        assert _whole(streams) == STREAMS


async def test_stream_without_a_name_is_not_joined_at_an_entry_whose_list_trails() -> None:
    """Guards against a take-up for which nobody can be asked, so that only the list counts."""
    async with _rig() as rig:
        await _remove_new_engines(rig)
        trailing = rig.processes[1]
        rig.cut_off(trailing)
        await _release(rig)
        begun = (await _begin(rig))[0]
        begun.close()
        for engine in rig.decodes[:2]:
            engine.engine.room = 1_000_000
        rig.reconnect(trailing)
        headers = SIZE | {"Last_Event_Id": str(begun.events[-1][0])}
        data = rig.encode("POST", "/quote/1", f"{RUN}-again", b"prompt", **headers)
        answer = await rig.send(data, entry=1)
        assert answer.status == 503
        assert b'"code":"origin_unknown"' in answer.body


@pytest.mark.parametrize("versions", [1, 2])
async def test_streams_go_on_while_the_store_is_away_if_another_entry_knows_them(
    versions: int,
) -> None:
    """What a keeper of its origin knows is certain without the store."""
    async with _rig(entries=3) as rig:
        await _remove_new_engines(rig)
        if versions == 2:
            await _release(rig)
            await wait_until(
                lambda: all(
                    "v2" in p.gateway.membership.versions("models", 0.0) for p in rig.processes
                )
            )
        streams = [await Stream.open(rig, f"{RUN}-{n}", entry=0) for n in range(STREAMS)]
        await asyncio.gather(*(stream.read(3) for stream in streams))
        keepers = [process.gateway.origins for process in rig.processes[1:]]
        for name in (f"{RUN}-{n}" for n in range(STREAMS)):
            await wait_until(lambda name=name: any(keeper.get(name) for keeper in keepers))
        rig.store.faults.status = 503
        rig.kill_entry(0)
        for engine in rig.decodes[:2]:
            engine.engine.room = 1_000_000
        taken_up = await _take_up_all(rig, streams, tries=1)
        assert _joined(taken_up) == 0
        assert _whole(taken_up) == STREAMS


async def test_streams_go_on_at_the_only_version_after_all_entries_were_killed() -> None:
    """An origin that nobody knows is certain with an up-to-date list of one version."""
    async with _rig() as rig:
        await _remove_new_engines(rig)
        streams = [await Stream.open(rig, f"{RUN}-{n}", entry=n % 2) for n in range(STREAMS)]
        await asyncio.gather(*(stream.read(3) for stream in streams))
        rig.kill_entry(0)
        rig.kill_entry(0)
        await rig.start_entry("new")
        taken_up = await _take_up_all(rig, streams)
        assert _joined(taken_up) == 0
        assert _whole(taken_up) == STREAMS


async def test_stream_begins_at_no_other_version_than_the_first_one_that_was_announced() -> None:
    """Guards against a keeper that has heard of the version of an attempt that did not run."""
    async with PlatformRig(decodes=3, entries=2, engine=ENGINE, links=True) as rig:
        for engine in rig.decodes[1:]:
            engine.version = "v2"
            rig.store.put(f"servers/{engine.instance}", engine.entry())
        gateway, keeper = rig.process.gateway, rig.processes[1]
        await wait_until(lambda: len(gateway.membership.versions("models", 0.0)) == 2)
        for engine in rig.decodes[1:]:
            engine.engine.room = 0
        acquire = gateway.pool.acquire_connection

        async def fail_once_announced(
            endpoint: Endpoint, exchange: bytes, *args: Any, **kwargs: Any
        ) -> Any:
            if endpoint.instance == "d0" and exchange == f"{RUN}-0".encode():
                await wait_until(lambda: keeper.gateway.origins.get(f"{RUN}-0") is not None)
                rig.cut_off(keeper)
                rig.store.faults.status = 503
                for engine in rig.decodes[1:]:
                    engine.engine.room = 1_000_000
                raise LinkError(LinkFailure.NOT_SENT, "refused")
            return await acquire(endpoint, exchange, *args, **kwargs)

        gateway.pool.acquire_connection = fail_once_announced
        begun = await Stream.open(rig, f"{RUN}-0", entry=0)
        await begun.read(3)
        known = keeper.gateway.origins.get(f"{RUN}-0")
        assert {version.decode() for _, version in begun.events} <= {known.software}
