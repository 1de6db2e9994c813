"""Plain requests through a gateway: executions and answers under each fault."""

import asyncio

import attrs
import pytest

from vanillashore_gateway import EndpointRole, now
from vanillashore_standins import wait_until
from vanillashore_standins.platform_endpoint import SEAL_PREFIX, Fault
from vanillashore_standins.platform_rig import KEY, ORDERS, PlatformRig, fail_first

# For a payment: fault at the first of two endpoints, status, and number of executions.
PAYMENT_FAULTS = [
    (Fault.NONE, 200, 1),
    (Fault.ERROR, 500, 1),
    (Fault.SHED, 200, 1),
    (Fault.OTHER_INSTANCE, 200, 1),
    (Fault.RESET_UNREAD, 502, 0),
    (Fault.RESET_AFTER_RUN, 502, 1),
    (Fault.TRUNCATED, 502, 1),
    (Fault.GARBAGE, 502, 1),
    (Fault.UNFRAMED, 200, 1),
    (Fault.UNFRAMED_RESET, 502, 1),
    (Fault.EXTRA_ANSWER, 200, 1),
    (Fault.UNSEALED, 502, 1),
]


@pytest.mark.parametrize(("fault", "status", "runs"), PAYMENT_FAULTS)
async def test_payment_runs_at_most_once(fault: Fault, status: int, runs: int) -> None:
    async with PlatformRig(services=2) as rig:
        fail_first(rig.services, fault)
        answer = await rig.ask("POST", "/pay/1", "id-1", b"pay")
        assert answer.status == status
        assert len(rig.arrivals("id-1")) == runs
        if status == 200:
            assert answer.is_complete
            assert answer.body == b"answer to id-1"
            assert answer.headers["x-server-seal"] == SEAL_PREFIX + rig.arrivals("id-1")[0]


@pytest.mark.parametrize(
    "fault",
    [
        Fault.ERROR,
        Fault.RESET_UNREAD,
        Fault.RESET_AFTER_RUN,
        Fault.TRUNCATED,
        Fault.GARBAGE,
        Fault.UNFRAMED_RESET,
        Fault.SHED,
        Fault.SILENT,
        Fault.UNSEALED,
    ],
)
async def test_idempotent_request_is_answered_by_another_endpoint(fault: Fault) -> None:
    async with PlatformRig(services=2) as rig:
        fail_first(rig.services, fault)
        answer = await rig.ask("GET", "/stock/1", "id-1")
        assert (answer.status, answer.body) == (200, b"answer to id-1")
        assert answer.headers["x-server-seal"].startswith(SEAL_PREFIX)


async def test_late_extra_answers_never_reach_the_next_request() -> None:
    async with PlatformRig(services=1) as rig:
        rig.services[0].faults.extend([Fault.EXTRA_ANSWER] * 10)
        for number in range(20):
            answer = await rig.ask("POST", "/pay/1", f"id-{number}", b"pay")
            assert answer.status == 200
            assert answer.body == f"answer to id-{number}".encode()
        assert all(len(rig.arrivals(f"id-{number}")) == 1 for number in range(20))


async def test_connections_to_an_endpoint_are_reused() -> None:
    async with PlatformRig(services=1) as rig:
        for number in range(10):
            await rig.ask("POST", "/pay/1", f"id-{number}", b"pay")
        assert rig.services[0].connections == 1


async def test_body_and_target_arrive_unchanged_and_own_headers_are_replaced() -> None:
    async with PlatformRig(services=1) as rig:
        spoofed = {
            "X_Tenant": "other",
            "X_Stage": "prefill",
            "X_Kv_Hold": "h1",
            "X_Kv_Source": "1.2.3.4:5/x",
            "X_Pin_Ms": "5",
            "X_Kv_Backup": "1.2.3.4:5",
            "X_Expect_Instance": "other",
            "X_Extra": "kept",
            "x_hop": "dropped",
            "Connection": "close, x-hop",
        }
        body = bytes(range(256)) * 300
        await rig.ask("POST", "/pay/a%2Fb?x=1&y=%20", "id-1", body, **spoofed)
        arrival = rig.services[0].runs[0]
        assert (arrival.method, arrival.target, arrival.body) == (
            "POST",
            "/pay/a%2Fb?x=1&y=%20",
            body,
        )
        assert arrival.headers["x-tenant"] == "counter"
        assert arrival.headers["x-expect-instance"] == "s0"
        assert arrival.headers["x-extra"] == "kept"
        assert 0 < int(arrival.headers["x-deadline-ms"]) <= 4_000
        forbidden = {"authorization", "x-stage", "x-kv-hold", "x-kv-source", "x-pin-ms", "x-hop"}
        assert not forbidden & set(arrival.headers)
        assert KEY not in str(arrival.headers)


@pytest.mark.parametrize(
    ("path", "key", "status", "code"),
    [
        ("/pay/1", "wrong", 401, b"key_invalid"),
        ("/nowhere/1", KEY, 404, b"no_route"),
        ("/pay", KEY, 404, b"no_route"),
        ("/open/1", "wrong", 200, b"answer"),
    ],
)
async def test_keys_and_routes(path: str, key: str, status: int, code: bytes) -> None:
    async with PlatformRig(services=1) as rig:
        answer = await rig.ask("GET", path, "id-1", key=key)
        assert answer.status == status
        assert code in answer.body


HEAD = "POST /pay/1 HTTP/1.1\r\nHost: cakes.example\r\nX-Request-Id: id-1\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (HEAD + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
        (HEAD + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", 400),
        (HEAD + "Content-Length : 3\r\n\r\nabc", 400),
        (HEAD + "A: b\n\nGET /pay/2 HTTP/1.1\r\n\r\n", 400),
        (HEAD + "X-Request-Id: id-2\r\n\r\n", 400),
        (HEAD + "Host: other.example\r\n\r\n", 400),
        (HEAD + "X-Big: " + "x" * 5_000 + "\r\n\r\n", 431),
        (
            HEAD + f"Authorization: Bearer {KEY}\r\nContent-Length: 200000\r\n\r\n" + "x" * 200_000,
            413,
        ),
    ],
)
async def test_invalid_requests_are_refused_and_reach_no_endpoint(data: str, status: int) -> None:
    async with PlatformRig(services=1) as rig:
        answer = await rig.send(data.encode())
        assert answer.status == status
        assert rig.services[0].arrivals == []


async def test_pipelined_requests_are_answered_in_order() -> None:
    async with PlatformRig(services=2) as rig:
        reader, writer = await asyncio.open_connection(*rig.process.front_address)
        for number in range(3):
            rows = f"Host: cakes.example\r\nX-Request-Id: id-{number}\r\n"
            auth = f"Authorization: Bearer {KEY}\r\n"
            writer.write(f"GET /stock/1 HTTP/1.1\r\n{rows}{auth}\r\n".encode())
        got = b""
        while got.count(b"answer to") < 3:
            got += await reader.read(4_096)
        assert [got.index(f"answer to id-{n}".encode()) for n in range(3)] == sorted(
            got.index(f"answer to id-{n}".encode()) for n in range(3)
        )
        writer.close()


async def test_request_is_cancelled_at_the_endpoint_when_its_caller_disconnects() -> None:
    async with PlatformRig(services=1) as rig:
        rig.services[0].faults.append(Fault.SILENT)
        pending = asyncio.ensure_future(rig.ask("POST", "/pay/1", "id-1", b"pay"))
        await wait_until(lambda: bool(rig.services[0].arrivals))
        pending.cancel()
        await wait_until(lambda: rig.services[0].disconnected_requests == ["id-1"])
        await wait_until(lambda: rig.process.gateway.active == 0)


async def test_payment_without_an_answer_ends_at_its_deadline_as_possibly_run() -> None:
    async with PlatformRig(services=2) as rig:
        for endpoint in rig.services:
            endpoint.faults.append(Fault.SILENT)
        answer = await rig.ask("POST", "/pay/1", "id-1", b"pay", X_Deadline_Ms="200")
        assert answer.status == 504
        assert b'"ran":"unknown"' in answer.body
        assert len(rig.arrivals("id-1")) == 1


async def test_full_endpoints_refuse_as_not_run_with_a_retry_time() -> None:
    async with PlatformRig(services=2) as rig:
        for endpoint in rig.services:
            endpoint.faults.extend([Fault.SHED] * 1_000)
        answer = await rig.ask("POST", "/pay/1", "id-1", b"pay")
        assert answer.status == 503
        assert b'"ran":"no"' in answer.body
        assert 0 < float(answer.headers["retry-after"]) < 4
        assert rig.arrivals("id-1") == []


async def test_unreachable_endpoint_fails_no_request() -> None:
    async with PlatformRig(services=2) as rig:
        await rig.services[0].__aexit__()
        for number in range(10):
            assert (await rig.ask("POST", "/pay/1", f"id-{number}", b"pay")).status == 200


async def test_leaving_endpoint_gets_no_new_requests() -> None:
    async with PlatformRig(services=2) as rig:
        first = rig.services[0]
        rig.store.put("servers/s0", first.entry(state="draining"))
        await wait_until(lambda: rig.process.gateway.membership.get("s0").is_leaving)
        for number in range(10):
            assert (await rig.ask("POST", "/pay/1", f"id-{number}", b"pay")).status == 200
        assert first.arrivals == []


async def test_slow_attempt_is_not_ended_when_no_retry_is_left() -> None:
    """An attempt that was ended to resend the request, without a retry, failed needlessly."""
    async with PlatformRig(services=2) as rig:
        fail_first(rig.services, Fault.SILENT)
        budgets = rig.process.gateway.budgets
        budgets.fleet_limits = attrs.evolve(budgets.fleet_limits, per_request=0.0)
        budgets.of(ORDERS).own.saved = 0.0
        answer = await rig.ask("GET", "/stock/1", "id-1", X_Deadline_Ms="900")
        assert answer.status == 504
        assert len(rig.arrivals("id-1")) == 1


async def test_not_run_is_no_failure_of_the_endpoint() -> None:
    """Guards against endpoints that are excluded because they were full for a moment."""
    async with PlatformRig(services=2) as rig:
        first = rig.services[0]
        first.faults.extend([Fault.SHED] * 12)
        for number in range(40):
            assert (await rig.ask("POST", "/pay/1", f"id-{number}", b"pay")).status == 200
        breaker = rig.process.gateway.balancer.breaker
        names = [e.instance for e in rig.services]
        assert breaker.usable(names, now()) == names
        assert breaker.failure_share(first.instance, now()) == 0.0


async def test_request_is_not_resent_early_while_no_other_endpoint_has_room() -> None:
    """Guards against resends that only add load while all endpoints are full."""
    async with PlatformRig(services=2) as rig:
        fail_first(rig.services, Fault.SILENT)
        pending = asyncio.ensure_future(rig.ask("GET", "/stock/1", "id-1", X_Deadline_Ms="1000"))
        gateway = rig.process.gateway
        for endpoint in gateway.membership.usable("orders", EndpointRole.SERVICE):
            for _ in range(endpoint.slots):
                gateway.balancer.begin(endpoint, 1 / endpoint.slots)
        assert (await pending).status == 504
        assert len(rig.arrivals("id-1")) == 1


async def test_endless_number_in_an_answer_does_not_spoil_it() -> None:
    async with PlatformRig(services=1) as rig:
        rig.services[0].extra_headers = {
            "Keep-Alive": f"timeout={'9' * 5_000}",
            "X-Server-Load": f"{'9' * 5_000},0,8",
        }
        answer = await rig.ask("POST", "/pay/1", "id-1", b"pay")
        assert (answer.status, answer.body) == (200, b"answer to id-1")
