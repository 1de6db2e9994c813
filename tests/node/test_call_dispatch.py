"""Refusals of calls whose attempts end differently."""

from types import SimpleNamespace

import pytest

from vanillashore_node._call_dispatch import CallDispatch
from vanillashore_outcome import ClaimVerdict
from vanillashore_store import StoreUnavailableError
from vanillashore_wire import (
    CallOrder,
    ErrorCode,
    RefusalError,
    Refused,
    RouteClass,
    WasExecuted,
)

OVERLOADED = Refused(ErrorCode.OVERLOADED, "the queue is long", retry_after_s=2.0)
UNREACHABLE = Refused(ErrorCode.PEER_UNREACHABLE, "no answer", WasExecuted.UNKNOWN)


class _Sidecars:
    """The first one gets the call and is not heard of again, and no other has room."""

    def __init__(self) -> None:
        self.refusals = [UNREACHABLE, OVERLOADED]

    async def reserve_call(self, *_: object) -> object:
        return SimpleNamespace(
            endpoint=SimpleNamespace(vm="s0", address=""), grant=SimpleNamespace(reservation="r")
        )

    async def call(self, *_: object) -> object:
        raise RefusalError(self.refusals.pop(0))

    def release_call(self, *_: object) -> None:
        """Do nothing."""

    forget = release_call


class _Claims:
    """Answers each update of a claim with the same verdict, or not at all."""

    def __init__(self, verdict: ClaimVerdict | None) -> None:
        self._verdict = verdict

    async def update(self, *_: object) -> object:
        if self._verdict is None:
            raise StoreUnavailableError("down")
        return SimpleNamespace(verdict=self._verdict, stored=None)


async def _refusal(verdict: ClaimVerdict | None, key: str, sidecars: _Sidecars) -> Refused:
    core = SimpleNamespace(
        decisions=SimpleNamespace(record=lambda *_: None), directory=SimpleNamespace(revision=1)
    )
    budget = SimpleNamespace(earn=lambda: None, spend=lambda: True)
    dispatch = CallDispatch(core, sidecars, _Claims(verdict), budget, sidecars)
    order = CallOrder(
        *("r", 1, "w", "orders", "POST", "/pay", (), "", False, key),
        RouteClass.INTERACTIVE,
        deadline_s=5.0,
        revision=1,
        run_id="run",
    )
    with pytest.raises(RefusalError) as caught:
        await dispatch.run(order, SimpleNamespace())
    return caught.value.refused


@pytest.mark.parametrize("verdict", [None, ClaimVerdict.RUNNING, ClaimVerdict.UNKNOWN])
@pytest.mark.parametrize("key", ["", "k-17"])
async def test_full_fleet_says_nothing_of_a_call_that_an_unreachable_sidecar_has(
    key: str, verdict: ClaimVerdict | None
) -> None:
    """Guards against the status of the last attempt for a call that an earlier one may run."""
    refused = await _refusal(verdict, key, _Sidecars())
    assert (refused.code, refused.ran) == (ErrorCode.OUTCOME_UNKNOWN, WasExecuted.UNKNOWN)
    assert refused.retry_after_s == OVERLOADED.retry_after_s


async def test_full_fleet_refuses_a_call_that_is_certain_not_to_run() -> None:
    refused = await _refusal(ClaimVerdict.BARRED, "", _Sidecars())
    assert (refused.code, refused.ran) == (ErrorCode.OVERLOADED, WasExecuted.NO)
