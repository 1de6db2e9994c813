"""Where a stream that its caller takes up again may go on."""

import asyncio
import random
from typing import Any

import attrs
import pytest

from vanillashore_gateway import CallerRequest, Endpoint, RefusalError, Route, RouteKind, Target
from vanillashore_gateway._membership import Membership
from vanillashore_gateway._origin_store import OriginStore
from vanillashore_gateway._resumption import Resumption
from vanillashore_gateway._stream_origins import (
    MAX_KEPT_S,
    OriginLookup,
    StreamOrigin,
    StreamOrigins,
)
from vanillashore_gateway._version_record import ServiceVersion, VersionRecord

ROUTE = Route("r", "h", "/", RouteKind.STREAMING, (Target("llm"),), 14.0, 0.9, is_resumable=True)
REQUEST = CallerRequest(
    b"id-2", b"POST", b"/", "h", "/", (), b"", 0.0, 14.0, last_event_id=3, resumes="id-1"
)
V1, V2 = StreamOrigin("llm", "v1"), StreamOrigin("llm", "v2")


class Rig:
    """A resumption with a list of endpoints, an answer of the other entries, and a clock."""

    def __init__(self, *versions: str, lookup: OriginLookup | None = None) -> None:
        self.now = 0.0
        self.unread: tuple[str, ...] = ()
        self.membership = Membership()
        self.asked: list[str] = []
        for number, version in enumerate(versions):
            self.membership.put(self.endpoint(f"i-{number}", version), 0.0)
        origins = self.origins = StreamOrigins("e0", lambda: self.now)

        async def find(request_id: str) -> OriginLookup:
            self.asked.append(request_id)
            return lookup or OriginLookup(None)

        origins.find = find
        self.store = OriginStore(
            "e0",
            origins,
            lambda rank_of: VersionRecord(self.membership, rank_of),
            lambda: self.now,
            random.Random(1),
        )
        self.is_reached = True
        self.resumption = Resumption(origins, self.store, lambda: self.now)
        self.resumption.catch_up = self._catch_up

    async def _catch_up(self) -> bool:
        """Read what has not been read yet, if the store is reached."""
        if self.is_reached:
            for number, version in enumerate(self.unread):
                self.membership.put(self.endpoint(f"unread-{number}", version), self.now)
        return self.is_reached

    @staticmethod
    def endpoint(name: str, version: str) -> Endpoint:
        return Endpoint(name, "llm", "10.0.0.1", 80, "dc-a", 8, software=version)

    async def origin(self, req: CallerRequest = REQUEST, route: Route = ROUTE) -> Any:
        return await self.resumption.origin_of(req, route)


async def test_origin_that_another_entry_knows_is_used() -> None:
    assert await Rig("v1", "v2", lookup=OriginLookup(V2)).origin() == V2


async def test_new_streams_and_streams_that_run_once_are_not_looked_up() -> None:
    rig = Rig("v1", "v2")
    assert await rig.origin(attrs.evolve(REQUEST, last_event_id=None)) is None
    assert await rig.origin(route=attrs.evolve(ROUTE, is_resumable=False)) is None
    assert rig.asked == []


@pytest.mark.parametrize("resumes", ["id-1", None])
async def test_unknown_origin_is_refused_as_not_run_while_there_are_two_versions(
    resumes: str | None,
) -> None:
    with pytest.raises(RefusalError) as caught:
        await Rig("v1", "v2").origin(attrs.evolve(REQUEST, resumes=resumes))
    assert caught.value.refused.ran == "no"


@pytest.mark.parametrize(("was_answered", "is_told"), [(True, False), (False, True)])
async def test_caller_is_told_to_come_back_only_if_no_other_entry_answered(
    was_answered: bool, is_told: bool
) -> None:
    with pytest.raises(RefusalError) as caught:
        await Rig("v1", "v2", lookup=OriginLookup(None, was_answered)).origin()
    assert (caught.value.refused.retry_after_s is not None) is is_told


async def test_unknown_origin_can_only_be_the_one_version_there_is() -> None:
    assert await Rig("v1", "v1").origin() == V1


async def test_version_that_has_left_lately_still_counts() -> None:
    rig = Rig("v1", "v2", lookup=OriginLookup(V1))
    rig.now = MAX_KEPT_S + 1.0
    rig.membership.remove("i-0", rig.now)
    assert await rig.origin() == V1
    assert rig.asked == ["id-1"]


async def test_version_of_an_endpoint_that_came_back_with_another_one_still_counts() -> None:
    rig = Rig("v1", lookup=OriginLookup(V1))
    rig.now = MAX_KEPT_S + 1.0
    rig.membership.put(rig.endpoint("i-0", "v2"), rig.now)
    assert await rig.origin() == V1


async def test_others_are_asked_although_there_has_long_been_one_version() -> None:
    """Guards against an entry that has missed a version, for how short a time whatever."""
    rig = Rig("v1", "v1", lookup=OriginLookup(V2))
    rig.now = MAX_KEPT_S + 1.0
    assert await rig.origin() == V2


@pytest.mark.parametrize("resumes", ["id-1", None])
async def test_version_that_was_not_read_yet_counts(resumes: str | None) -> None:
    """Guards against the join of two versions at an entry that trails the store."""
    rig = Rig("v1", "v1")
    rig.now = MAX_KEPT_S + 1.0
    rig.unread = ("v2",)
    with pytest.raises(RefusalError) as caught:
        await rig.origin(attrs.evolve(REQUEST, resumes=resumes))
    assert caught.value.refused.ran == "no"


async def test_stream_of_unknown_origin_waits_for_a_service_without_endpoints_elsewhere() -> None:
    """Guards against a stream that goes on at whichever version is listed next."""
    with pytest.raises(RefusalError) as caught:
        await Rig().origin()
    assert caught.value.refused.retry_after_s is not None


async def test_stream_of_a_service_that_the_route_has_left_is_refused() -> None:
    lookup = OriginLookup(StreamOrigin("another", "v1"))
    with pytest.raises(RefusalError):
        await Rig("v1", "v2", lookup=lookup).origin()


async def test_version_that_only_the_store_remembers_counts_at_an_entry_that_starts() -> None:
    """Guards against joining two versions when the old one left before all entries were killed."""
    rig = Rig("v2", "v2")
    rig.store.versions.replace_all([ServiceVersion("llm", "v1"), ServiceVersion("llm", "v2")], 0.0)
    with pytest.raises(RefusalError) as caught:
        await rig.origin()
    assert caught.value.refused.ran == "no"


async def test_stored_origin_is_used_before_the_other_entries_have_answered() -> None:
    """Guards against a take-up that waits for entries that were killed."""
    rig = Rig("v1", "v2")

    async def never(request_id: str) -> OriginLookup:
        return await asyncio.get_running_loop().create_future()

    async def find(request_id: str) -> OriginLookup:
        return OriginLookup(V2)

    rig.origins.find, rig.store.find = never, find
    assert await rig.origin() == V2


@pytest.mark.parametrize("resumes", ["id-1", None])
@pytest.mark.parametrize("versions", [(), ("v1",), ("v1", "v1")])
async def test_unknown_origin_is_refused_at_an_entry_that_does_not_reach_the_store(
    versions: tuple[str, ...], resumes: str | None
) -> None:
    rig = Rig(*versions)
    rig.now = MAX_KEPT_S + 1.0
    rig.is_reached = False
    with pytest.raises(RefusalError) as caught:
        await rig.origin(attrs.evolve(REQUEST, resumes=resumes))
    assert caught.value.refused.ran == "no"
    assert caught.value.refused.retry_after_s is not None


async def test_origin_that_an_entry_keeps_is_used_although_it_was_cut_off() -> None:
    rig = Rig("v1", lookup=OriginLookup(V2))
    rig.now = MAX_KEPT_S + 1.0
    rig.is_reached = False
    assert await rig.origin() == V2
