"""Checks how many requests reach an endpoint that names a request limit."""

from collections.abc import Sequence

WINDOW_S = 4.0
COLD_WINDOW_S = 1.0
TOLERATED_SHARE = 1.5  # Of the requests that the limit allows in a window.
TOLERATED_REQUESTS = 5


def allowed_requests(limit_per_s: float) -> float:
    """Return how many requests the platform tolerates in a window."""
    return TOLERATED_SHARE * limit_per_s * WINDOW_S + TOLERATED_REQUESTS


def allowed_cold_requests(cold_per_s: float) -> float:
    """Return how many requests the platform tolerates at a cold endpoint in a second."""
    return TOLERATED_SHARE * cold_per_s * COLD_WINDOW_S + TOLERATED_REQUESTS


def most_requests(times: Sequence[float], window_s: float = WINDOW_S) -> int:
    """Return the highest number of requests in any window; ``times`` are in seconds."""
    ordered = sorted(times)
    first = most = 0
    for last, at in enumerate(ordered):
        while at - ordered[first] >= window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
