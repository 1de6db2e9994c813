"""Streams that are taken up again after all entries were killed at once.

The entries' own records of what began a stream are gone then; what is left is in the store.
"""

import asyncio
from typing import Any

import pytest

from vanillashore_standins import wait_until
from vanillashore_standins.platform_endpoint import EndpointStandIn, EngineOptions
from vanillashore_standins.platform_rig import Answer, PlatformRig
from vanillashore_standins.platform_stream import EVENT, SIZE, Stream

ENGINE = EngineOptions(events=30, pause_s=0.02)
STREAMS = 8


def _rig(*versions: str, entries: int = 2) -> PlatformRig:
    """Return a rig with two decode engines of each version, which prefill themselves."""
    rig = PlatformRig(decodes=2 * len(versions), entries=entries, engine=ENGINE)
    for number, engine in enumerate(rig.decodes):
        engine.version = versions[number // 2]
    return rig


async def _release(rig: PlatformRig, engines: list[EndpointStandIn], version: str) -> None:
    for engine in engines:
        engine.restart(version)
        rig.store.put(f"servers/{engine.instance}", engine.entry())
    await wait_until(
        lambda: all(
            process.gateway.membership.get(engine.instance).software == version
            for process in rig.processes
            for engine in engines
        )
    )


async def _begin(rig: PlatformRig, count: int = STREAMS) -> dict[str, Stream]:
    streams = {
        f"first-{n}": await Stream.open(rig, f"first-{n}", n % len(rig.processes))
        for n in range(count)
    }
    await asyncio.gather(*(stream.read(3) for stream in streams.values()))
    return streams


async def _kill_all(rig: PlatformRig, streams: dict[str, Stream]) -> None:
    count = len(rig.processes)
    for _ in range(count):
        rig.kill_entry(0)
    for stream in streams.values():
        stream.close()
    for number in range(count):
        await rig.start_entry(f"new-{number}")


async def _take_up(
    rig: PlatformRig, name: str, last_id: int, request_id: str, entry: int = 0
) -> Answer:
    headers = SIZE | {"Resumes": name, "Last_Event_Id": str(last_id)}
    data = rig.encode("POST", "/quote/1", request_id, b"prompt", **headers)
    return await rig.send(data, entry)


async def _take_up_all(rig: PlatformRig, streams: dict[str, Stream]) -> list[Answer]:
    return await asyncio.gather(
        *(
            _take_up(rig, name, stream.events[-1][0], f"second-{name}", n % len(rig.processes))
            for n, (name, stream) in enumerate(streams.items())
        )
    )


def _events(stream: Stream, *answers: Answer) -> list[tuple[int, bytes]]:
    later = [EVENT.findall(answer.body) for answer in answers]
    return stream.events + [(int(number), version) for found in later for number, version in found]


def _assert_whole(stream: Stream, *answers: Answer) -> None:
    """Check that a stream has each event once, all of one version."""
    events = _events(stream, *answers)
    assert [number for number, _ in events] == list(range(1, ENGINE.events + 1))
    assert len({version for _, version in events}) == 1


async def _wait_until_recorded(rig: PlatformRig, *versions: str) -> None:
    """Wait until the versions are in the store, as they are some time after a release began."""
    keys = {f"vanillashore/versions/models/{version}" for version in versions}
    await wait_until(lambda: keys <= set(rig.store.items))


async def test_streams_go_on_at_their_version_after_all_entries_were_killed() -> None:
    """Guards against the rejection of every stream, as no living entry knows its origin."""
    async with _rig("v1", "v2") as rig:
        streams = await _begin(rig)
        assert {v for stream in streams.values() for _, v in stream.events} == {b"v1", b"v2"}
        await _kill_all(rig, streams)
        answers = await _take_up_all(rig, streams)
        assert [answer.status for answer in answers] == [200] * STREAMS
        for stream, answer in zip(streams.values(), answers, strict=True):
            _assert_whole(stream, answer)


async def test_stream_is_not_joined_after_its_version_has_just_left() -> None:
    """Guards against taking the only version in the list for the one that began the stream."""
    async with _rig("v1", "v2") as rig:
        streams = await _begin(rig)
        await _wait_until_recorded(rig, "v1", "v2")
        await _release(rig, rig.decodes[:2], "v2")
        await _kill_all(rig, streams)
        answers = await _take_up_all(rig, streams)
        for stream, answer in zip(streams.values(), answers, strict=True):
            if stream.events[0][1] == b"v2":
                _assert_whole(stream, answer)
            else:
                assert (answer.status, answer.headers.get("retry-after")) == (503, None)


async def test_streams_that_began_while_the_store_was_away_go_on_after_its_return() -> None:
    """Guards against an origin that is lost because its first write failed."""
    async with _rig("v1", "v2") as rig:
        await _wait_until_recorded(rig, "v1", "v2")
        rig.store.faults.status = 503
        streams = await _begin(rig)
        rig.store.faults.status = 0
        keys = {f"vanillashore/origins/{name}" for name in streams}
        await wait_until(lambda: keys <= set(rig.store.items))
        await _kill_all(rig, streams)
        answers = await _take_up_all(rig, streams)
        for stream, answer in zip(streams.values(), answers, strict=True):
            _assert_whole(stream, answer)


async def test_caller_is_told_to_come_back_while_the_store_is_away_and_then_goes_on() -> None:
    """Guards against a final rejection, or a guess, when the origin can merely not be read."""
    async with _rig("v1", "v2", entries=1) as rig:
        streams = await _begin(rig, 2)
        await _kill_all(rig, streams)
        rig.store.faults.status = 503
        for answer in await _take_up_all(rig, streams):
            assert answer.status == 503
            assert 0.5 <= float(answer.headers["retry-after"]) <= 1.5
        rig.store.faults.status = 0
        for name, stream in streams.items():
            answer = await _take_up(rig, name, stream.events[-1][0], f"third-{name}")
            _assert_whole(stream, answer)


async def test_streams_that_began_before_the_second_version_appeared_go_on() -> None:
    """Guards against origins that are missing because only one version counted at the start."""
    async with _rig("v1", "v1") as rig:
        streams = await _begin(rig)
        await _release(rig, rig.decodes[2:], "v2")
        keys = {f"vanillashore/origins/{name}" for name in streams}
        await wait_until(lambda: keys <= set(rig.store.items))
        await _kill_all(rig, streams)
        for stream, answer in zip(streams.values(), await _take_up_all(rig, streams), strict=True):
            _assert_whole(stream, answer)


async def test_streams_go_on_or_are_rejected_over_two_releases_in_a_row() -> None:
    """Guards against a record that forgets the first release when the second one begins."""
    async with _rig("v1", "v2", "v2") as rig:
        streams = await _begin(rig, 12)
        await _wait_until_recorded(rig, "v1", "v2")
        await _release(rig, rig.decodes[:2], "v3")
        await _wait_until_recorded(rig, "v1", "v2", "v3")
        await _release(rig, rig.decodes[4:], "v3")
        await _kill_all(rig, streams)
        answers = await _take_up_all(rig, streams)
        for stream, answer in zip(streams.values(), answers, strict=True):
            if stream.events[0][1] == b"v2":
                _assert_whole(stream, answer)
            else:
                assert (answer.status, answer.headers.get("retry-after")) == (503, None)


async def test_stream_is_taken_up_a_second_time_after_a_second_kill() -> None:
    """Guards against an origin that expires while its stream goes on at another entry."""
    async with _rig("v1", "v2") as rig:
        streams = await _begin(rig, 4)
        await _kill_all(rig, streams)
        second = {}
        revisions = {}
        for name, stream in streams.items():
            revisions[name] = rig.store.items[f"vanillashore/origins/{name}"].revision
            last_id = str(stream.events[-1][0])
            second[name] = await Stream.open(
                rig, f"second-{name}", 0, Resumes=name, Last_Event_Id=last_id
            )
        await asyncio.gather(*(stream.read(3) for stream in second.values()))

        def were_rewritten() -> bool:
            rows = {name: rig.store.items[f"vanillashore/origins/{name}"] for name in streams}
            return all(row.revision > revisions[name] for name, row in rows.items())

        await wait_until(were_rewritten)
        await _kill_all(rig, second)
        for name, stream in streams.items():
            last_id = second[name].events[-1][0]
            answer = await _take_up(rig, name, last_id, f"third-{name}")
            stream.received += second[name].received
            _assert_whole(stream, answer)


async def test_origins_are_written_again_after_the_store_was_restored() -> None:
    """Guards against origins that a restore from an older copy has taken away."""
    async with _rig("v1", "v2") as rig:
        await _wait_until_recorded(rig, "v1", "v2")
        copy = rig.store.copy()
        streams = await _begin(rig)
        keys = {f"vanillashore/origins/{name}" for name in streams}
        await wait_until(lambda: keys <= set(rig.store.items))
        rig.store.restore(copy)
        await wait_until(lambda: keys <= set(rig.store.items))
        await _kill_all(rig, streams)
        for stream, answer in zip(streams.values(), await _take_up_all(rig, streams), strict=True):
            _assert_whole(stream, answer)


async def test_stream_begins_while_the_store_does_not_answer() -> None:
    """Guards against a first event that waits for the store without a bound."""
    async with _rig("v1", "v2", entries=1) as rig:
        await _wait_until_recorded(rig, "v1", "v2")
        rig.store.faults.is_silent = True
        answer = await rig.generate("/quote/1", "id-1")
        assert (answer.status, answer.is_complete) == (200, True)


@pytest.mark.parametrize("versions", [("v1", "v1"), ("v1", "v2")])
async def test_nothing_is_written_while_one_version_counts(
    versions: tuple[str, str], log_lines: list[dict[str, Any]]
) -> None:
    """Guards against billed writes without a release, and against log lines for foreign rows."""
    async with _rig(*versions) as rig:
        for number in range(4):
            await rig.generate("/quote/1", f"id-{number}")
        if versions == ("v1", "v2"):
            await _wait_until_recorded(rig, "v1", "v2")
        found = {key for key in rig.store.items if key.startswith("vanillashore/origins/")}
        assert bool(found) is (versions == ("v1", "v2"))
        await wait_until(
            lambda: all(p._follower.revision == rig.store.revision for p in rig.processes)
        )
    assert not [line for line in log_lines if "malformed" in line["message"]]
