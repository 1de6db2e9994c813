"""Duplicates of one request: one runs as a probe until its first token, then all run."""

import asyncio

from vanillashore_node._duplicates import DuplicateGate, DuplicateRun


async def _settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


async def test_duplicates_wait_for_the_first_token_of_the_probe() -> None:
    duplicates = DuplicateGate()
    first = await duplicates.begin("f")
    others = [asyncio.ensure_future(duplicates.begin("f")) for _ in range(3)]
    await _settle()
    assert not any(task.done() for task in others)
    first.mark_harmless()
    await _settle()
    assert all(task.done() for task in others)


async def test_next_duplicate_becomes_the_probe_when_the_first_ends_without_a_token() -> None:
    duplicates = DuplicateGate()
    first = await duplicates.begin("f")
    others = [asyncio.ensure_future(duplicates.begin("f")) for _ in range(3)]
    await _settle()
    first.end()
    await _settle()
    assert [task.done() for task in others] == [True, False, False]
    for task in others:
        (await task).end()
        await _settle()


async def test_cancelled_waiting_duplicate_does_not_block_the_next() -> None:
    duplicates = DuplicateGate()
    first = await duplicates.begin("f")
    waiting = [asyncio.ensure_future(duplicates.begin("f")) for _ in range(2)]
    await _settle()
    waiting[0].cancel()
    await _settle()
    first.end()
    await _settle()
    assert waiting[1].done()


async def test_other_requests_do_not_wait_and_no_state_remains() -> None:
    duplicates = DuplicateGate()
    runs: list[DuplicateRun] = [await duplicates.begin(name) for name in ("a", "b")]
    for run in runs:
        run.end()
    assert duplicates._duplicates == {}
