"""Request limits that endpoints name in their answers."""

from loguru import logger as log

from vanillashore_gateway._domain import Endpoint


class RequestLimits:
    """The limits that this entry has seen, in requests per second."""

    def __init__(self) -> None:
        self._limits: dict[str, float] = {}

    @property
    def limited_endpoints(self) -> int:
        """How many endpoints name a limit."""
        return len(self._limits)

    def record_answer(self, endpoint: Endpoint, limit_per_s: float | None, request_id: str) -> None:
        """Record the limit that an answer names; ``None`` if it names none."""
        known = self._limits.get(endpoint.instance)
        if limit_per_s == known:
            return
        if limit_per_s is None:
            del self._limits[endpoint.instance]
        else:
            self._limits[endpoint.instance] = limit_per_s
        log.bind(
            request=request_id, endpoint=endpoint.instance, limit_per_s=limit_per_s, before=known
        ).info("an endpoint changed its request limit")

    def forget(self, instance: str) -> None:
        """Drop the limit of an endpoint that has left."""
        self._limits.pop(instance, None)
