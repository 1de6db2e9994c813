"""What a stopping entry may still begin."""

import asyncio
import contextlib
import random
from collections import defaultdict, deque
from collections.abc import AsyncIterator, Callable

import attrs

from vanillashore_gateway._errors import ErrorCode, RefusalError, refusal
from vanillashore_gateway._rotation import Rotation

RECENT_ANSWERS = 200
MIN_ANSWERS = 8  # Fewer say nothing about the next one.
ASSUMED_ANSWER_S = 4.0  # While too few are known.
MAX_CUT_RISK = 0.25  # A broken answer costs its caller more than a later one.
MIN_RETRY_AFTER_S = 0.1  # A retry reaches another entry.
REFUSAL_MARGIN_S = 0.2  # Before the end, for the last refusals to reach their callers.
RETRY_SPREAD = 0.5  # Keeps callers that were refused together from returning together.


class AnswerTimes:
    """How long answers take, in seconds, from the recent ones.

    Example::

        times.record(3.2)
        times.share_longer_than(4.0)
    """

    def __init__(self) -> None:
        self._seconds: deque[float] = deque(maxlen=RECENT_ANSWERS)

    def record(self, seconds: float) -> None:
        """Record a complete answer."""
        self._seconds.append(seconds)

    def share_longer_than(self, seconds: float) -> float:
        """Return the share of answers that took longer."""
        if len(self._seconds) < MIN_ANSWERS:
            return float(seconds < ASSUMED_ANSWER_S)
        return sum(known > seconds for known in self._seconds) / len(self._seconds)


@attrs.define
class Shutdown:
    """The end of this process, once it has been asked to stop, and what it may still begin.

    The load balancer still sends callers here for a while, and longer if no other entry is in
    rotation, as in a quick rolling restart. Requests that would not end in time are refused at
    once.
    """

    rotation: Rotation
    clock: Callable[[], float]
    rng: random.Random
    ends_at: float | None = None
    out_of_rotation_at: float = 0.0
    has_ended: bool = False
    _times: dict[str, AnswerTimes] = attrs.field(factory=lambda: defaultdict(AnswerTimes))
    _waits: set[asyncio.Timeout] = attrs.field(factory=set)

    def begin(self, ends_at: float, out_of_rotation_at: float) -> None:
        """Start to stop."""
        self.ends_at = ends_at
        self.out_of_rotation_at = out_of_rotation_at
        for wait in self._waits:
            wait.reschedule(self._waits_until())

    @contextlib.asynccontextmanager
    async def refuse_at_end(self) -> AsyncIterator[Callable[[], None]]:
        """Raise RefusalError in a request that has no answer yet shortly before the process ends.

        The function that is yielded lets the request go on, as once its answer has begun::

            async with shutdown.refuse_at_end() as release:
                responder.on_begin = release
                ...
        """
        wait = asyncio.timeout_at(self._waits_until())

        def release() -> None:
            if wait in self._waits and not wait.expired():
                self._waits.discard(wait)
                wait.reschedule(None)

        try:
            async with wait:
                self._waits.add(wait)
                yield release
        except TimeoutError:
            if wait.expired():
                raise self._refusal() from None
            raise
        finally:
            self._waits.discard(wait)

    def _waits_until(self) -> float | None:
        """Return the end of all waits on the loop's clock, ``None`` before a stop."""
        if self.ends_at is None:
            return None
        left_s = self._last_refusals_at - self.clock()
        return asyncio.get_running_loop().time() + left_s

    def record_answer(self, service: str, seconds: float) -> None:
        """Record how long a complete answer held its slot."""
        self._times[service].record(seconds)

    def check_arrival(self, received: float, give_up_at: float) -> None:
        """Raise RefusalError if a request that was received out of rotation may not end in time.

        It must surely end: earlier answers are no bound for it, as endpoints slow down while
        several entries stop.
        """
        if received >= self.out_of_rotation_at and not self._surely_ends(give_up_at):
            raise self._refusal()

    def check_generation(
        self, service: str, received: float, give_up_at: float, wait_s: float = 0.0
    ) -> None:
        """Raise RefusalError if a generation that gets its slot in ``wait_s`` may not end in time.

        For one that was received in rotation, the risk of a broken answer is weighed against that
        of meeting another stopping entry.
        """
        self.check_arrival(received, give_up_at)
        if self._surely_ends(give_up_at):
            return
        left_s = self.ends_at - self.clock() - wait_s
        risk = min(MAX_CUT_RISK, self.rotation.stopping_share())
        if self._times[service].share_longer_than(left_s) > risk:
            raise self._refusal()

    @property
    def _last_refusals_at(self) -> float:
        return self.ends_at - REFUSAL_MARGIN_S

    def _surely_ends(self, give_up_at: float) -> bool:
        """Whether a request is over before those that are left get their refusals."""
        return self.ends_at is None or give_up_at <= self._last_refusals_at

    def _refusal(self) -> RefusalError:
        text = f"this entry stops in {self.ends_at - self.clock():.1f} s"
        after_s = self.rotation.retry_after_s(MIN_RETRY_AFTER_S)
        spread = 1 + RETRY_SPREAD * self.rng.random()
        return refusal(ErrorCode.STOPPING, text, after_s * spread)
