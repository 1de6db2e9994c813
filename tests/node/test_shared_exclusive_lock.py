import asyncio
import contextlib

from vanillashore_node._shared_exclusive_lock import SharedExclusiveLock


class _Holders:
    """Runs tasks that each hold the lock until they are released."""

    def __init__(self) -> None:
        self.lock = SharedExclusiveLock()
        self.inside: set[str] = set()
        self.release: dict[str, asyncio.Event] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}

    async def enter(self, name: str, alone: bool) -> None:
        self.release[name] = asyncio.Event()
        hold = self.lock.exclusive() if alone else self.lock.shared()
        self.tasks[name] = asyncio.get_running_loop().create_task(self._run(name, hold))
        await _settle()

    async def leave(self, name: str) -> None:
        self.release[name].set()
        await _settle()

    async def cancel(self, name: str) -> None:
        self.tasks[name].cancel()
        await _settle()

    async def _run(self, name: str, hold: contextlib.AbstractAsyncContextManager[None]) -> None:
        async with hold:
            self.inside.add(name)
            try:
                await self.release[name].wait()
            finally:
                self.inside.discard(name)


async def _settle() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


async def test_exclusive_holder_waits_for_shared_ones_and_blocks_later_ones() -> None:
    holders = _Holders()
    await holders.enter("a", alone=False)
    await holders.enter("b", alone=False)
    assert holders.inside == {"a", "b"}
    await holders.enter("suspect", alone=True)
    await holders.enter("late", alone=False)
    assert holders.inside == {"a", "b"}
    await holders.leave("a")
    await holders.leave("b")
    assert holders.inside == {"suspect"}
    await holders.leave("suspect")
    assert holders.inside == {"late"}


async def test_exclusive_holders_run_one_after_the_other() -> None:
    holders = _Holders()
    await holders.enter("one", alone=True)
    await holders.enter("two", alone=True)
    assert holders.inside == {"one"}
    await holders.leave("one")
    assert holders.inside == {"two"}


async def test_cancelled_exclusive_waiter_unblocks_shared_ones() -> None:
    holders = _Holders()
    await holders.enter("a", alone=False)
    await holders.enter("suspect", alone=True)
    await holders.enter("late", alone=False)
    await holders.cancel("suspect")
    assert holders.inside == {"a", "late"}
