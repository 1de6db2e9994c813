"""The one clock of a gateway."""

import time


def now() -> float:
    """Return seconds that also pass while the VM is suspended, unlike ``time.monotonic``."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
