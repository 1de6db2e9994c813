"""Failures of endpoints that have run a request, with a status that says "not run" to callers."""

import pytest

from vanillashore_standins.platform_endpoint import SEAL_PREFIX, EndpointStandIn, Fault
from vanillashore_standins.platform_rig import Answer, PlatformRig, fail_first

# Callers send a request again that was answered with one of these, also one that may run once.
NOT_RUN = [408, 429, 503]
OTHERS = [400, 409, 425, 500, 502, 504]
BODIES = [b"", b"failed", b"f" * 400_000]
BY_SIZE = pytest.mark.parametrize("body", BODIES, ids=["empty", "short", "long"])
RUNS_ONCE = pytest.mark.parametrize("path", ["/pay/1", "/idea/1"])


def _fail_after_run(endpoints: list[EndpointStandIn], status: int, body: bytes) -> None:
    for endpoint in endpoints:
        endpoint.error_status, endpoint.error_body = status, body


async def _ask(rig: PlatformRig, path: str) -> Answer:
    if path.startswith("/pay/"):
        return await rig.ask("POST", path, "id-1", b"pay")
    return await rig.generate(path, "id-1")


@BY_SIZE
@pytest.mark.parametrize("status", NOT_RUN)
@RUNS_ONCE
async def test_caller_is_not_told_that_a_failed_run_did_not_run(
    path: str, status: int, body: bytes
) -> None:
    """Guards against an endpoint's failure that makes callers repeat what runs once at most."""
    async with PlatformRig(services=2, decodes=2) as rig:
        _fail_after_run(rig.endpoints, status, body)
        fail_first(rig.endpoints, Fault.ERROR)
        answer = await _ask(rig, path)
        assert len(rig.arrivals("id-1")) == 1
        assert (answer.status, answer.is_complete) == (502, True)
        assert b'"ran":"unknown"' in answer.body
        assert "x-server-seal" not in answer.headers
        assert "retry-after" not in answer.headers


@pytest.mark.parametrize("status", NOT_RUN)
@RUNS_ONCE
async def test_failure_after_a_run_is_withheld_if_another_endpoint_was_full_before(
    path: str, status: int
) -> None:
    """Guards against an earlier "not run" that is taken to hold for the next endpoint, too."""
    async with PlatformRig(services=2, decodes=2) as rig:
        _fail_after_run(rig.endpoints, status, b"failed")
        fail_first(rig.endpoints, Fault.SHED, Fault.ERROR)
        answer = await _ask(rig, path)
        assert len(rig.arrivals("id-1")) == 1
        assert (answer.status, b'"ran":"unknown"' in answer.body) == (502, True)


@BY_SIZE
@pytest.mark.parametrize("status", OTHERS)
@RUNS_ONCE
async def test_failure_that_promises_nothing_reaches_the_caller_unchanged(
    path: str, status: int, body: bytes
) -> None:
    async with PlatformRig(services=1, decodes=1) as rig:
        _fail_after_run(rig.endpoints, status, body)
        fail_first(rig.endpoints, Fault.ERROR)
        answer = await _ask(rig, path)
        (instance,) = rig.arrivals("id-1")
        if path == "/idea/1" and len(body) > 65_536:  # More than is held of an engine's failure.
            assert (answer.status, "x-server-seal" in answer.headers) == (502, False)
            return
        assert (answer.status, answer.body, answer.is_complete) == (status, body, True)
        assert answer.headers["x-server-seal"] == SEAL_PREFIX + instance


@pytest.mark.parametrize("status", NOT_RUN)
@pytest.mark.parametrize("path", ["/open/1", "/quote/1"])
async def test_failure_of_a_request_that_may_run_again_reaches_the_caller_unchanged(
    path: str, status: int
) -> None:
    async with PlatformRig(services=1, decodes=1) as rig:
        _fail_after_run(rig.endpoints, status, b"failed")
        fail_first(rig.endpoints, Fault.ERROR)
        answer = await _ask(rig, path)
        assert (answer.status, answer.body) == (status, b"failed")
        assert answer.headers["x-server-seal"] == SEAL_PREFIX + rig.arrivals("id-1")[0]


@RUNS_ONCE
async def test_full_endpoints_still_promise_that_nothing_ran(path: str) -> None:
    async with PlatformRig(services=1, decodes=1) as rig:
        fail_first(rig.endpoints, *[Fault.SHED] * 50)
        answer = await _ask(rig, path)
        assert rig.arrivals("id-1") == []
        assert (answer.status, b'"ran":"no"' in answer.body) == (503, True)
