"""Copies of one request: one goes ahead until its first token, then all run."""

import asyncio

from vanillashore_node._copies import CopyBook, CopyTurn


async def _settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


async def test_copies_wait_until_one_is_proved() -> None:
    copies = CopyBook()
    first = await copies.begin("f")
    others = [asyncio.ensure_future(copies.begin("f")) for _ in range(3)]
    await _settle()
    assert not any(task.done() for task in others)
    first.prove()
    await _settle()
    assert all(task.done() for task in others)


async def test_next_copy_leads_when_the_first_ends_without_a_token() -> None:
    copies = CopyBook()
    first = await copies.begin("f")
    others = [asyncio.ensure_future(copies.begin("f")) for _ in range(3)]
    await _settle()
    first.end()
    await _settle()
    assert [task.done() for task in others] == [True, False, False]
    for task in others:
        (await task).end()
        await _settle()


async def test_copy_that_is_cancelled_while_it_waits_leaves_its_place() -> None:
    copies = CopyBook()
    first = await copies.begin("f")
    waiting = [asyncio.ensure_future(copies.begin("f")) for _ in range(2)]
    await _settle()
    waiting[0].cancel()
    await _settle()
    first.end()
    await _settle()
    assert waiting[1].done()


async def test_other_requests_do_not_wait_and_nothing_is_kept() -> None:
    copies = CopyBook()
    turns: list[CopyTurn] = [await copies.begin(name) for name in ("a", "b")]
    for turn in turns:
        turn.end()
    assert copies._copies == {}
