"""Claims in the store: how long they stay, and what keeping them costs."""

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
class _Bed:
    kv: KvState
    claims: ClaimStore
    now: float = 0.0


@pytest.fixture
async def bed() -> AsyncIterator[_Bed]:
    kv = KvState()
    async with ServedApp(kv_app(kv)) as served, aiohttp.ClientSession() as session:
        bed = _Bed(kv, None)
        bed.claims = ClaimStore(EtcdStore(session, served.address, 2.0), lambda: bed.now)
        yield bed


async def test_claims_of_an_hour_share_a_lease_and_stay_two_days(bed: _Bed) -> None:
    for number in range(5):
        await bed.claims.swap(f"call {number}", 0, CLAIM)
    assert bed.kv.calls["/v3/lease/grant"] == 1
    bed.now += HOUR_S + 1
    await bed.claims.swap("a later call", 0, CLAIM)
    assert bed.kv.calls["/v3/lease/grant"] == 2
    bed.kv.advance(48 * HOUR_S)
    assert (await bed.claims.read("call 0")).claim == CLAIM
    bed.kv.advance(HOUR_S)
    assert (await bed.claims.read("call 0")).claim is None


async def test_lost_swap_returns_what_the_store_holds(bed: _Bed) -> None:
    won = await bed.claims.swap("call", 0, CLAIM)
    lost = await bed.claims.swap("call", 0, attrs.evolve(CLAIM, token="other"))
    assert (lost.claim, lost.version) == (CLAIM, won.version)


async def test_answer_that_is_too_large_for_the_store_is_left_out(bed: _Bed) -> None:
    answer = CallDone(200, (), "A" * 1_200_000, "vm")
    finished = attrs.evolve(CLAIM, state=ClaimState.FINISHED, answer=answer)
    stored = await bed.claims.swap("call", 0, finished)
    assert stored.claim == attrs.evolve(finished, answer=None)
