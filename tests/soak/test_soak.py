"""A short seeded run of the soak, and the seeds that ever failed.

- 2: a stop signal during the start of an entry ended it with an error.
"""

import pytest

from vanillashore_standins.soak import SoakPlan, run_soak


@pytest.mark.parametrize("seed", [2])
async def test_promises_hold_under_faults(seed: int) -> None:
    report = await run_soak(SoakPlan(seed, seconds=15.0))
    assert report.violations == ()
    assert report.statuses[200] > 0
