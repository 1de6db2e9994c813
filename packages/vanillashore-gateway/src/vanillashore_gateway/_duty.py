"""The duty to give orders to engines: one entry at a time, with a fence from the store."""

import asyncio
import random
from collections.abc import Callable

import attrs
from loguru import logger as log

from vanillashore_gateway._domain import OrderAnswer, RoleOrder
from vanillashore_gateway._engine_calls import EngineCalls, EngineUnreachableError
from vanillashore_gateway._following import EntryRegistration, Follower
from vanillashore_gateway._membership import Membership
from vanillashore_gateway._platform_store import (
    LeaseExpiredError,
    PlatformStore,
    StoreUnavailableError,
)
from vanillashore_gateway._role_plan import RoleChange, plan_roles

ROLES_DUTY = "roles"
CHECK_EVERY_S = 1.0
SETTLE_S = 1.5  # For a list that has just been read, or an engine that has just come or gone.
REPEAT_ORDER_S = 20.0  # Longer than an order may be carried out late.
TAKE_SPREAD_S = 0.6  # Entries that see a free duty do not ask for it at the same moment.


@attrs.define
class DutyBook:
    """Who holds the duty, as the store tells."""

    holder: str | None = None
    fence: int = 0

    def take(self, holder: str, fence: int) -> None:
        """Take in a new holder."""
        self.holder, self.fence = holder, fence

    def free(self) -> None:
        """Take in that nobody holds the duty."""
        self.holder = None


@attrs.frozen
class _Ordered:
    change: RoleChange
    at: float


class RoleDuty:
    """Gives engines the roles that the plan wants, while this entry holds the duty.

    The duty hangs on the entry's own lease. A new holder waits for ``turn_s`` before its first
    order, and a holder without contact to the store gives none, so that no two order in turn.
    """

    def __init__(
        self,
        node: str,
        store: PlatformStore,
        book: DutyBook,
        membership: Membership,
        calls: EngineCalls,
        follower: Follower,
        registration: EntryRegistration,
        clock: Callable[[], float],
        rng: random.Random,
        turn_s: float,
    ) -> None:
        self._node = node
        self._store = store
        self._book = book
        self._membership = membership
        self._calls = calls
        self._follower = follower
        self._registration = registration
        self._clock = clock
        self._rng = rng
        self._turn_s = turn_s
        self._may_order_at = 0.0
        self._wanted_since: float | None = None
        self._ordered: list[_Ordered] = []

    async def run(self) -> None:
        """Look at the plan now and then, and order what it wants."""
        while True:
            await asyncio.sleep(CHECK_EVERY_S * (0.8 + 0.4 * self._rng.random()))
            changes = self._due_changes()
            if not changes:
                continue
            try:
                if self._book.holder is None:
                    await self._take()
                elif self._is_holder():
                    await self._order_all(changes)
            except (StoreUnavailableError, LeaseExpiredError) as exc:
                log.bind(reason=str(exc)).info("the duty to order roles was not taken")

    def _due_changes(self) -> list[RoleChange]:
        """Return what the plan wants, once it has wanted something for a while."""
        now = self._clock()
        changes = plan_roles(self._membership.all_usable())
        if not changes:
            self._wanted_since = None
            return []
        if self._wanted_since is None:
            self._wanted_since = now
        if now - self._wanted_since < SETTLE_S:
            return []
        return [] if any(self._is_pending(ordered, now) for ordered in self._ordered) else changes

    def _is_pending(self, ordered: "_Ordered", now: float) -> bool:
        """Whether an order may still be carried out."""
        engine = self._membership.get(ordered.change.endpoint.instance)
        is_done = engine is None or engine.role is ordered.change.role
        return not is_done and now - ordered.at < REPEAT_ORDER_S

    async def _take(self) -> None:
        await asyncio.sleep(TAKE_SPREAD_S * self._rng.random())
        lease = self._registration.lease
        if self._book.holder is not None or lease is None or not self._follower.contact.is_reached:
            return
        fence = await self._store.acquire_duty(ROLES_DUTY, self._node, lease)
        if fence is None:
            return
        self._book.take(self._node, fence)
        self._may_order_at = self._clock() + self._turn_s
        log.bind(fence=fence).info("took the duty to order roles")

    def _is_holder(self) -> bool:
        return (
            self._book.holder == self._node
            and self._clock() >= self._may_order_at
            and self._registration.is_held(self._clock())
        )

    async def _order_all(self, changes: list[RoleChange]) -> None:
        for change in changes:
            if self._is_holder():
                await self._order(change)

    async def _order(self, change: RoleChange) -> None:
        endpoint = change.endpoint
        now = self._clock()
        self._ordered = [o for o in self._ordered if now - o.at < REPEAT_ORDER_S]
        self._ordered.append(_Ordered(change, now))
        answer = OrderAnswer.FAILED
        reason = ""
        try:
            taken = await self._calls.orders_taken(endpoint)
            order = RoleOrder(endpoint, change.role, self._node, self._book.fence, taken)
            answer = await self._calls.order_role(order)
        except EngineUnreachableError as exc:
            reason = str(exc)
        log.bind(
            endpoint=endpoint.instance,
            role=change.role.value,
            fence=self._book.fence,
            answer=answer.value,
            reason=reason,
        ).info("a role was ordered")
        if answer is OrderAnswer.FENCED:
            self._may_order_at = float("inf")
