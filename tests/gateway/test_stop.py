"""Graceful shutdown: active requests finish, and those that could not finish are refused."""

import asyncio
from typing import Any

import attrs
import pytest

from vanillashore_gateway import Endpoint, Workspace
from vanillashore_standins import wait_until
from vanillashore_standins.platform_endpoint import EngineOptions, Fault
from vanillashore_standins.platform_rig import HOST, KEY, PlatformRig, fail_first

FAR_S = 20.0  # Far longer than the grace time.


def _request(request_id: str) -> bytes:
    rows = f"Host: {HOST}\r\nX-Request-Id: {request_id}\r\nAuthorization: Bearer {KEY}\r\n"
    return f"GET /stock/1 HTTP/1.1\r\n{rows}\r\n".encode()


async def _ready_status(rig: PlatformRig) -> bytes:
    reader, writer = await asyncio.open_connection(*rig.process.ready_address)
    writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    line = await reader.readline()
    writer.close()
    return line.split()[1]


async def test_stopping_process_is_not_ready_and_finishes_streams() -> None:
    options = EngineOptions(events=20, pause_s=0.02)
    async with PlatformRig(prefills=1, decodes=1, engine=options) as rig:
        assert await _ready_status(rig) == b"200"
        streaming = asyncio.ensure_future(rig.generate("/idea/1", "id-1"))
        await wait_until(lambda: bool(rig.decodes[0].runs))
        stopping = asyncio.ensure_future(rig.process.shut_down())
        await asyncio.sleep(0)
        assert await _ready_status(rig) == b"503"
        assert (await streaming).is_complete
        await stopping


async def test_requests_on_open_connections_are_answered_until_the_process_is_out_of_rotation() -> (
    None
):
    async with PlatformRig(services=1) as rig:
        reader, writer = await asyncio.open_connection(*rig.process.front_address)
        writer.write(_request("id-1"))
        assert b"200" in await reader.readuntil(b"answer to id-1")
        stopping = asyncio.ensure_future(rig.process.shut_down())
        await asyncio.sleep(0)
        writer.write(_request("id-2"))
        answer = await reader.read()
        assert answer.endswith(b"answer to id-2")
        assert b"Connection: close" in answer
        await stopping


async def test_idle_connections_are_closed_long_before_the_grace_time_ends() -> None:
    options = EngineOptions(events=1_000, pause_s=0.02)
    async with PlatformRig(prefills=1, decodes=1, engine=options) as rig:
        reader, _ = await asyncio.open_connection(*rig.process.front_address)
        streaming = asyncio.ensure_future(rig.generate("/idea/1", "id-1"))
        await wait_until(lambda: bool(rig.decodes[0].runs))
        stopping = asyncio.ensure_future(rig.process.shut_down())
        assert await reader.read() == b""
        assert rig.process.gateway.active == 1
        assert not stopping.done()
        streaming.cancel()
        await stopping


async def test_short_requests_are_served_to_the_end_and_long_streams_refused_at_once() -> None:
    options = EngineOptions(events=1_000, pause_s=0.02)
    async with PlatformRig(services=1, prefills=1, decodes=1, engine=options) as rig:
        streaming = asyncio.ensure_future(rig.generate("/idea/1", "long"))
        await wait_until(lambda: bool(rig.decodes[0].runs))
        stopping = asyncio.ensure_future(rig.process.shut_down())
        await wait_until(lambda: rig.process.gateway.shutdown.ends_at is not None)
        short = await rig.ask("POST", "/pay/1", "id-1", b"pay", X_Deadline_Ms="500")
        assert short.status == 200
        long = await rig.generate("/idea/1", "id-2")
        assert (long.status, rig.arrivals("id-2")) == (503, [])
        assert b'"ran":"no"' in long.body
        assert float(long.headers["retry-after"]) > 0
        await asyncio.sleep(rig.process._cfg.rotation_s)
        late = await rig.ask("POST", "/pay/1", "id-3", b"pay", X_Deadline_Ms="60000")
        assert (late.status, rig.arrivals("id-3")) == (503, [])
        again = await rig.ask("POST", "/pay/1", "id-4", b"pay", X_Deadline_Ms="500")
        assert again.status == 200
        streaming.cancel()
        await stopping


async def test_long_stream_is_refused_out_of_rotation_although_answers_are_usually_short() -> None:
    options = EngineOptions(events=2, pause_s=0.0)
    async with PlatformRig(prefills=1, decodes=1, engine=options) as rig:
        for number in range(20):
            await rig.generate("/idea/1", f"short-{number}", X_Token_Count="1000,2")
        rig.decodes[0].engine.events, rig.decodes[0].engine.pause_s = 1_000, 0.02
        streaming = asyncio.ensure_future(rig.generate("/idea/1", "active"))
        await wait_until(lambda: len(rig.decodes[0].runs) == 21)
        stopping = asyncio.ensure_future(rig.process.shut_down())
        await asyncio.sleep(rig.process._cfg.rotation_s + 0.1)
        answer = await rig.generate("/idea/1", "long", X_Token_Count="1000,1000000")
        assert (answer.status, rig.arrivals("long")) == (503, [])
        assert b'"ran":"no"' in answer.body
        streaming.cancel()
        await stopping


async def test_queued_generation_is_refused_once_it_cannot_end_in_time() -> None:
    async with PlatformRig(prefills=1, decodes=1) as rig:
        engine = rig.decodes[0].engine
        engine.room = 0
        queued = asyncio.ensure_future(rig.generate("/idea/1", "queued", X_Deadline_Ms="60000"))
        await wait_until(lambda: len(rig.process.gateway.slot_finder.queue("models")) == 1)
        stopping = asyncio.ensure_future(rig.process.shut_down())
        await asyncio.sleep(0)
        engine.room = 1_000_000
        answer = await queued
        assert (answer.status, rig.arrivals("queued")) == (503, [])
        assert b'"code":"stopping"' in answer.body
        await stopping


async def test_no_caller_is_accepted_while_the_registration_is_withdrawn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with PlatformRig(services=1) as rig:
        address, withdraw = rig.process.front_address, rig.process._registration.withdraw
        outcomes = []

        async def connect_and_withdraw() -> None:
            try:
                _, writer = await asyncio.open_connection(*address)
            except ConnectionRefusedError:
                outcomes.append("refused")
            else:
                outcomes.append("accepted")
                writer.close()
            await withdraw()

        monkeypatch.setattr(rig.process._registration, "withdraw", connect_and_withdraw)
        await rig.process.shut_down()
        assert outcomes == ["refused"]


async def test_logs_tell_what_was_accepted_while_stopping_and_what_was_cut(
    log_lines: list[dict[str, Any]],
) -> None:
    options = EngineOptions(events=1_000, pause_s=0.02)
    async with PlatformRig(services=1, prefills=1, decodes=1, engine=options) as rig:
        streaming = asyncio.ensure_future(rig.generate("/idea/1", "long", X_Deadline_Ms="60000"))
        await wait_until(lambda: bool(rig.decodes[0].runs))
        stopping = asyncio.ensure_future(rig.process.shut_down())
        await asyncio.sleep(0)
        await rig.ask("POST", "/pay/1", "pay", b"pay")
        await stopping
        rig.kill_entry(0)
        assert not (await streaming).is_complete
    accepted = [line for line in log_lines if line["message"] == "accepted while stopping"]
    assert [(line["request"], line["in_rotation"]) for line in accepted] == [("pay", True)]
    cut = "the process ended before the answer was complete"
    assert [line["request"] for line in log_lines if line["message"] == cut] == ["long"]


async def test_no_stream_that_arrives_out_of_rotation_is_cut_when_engines_slow_down() -> None:
    options = EngineOptions(events=2, pause_s=0.0)
    async with PlatformRig(prefills=1, decodes=2, engine=options) as rig:
        for number in range(20):
            await rig.generate("/idea/1", f"short-{number}", X_Token_Count="1000,60")
        for engine in rig.decodes:
            engine.engine.events, engine.engine.pause_s = 60, 0.1
        limits = {"X_Token_Count": "1000,60", "X_Deadline_Ms": "60000"}
        active = asyncio.ensure_future(rig.generate("/idea/1", "active", **limits))
        await wait_until(lambda: bool(rig.arrivals("active")))
        stopping = asyncio.ensure_future(rig.process.shut_down())
        await asyncio.sleep(rig.process._cfg.rotation_s + 0.1)
        late = [
            asyncio.ensure_future(rig.generate("/idea/1", f"late-{number}", **limits))
            for number in range(4)
        ]
        await stopping
        rig.kill_entry(0)
        answers = await asyncio.gather(*late)
        cut = [answer for answer in answers if answer.status == 200 and not answer.is_complete]
        assert len(cut) == 0
        await active


@pytest.mark.parametrize("path", ["/idea/1", "/quote/1"])
async def test_queued_generation_is_refused_before_the_process_ends(path: str) -> None:
    async with PlatformRig(prefills=1, decodes=1) as rig:
        rig.decodes[0].engine.room = 0
        queued = asyncio.ensure_future(rig.generate(path, "queued", X_Deadline_Ms="60000"))
        await wait_until(lambda: len(rig.process.gateway.slot_finder.queue("models")) == 1)
        await rig.process.shut_down()
        rig.kill_entry(0)
        answer = await queued
        assert (answer.status, rig.arrivals("queued")) == (503, [])
        assert b'"code":"stopping"' in answer.body


@pytest.mark.parametrize(("component", "method"), [("quotas", "take"), ("limits", "acquire")])
async def test_call_that_waits_is_refused_before_the_process_ends(
    component: str, method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def wait(*args: object) -> None:
        await asyncio.Event().wait()

    async with PlatformRig(services=1) as rig:
        monkeypatch.setattr(getattr(rig.process.gateway, component), method, wait)
        waiting = asyncio.ensure_future(rig.ask("GET", "/stock/1", "id-1", X_Deadline_Ms="60000"))
        await wait_until(lambda: rig.process.gateway.active == 1)
        await rig.process.shut_down()
        rig.kill_entry(0)
        answer = await waiting
        assert (answer.status, rig.arrivals("id-1")) == (503, [])
        assert b'"code":"stopping"' in answer.body


async def test_call_that_has_run_and_waits_at_the_end_is_not_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with PlatformRig(services=2) as rig:
        fail_first(rig.services, Fault.RESET_AFTER_RUN)
        limits = rig.process.gateway.limits
        acquire = limits.acquire

        async def acquire_once(endpoint: Endpoint, max_wait_s: float = 0.0) -> float | None:
            if rig.arrivals("id-1"):
                await asyncio.Event().wait()
            return await acquire(endpoint, max_wait_s)

        monkeypatch.setattr(limits, "acquire", acquire_once)
        asking = asyncio.ensure_future(rig.ask("GET", "/stock/1", "id-1", X_Deadline_Ms="60000"))
        await wait_until(lambda: bool(rig.arrivals("id-1")))
        await rig.process.shut_down()
        rig.kill_entry(0)
        answer = await asking
        assert (answer.status, len(rig.arrivals("id-1"))) == (502, 1)
        assert b'"ran":"unknown"' in answer.body


@pytest.mark.parametrize(("method", "path"), [("POST", "/pay/1"), ("POST", "/idea/1")])
async def test_request_without_an_answer_at_the_end_gets_one(method: str, path: str) -> None:
    async with PlatformRig(services=1, prefills=1, decodes=1) as rig:
        fail_first([*rig.services, *rig.decodes], Fault.SILENT)
        asking = asyncio.ensure_future(rig.ask(method, path, "id-1", b"x", X_Deadline_Ms="60000"))
        await wait_until(lambda: bool(rig.arrivals("id-1")))
        await rig.process.shut_down()
        rig.kill_entry(0)
        answer = await asking
        assert (answer.status, answer.is_complete) == (502, True)
        assert b'"ran":"unknown"' in answer.body


@pytest.mark.parametrize("before_end_s", [0.15, 0.05, -0.05])
async def test_call_that_the_last_refusals_would_meet_is_not_passed_on(
    before_end_s: float,
) -> None:
    """Guards against calls that are taken late, run, and end as unknown before their own time."""
    async with PlatformRig(services=1) as rig:
        fail_first(rig.services, Fault.SILENT, Fault.SILENT)
        first = asyncio.ensure_future(rig.ask("POST", "/pay/1", "id-0", X_Deadline_Ms="60000"))
        await wait_until(lambda: bool(rig.arrivals("id-0")))
        stopping = asyncio.ensure_future(rig.process.shut_down())
        await asyncio.sleep(rig.process._cfg.rotation_s + 0.3)
        shutdown = rig.process.gateway.shutdown
        deadline_ms = (shutdown.ends_at - before_end_s - shutdown.clock()) * 1_000
        answer = await rig.ask("POST", "/pay/1", "id-1", b"x", X_Deadline_Ms=f"{deadline_ms:.0f}")
        assert (answer.status, rig.arrivals("id-1")) == (503, [])
        assert b'"code":"stopping"' in answer.body
        assert (await first).status == 502
        await stopping


async def test_call_whose_last_byte_comes_out_of_rotation_is_not_accepted_as_in_rotation() -> None:
    async with PlatformRig(services=1) as rig:
        data = rig.encode("POST", "/pay/1", "id-1", b"pay", X_Deadline_Ms="60000")
        reader, writer = await asyncio.open_connection(*rig.process.front_address)
        writer.write(data[:-1])
        await wait_until(lambda: not all(c.is_idle for c in rig.process.gateway.front.connections))
        stopping = asyncio.ensure_future(rig.process.shut_down())
        await asyncio.sleep(rig.process._cfg.rotation_s + 0.1)
        writer.write(data[-1:])
        answer = await reader.read()
        assert b'"code":"stopping"' in answer
        assert rig.arrivals("id-1") == []
        await stopping


async def test_refusal_out_of_rotation_takes_no_tokens_of_the_rate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    taken = []

    async def take(workspace: Workspace, *args: object) -> None:
        taken.append(workspace.name)

    options = EngineOptions(events=1_000, pause_s=0.02)
    async with PlatformRig(services=1, prefills=1, decodes=1, engine=options) as rig:
        streaming = asyncio.ensure_future(rig.generate("/idea/1", "long"))
        await wait_until(lambda: bool(rig.decodes[0].runs))
        monkeypatch.setattr(rig.process.gateway.quotas, "take", take)
        stopping = asyncio.ensure_future(rig.process.shut_down())
        await asyncio.sleep(rig.process._cfg.rotation_s + 0.1)
        for path in ("/pay/1", "/idea/1"):
            answer = await rig.ask("POST", path, f"id{path}", b"x", X_Deadline_Ms="60000")
            assert answer.status == 503
        assert taken == []
        streaming.cancel()
        await stopping


async def test_process_ends_although_the_store_never_answers_the_withdrawal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with PlatformRig() as rig:
        monkeypatch.setattr(rig.process._registration, "withdraw", asyncio.Event().wait)
        async with asyncio.timeout(FAR_S):
            await rig.process.shut_down()


async def test_process_ends_with_a_grace_time_shorter_than_its_time_in_rotation() -> None:
    async with PlatformRig() as rig:
        rig.process._cfg = attrs.evolve(rig.process._cfg, rotation_s=2 * FAR_S)
        async with asyncio.timeout(FAR_S):
            await rig.process.shut_down()


async def test_request_that_has_arrived_unread_is_answered_as_idle_connections_are_closed() -> None:
    async with PlatformRig(services=1) as rig:
        reader, writer = await asyncio.open_connection(*rig.process.front_address)
        await wait_until(lambda: len(rig.process.gateway.front.connections) == 1)
        writer.write(_request("id-1"))
        rig.process._close_idle()  # Before the loop reads the socket.
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
        await reader.readexactly(len(b"answer to id-1"))
        rig.process._close_idle()
        assert await reader.read() == b""
        writer.close()
