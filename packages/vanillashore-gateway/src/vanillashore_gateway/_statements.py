"""What endpoints say of themselves in their answers.

Every answer of an endpoint is recorded here, and every request and call to one is checked here
right before it is sent.
"""

from collections.abc import Callable

from loguru import logger as log

from vanillashore_gateway._domain import AnswerHead, Endpoint
from vanillashore_gateway._http_client import LinkError, LinkFailure
from vanillashore_gateway._limit_requests import RequestLimits
from vanillashore_gateway._membership import Membership
from vanillashore_gateway._request_limits import NamedLimit


class WithheldError(LinkError):
    """Raised instead of sending to an endpoint that wants nothing; it is not failing."""

    def __init__(self, text: str) -> None:
        super().__init__(LinkFailure.NOT_SENT, text)


class EndpointStatements:
    """Records what answers state, and refuses sends that it forbids.

    Example::

        known = statements.known_limit(endpoint)
        statements.check(endpoint)
        conn.send(data)
        ...
        statements.record_answer(endpoint, head, known, "request-1")
    """

    def __init__(
        self, membership: Membership, limits: RequestLimits, clock: Callable[[], float]
    ) -> None:
        self._membership = membership
        self._limits = limits
        self._clock = clock

    def check(self, endpoint: Endpoint) -> None:
        """Raise WithheldError if an endpoint is not to get any request or call now."""
        if self._membership.is_evacuated(endpoint):
            raise WithheldError(f"{endpoint.instance} is in an evacuated data centre")
        if self._membership.is_leaving(endpoint):
            raise WithheldError(f"{endpoint.instance} is leaving")
        if pause_s := self._limits.pause_s(endpoint.start):
            raise WithheldError(f"{endpoint.instance} wants nothing for {pause_s:.3f} s")

    def known_limit(self, endpoint: Endpoint) -> NamedLimit:
        """Return the newest request limit of an endpoint, for `record_answer`."""
        return self._limits.known_limit(endpoint)

    def record_answer(
        self, endpoint: Endpoint, head: AnswerHead, known: NamedLimit, request_id: str
    ) -> None:
        """Record an answer to a request; ``known`` is the limit known when it was sent."""
        self.record_call(endpoint, head, request_id)
        # A rejection need not come from the application, which names the limit.
        if head.limit_per_s is not None or not head.was_not_run:
            self._limits.record_answer(endpoint, head.limit_per_s, known, request_id)

    def record_call(self, endpoint: Endpoint, head: AnswerHead, request_id: str = "") -> None:
        """Record an answer to a call of the entry itself, which names no request limit."""
        if head.is_leaving and self._membership.record_leaving(endpoint.start, self._clock()):
            log.bind(request=request_id, endpoint=endpoint.instance).info(
                "an endpoint says that it is leaving"
            )
        if head.cold_s:
            self._limits.cold.record_answer(endpoint, head.cold_s)
        if head.pause_s:
            self._limits.record_pause(endpoint, head.pause_s, request_id)
