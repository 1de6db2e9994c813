"""The demo's requests, each checked against its exact expected response."""

import time
from typing import Any

import aiohttp
import orjson

from vanillashore_standins._text_generator import generate
from vanillashore_standins.demo._files import MODEL
from vanillashore_standins.demo._fleet import DemoFleet, DemoNode

MAX_TOKENS = 24
PROMPT = "A three-tier cake with sugar flowers for two hundred guests. " * 40


async def run_checks(fleet: DemoFleet) -> list[str]:
    """Send every kind of request through the fleet; return the failed checks."""
    headers = {"Authorization": f"Bearer {fleet.key}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        checks = Checks(session)
        for entry in fleet.entries:
            await checks.check_completion(entry)
            await checks.check_chat_stream(entry)
        await checks.check_payment(fleet.entries[0])
        await checks.check_stock(fleet.entries[1])
        await checks.check_open_route(fleet.entries[2])
        await checks.check_invalid_key(fleet.entries[0])
    await fleet.run_tool("status")
    await fleet.run_tool("explain", checks.last_request_id)
    await fleet.run_tool("burn", "--picture", str(fleet.folder / "burn.png"))
    return checks.failures


class Checks:
    """Sends requests and collects the failed checks."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self.failures: list[str] = []
        self.last_request_id = ""

    async def check_completion(self, entry: DemoNode) -> None:
        """Request a completion in one response."""
        body = {"model": MODEL, "prompt": PROMPT, "max_tokens": MAX_TOKENS}
        async with self._session.post(entry.address + "/v1/completions", json=body) as response:
            answer = await response.json()
        text = answer["choices"][0]["text"] if response.status == 200 else str(answer)
        self._check(f"completion through {entry.name}", text, generate(PROMPT, MAX_TOKENS))

    async def check_chat_stream(self, entry: DemoNode) -> None:
        """Request a chat completion as a stream."""
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": PROMPT}],
            "max_tokens": MAX_TOKENS,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        started = time.monotonic()
        first_ms = 0.0
        text = ""
        url = entry.address + "/v1/chat/completions"
        async with self._session.post(url, json=body) as response:
            self.last_request_id = response.headers["X-Request-Id"]
            async for event in _parse_events(response):
                first_ms = first_ms or (time.monotonic() - started) * 1_000
                text += "".join(c["delta"].get("content", "") for c in event["choices"])
        expected = generate(f"user\n{PROMPT}\nassistant\n", MAX_TOKENS)
        label = f"chat stream through {entry.name} (first token {first_ms:.0f} ms)"
        self._check(label, text, expected)

    async def check_payment(self, entry: DemoNode) -> None:
        """Send a call that may run at most once."""
        headers = {"Idempotency-Key": f"order-{time.time_ns()}"}
        url = entry.address + "/orders/pay"
        async with self._session.post(url, data="order 17", headers=headers) as response:
            await self._check_call(f"payment through {entry.name}", response, "order 17")

    async def check_stock(self, entry: DemoNode) -> None:
        """Send an idempotent read."""
        async with self._session.get(entry.address + "/stock?item=sugar-rose") as response:
            await self._check_call(f"stock check through {entry.name}", response, "")

    async def check_open_route(self, entry: DemoNode) -> None:
        """Send a call without a key to a route that is open to all."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(entry.address + "/hours") as response,
        ):
            await self._check_call(f"open route through {entry.name}", response, "")

    async def check_invalid_key(self, entry: DemoNode) -> None:
        """Send an invalid key, which must be refused."""
        headers = {"Authorization": "Bearer wrong"}
        async with self._session.get(entry.address + "/stock", headers=headers) as response:
            answer = await response.json()
        self._check("invalid key", answer["error"]["code"], "key_invalid")

    async def _check_call(
        self, label: str, response: aiohttp.ClientResponse, expected: str
    ) -> None:
        answer: dict[str, Any] = await response.json()
        where = response.headers.get("X-Endpoint", "nowhere")
        self._check(f"{label}, ran on {where}", answer.get("echo", str(answer)), expected)

    def _check(self, label: str, actual: str, expected: str) -> None:
        verdict = "right" if actual == expected else "WRONG"
        print(f"{verdict}: {label}: {actual[:60]!r}")
        if actual != expected:
            self.failures.append(f"{label}: got {actual[:200]!r}, expected {expected[:200]!r}")


async def _parse_events(response: aiohttp.ClientResponse) -> Any:
    async for line in response.content:
        data = line.removeprefix(b"data: ").strip()
        if data and data != b"[DONE]":
            yield orjson.loads(data)
