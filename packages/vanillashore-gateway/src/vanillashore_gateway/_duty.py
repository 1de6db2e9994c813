"""The duty of ordering role changes: one entry at a time, with a fence from the store."""

import asyncio
import random
from collections.abc import Callable

import attrs
from loguru import logger as log

from vanillashore_gateway._domain import OrderAnswer, RoleOrder
from vanillashore_gateway._engine_calls import EngineCalls, EngineUnreachableError
from vanillashore_gateway._following import REGISTRATION_TTL_S, EntryRegistration, Follower
from vanillashore_gateway._membership import Membership
from vanillashore_gateway._platform_store import (
    LeaseExpiredError,
    PlatformStore,
    StoreRestoredError,
    StoreUnavailableError,
)
from vanillashore_gateway._role_changes import RoleChanges
from vanillashore_gateway._role_plan import RoleChange, plan_roles

ROLES_DUTY = "roles"
CHECK_INTERVAL_S = 1.0
# Changes are ordered only after the plan has had some for this time: the list of endpoints may
# still be incomplete, or an engine may just have joined or left.
PLAN_SETTLE_S = 1.5
ORDER_REPEAT_S = 20.0  # Longer than an engine may delay an order.
ORDER_NOTICE_S = 0.5  # From the notice to other entries until the order: longer than a prefill.
ACQUIRE_JITTER_S = 0.6  # Keeps entries from requesting a free duty at the same moment.


@attrs.define
class DutyState:
    """The holder of the duty and its fence, as the store has reported them."""

    holder: str | None = None
    fence: int = 0

    def set_holder(self, holder: str, fence: int) -> None:
        """Set a new holder."""
        self.holder, self.fence = holder, fence

    def clear_holder(self) -> None:
        """Record that no entry holds the duty."""
        self.holder = None


@attrs.frozen
class _SentOrder:
    change: RoleChange
    at: float


class RoleDuty:
    """Orders engines to take the roles of the plan while this entry holds the duty.

    The duty is bound to the entry's own lease. A new holder waits for ``handover_s`` before its
    first order, and a holder sends none once its lease may have expired, so that the orders of two
    holders never alternate.
    """

    def __init__(
        self,
        node: str,
        store: PlatformStore,
        state: DutyState,
        membership: Membership,
        calls: EngineCalls,
        changes: RoleChanges,
        follower: Follower,
        registration: EntryRegistration,
        clock: Callable[[], float],
        rng: random.Random,
        handover_s: float,
    ) -> None:
        self._node = node
        self._store = store
        self._state = state
        self._membership = membership
        self._calls = calls
        self._changes = changes
        self._follower = follower
        self._registration = registration
        self._clock = clock
        self._rng = rng
        self._handover_s = handover_s
        self._may_order_from = 0.0
        self._may_acquire_from = 0.0
        self._own_fence: int | None = None
        self._changes_since: float | None = None
        self._sent_orders: list[_SentOrder] = []

    async def run(self) -> None:
        """Check the plan periodically, and order its changes."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S * (0.8 + 0.4 * self._rng.random()))
            changes = self._due_changes()
            if not changes:
                continue
            try:
                if self._state.holder is None:
                    await self._acquire()
                elif self._state.holder == self._node and self._own_fence is None:
                    # Acquired before a restart or a restore of the store, or fenced.
                    await self._store.release_duty(ROLES_DUTY, self._state.fence)
                elif self._is_holder():
                    await self._send_orders(changes)
            except (StoreUnavailableError, StoreRestoredError, LeaseExpiredError) as exc:
                log.bind(reason=repr(exc)).info("could not acquire the duty of ordering roles")

    def record_restore(self) -> None:
        """Wait until an earlier holder that has not noticed the restore has surely stopped."""
        self._own_fence = None
        self._may_acquire_from = self._clock() + REGISTRATION_TTL_S

    def _due_changes(self) -> list[RoleChange]:
        """Return the planned changes, unless they are too new or an order is pending."""
        now = self._clock()
        changes = plan_roles(self._membership.all_usable())
        if not changes:
            self._changes_since = None
            return []
        if self._changes_since is None:
            self._changes_since = now
        if now - self._changes_since < PLAN_SETTLE_S:
            return []
        if any(self._is_pending(sent, now) for sent in self._sent_orders):
            return []
        # An earlier holder of the duty may have ordered the same.
        is_ordered = any(self._changes.is_changing(change.endpoint) for change in changes)
        return [] if is_ordered else changes

    def _is_pending(self, sent: "_SentOrder", now: float) -> bool:
        """Whether an engine may still carry out an order."""
        engine = self._membership.get(sent.change.endpoint.instance)
        is_done = engine is None or engine.role is sent.change.role
        return not is_done and now - sent.at < ORDER_REPEAT_S

    async def _acquire(self) -> None:
        await asyncio.sleep(ACQUIRE_JITTER_S * self._rng.random())
        lease = self._registration.lease
        if self._state.holder is not None or lease is None or not self._follower.contact.is_reached:
            return
        if self._clock() < self._may_acquire_from:
            return
        fence = await self._store.acquire_duty(ROLES_DUTY, self._node, lease)
        if fence is None:
            return
        self._state.set_holder(self._node, fence)
        self._own_fence = fence
        self._may_order_from = self._clock() + self._handover_s
        log.bind(fence=fence).info("acquired the duty of ordering roles")

    def _is_holder(self) -> bool:
        return (
            self._state.holder == self._node
            and self._state.fence == self._own_fence
            and self._clock() >= self._may_order_from
            and self._registration.is_held(self._clock())
        )

    async def _send_orders(self, changes: list[RoleChange]) -> None:
        for change in changes:
            self._changes.announce(change.endpoint.start, change.role)
        # Generations that have reserved a slot at these engines begin before the orders.
        await asyncio.sleep(ORDER_NOTICE_S)
        for change in changes:
            if self._is_holder():
                await self._send_order(change)
            else:
                self._changes.announce(change.endpoint.start, None)

    async def _send_order(self, change: RoleChange) -> None:
        endpoint = change.endpoint
        now = self._clock()
        self._sent_orders = [o for o in self._sent_orders if now - o.at < ORDER_REPEAT_S]
        sent = _SentOrder(change, now)
        self._sent_orders.append(sent)
        answer = OrderAnswer.FAILED
        reason, is_withheld = "", False
        try:
            orders_taken = await self._calls.orders_taken(endpoint)
            order = RoleOrder(endpoint, change.role, self._node, self._state.fence, orders_taken)
            answer = await self._calls.order_role(order)
        except EngineUnreachableError as exc:
            reason = str(exc)
            is_withheld = exc.is_withheld
        log.bind(
            endpoint=endpoint.instance,
            role=change.role.value,
            fence=self._state.fence,
            answer=answer.value,
            reason=reason,
        ).info("ordered a role change")
        is_open = answer in (OrderAnswer.ACCEPTED, OrderAnswer.FAILED) and not is_withheld
        # A second notice, as datagrams may be lost.
        self._changes.announce(endpoint.start, change.role if is_open else None)
        if answer is OrderAnswer.FENCED:
            # Another entry has used a higher fence; a new holder gets one above that.
            self._own_fence = None
        if answer is OrderAnswer.FENCED or is_withheld:
            self._sent_orders.remove(sent)
