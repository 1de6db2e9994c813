"""Checks how many requests reach an endpoint that names a request limit."""

from collections.abc import Sequence

WINDOW_S = 4.0
TOLERATED_SHARE = 1.5  # Of the requests that the limit allows in a window.
TOLERATED_REQUESTS = 5


def allowed_requests(limit_per_s: float) -> float:
    """Return how many requests the platform tolerates in a window."""
    return TOLERATED_SHARE * limit_per_s * WINDOW_S + TOLERATED_REQUESTS


def most_requests(times: Sequence[float]) -> int:
    """Return the highest number of requests in any window; ``times`` are in seconds."""
    ordered = sorted(times)
    first = most = 0
    for last, at in enumerate(ordered):
        while at - ordered[first] >= WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most
