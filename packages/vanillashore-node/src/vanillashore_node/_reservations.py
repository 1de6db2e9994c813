"""Reservations at a sidecar: passes requests to the scheduler and returns its decisions."""

import asyncio
import time
from collections.abc import Callable

from loguru import logger as log

from vanillashore_node._core import NodeCore
from vanillashore_placement import Granted, Hold, HoldExpired, Outcome, ReservationScheduler
from vanillashore_schema import EndpointRole
from vanillashore_store import VmState
from vanillashore_wire import (
    ErrorCode,
    HoldEnd,
    HoldRenewal,
    HoldRenewed,
    Load,
    RefusalError,
    Refused,
    ReservationKind,
    ReserveGrant,
    ReserveRequest,
    ReserveWithdraw,
)

TICK_S = 0.1
ROLE_OF_KIND = {
    ReservationKind.PREFILL: EndpointRole.PREFILL,
    ReservationKind.DECODE: EndpointRole.DECODE,
    ReservationKind.CALL: EndpointRole.SERVICE,
}
ReserveRequestKey = tuple[str, int, ReservationKind]


class Reservations:
    """Waits for the scheduler's decisions on requests that arrive over links.

    ``on_freed`` is called with each hold that ends before its work has released it, so that the
    endpoint can free the resources it keeps for the hold.
    """

    def __init__(self, core: NodeCore, scheduler: ReservationScheduler) -> None:
        self._core = core
        self._scheduler = scheduler
        self._futures: dict[ReserveRequestKey, asyncio.Future[Outcome]] = {}
        self._stopping = False
        self._changing = False
        self.on_freed: Callable[[Hold], None] = lambda hold: None

    @property
    def load(self) -> Load:
        """The endpoint's occupancy."""
        return self._scheduler.load

    @property
    def scheduler(self) -> ReservationScheduler:
        """The scheduler that decides on the requests."""
        return self._scheduler

    async def reserve(self, request: ReserveRequest, sender: str) -> ReserveGrant | Refused:
        """Wait until the request is granted or refused."""
        refused = self._mismatch(request)
        if refused is not None:
            return refused
        self._update_leaving()
        fut = asyncio.get_running_loop().create_future()
        self._futures[_key(request)] = fut
        self._deliver(self._scheduler.ask(request, sender, time.monotonic()))
        outcome = await fut
        return outcome.grant if isinstance(outcome, Granted) else outcome.refused

    async def withdraw(self, message: ReserveWithdraw, sender: str) -> None:
        """Cancel a queued request or a reservation that is not in use."""
        fut = self._futures.pop((message.request_id, message.attempt, message.kind), None)
        if fut is not None and not fut.done():
            fut.cancel()
        self._deliver(self._scheduler.withdraw(message, time.monotonic()))

    async def renew(self, renewal: HoldRenewal, sender: str) -> HoldRenewed:
        """Extend the validity of an entry's holds and queued requests."""
        unknown = self._scheduler.renew(renewal, sender, time.monotonic())
        return HoldRenewed(unknown, self.load)

    async def end(self, message: HoldEnd, sender: str) -> None:
        """Free a hold that its entry has released."""
        hold = self._scheduler.holds.get(message.reservation)
        if hold is not None:
            self._deliver(self._scheduler.release(message.reservation, time.monotonic()))
            self.on_freed(hold)

    def use(self, reservation: str) -> Hold:
        """Turn a reservation into a hold; raise RefusalError if it has expired."""
        hold = self._scheduler.use(reservation, time.monotonic())
        if hold is None:
            text = f"reservation {reservation} has expired"
            raise RefusalError(Refused(ErrorCode.RESERVATION_UNKNOWN, text))
        return hold

    def export(self, reservation: str) -> None:
        """Free a prefill's slot; its KV cache stays held until it has been fetched."""
        self._deliver(self._scheduler.export(reservation, time.monotonic()))

    def release(self, reservation: str) -> None:
        """End a hold."""
        self._deliver(self._scheduler.release(reservation, time.monotonic()))

    def stop(self) -> None:
        """Refuse new work from now on."""
        self._stopping = True
        self._update_leaving()

    def set_changing(self, changing: bool) -> None:
        """Refuse new work while the endpoint changes its role, model or service."""
        self._changing = changing
        self._update_leaving()

    async def run(self) -> None:
        """Run the scheduler's timers until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._update_leaving()
            self._deliver(self._scheduler.tick(time.monotonic()))

    def _update_leaving(self) -> None:
        vm = self._core.directory.vm(self._core.cfg.node.name)
        listed_as_leaving = vm is not None and vm.state is not VmState.LIVE
        if self._stopping or self._changing or listed_as_leaving:
            self._deliver(self._scheduler.leave(time.monotonic()))
        else:
            self._scheduler.rejoin()

    def _mismatch(self, request: ReserveRequest) -> Refused | None:
        declared = self._core.directory.endpoint_config(self._core.cfg.node.name)
        role = ROLE_OF_KIND[request.kind]
        if declared is not None and declared.role is role:
            subject = declared.service or declared.model
            if subject == request.model:
                return None
        text = f"this endpoint is not declared as {role.value} of {request.model!r}"
        return Refused(ErrorCode.ROLE_MISMATCH, text)

    def _deliver(self, outcomes: list[Outcome]) -> None:
        for outcome in outcomes:
            if isinstance(outcome, HoldExpired):
                self._expire(outcome.hold)
                continue
            fut = self._futures.pop(_key(outcome.request), None)
            if fut is not None and not fut.done():
                fut.set_result(outcome)

    def _expire(self, hold: Hold) -> None:
        fields = {"request_id": hold.request.request_id, "state": hold.state.value}
        log.bind(entry=hold.sender, **fields).warning("a hold expired")
        self.on_freed(hold)


def _key(request: ReserveRequest) -> ReserveRequestKey:
    return (request.request_id, request.attempt, request.kind)
