"""Circuit breakers that exclude failing endpoints, with a limit on how many are excluded."""

import attrs

FAILURES_TO_OPEN = 3
FAILURE_SHARE_TO_OPEN = 0.5
MIN_SAMPLES = 8
OPEN_S = 1.0
MAX_OPEN_S = 30.0
MAX_EXCLUDED_SHARE = 0.5
# Without results the failure share halves in this time: an endpoint that is avoided for its
# failures brings no results that could show that it is sound again.
FAILURE_HALF_LIFE_S = 1.5
# A smaller failure share counts as none. It would still decide between idle endpoints, which are
# otherwise equal, for as long as it takes to decay to zero.
MIN_FAILURE_SHARE = 0.05
_SMOOTHING = 0.1


@attrs.define
class _Health:
    consecutive_failures: int = 0
    samples: int = 0
    failure_share: float = 0.0
    last_result_at: float = 0.0
    open_until: float = 0.0
    times_opened: int = 0
    probe_at: float = 0.0

    def aged_share(self, now: float) -> float:
        """Return the failure share, less what has aged since the last result."""
        age_s = max(0.0, now - self.last_result_at)
        return self.failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)


class Breaker:
    """Excludes failing endpoints for a while.

    An endpoint is excluded after `FAILURES_TO_OPEN` consecutive failures, or when its failure share
    far exceeds the median of its peers. Because of this comparison, a fault common to all,
    such as a broken client, excludes none. After the exclusion, one probe is let through; each
    failed probe makes the next exclusion longer, up to ``max_open_s``.
    """

    def __init__(self, max_open_s: float = MAX_OPEN_S) -> None:
        self._max_open_s = max_open_s
        self._health: dict[str, _Health] = {}

    def record_result(self, endpoint: str, succeeded: bool, now: float) -> None:
        """Record the result of an attempt on an endpoint."""
        health = self._health.setdefault(endpoint, _Health())
        health.samples += 1
        sample = 0.0 if succeeded else 1.0
        share = health.aged_share(now)
        health.failure_share = share + _SMOOTHING * (sample - share)
        health.last_result_at = now
        if succeeded:
            health.consecutive_failures = 0
            health.times_opened = 0
            health.open_until = 0.0
            return
        health.consecutive_failures += 1
        if health.consecutive_failures >= FAILURES_TO_OPEN or self._is_outlier(health, now):
            self._open(health, now)

    def trip(self, endpoint: str, now: float) -> None:
        """Exclude an endpoint at once that is known to be unavailable."""
        health = self._health.setdefault(endpoint, _Health())
        health.consecutive_failures = FAILURES_TO_OPEN
        self._open(health, now)

    def failure_share(self, endpoint: str, now: float) -> float:
        """Return the share of recent attempts that failed, 0 to 1; it ages without results."""
        health = self._health.get(endpoint)
        share = 0.0 if health is None else health.aged_share(now)
        return share if share >= MIN_FAILURE_SHARE else 0.0

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

    def _is_outlier(self, health: _Health, now: float) -> bool:
        peers = [h.aged_share(now) for h in self._health.values() if h is not health]
        if health.samples < MIN_SAMPLES or not peers:
            return False
        median_share = sorted(peers)[len(peers) // 2]
        return health.failure_share - median_share >= FAILURE_SHARE_TO_OPEN

    def _open(self, health: _Health, now: float) -> None:
        if now < health.open_until:
            return
        health.open_until = now + min(self._max_open_s, OPEN_S * 2**health.times_opened)
        health.times_opened += 1
