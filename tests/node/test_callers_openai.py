"""The callers' interface as used by the ``openai`` client."""

from collections.abc import AsyncIterator

import openai
import pytest

from vanillashore_standins import generate
from vanillashore_standins.testing import KEY, MODEL, FleetPlan, SmallFleet

MESSAGES = [{"role": "user", "content": "a cake"}]
CHAT_PROMPT = "user\na cake\nassistant\n"


@pytest.fixture
async def fleet() -> AsyncIterator[SmallFleet]:
    async with SmallFleet(FleetPlan(decodes=1)) as running:
        yield running


@pytest.fixture
async def client(fleet: SmallFleet) -> AsyncIterator[openai.AsyncOpenAI]:
    async with new_client(fleet, KEY) as opened:
        yield opened


def new_client(fleet: SmallFleet, key: str) -> openai.AsyncOpenAI:
    base_url = fleet.entry_address(0) + "/v1"
    return openai.AsyncOpenAI(api_key=key, base_url=base_url, max_retries=0)


async def test_answers_without_streaming(client: openai.AsyncOpenAI) -> None:
    plain = await client.completions.create(model=MODEL, prompt="a cake", max_tokens=9)
    chat = await client.chat.completions.create(model=MODEL, messages=MESSAGES, max_tokens=9)
    assert plain.choices[0].text == generate("a cake", 9)
    assert chat.choices[0].message.content == generate(CHAT_PROMPT, 9)
    assert chat.choices[0].finish_reason == "length"
    assert chat.usage.completion_tokens == 9


async def test_streamed_answers(client: openai.AsyncOpenAI) -> None:
    plain = await client.completions.create(model=MODEL, prompt="a cake", max_tokens=9, stream=True)
    text = "".join([chunk.choices[0].text async for chunk in plain])
    assert text == generate("a cake", 9)


async def test_streamed_chat_with_usage(client: openai.AsyncOpenAI) -> None:
    chat = await client.chat.completions.create(
        model=MODEL,
        messages=MESSAGES,
        max_tokens=9,
        stream=True,
        stream_options={"include_usage": True},
    )
    chunks = [chunk async for chunk in chat]
    text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
    assert text == generate(CHAT_PROMPT, 9)
    assert chunks[0].choices[0].delta.role == "assistant"
    assert chunks[-2].choices[0].finish_reason == "length"
    assert chunks[-1].usage.completion_tokens == 9


async def test_models_are_listed(client: openai.AsyncOpenAI) -> None:
    assert [model.id async for model in client.models.list()] == [MODEL]


@pytest.mark.parametrize(
    ("key", "model", "error", "code"),
    [
        ("wrong", MODEL, openai.AuthenticationError, "key_invalid"),
        (KEY, "nobody", openai.NotFoundError, "model_unknown"),
        (KEY, "", openai.BadRequestError, "bad_request"),
    ],
)
async def test_errors(
    fleet: SmallFleet, key: str, model: str, error: type[openai.APIStatusError], code: str
) -> None:
    async with new_client(fleet, key) as client:
        with pytest.raises(error) as raised:
            await client.completions.create(model=model, prompt="a cake")
    assert raised.value.code == code
    assert raised.value.body["ran"] == "no"
    assert raised.value.request_id == raised.value.body["request_id"]


async def test_error_in_a_stream(fleet: SmallFleet, client: openai.AsyncOpenAI) -> None:
    stream = await client.completions.create(
        model=MODEL, prompt="a cake", max_tokens=1_000, stream=True
    )
    await anext(stream)
    for sidecar in fleet.sidecars.values():
        sidecar.core.state.refusing = True
    fleet.engines["decode-0"].crash()
    with pytest.raises(openai.APIError) as raised:
        async for _ in stream:
            pass
    assert raised.value.body["code"] in ("endpoint_failed", "shutting_down", "peer_unreachable")
