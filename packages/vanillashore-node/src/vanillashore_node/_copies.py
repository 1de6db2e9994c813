"""Copies of one request that are in flight at the same time at this entry."""

import asyncio
from collections import deque

import attrs


@attrs.define
class _Copies:
    """The copies of one request; ``is_proved`` once one of them has got its first token."""

    in_flight: int = 0
    is_led: bool = False
    is_proved: bool = False
    waiting: deque["asyncio.Future[None]"] = attrs.field(factory=deque)


class CopyBook:
    """Lets one copy of a request go ahead until its first token shows that it is harmless.

    A request that crashes engines would otherwise crash one for each copy sent at once, before
    anybody has noticed the first crash. Each copy takes a turn and ends it however it went::

        turn = await copies.begin(req.fingerprint)
        try:
            ...
            turn.prove()  # the first token is here
        finally:
            turn.end()
    """

    def __init__(self) -> None:
        self._copies: dict[str, _Copies] = {}

    async def begin(self, fingerprint: str) -> "CopyTurn":
        """Wait until this copy may run."""
        copies = self._copies.setdefault(fingerprint, _Copies())
        copies.in_flight += 1
        turn = CopyTurn(self, fingerprint, copies)
        try:
            while copies.is_led and not copies.is_proved:
                fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
                copies.waiting.append(fut)
                await fut
        except asyncio.CancelledError:
            turn.end()
            raise
        if not copies.is_proved:
            copies.is_led = True
            turn.leads = True
        return turn

    def forget(self, fingerprint: str) -> None:
        """Forget a request that has no copy in flight any more."""
        self._copies.pop(fingerprint, None)


@attrs.define(eq=False)
class CopyTurn:
    """The turn of one copy."""

    _book: CopyBook
    _fingerprint: str
    _copies: _Copies
    leads: bool = False

    def prove(self) -> None:
        """Let all copies run: this one has got its first token."""
        if not self._copies.is_proved:
            self._copies.is_proved = True
            self._wake(len(self._copies.waiting))

    def end(self) -> None:
        """End the turn; the next copy leads if this one did and proved nothing."""
        self._copies.in_flight -= 1
        if self.leads:
            self._copies.is_led = False
        self._wake(1)
        if self._copies.in_flight == 0:
            self._book.forget(self._fingerprint)

    def _wake(self, count: int) -> None:
        while count and self._copies.waiting:
            fut = self._copies.waiting.popleft()
            if not fut.done():
                fut.set_result(None)
                count -= 1
