"""Circuit breakers that exclude failing endpoints, with a limit on how many are excluded."""

import attrs

FAILURES_TO_OPEN = 3
FAILURE_SHARE_TO_OPEN = 0.5
MIN_SAMPLES = 8
OPEN_S = 1.0
MAX_OPEN_S = 30.0
MAX_EXCLUDED_SHARE = 0.5
_SMOOTHING = 0.1


@attrs.define
class _Health:
    consecutive_failures: int = 0
    samples: int = 0
    failure_share: float = 0.0
    open_until: float = 0.0
    times_opened: int = 0
    probe_at: float = 0.0


class Breaker:
    """Excludes failing endpoints for a while.

    An endpoint is excluded after `FAILURES_TO_OPEN` consecutive failures, or when its failure share
    far exceeds the median of its peers. Because of this comparison, a fault common to all,
    such as a broken client, excludes none. After the exclusion, one probe is let through; each
    failed probe makes the next exclusion longer.
    """

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}

    def record_result(self, endpoint: str, succeeded: bool, now: float) -> None:
        """Record the result of an attempt on an endpoint."""
        health = self._health.setdefault(endpoint, _Health())
        health.samples += 1
        sample = 0.0 if succeeded else 1.0
        health.failure_share += _SMOOTHING * (sample - health.failure_share)
        if succeeded:
            health.consecutive_failures = 0
            health.times_opened = 0
            health.open_until = 0.0
            return
        health.consecutive_failures += 1
        if health.consecutive_failures >= FAILURES_TO_OPEN or self._is_outlier(health):
            self._open(health, now)

    def trip(self, endpoint: str, now: float) -> None:
        """Exclude an endpoint at once that is known to be unavailable."""
        health = self._health.setdefault(endpoint, _Health())
        health.consecutive_failures = FAILURES_TO_OPEN
        self._open(health, now)

    def failure_share(self, endpoint: str) -> float:
        """Return the share of recent attempts that failed, 0 to 1."""
        health = self._health.get(endpoint)
        return 0.0 if health is None else health.failure_share

    def forget(self, endpoint: str) -> None:
        """Remove the state of an endpoint that no longer exists."""
        self._health.pop(endpoint, None)

    def usable(self, endpoints: list[str], now: float) -> list[str]:
        """Return the endpoints that may be used; all if too many would be excluded."""
        usable = [endpoint for endpoint in endpoints if self._is_usable(endpoint, now)]
        if len(usable) < len(endpoints) * (1 - MAX_EXCLUDED_SHARE):
            return endpoints
        return usable

    def record_selected(self, endpoint: str, now: float) -> None:
        """Record that an endpoint gets a request; an excluded one gets one probe at a time."""
        health = self._health.get(endpoint)
        if health is not None and health.open_until:
            health.probe_at = now

    def _is_usable(self, endpoint: str, now: float) -> bool:
        health = self._health.get(endpoint)
        if health is None or not health.open_until:
            return True
        return now >= health.open_until and now >= health.probe_at + OPEN_S

    def _is_outlier(self, health: _Health) -> bool:
        peers = [h.failure_share for h in self._health.values() if h is not health]
        if health.samples < MIN_SAMPLES or not peers:
            return False
        median_share = sorted(peers)[len(peers) // 2]
        return health.failure_share - median_share >= FAILURE_SHARE_TO_OPEN

    def _open(self, health: _Health, now: float) -> None:
        if now < health.open_until:
            return
        health.open_until = now + min(MAX_OPEN_S, OPEN_S * 2**health.times_opened)
        health.times_opened += 1
