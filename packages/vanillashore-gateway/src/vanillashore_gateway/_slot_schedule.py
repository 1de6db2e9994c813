"""Who gets the decode slots of a service when there are too few, decided once for all entries.

Handles bursts in which more generations arrive than the engines' memory holds, from many entries
that each see few of them. The home of a service keeps a ledger of the memory that generations take
at each engine, counted to the end of their answers, and grants slots in an order that costs callers
least: by rank, then those that can still be on time, then by what a caller gains for the memory and
time that the generation takes. A generation that has no slot to expect in time is refused at once.
"""

import itertools
import math
import random
from collections import OrderedDict
from collections.abc import Callable, Collection, Hashable, Iterable

import attrs

from vanillashore_gateway._domain import Endpoint
from vanillashore_gateway._service_shares import ServiceShares

# The part of an answer that counts as held in an engine's memory: its generations are at different
# stages, and hold half of their answers on average.
HELD_OUTPUT_SHARE = 0.5
# An answer's token counts as much as this number of prompt tokens in the size of a generation.
OUTPUT_WEIGHT = 10
# The part of a generation's value that does not grow with its size.
FIXED_VALUE = 0.3
SMOOTHING = 0.05
INITIAL_TOKEN_S = 0.004  # Per expected output token.
START_S = 0.3  # From the grant to the first event: transfer, prefill and the first step.
ASKED_DECAY_S = 1.0  # Half of the weight of an arrival lapses in this time, short for a burst.
MAX_ARRIVING_SHARE = 0.5  # Of the capacity: a burst may end before a late one would give up.
CHECK_EVERY_S = 0.1  # Between two checks of the generations that wait already.
# Every n-th grant goes to the best request of a lower rank, so that no rank starves.
LOWER_RANK_EVERY = 8
FULL_S = 0.1  # An engine that refused a reservation may have room again after this.
UNREACHABLE_S = 1.5  # Several entries would each wait in vain for an engine that does not answer.
LOST_FACTOR = 3.0  # A grant that outlasts its expected time by this much is taken for lost.
LOST_MARGIN_S = 5.0
MAX_WAITING = 4_096  # Generations of one service, far more than can expect a slot in time.
MAX_REMEMBERED = 4_096  # Refused generations that may return.
RETURN_S = 15.0
REMOTE_SHARE = 0.05  # Of an engine; a closer one is chosen between nearly equal ones.
RETRY_SPREAD = 0.5
MIN_RETRY_S = 0.5
# Callers that would have to wait for a third of the time that they have left do not return.
MAX_RETRY_SHARE = 0.3


@attrs.frozen
class SlotAsk:
    """A generation that needs a decode slot.

    ``tokens`` is the memory that it takes at its end, ``output_tokens`` the part that it makes. A
    slot within ``on_time_s`` meets the target, and the caller stays for ``wait_s`` at most, and
    could return within ``left_s``. ``repeat_key`` is the same when the caller sends it again. It
    ``is_repeated`` if an engine has refused the reservation of an earlier grant.
    """

    rank: int
    tokens: int
    output_tokens: int
    on_time_s: float
    wait_s: float
    left_s: float
    data_centre: str = ""
    workspace: str = ""
    repeat_key: str = ""
    avoided: tuple[str, ...] = ()
    is_repeated: bool = False

    @property
    def held_tokens(self) -> int:
        """The memory that the generation holds on average."""
        return self.tokens - int(self.output_tokens * (1 - HELD_OUTPUT_SHARE))


@attrs.frozen
class Grant:
    """A slot at an engine."""

    instance: str


@attrs.frozen
class Turndown:
    """No slot is expected in time; one may be free in ``retry_s``."""

    retry_s: float


Decision = Grant | Turndown


@attrs.define(eq=False)
class _Waiter:
    ask: SlotAsk
    arrived: float
    value: float
    work: float
    decide: Callable[[Decision], None]
    number: int
    has_returned: bool = False
    is_behind: bool = False

    @property
    def on_time_until(self) -> float:
        return self.arrived + self.ask.on_time_s

    def is_late(self, now: float) -> bool:
        return now >= self.on_time_until

    def order(self, now: float) -> tuple[bool, bool, float, int]:
        """Return the sort key inside a rank; the smallest goes first."""
        # A caller that was told to come back has lost its target by that, and would be refused
        # again behind the new ones.
        is_first = self.is_behind or self.has_returned
        is_last = self.is_late(now) and not is_first
        return is_last, not is_first, -self.value / self.work, self.number


@attrs.frozen
class _Grant:
    instance: str
    tokens: int
    output_tokens: int
    granted_at: float
    expires_at: float


@attrs.define
class _Engine:
    capacity: int
    slots: int
    data_centre: str
    grants: dict[Hashable, _Grant] = attrs.field(factory=dict)
    used: int = 0
    full_until: float = 0.0

    def fits(self, tokens: int, now: float) -> bool:
        """Whether a generation of that size fits; an empty engine takes any."""
        if now < self.full_until or len(self.grants) >= max(1, self.slots):
            return False
        return not self.grants or self.used + tokens <= self.capacity


class SlotSchedule:
    """The ledger and the queue of one service; callers pass in the current time.

    Example::

        schedule = SlotSchedule(random.Random())
        schedule.update_engines(engines, kv_tokens=30_000)
        schedule.ask("id-1", ask, decide, now)  # calls decide(Grant(...)) or decide(Turndown(...))
        ...
        schedule.end("id-1", now)
        schedule.assign(now)
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._engines: dict[str, _Engine] = {}
        self._waiters: dict[Hashable, _Waiter] = {}
        self._grants: OrderedDict[Hashable, _Grant] = OrderedDict()
        self._told: OrderedDict[str, float] = OrderedDict()
        self._shares = ServiceShares()
        self._token_s = INITIAL_TOKEN_S
        self._mean_size = 0.0
        self._grant_count = 0
        self._numbers = itertools.count()
        self._checked_at = 0.0
        self._asked_work = 0.0  # Per second, at `_asked_at`.
        self._asked_at = 0.0

    @property
    def waiting(self) -> int:
        """How many generations wait for a slot."""
        return len(self._waiters)

    @property
    def granted(self) -> int:
        """How many grants have not ended."""
        return len(self._grants)

    def update_engines(self, engines: Iterable[Endpoint], kv_tokens: int) -> None:
        """Set the engines that can be used, and the memory of each."""
        usable = {engine.instance: engine for engine in engines}
        for name in [name for name in self._engines if name not in usable]:
            del self._engines[name]
        for name, endpoint in usable.items():
            known = self._engines.get(name)
            if known is None:
                known = _Engine(kv_tokens, endpoint.slots, endpoint.data_centre)
                self._engines[name] = known
                for key, grant in self._grants.items():
                    if grant.instance == name:
                        self._count(known, key, grant)
            known.capacity, known.slots = kv_tokens, endpoint.slots

    def ask(
        self, key: Hashable, ask: SlotAsk, decide: Callable[[Decision], None], now: float
    ) -> None:
        """Decide on a generation, now or later; asking again with the same key changes nothing."""
        if key in self._waiters:
            return
        grant = self._grants.get(key)
        if grant is not None:
            decide(Grant(grant.instance))
            return
        waiter = self._waiter(ask, decide, now)
        if not ask.is_repeated:
            self._record_asked(waiter.work, now)
            self._shares.record_asked(waiter.ask, now)
        waiter.is_behind = ask.is_repeated or self._shares.is_behind(ask)
        is_free = not self._waiters and self._choose(ask, now) is not None
        is_full = len(self._waiters) >= MAX_WAITING
        if is_full or (
            not is_free and self._is_hopeless(waiter, self._work_ahead(waiter, now), now)
        ):
            self._turn_down(waiter, now)
            return
        self._waiters[key] = waiter
        self.assign(now)

    def end(self, key: Hashable, now: float) -> None:
        """Record that a generation has ended, or that its caller no longer waits."""
        self._waiters.pop(key, None)
        grant = self._remove_grant(key)
        if grant is not None and grant.output_tokens > 0:
            token_s = max(0.0, now - grant.granted_at - START_S) / grant.output_tokens
            self._token_s += SMOOTHING * (token_s - self._token_s)

    def fail(self, key: Hashable, is_full: bool, now: float) -> None:
        """Record that a granted slot could not be used, as the engine is full or does not answer.

        The engine gets no grant for a while.
        """
        grant = self._remove_grant(key)
        engine = self._engines.get(grant.instance) if grant is not None else None
        if engine is not None:
            engine.full_until = now + (FULL_S if is_full else UNREACHABLE_S)

    def assign(self, now: float) -> None:
        """Grant free slots in order, and turn down the generations that have none to expect."""
        if now - self._checked_at >= CHECK_EVERY_S:
            self._checked_at = now
            self._expire(now)
            self._turn_down_hopeless(now)
        passed: set[Hashable] = set()
        while len(passed) < len(self._waiters):
            key = self._next(now, passed)
            waiter = self._waiters[key]
            name = self._choose(waiter.ask, now)
            if name is None:
                # A smaller one behind it must not take the memory that it waits for.
                if self._engines and not waiter.ask.avoided:
                    break
                passed.add(key)
                continue
            self._grant(key, waiter, name, now)

    def _waiter(self, ask: SlotAsk, decide: Callable[[Decision], None], now: float) -> _Waiter:
        size = ask.tokens + (OUTPUT_WEIGHT - 1) * ask.output_tokens
        self._mean_size = self._mean_size or size
        self._mean_size += SMOOTHING * (size - self._mean_size)
        value = FIXED_VALUE + (1 - FIXED_VALUE) * size / max(1.0, self._mean_size)
        work = max(1, ask.held_tokens) * (START_S + ask.output_tokens * self._token_s)
        told_at = self._told.pop(ask.repeat_key, None) if ask.repeat_key else None
        has_returned = told_at is not None and now - told_at < RETURN_S
        return _Waiter(ask, now, value, work, decide, next(self._numbers), has_returned)

    def _turn_down_hopeless(self, now: float) -> None:
        """Turn down the generations that no longer have a slot to expect in time.

        Better ones that came since may have taken their places.
        """
        ahead = 0.0
        ordered = sorted(self._waiters.items(), key=lambda item: item[1].order(now))
        for key, waiter in sorted(ordered, key=lambda item: item[1].ask.rank):
            if self._is_hopeless(waiter, ahead, now):
                del self._waiters[key]
                self._turn_down(waiter, now)
            else:
                ahead += waiter.work

    def _is_hopeless(self, waiter: _Waiter, ahead: float, now: float) -> bool:
        """Whether no slot is expected in time behind generations with that work.

        A late one also waits for those that are yet to come, as they go first while they are on
        time. Others do not count them: bursts are short, and to refuse for them left memory unused
        and served fewer.
        """
        if not self._engines:
            return True
        capacity = self._capacity()
        work = ahead + waiter.work
        if now + work / capacity <= waiter.on_time_until:
            return False
        arriving = min(self._arriving(now), capacity * MAX_ARRIVING_SHARE)
        return now + work / (capacity - arriving) > waiter.arrived + waiter.ask.wait_s

    def _arriving(self, now: float) -> float:
        """Return the work per second that has been asked for lately."""
        return self._asked_work * 0.5 ** ((now - self._asked_at) / ASKED_DECAY_S)

    def _record_asked(self, work: float, now: float) -> None:
        rate = work * math.log(2) / ASKED_DECAY_S
        self._asked_work = self._arriving(now) + rate
        self._asked_at = now

    def _work_ahead(self, waiter: _Waiter, now: float) -> float:
        own_order = (waiter.ask.rank, *waiter.order(now))
        return sum(
            other.work
            for other in self._waiters.values()
            if (other.ask.rank, *other.order(now)) < own_order
        )

    def _retry_s(self) -> float:
        """Return when the generations that wait now will have their slots."""
        if not self._engines:
            return MIN_RETRY_S * 2
        backlog = sum(waiter.work for waiter in self._waiters.values())
        return max(MIN_RETRY_S, backlog / self._capacity(), self._mean_grant_s())

    def _turn_down(self, waiter: _Waiter, now: float) -> None:
        ask = waiter.ask
        spread_s = self._retry_s() * (1 + RETRY_SPREAD * self._rng.random())
        left_s = ask.left_s - (now - waiter.arrived)
        told_s = min(spread_s, max(MIN_RETRY_S, left_s * MAX_RETRY_SHARE))
        if ask.repeat_key:
            self._told[ask.repeat_key] = now
            self._told.move_to_end(ask.repeat_key)
            while len(self._told) > MAX_REMEMBERED:
                self._told.popitem(last=False)
        waiter.decide(Turndown(told_s))

    def _next(self, now: float, passed: Collection[Hashable]) -> Hashable:
        """Return the key of the waiter to serve next."""
        keys = [key for key in self._waiters if key not in passed]
        ranks = {self._waiters[key].ask.rank for key in keys}
        rank = min(ranks)
        if len(ranks) > 1 and self._grant_count % LOWER_RANK_EVERY == LOWER_RANK_EVERY - 1:
            rank = self._rng.choice(sorted(ranks - {rank}))
        of_rank = [key for key in keys if self._waiters[key].ask.rank == rank]
        return min(of_rank, key=lambda key: self._waiters[key].order(now))

    def _choose(self, ask: SlotAsk, now: float) -> str | None:
        best, best_free = None, -1.0
        for name, engine in self._engines.items():
            if name in ask.avoided or not engine.fits(ask.held_tokens, now):
                continue
            free = 1 - engine.used / max(1, engine.capacity)
            free += REMOTE_SHARE * (engine.data_centre == ask.data_centre)
            free += 1e-3 * self._rng.random()
            if free > best_free:
                best, best_free = name, free
        return best

    def _grant(self, key: Hashable, waiter: _Waiter, name: str, now: float) -> None:
        ask = waiter.ask
        expected_s = START_S + ask.output_tokens * self._token_s
        expires_at = now + expected_s * LOST_FACTOR + LOST_MARGIN_S
        grant = _Grant(name, ask.held_tokens, ask.output_tokens, now, expires_at)
        del self._waiters[key]
        self._grants[key] = grant
        self._count(self._engines[name], key, grant)
        self._grant_count += 1
        self._shares.record_served(ask, now)
        waiter.decide(Grant(name))

    def _capacity(self) -> float:
        return float(max(1, sum(engine.capacity for engine in self._engines.values())))

    def _mean_grant_s(self) -> float:
        if not self._grants:
            return MIN_RETRY_S
        outputs = sum(grant.output_tokens for grant in self._grants.values())
        return START_S + outputs / len(self._grants) * self._token_s

    def _count(self, engine: _Engine, key: Hashable, grant: _Grant) -> None:
        engine.grants[key] = grant
        engine.used += grant.tokens

    def _remove_grant(self, key: Hashable) -> _Grant | None:
        grant = self._grants.pop(key, None)
        if grant is None:
            return None
        engine = self._engines.get(grant.instance)
        if engine is not None and engine.grants.pop(key, None) is not None:
            engine.used -= grant.tokens
        return grant

    def _expire(self, now: float) -> None:
        lost = [key for key, grant in self._grants.items() if grant.expires_at <= now]
        for key in lost:
            self._remove_grant(key)
