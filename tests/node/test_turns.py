import asyncio
import contextlib

from vanillashore_node._shared_exclusive_lock import SharedExclusiveLock


class _Log:
    """Runs tasks that take a turn each, until they are told to go."""

    def __init__(self) -> None:
        self.turns = SharedExclusiveLock()
        self.inside: set[str] = set()
        self.go: dict[str, asyncio.Event] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}

    async def enter(self, name: str, alone: bool) -> None:
        self.go[name] = asyncio.Event()
        turn = self.turns.alone() if alone else self.turns.shared()
        self.tasks[name] = asyncio.get_running_loop().create_task(self._run(name, turn))
        await _settle()

    async def leave(self, name: str) -> None:
        self.go[name].set()
        await _settle()

    async def cancel(self, name: str) -> None:
        self.tasks[name].cancel()
        await _settle()

    async def _run(self, name: str, turn: contextlib.AbstractAsyncContextManager[None]) -> None:
        async with turn:
            self.inside.add(name)
            try:
                await self.go[name].wait()
            finally:
                self.inside.discard(name)


async def _settle() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


async def test_one_alone_waits_for_those_that_share_and_keeps_later_ones_out() -> None:
    log = _Log()
    await log.enter("a", alone=False)
    await log.enter("b", alone=False)
    assert log.inside == {"a", "b"}
    await log.enter("suspect", alone=True)
    await log.enter("late", alone=False)
    assert log.inside == {"a", "b"}
    await log.leave("a")
    await log.leave("b")
    assert log.inside == {"suspect"}
    await log.leave("suspect")
    assert log.inside == {"late"}


async def test_two_alone_follow_one_another() -> None:
    log = _Log()
    await log.enter("one", alone=True)
    await log.enter("two", alone=True)
    assert log.inside == {"one"}
    await log.leave("one")
    assert log.inside == {"two"}


async def test_one_that_gives_up_waiting_lets_the_others_in() -> None:
    log = _Log()
    await log.enter("a", alone=False)
    await log.enter("suspect", alone=True)
    await log.enter("late", alone=False)
    await log.cancel("suspect")
    assert log.inside == {"a", "late"}
