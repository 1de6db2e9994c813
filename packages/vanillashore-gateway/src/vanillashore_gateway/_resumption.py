"""Where a stream that its caller takes up again may go on."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import attrs
from loguru import logger as log

from vanillashore_gateway._domain import CallerRequest, Route
from vanillashore_gateway._errors import ErrorCode, refusal
from vanillashore_gateway._origin_store import OriginStore
from vanillashore_gateway._stream_origins import OriginLookup, StreamOrigin, StreamOrigins

RETRY_AFTER_S = 1.0  # For the store, or entries that did not answer, to be back.


@attrs.frozen
class _Lookup:
    """What other entries and the store know of a stream; ``source`` says which of them knew."""

    origin: StreamOrigin | None
    was_answered: bool
    source: str


async def _stay_behind() -> bool:
    return False


class Resumption:
    """Finds the origins of streams that callers take up again.

    A stream whose origin nobody knows may go on at the only version that counts, but only if this
    entry certainly knows each version that another entry can have begun it at. ``catch_up`` brings
    the list of endpoints up to date, and returns whether that was possible.
    """

    def __init__(
        self, origins: StreamOrigins, origin_store: OriginStore, clock: Callable[[], float]
    ) -> None:
        self._origins = origins
        self._store = origin_store
        self._clock = clock
        self.catch_up: Callable[[], Awaitable[bool]] = _stay_behind

    async def origin_of(self, req: CallerRequest, route: Route) -> StreamOrigin | None:
        """Return the origin of a stream that is taken up again, ``None`` for a new stream.

        Raises RefusalError if it cannot be known for certain, or if the route no longer leads to
        the service that began the stream.
        """
        if not route.is_resumable or req.last_event_id is None:
            return None
        services = [target.service for target in route.targets]
        # Nobody can be asked about a stream without a name.
        lookup = _Lookup(None, True, "")
        if req.resumes is not None:
            lookup = await self._look_up(req.resumes)
        origin, is_final = lookup.origin, lookup.was_answered
        if origin is None and lookup.was_answered and len(self._candidates(services)) < 2:
            is_current = await self.catch_up()
            candidates = self._candidates(services)
            if is_current and len(candidates) == 1:
                origin = candidates.pop()
            is_final = len(candidates) > 1
        bound = log.bind(request=req.log_id, resumes=req.resumes, last_event_id=req.last_event_id)
        bound.bind(
            service=origin and origin.service,
            software=origin and origin.software,
            candidates=len(self._candidates(services)),
            was_answered=lookup.was_answered,
            source=lookup.source,
        ).info("looked up the origin of a stream")
        if origin is None:
            text = "the software version that began the stream is not known"
            raise refusal(ErrorCode.ORIGIN_UNKNOWN, text, None if is_final else RETRY_AFTER_S)
        if origin.service not in services:
            text = "the route no longer leads to the service that began the stream"
            raise refusal(ErrorCode.ORIGIN_UNKNOWN, text)
        self._keep(req, origin)
        return origin

    def _candidates(self, services: Iterable[str]) -> set[StreamOrigin]:
        """Return the versions that count, as far as this entry knows."""
        now = self._clock()
        return {
            StreamOrigin(service, software)
            for service in services
            for software in self._store.versions.counted(service, now)
        }

    def _keep(self, req: CallerRequest, origin: StreamOrigin) -> None:
        """Keep an origin anew: the caller may come back once more, to this entry or another."""
        if req.resumes is None:
            return
        left_s = max(0.0, req.deadline - self._clock())
        self._origins.keep(req.resumes, origin, left_s, is_own=True)
        self._store.begin(req.resumes, origin, left_s)

    async def _look_up(self, request_id: str) -> _Lookup:
        """Ask other entries and the store at once; the first one that knows the origin decides.

        An origin that the store certainly lacks is unknown: it is written before the first event.
        Without such an answer, that of another entry is enough only if there is no store.
        """
        known = self._origins.get(request_id)
        if known is not None:
            return _Lookup(known, True, "entry")
        asked = {
            asyncio.ensure_future(self._origins.find(request_id)): "entries",
            asyncio.ensure_future(self._store.find(request_id)): "store",
        }
        answered: dict[str, bool] = {}
        pending = set(asked)
        try:
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    lookup: OriginLookup = task.result()
                    if lookup.origin is not None:
                        return _Lookup(lookup.origin, True, asked[task])
                    answered[asked[task]] = lookup.was_answered
        finally:
            for task in pending:
                task.cancel()
        decisive = "entries" if self._store.store is None else "store"
        return _Lookup(None, answered[decisive], "")
