"""Contract of the stand-in engine, on which other tests rely."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import aiohttp
import orjson
import pytest

from vanillashore_standins import (
    EngineOptions,
    EngineState,
    ServedApp,
    engine_app,
    generate,
    wait_until,
)

PROMPT = "a cake with sugar flowers"
LONG_PROMPT = "sugar " * 2_000
OPTIONS = {"step_s": 0.002, "prefill_s_per_token": 0.00001, "model": "m"}


class Client:
    def __init__(self, session: aiohttp.ClientSession, address: str, state: EngineState) -> None:
        self.session = session
        self.address = address
        self.state = state

    async def post(self, path: str, body: Any) -> tuple[int, Any]:
        async with self.session.post(self.address + path, json=body) as response:
            return response.status, await response.json()

    async def get(self, path: str) -> Any:
        async with self.session.get(self.address + path) as response:
            return await response.json()

    async def prefill(self, request_id: str, prompt: str = PROMPT) -> tuple[int, Any]:
        transfer = {"do_remote_decode": True}
        body = {"request_id": request_id, "model": "m", "prompt": prompt}
        return await self.post("/v1/completions", body | {"kv_transfer_params": transfer})

    async def decode(self, request_id: str, count: int, handle: str = "", source: str = "") -> str:
        body = {"request_id": request_id, "model": "m", "prompt": PROMPT, "max_tokens": count}
        if handle:
            transfer = {"do_remote_prefill": True, "remote_handle": handle}
            body["kv_transfer_params"] = transfer | {"remote_address": source}
        async with self.session.post(self.address + "/v1/completions", json=body) as response:
            return _texts(await response.text()) if response.status == 200 else str(response.status)


NewEngine = Callable[..., Awaitable[Client]]


@pytest.fixture
async def new_engine() -> AsyncIterator[NewEngine]:
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())

        async def start(**options: Any) -> Client:
            state = EngineState(EngineOptions(**(OPTIONS | options)))
            served = await stack.enter_async_context(ServedApp(engine_app(state)))
            return Client(session, served.address, state)

        yield start


async def test_decode_engine_imports_the_cache_of_a_prefill(new_engine: NewEngine) -> None:
    source, target = await new_engine(name="p"), await new_engine(name="d")
    status, prefilled = await source.prefill("r/1")
    handle = prefilled["kv_transfer_params"]["remote_handle"]
    assert (status, sum(source.state.holdings().values())) == (200, 1)
    assert await target.decode("r/1", 9, handle, source.address) == generate(PROMPT, 9)
    assert (source.state.holdings(), target.state.holdings()) == ({}, {})


async def test_export_is_evicted_after_its_keep_time(new_engine: NewEngine) -> None:
    source, target = await new_engine(export_keep_s=0.05), await new_engine()
    _, prefilled = await source.prefill("r/1")
    await asyncio.sleep(0.1)
    handle = prefilled["kv_transfer_params"]["remote_handle"]
    assert await target.decode("r/1", 9, handle, source.address) == "424"
    assert (source.state.holdings(), target.state.holdings()) == ({}, {})


async def test_memory_is_limited_in_pieces(new_engine: NewEngine) -> None:
    engine = await new_engine(total_pieces=4)
    assert (await engine.prefill("r/1", LONG_PROMPT))[0] == 200
    assert engine.state.memory.free_pieces == 1
    assert (await engine.prefill("r/2", LONG_PROMPT))[0] == 429


async def test_prefix_cache_events_are_delayed_and_have_gaps(new_engine: NewEngine) -> None:
    engine = await new_engine(event_lag_s=0.6, total_pieces=1_000)
    for i in range(10):
        await engine.prefill(f"r/{i}", f"{i}" * 4_000)
    assert (await engine.get("/v1/kv_events"))["events"] == []
    await asyncio.sleep(0.65)
    ids = [event["id"] for event in (await engine.get("/v1/kv_events"))["events"]]
    assert ids == [1, 2, 3, 4, 5, 6, 8, 9, 10]
    _, prefilled = await engine.prefill("r/again", "1" * 4_000)
    assert prefilled["kv_transfer_params"]["cached_pieces"] == 1


async def test_load_report_lags(new_engine: NewEngine) -> None:
    engine = await new_engine(load_lag_s=0.2, step_s=0.02)
    assert (await engine.get("/v1/load"))["running"] == 0
    answer = asyncio.create_task(engine.decode("r/1", 30))
    await wait_until(lambda: engine.state.ledger.decoded_tokens > 0)
    assert (await engine.get("/v1/load"))["running"] == 0
    await asyncio.sleep(0.25)
    assert (await engine.get("/v1/load"))["running"] == 1
    await answer


async def test_slots_are_limited_and_lower_priority_values_run_first(new_engine: NewEngine) -> None:
    engine = await new_engine(slots=1, step_s=0.005)
    bodies = [(f"r/{i}", priority) for i, priority in enumerate([0, 10, 10, 0])]
    finished: list[str] = []

    async def run(request_id: str, priority: int) -> None:
        body = {"request_id": request_id, "model": "m", "prompt": "x", "max_tokens": 20}
        async with engine.session.post(
            engine.address + "/v1/completions", json=body | {"priority": priority}
        ) as response:
            await response.read()
        finished.append(request_id)

    tasks = []
    for request_id, priority in bodies:
        tasks.append(asyncio.create_task(run(request_id, priority)))
        await wait_until(lambda name=request_id: name in engine.state.sequences)
    await asyncio.gather(*tasks)
    assert finished == ["r/0", "r/3", "r/1", "r/2"]


async def test_stream_resumes_and_abort_frees_memory(new_engine: NewEngine) -> None:
    engine = await new_engine(step_s=0.01)
    answer = asyncio.create_task(engine.decode("r/1", 400))
    await wait_until(lambda: engine.state.ledger.decoded_tokens > 3)
    url = f"{engine.address}/v1/streams/r%2F1?from=2"
    async with engine.session.get(url) as response:
        resumed = orjson.loads((await response.content.readline())[6:])
    expected_tokens = generate(PROMPT, 3).split(" ")[1:]
    assert resumed["choices"][0]["text"] == f" {expected_tokens[2]}"
    assert await engine.post("/v1/abort", {"request_id": "r/1"}) == (200, {"known": True})
    assert (await engine.get("/v1/holdings"))["holdings"] == {}
    with pytest.raises(aiohttp.ClientError):
        await answer
    assert await engine.post("/v1/abort", {"request_id": "r/1"}) == (200, {"known": False})


@pytest.mark.parametrize(
    ("honours_fencing", "status", "model"), [(True, 409, "m"), (False, 200, "old")]
)
async def test_orders_with_an_old_fencing_number(
    new_engine: NewEngine, honours_fencing: bool, status: int, model: str
) -> None:
    engine = await new_engine(honours_fencing=honours_fencing)
    assert (await engine.post("/v1/orders", {"number": 7, "role": "decode"}))[0] == 200
    assert (await engine.post("/v1/orders", {"number": 6, "model": "old"}))[0] == status
    assert engine.state.options.model == model


async def test_poison_crashes_the_engine_and_drops_all_requests(new_engine: NewEngine) -> None:
    engine = await new_engine(restart_s=0.1, step_s=0.01)
    other_answer = asyncio.create_task(engine.decode("r/1", 400))
    await wait_until(lambda: engine.state.ledger.decoded_tokens > 0)
    with pytest.raises(aiohttp.ClientError):
        await engine.prefill("r/2", "CRASH-THE-ENGINE")
    with pytest.raises(aiohttp.ClientError):
        await other_answer
    with pytest.raises(aiohttp.ClientError):
        await engine.get("/v1/load")
    await asyncio.sleep(0.15)
    assert engine.state.holdings() == {}
    assert await engine.decode("r/3", 5) == generate(PROMPT, 5)


def _texts(stream: str) -> str:
    events = [orjson.loads(e[6:]) for e in stream.split("\n\n") if e.startswith("data: {")]
    return "".join(event["choices"][0]["text"] for event in events)
