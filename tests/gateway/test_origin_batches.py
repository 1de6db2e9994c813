"""Batches, pace and repetition of the writes of stream origins, without a store."""

import pytest

from vanillashore_gateway._origin_batches import (
    BATCH_SIZE,
    LEASE_S,
    NEW_LEASE_EVERY_S,
    REWRITE_AFTER_S,
    WRITES_PER_S,
    OriginBatches,
    UnwrittenOrigin,
)
from vanillashore_gateway._stream_origins import MAX_ORIGINS, StreamOrigin

V1, V2 = StreamOrigin("llm", "v1"), StreamOrigin("llm", "v2")


def _item(name: str, until: float = 17.0, origin: StreamOrigin = V1) -> UnwrittenOrigin:
    return UnwrittenOrigin(name, origin, until)


def _write(batches: OriginBatches, now: float, entries: int = 1) -> list[str]:
    batch = batches.take(now)
    batches.record_written(batch, now, entries, calls=1)
    return [item.request_id for item in batch]


@pytest.mark.parametrize("entries", [3, 68, 370])
def test_all_entries_together_keep_to_the_write_rate(entries: int) -> None:
    """Guards against exceeding 150 writes a second, new leases included."""
    batches, now, calls = OriginBatches(), 0.0, 0
    for number in range(2_000):
        batches.add(_item(f"id-{number}", until=1_000.0))
    while now < 60.0:
        now = batches.next_at(now)
        is_new = batches.lease(now) is None
        if is_new:
            batches.set_lease(1, now)
        batch = batches.take(now)
        batches.record_written(batch, now, entries, calls=1 + is_new)
        calls += 1 + is_new
    assert (calls - 2) * entries <= WRITES_PER_S * now


def test_entry_that_has_just_started_writes_at_once_and_a_batch_has_a_limit() -> None:
    """Guards against a delayed first write and against transactions that the store rejects."""
    batches = OriginBatches()
    assert batches.next_at(5.0) is None
    for number in range(BATCH_SIZE + 1):
        batches.add(_item(f"id-{number}"))
    assert batches.next_at(5.0) == 5.0
    assert len(_write(batches, 5.0)) == BATCH_SIZE
    assert _write(batches, 6.0) == [f"id-{BATCH_SIZE}"]


def test_failed_batch_is_written_again_but_not_over_a_newer_origin_or_after_its_stream() -> None:
    """Guards against a retry that brings back an origin of an attempt that did not begin."""
    batches = OriginBatches()
    batches.add(_item("a", until=1.0))
    batches.add(_item("b"))
    failed = batches.take(0.0)
    batches.add(_item("b", origin=V2))
    batches.record_failure(failed, 0.0, share=1.0)
    assert 0.0 < batches.next_at(0.0) <= 1.0
    batch = batches.take(1.0)
    assert [(item.request_id, item.origin) for item in batch] == [("b", V2)]


def test_origin_of_a_stream_that_outlasts_its_lease_is_written_again() -> None:
    """Guards against an origin that expires while its stream goes on."""
    batches = OriginBatches()
    batches.add(_item("short", until=17.0))
    batches.add(_item("long", until=100.0))
    _write(batches, 0.0)
    written_at = [0.0]
    while (at := batches.next_at(written_at[-1])) is not None and at < 100.0:
        assert _write(batches, at) in (["long"], [])
        written_at.append(at)
    gaps = [b - a for a, b in zip(written_at, written_at[1:], strict=False)]
    assert written_at[-1] + REWRITE_AFTER_S >= 100.0
    assert max(gaps) <= LEASE_S - NEW_LEASE_EVERY_S


@pytest.mark.parametrize("is_in_flight", [False, True])
def test_origins_are_written_again_after_a_restore(is_in_flight: bool) -> None:
    """Guards against origins that a restored store has lost, or has under a lease of others."""
    batches = OriginBatches()
    batches.set_lease(7, 0.0)
    batches.add(_item("a"))
    batch = batches.take(0.0)
    if not is_in_flight:
        batches.record_written(batch, 0.0, 1, 1)
    batches.record_restore()
    if is_in_flight:
        batches.record_written(batch, 0.0, 1, 1)
    assert batches.lease(1.0) is None
    assert _write(batches, 1.0) == ["a"]


def test_lease_is_replaced_before_it_could_end_under_a_stream() -> None:
    """Guards against origins written under a lease that is about to end."""
    batches = OriginBatches()
    batches.set_lease(7, 0.0)
    assert batches.lease(NEW_LEASE_EVERY_S - 0.1) == 7
    assert batches.lease(NEW_LEASE_EVERY_S) is None


def test_memory_is_bounded_while_the_store_is_away() -> None:
    """Guards against a table that clients can fill."""
    batches = OriginBatches()
    for number in range(MAX_ORIGINS + 10):
        batches.add(_item(f"id-{number}"))
    batches.record_failure([_item("old")], 0.0, 0.5)
    assert len(batches) == MAX_ORIGINS
