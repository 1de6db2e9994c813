"""Where a stream that its caller takes up again may go on."""

import asyncio
from collections.abc import Callable

import attrs
from loguru import logger as log

from vanillashore_gateway._domain import CallerRequest, Route
from vanillashore_gateway._errors import ErrorCode, refusal
from vanillashore_gateway._origin_store import OriginStore
from vanillashore_gateway._stream_origins import (
    MAX_KEPT_S,
    OriginLookup,
    StreamOrigin,
    StreamOrigins,
)

RETRY_AFTER_S = 1.0  # For the store, or entries that did not answer, to be back.


@attrs.frozen
class _Lookup:
    """What other entries and the store know of a stream; ``source`` says which of them knew."""

    origin: StreamOrigin | None
    was_answered: bool
    source: str


class Resumption:
    """Finds the origins of streams that callers take up again.

    ``may_lag`` tells whether other entries may begin streams at versions that are not listed here.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        origin_store: OriginStore,
        clock: Callable[[], float],
        may_lag: Callable[[], bool] = lambda: False,
    ) -> None:
        self._origins = origins
        self._store = origin_store
        self._clock = clock
        self._may_lag = may_lag
        self._started_at = clock()

    async def origin_of(self, req: CallerRequest, route: Route) -> StreamOrigin | None:
        """Return the origin of a stream that is taken up again, ``None`` for a new stream.

        Raises RefusalError if it is not known while several versions count, or if the route no
        longer leads to the service that began the stream.
        """
        if not route.is_resumable or req.last_event_id is None:
            return None
        now = self._clock()
        services = [target.service for target in route.targets]
        candidates = {
            StreamOrigin(service, software)
            for service in services
            for software in self._store.versions.counted(service, now)
        }
        may_lag = self._may_lag()
        only = next(iter(candidates)) if len(candidates) == 1 and not may_lag else None
        if only is not None and now - self._started_at > MAX_KEPT_S:
            self._keep(req, only, now)
            return only
        lookup = _Lookup(None, False, "")
        if req.resumes is not None:
            lookup = await self._look_up(req.resumes)
        origin = lookup.origin
        bound = log.bind(request=req.log_id, resumes=req.resumes, last_event_id=req.last_event_id)
        bound.bind(
            service=origin and origin.service,
            software=origin and origin.software,
            candidates=len(candidates),
            was_answered=lookup.was_answered,
            source=lookup.source,
            may_lag=may_lag,
        ).info("looked up the origin of a stream")
        if origin is None:
            if only is not None or (not candidates and not may_lag):
                self._keep(req, only, now)
                return only
            text = "the software version that began the stream is not known"
            is_final = not may_lag and (lookup.was_answered or req.resumes is None)
            raise refusal(ErrorCode.ORIGIN_UNKNOWN, text, None if is_final else RETRY_AFTER_S)
        if origin.service not in services:
            text = "the route no longer leads to the service that began the stream"
            raise refusal(ErrorCode.ORIGIN_UNKNOWN, text)
        self._keep(req, origin, now)
        return origin

    def _keep(self, req: CallerRequest, origin: StreamOrigin | None, now: float) -> None:
        """Keep an origin anew: the caller may come back once more, to this entry or another."""
        if origin is None or req.resumes is None:
            return
        left_s = max(0.0, req.deadline - now)
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
