"""The clock that a gateway uses throughout."""

import time


def now() -> float:
    """Return monotonic seconds that include VM suspension, unlike ``time.monotonic``."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
