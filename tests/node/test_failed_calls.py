"""Calls that a service fails after it ran them, and what callers are told of the run."""

import pytest

from vanillashore_standins.payments import pay, runs, service_plan, set_service
from vanillashore_standins.testing import SmallFleet

# Callers send a call again that was answered with one of these.
NOT_RUN = [408, 421, 429, 503]


@pytest.mark.parametrize("key", ["", "k-17"])
@pytest.mark.parametrize("status", NOT_RUN)
async def test_caller_is_not_told_that_a_failed_call_did_not_run(status: int, key: str) -> None:
    """Guards against a service's failure that makes callers repeat a call that has run."""
    async with SmallFleet(service_plan()) as fleet:
        set_service(fleet, fail_after_run=1, fail_status=status)
        failed = [await pay(fleet, 0, key)]
        if key:
            failed.append(await pay(fleet, 1, key))
        assert {(p.status, p.code, p.ran) for p in failed} == {(502, "outcome_unknown", "unknown")}
        assert [p.retry_after for p in failed] == [""] * len(failed)
        assert runs(fleet) == 1


@pytest.mark.parametrize("status", [400, 409, 425, 500, 502, 504])
async def test_failure_that_promises_nothing_reaches_the_caller_unchanged(status: int) -> None:
    async with SmallFleet(service_plan()) as fleet:
        set_service(fleet, fail_after_run=1, fail_status=status)
        failed = await pay(fleet, 0)
        assert (failed.status, failed.text) == (status, '{"error": {"message": "failed"}}')
        again = await pay(fleet, 1)
        assert (again.status, again.text, again.replayed) == (status, failed.text, True)
        assert runs(fleet) == 1


@pytest.mark.parametrize("status", NOT_RUN)
async def test_failure_of_a_call_that_may_run_again_reaches_the_caller_unchanged(
    status: int,
) -> None:
    async with SmallFleet(service_plan()) as fleet:
        set_service(fleet, fail_after_run=1, fail_status=status)
        async with fleet.get(0, "/stock") as response:
            assert response.status == status
            assert await response.json() == {"error": {"message": "failed"}}
