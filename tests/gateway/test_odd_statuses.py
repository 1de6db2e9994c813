"""Answers whose first line is outside the protocol: they are no answers, and fail at once."""

import pytest

from vanillashore_gateway import now
from vanillashore_standins.platform_rig import PlatformRig, configuration

ODD_LINES = [
    "HTTP/1.1 000 Status",
    "HTTP/1.1 001 Status",
    "HTTP/1.1 099 Status",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 Status",
    "HTTP/1.1 999 Status",
    "HTTP/1.1 20 Status",
    "HTTP/1.1 2000 Status",
    "HTTP/1.1 -200 Status",
    "HTTP/1.1 2x0 Status",
    "HTTP/0.9 200 Status",
    "HTTP/2.0 200 Status",
    "HTTP/3.7 200 Status",
    "HTPP/1.1 200 Status",
]
ODD = pytest.mark.parametrize("line", ODD_LINES)
TIMEOUT_MS = 30_000
DEADLINE = {"X_Deadline_Ms": str(TIMEOUT_MS)}
AT_ONCE_S = 15.0  # Far from both the time-outs and the milliseconds that an answer takes.


def _rig(**counts: int) -> PlatformRig:
    rig = PlatformRig(**counts)
    routes = configuration()["routes"]
    rig.config_changes["routes"] = [route | {"timeout_ms": TIMEOUT_MS} for route in routes]
    return rig


@ODD
async def test_payment_fails_at_once_as_one_that_may_have_run(line: str) -> None:
    """Guards against an odd status that reaches the caller, or counts as an interim answer."""
    async with _rig(services=1) as rig:
        rig.services[0].status_line = line
        began = now()
        answer = await rig.ask("POST", "/pay/1", "id-1", b"pay", **DEADLINE)
        assert (answer.status, b'"ran":"unknown"' in answer.body) == (502, True)
        assert now() - began < AT_ONCE_S


@ODD
async def test_lookup_is_answered_by_another_endpoint(line: str) -> None:
    async with _rig(services=2) as rig:
        rig.services[0].status_line = line
        for number in range(3):
            answer = await rig.ask("GET", "/stock/1", f"id-{number}", **DEADLINE)
            assert (answer.status, answer.body) == (200, f"answer to id-{number}".encode())


@ODD
@pytest.mark.parametrize(("path", "status"), [("/quote/1", 200), ("/idea/1", 502)])
async def test_stream_goes_on_elsewhere_if_it_may_and_fails_at_once_if_not(
    path: str, status: int, line: str
) -> None:
    async with _rig(decodes=2) as rig:
        rig.decodes[0].status_line = line
        rig.decodes[0].odd_targets = (path[:5],)
        statuses = set()
        began = now()
        for number in range(3):
            answer = await rig.generate(path, f"id-{number}", **DEADLINE)
            statuses.add(answer.status)
            assert answer.is_complete
        assert statuses <= {200, status}
        assert now() - began < AT_ONCE_S


@ODD
async def test_prefill_with_an_odd_status_is_left_to_the_decode_engine(line: str) -> None:
    async with _rig(prefills=1, decodes=1) as rig:
        rig.prefills[0].status_line = line
        answer = await rig.generate("/idea/1", "id-1", **DEADLINE)
        assert (answer.status, answer.is_complete) == (200, True)
        assert not any("x-kv-source" in arrival.headers for arrival in rig.decodes[0].runs)


@ODD
async def test_reservation_with_an_odd_status_is_made_at_another_engine(line: str) -> None:
    async with _rig(decodes=2) as rig:
        rig.decodes[0].status_line = line
        rig.decodes[0].odd_targets = ("/-/hold-take",)
        began = now()
        for number in range(3):
            assert (await rig.generate("/idea/1", f"id-{number}", **DEADLINE)).status == 200
            assert rig.arrivals(f"id-{number}") == ["d1"]
        assert now() - began < AT_ONCE_S


@pytest.mark.parametrize("line", ["HTTP/1.1 299 Status", "HTTP/1.1 599 Status", "HTTP/1.0 200 OK"])
async def test_unusual_answer_within_the_protocol_reaches_the_caller(line: str) -> None:
    async with _rig(services=1) as rig:
        rig.services[0].status_line = line
        answer = await rig.ask("POST", "/pay/1", "id-1", b"pay", **DEADLINE)
        assert (str(answer.status), answer.is_complete) == (line.split()[1], True)


@pytest.mark.parametrize("status", [100, 102, 103, 199])
async def test_interim_answer_is_followed_by_the_answer(status: int) -> None:
    async with _rig(services=1) as rig:
        rig.services[0].interim = f"HTTP/1.1 {status} Interim\r\nX-Some: header\r\n\r\n".encode()
        answer = await rig.ask("POST", "/pay/1", "id-1", b"pay", **DEADLINE)
        assert (answer.status, answer.body) == (200, b"answer to id-1")
