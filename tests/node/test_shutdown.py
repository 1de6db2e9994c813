"""A graceful shutdown interrupts no request; each node is a separate process."""

import asyncio
import socket
from typing import Any

import aiohttp
import orjson
import pytest

from vanillashore_schema import LimitSettings, TimingSettings
from vanillashore_standins import EngineOptions, ServiceOptions, generate
from vanillashore_standins.testing import KEY, MODEL, FleetPlan, ProcessFleet

TOKENS = 90
PROMPT = "a cake"
ENGINE = EngineOptions(step_s=0.03, prefill_s_per_token=0.00001)
ONE_SLOT = EngineOptions(step_s=0.01, prefill_s_per_token=0.00001, slots=1)
PLAN = FleetPlan(engine=ENGINE, service=ServiceOptions(delay_s=0.8))


@pytest.mark.parametrize("vm", ["entry-0", "prefill-0", "decode-0", "decode-1"])
async def test_stop_in_the_middle_of_answers(vm: str) -> None:
    async with ProcessFleet(PLAN) as fleet:
        before = decoded(fleet)
        attempts = decode_attempts(fleet)
        answers = [asyncio.create_task(complete(fleet, i, stream=i % 2 == 0)) for i in range(4)]
        await fleet.until(lambda: decoded(fleet) > before + 8)
        fleet.nodes[vm].terminate()
        assert await asyncio.gather(*answers) == [expected_text(i) for i in range(4)]
        assert decode_attempts(fleet) == attempts + 4
        assert await exit_code(fleet, vm) == 0


@pytest.mark.parametrize("vm", ["entry-0", "service-0"])
async def test_stop_in_the_middle_of_calls(vm: str) -> None:
    async with ProcessFleet(PLAN) as fleet:
        service = fleet.service_states["service-0"]
        payment = asyncio.create_task(pay(fleet))
        await fleet.until(lambda: len(service.runs) == 1)
        fleet.nodes[vm].terminate()
        assert await payment == "order 17"
        assert service.runs_of("/pay", b"order 17") == 1
        assert await exit_code(fleet, vm) == 0


@pytest.mark.parametrize("vm", ["entry-0", "decode-0"])
async def test_stop_while_requests_are_queued(vm: str) -> None:
    plan = FleetPlan(engine=ONE_SLOT, first_token_target_ms=30_000.0)
    async with ProcessFleet(plan) as fleet:
        before = decoded(fleet)
        answers = [asyncio.create_task(complete(fleet, i)) for i in range(8)]
        await fleet.until(lambda: decoded(fleet) > before + 4)
        fleet.nodes[vm].terminate()
        assert await asyncio.gather(*answers) == [expected_text(i) for i in range(8)]
        assert await exit_code(fleet, vm) == 0


async def test_stopping_entry_reports_it_and_refuses_without_running() -> None:
    timing = TimingSettings(balancer_delay_s=0.5, shutdown_wait_s=5.0)
    async with ProcessFleet(FleetPlan(engine=ENGINE, timing=timing)) as fleet:
        before = decoded(fleet)
        first = asyncio.create_task(complete(fleet, 0, max_tokens=80))
        await fleet.until(lambda: decoded(fleet) > before)
        fleet.nodes["entry-0"].terminate()
        await wait_for(fleet, "/readyz", 503)
        assert await complete(fleet, 1, max_tokens=1) == generate(f"{PROMPT} 1", 1)
        refusal = await wait_for(fleet, "/v1/models", 503)
        assert refusal["error"]["code"] == "shutting_down"
        assert refusal["error"]["ran"] == "no"
        assert await first == generate(f"{PROMPT} 0", 80)


async def test_second_signal_ends_the_drain() -> None:
    timing = TimingSettings(balancer_delay_s=0.0, shutdown_wait_s=60.0)
    async with ProcessFleet(FleetPlan(engine=ENGINE, timing=timing)) as fleet:
        before = decoded(fleet)
        answer = asyncio.create_task(complete(fleet, 0, max_tokens=2_000))
        await fleet.until(lambda: decoded(fleet) > before)
        entry = fleet.nodes["entry-0"]
        entry.terminate()
        await asyncio.sleep(0.5)
        assert entry.process.poll() is None
        entry.terminate()
        assert await exit_code(fleet, "entry-0") == 0
        assert "not completed" in await answer
        await fleet.until(lambda: fleet.held_pieces() == 0)


async def test_complete_answer_is_sent_to_a_slow_reader() -> None:
    """The caller reads the answer after its handler has returned."""
    limits = LimitSettings(body_bytes=16_000_000)
    async with ProcessFleet(FleetPlan(prefills=0, decodes=0, limits=limits)) as fleet:
        host, _, port = fleet.entry_address(0).removeprefix("http://").partition(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.connect((host, int(port)))
        reader, writer = await asyncio.open_connection(sock=sock, limit=1_024)
        body = b"a" * 12_000_000
        head = f"POST /pay HTTP/1.0\r\nAuthorization: Bearer {KEY}\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await fleet.until(lambda: bool(fleet.service_states["service-0"].runs))
        await asyncio.sleep(0.5)
        fleet.nodes["entry-0"].terminate()
        await asyncio.sleep(2.0)
        answer = (await reader.read()).partition(b"\r\n\r\n")[2]
        writer.close()
        assert orjson.loads(answer)["echo"] == body.decode()


def decoded(fleet: ProcessFleet) -> int:
    return sum(engine.ledger.decoded_tokens for engine in fleet.engines.values())


def decode_attempts(fleet: ProcessFleet) -> int:
    return sum(len(engine.ledger.decodes) for engine in fleet.engines.values())


def expected_text(number: int) -> str:
    return generate(f"{PROMPT} {number}", TOKENS)


async def complete(
    fleet: ProcessFleet, number: int, stream: bool = True, max_tokens: int = TOKENS
) -> str:
    body = {
        "model": MODEL,
        "prompt": f"{PROMPT} {number}",
        "max_tokens": max_tokens,
        "stream": stream,
    }
    try:
        async with fleet.post(0, "/v1/completions", body) as response:
            data = await response.text()
    except aiohttp.ClientError as exc:
        return repr(exc)
    if not stream or response.status != 200:
        return orjson.loads(data).get("choices", [{"text": data}])[0]["text"]
    events = [orjson.loads(e[6:]) for e in data.split("\n\n") if e.startswith("data: {")]
    return "".join(e["choices"][0]["text"] if "choices" in e else str(e) for e in events)


async def pay(fleet: ProcessFleet) -> str:
    headers = {"Idempotency-Key": "order-17"}
    async with fleet.request("POST", 0, "/pay", data=b"order 17", headers=headers) as response:
        return (await response.json()).get("echo")


async def wait_for(fleet: ProcessFleet, path: str, status: int) -> Any:
    async with asyncio.timeout(5.0):
        while True:
            async with fleet.get(0, path) as response:
                if response.status == status:
                    return await response.json()
            await asyncio.sleep(0.02)


async def exit_code(fleet: ProcessFleet, vm: str) -> int | None:
    await fleet.until(lambda: fleet.nodes[vm].process.poll() is not None)
    return fleet.nodes[vm].process.returncode
