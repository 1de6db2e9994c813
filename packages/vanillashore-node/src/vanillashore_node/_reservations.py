"""The task that owns a side process's keeper and settles asks for places."""

import asyncio
import time

from vanillashore_placement import Granted, Keeper, Outcome
from vanillashore_wire import (
    ErrorCode,
    Load,
    RefusalError,
    Refused,
    ReserveAsk,
    ReserveGrant,
    ReserveWithdraw,
)

TICK_S = 0.1


class Reservations:
    """Waits for the keeper's decisions on behalf of the asks that came over links."""

    def __init__(self, keeper: Keeper) -> None:
        self._keeper = keeper
        self._futures: dict[tuple[str, int], asyncio.Future[Outcome]] = {}

    @property
    def load(self) -> Load:
        """The endpoint's occupancy."""
        return self._keeper.load

    async def ask(self, ask: ReserveAsk, sender: str) -> ReserveGrant | Refused:
        """Wait until the ask is granted or turned away."""
        fut = asyncio.get_running_loop().create_future()
        self._futures[ask.request_id, ask.attempt] = fut
        self._settle(self._keeper.ask(ask, time.monotonic()))
        outcome = await fut
        return outcome.grant if isinstance(outcome, Granted) else outcome.refused

    async def withdraw(self, message: ReserveWithdraw, sender: str) -> None:
        """Give up an ask or a reservation that is not in use."""
        fut = self._futures.pop((message.request_id, message.attempt), None)
        if fut is not None and not fut.done():
            fut.cancel()
        now = time.monotonic()
        self._settle(self._keeper.withdraw(message.request_id, message.attempt, now))

    def use(self, reservation: str) -> None:
        """Turn a reservation into a hold; raise RefusalError if it has lapsed."""
        if not self._keeper.use(reservation, time.monotonic()):
            text = f"reservation {reservation} has lapsed"
            raise RefusalError(Refused(ErrorCode.RESERVATION_UNKNOWN, text))

    def release(self, reservation: str) -> None:
        """End a hold."""
        self._settle(self._keeper.release(reservation, time.monotonic()))

    def leave(self) -> None:
        """Refuse new work from now on."""
        self._settle(self._keeper.leave())

    async def run(self) -> None:
        """Let time pass for the keeper until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._settle(self._keeper.tick(time.monotonic()))

    def _settle(self, outcomes: list[Outcome]) -> None:
        for outcome in outcomes:
            fut = self._futures.pop((outcome.ask.request_id, outcome.ask.attempt), None)
            if fut is not None and not fut.done():
                fut.set_result(outcome)
