"""Where a stream that its caller takes up again may go on."""

from collections.abc import Callable

from loguru import logger as log

from vanillashore_gateway._domain import CallerRequest, Route
from vanillashore_gateway._errors import ErrorCode, refusal
from vanillashore_gateway._membership import Membership
from vanillashore_gateway._stream_origins import MAX_KEPT_S, StreamOrigin, StreamOrigins

RETRY_AFTER_S = 1.0  # For entries that did not answer to be back.


class Resumption:
    """Finds the origins of streams that callers take up again."""

    def __init__(
        self, origins: StreamOrigins, membership: Membership, clock: Callable[[], float]
    ) -> None:
        self._origins = origins
        self._membership = membership
        self._clock = clock
        self._started_at = clock()

    async def origin_of(self, req: CallerRequest, route: Route) -> StreamOrigin | None:
        """Return the origin of a stream that is taken up again, ``None`` for a new stream.

        Raises RefusalError if it is not known while there are several versions, or if the route no
        longer leads to the service that began the stream.
        """
        if not route.is_resumable or req.last_event_id is None:
            return None
        now = self._clock()
        services = [target.service for target in route.targets]
        candidates = {
            StreamOrigin(service, software)
            for service in services
            for software in self._membership.versions(service, now - MAX_KEPT_S)
        }
        only = next(iter(candidates)) if len(candidates) == 1 else None
        if only is not None and now - self._started_at > MAX_KEPT_S:
            return only
        origin, was_answered = None, False
        if req.resumes is not None:
            lookup = await self._origins.find(req.resumes)
            origin, was_answered = lookup.origin, lookup.was_answered
        bound = log.bind(request=req.log_id, resumes=req.resumes, last_event_id=req.last_event_id)
        bound.bind(
            service=origin and origin.service,
            software=origin and origin.software,
            candidates=len(candidates),
            was_answered=was_answered,
        ).info("looked up the origin of a stream")
        if origin is None:
            if only is not None or not candidates:
                return only
            text = "the software version that began the stream is not known"
            retry_s = None if was_answered else RETRY_AFTER_S
            raise refusal(ErrorCode.ORIGIN_UNKNOWN, text, retry_s)
        if origin.service not in services:
            text = "the route no longer leads to the service that began the stream"
            raise refusal(ErrorCode.ORIGIN_UNKNOWN, text)
        # The caller may come back once more, and this entry may be asked then.
        self._origins.keep(req.resumes, origin, max(0.0, req.deadline - now))
        return origin
