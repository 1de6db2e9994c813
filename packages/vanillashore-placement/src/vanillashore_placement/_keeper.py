"""The keeper of one endpoint's places: reservations, a queue and holds."""

import itertools

import attrs

from vanillashore_wire import ErrorCode, Load, Refused, ReserveAsk, ReserveGrant


@attrs.frozen
class Granted:
    """An ask got its place."""

    ask: ReserveAsk
    grant: ReserveGrant


@attrs.frozen
class TurnedAway:
    """An ask is over without a place."""

    ask: ReserveAsk
    refused: Refused


Outcome = Granted | TurnedAway


@attrs.define
class _Waiting:
    ask: ReserveAsk
    patience_ends: float


@attrs.define
class _Reserved:
    ask: ReserveAsk
    lapses_at: float
    in_use: bool = False


class Keeper:
    """Grants places first come, first served; a place is reserved, then in use, then released.

    Methods that may settle asks return them as outcomes. Time is in seconds and passed in.
    """

    def __init__(self, endpoint: str, slots: int, reservation_valid_s: float) -> None:
        self._endpoint = endpoint
        self._slots = slots
        self._valid_s = reservation_valid_s
        self._numbers = itertools.count(1)
        self._waiting: list[_Waiting] = []
        self._reserved: dict[str, _Reserved] = {}
        self._leaving = False

    @property
    def load(self) -> Load:
        """The occupancy as it is now."""
        return Load(running=len(self._reserved), waiting=len(self._waiting), slots=self._slots)

    def ask(self, ask: ReserveAsk, now: float) -> list[Outcome]:
        """Queue an ask; it may be granted at once."""
        if self._leaving:
            refused = Refused(ErrorCode.SHUTTING_DOWN, "the endpoint is leaving")
            return [TurnedAway(ask, refused)]
        self._waiting.append(_Waiting(ask, now + min(ask.patience_s, ask.deadline_s)))
        return self._settle(now)

    def withdraw(self, request_id: str, attempt: int, now: float) -> list[Outcome]:
        """Forget an ask, or its reservation unless that is in use."""
        self._waiting = [w for w in self._waiting if not _is_of(w.ask, request_id, attempt)]
        for name, reserved in list(self._reserved.items()):
            if _is_of(reserved.ask, request_id, attempt) and not reserved.in_use:
                del self._reserved[name]
        return self._settle(now)

    def use(self, reservation: str, now: float) -> bool:
        """Turn a reservation into a hold; False if it has lapsed."""
        reserved = self._reserved.get(reservation)
        if reserved is None or reserved.in_use or reserved.lapses_at <= now:
            return False
        reserved.in_use = True
        return True

    def release(self, reservation: str, now: float) -> list[Outcome]:
        """End a hold and give its place to the next ask."""
        self._reserved.pop(reservation, None)
        return self._settle(now)

    def tick(self, now: float) -> list[Outcome]:
        """Drop lapsed reservations and asks whose patience is over."""
        lapsed = [n for n, r in self._reserved.items() if not r.in_use and r.lapses_at <= now]
        for name in lapsed:
            del self._reserved[name]
        return self._settle(now)

    def leave(self) -> list[Outcome]:
        """Refuse all that waits, and all new asks from now on."""
        self._leaving = True
        refused = Refused(ErrorCode.SHUTTING_DOWN, "the endpoint is leaving")
        outcomes: list[Outcome] = [TurnedAway(w.ask, refused) for w in self._waiting]
        self._waiting.clear()
        return outcomes

    def _settle(self, now: float) -> list[Outcome]:
        outcomes: list[Outcome] = []
        still_waiting = []
        for waiting in self._waiting:
            if waiting.patience_ends <= now and len(self._reserved) >= self._slots:
                text = "no place came free in time"
                refused = Refused(ErrorCode.OVERLOADED, text, retry_after_s=1.0)
                outcomes.append(TurnedAway(waiting.ask, refused))
            elif len(self._reserved) < self._slots:
                outcomes.append(self._grant(waiting.ask, now))
            else:
                still_waiting.append(waiting)
        self._waiting = still_waiting
        return outcomes

    def _grant(self, ask: ReserveAsk, now: float) -> Granted:
        name = f"{self._endpoint}-{next(self._numbers)}"
        self._reserved[name] = _Reserved(ask, now + self._valid_s)
        return Granted(ask, ReserveGrant(name, self._valid_s, self.load))


def _is_of(ask: ReserveAsk, request_id: str, attempt: int) -> bool:
    return ask.request_id == request_id and ask.attempt == attempt
