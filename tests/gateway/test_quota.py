"""Rates of workspaces: what all entries together grant."""

import random

import pytest

from vanillashore_gateway import QuotaSettings, Workspace
from vanillashore_gateway._quota import QuotaBook

RATE = 47_000.0
SLACK = 190_000.0
WINDOW_S = 8.0
OVERAGE = 0.1
SPACE = Workspace("w", frozenset({"k"}), RATE, RATE, 200)


def _books(entries: int) -> list[QuotaBook]:
    books = [QuotaBook(QuotaSettings(WINDOW_S, SLACK)) for _ in range(entries)]
    for book in books:
        book.entries = entries
    return books


@pytest.mark.parametrize("entries", [1, 3, 4, 28])
@pytest.mark.parametrize("seed", range(5))
def test_no_window_gets_more_than_the_bound_from_all_entries(entries: int, seed: int) -> None:
    rng = random.Random(seed)
    books = _books(entries)
    granted: list[tuple[float, int]] = []
    for step in range(6_000):
        now = step * 0.005 + (3.0 if step > 3_000 else 0.0)
        tokens = rng.choice([200, 1_000, 4_500])
        if rng.choice(books).take(SPACE, tokens, now) is None:
            granted.append((now, tokens))
    bound = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + SLACK
    for start, _ in granted[::20]:
        assert sum(t for at, t in granted if start <= at < start + WINDOW_S) <= bound


def test_workspace_inside_its_rate_is_not_refused_through_uneven_entries() -> None:
    books = _books(4)
    rng = random.Random(1)
    refused = 0
    for step in range(2_000):
        now = step * 0.02
        book = rng.choices(books, [40, 30, 15, 15])[0]
        refused += book.take(SPACE, int(RATE * 0.02 / 1.8), now) is not None
    assert refused == 0


def test_refusal_tells_when_the_tokens_are_there() -> None:
    book = _books(1)[0]
    now = 0.0
    while (wait_s := book.take(SPACE, 4_500, now)) is None:
        pass
    assert book.take(SPACE, 4_500, now + wait_s + 1e-6) is None


def test_no_limit_grants_everything() -> None:
    free = Workspace("f", frozenset())
    assert all(_books(1)[0].take(free, 10**9, 0.0) is None for _ in range(10))


def test_request_larger_than_the_bucket_is_not_refused_for_ever() -> None:
    small = Workspace("s", frozenset(), tokens_per_s=10.0, burst_tokens=100.0)
    book = QuotaBook(QuotaSettings(WINDOW_S, 0.0))
    assert book.take(small, 500, 0.0) is None
    wait_s = book.take(small, 500, 0.0)
    assert wait_s is not None
    assert book.take(small, 500, wait_s + 1e-6) is None
