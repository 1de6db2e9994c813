"""Claims in the store: how long they are kept, and the number of calls that this takes."""

from collections.abc import AsyncIterator

import aiohttp
import attrs
import pytest

from vanillashore_standins import KvState, ServedApp, kv_app
from vanillashore_store import ClaimStore, EtcdStore
from vanillashore_wire import CallDone, Claim, ClaimState

HOUR_S = 3_600
CLAIM = Claim(ClaimState.RUNNING, "fingerprint", "run", "token", "vm")


@attrs.define
class _Environment:
    kv: KvState
    claims: ClaimStore
    now: float = 0.0


@pytest.fixture
async def env() -> AsyncIterator[_Environment]:
    kv = KvState()
    async with ServedApp(kv_app(kv)) as served, aiohttp.ClientSession() as session:
        env = _Environment(kv, None)
        env.claims = ClaimStore(EtcdStore(session, served.address, 2.0), lambda: env.now)
        yield env


async def test_claims_of_one_hour_share_a_lease_and_are_kept_for_two_days(
    env: _Environment,
) -> None:
    for number in range(5):
        await env.claims.swap(f"call {number}", 0, CLAIM)
    assert env.kv.calls["/v3/lease/grant"] == 1
    env.now += HOUR_S + 1
    await env.claims.swap("a later call", 0, CLAIM)
    assert env.kv.calls["/v3/lease/grant"] == 2
    env.kv.advance(48 * HOUR_S)
    assert (await env.claims.read("call 0")).claim == CLAIM
    env.kv.advance(HOUR_S)
    assert (await env.claims.read("call 0")).claim is None


async def test_lost_swap_returns_what_the_store_holds(env: _Environment) -> None:
    won = await env.claims.swap("call", 0, CLAIM)
    lost = await env.claims.swap("call", 0, attrs.evolve(CLAIM, token="other"))
    assert (lost.claim, lost.version) == (CLAIM, won.version)


async def test_answer_too_large_for_the_store_is_omitted(env: _Environment) -> None:
    answer = CallDone(200, (), "A" * 1_200_000, "vm")
    finished = attrs.evolve(CLAIM, state=ClaimState.FINISHED, answer=answer)
    stored = await env.claims.swap("call", 0, finished)
    assert stored.claim == attrs.evolve(finished, answer=None)
