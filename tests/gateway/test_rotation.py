"""Notices of stopping entries, and the Retry-After that follows from them."""

import asyncio

import pytest

from vanillashore_gateway._rotation import RESTART_S, Rotation, StoppingNotice
from vanillashore_standins.virtual_time import run_in_virtual_time

ENTRIES = {name: ("127.0.0.1", port) for port, name in enumerate("abc", start=1)}
SOON_S = 0.1


class _Network(asyncio.DatagramTransport):
    """Delivers datagrams to the rotations of the entries, by port."""

    def __init__(self, rotations: dict[str, Rotation]) -> None:
        super().__init__()
        self._by_address = {ENTRIES[name]: rotation for name, rotation in rotations.items()}

    def sendto(self, data: bytes, addr: tuple[str, int] | None = None) -> None:
        if addr in self._by_address:
            self._by_address[addr].datagram_received(data, ("127.0.0.1", 0))


def _rotations() -> dict[str, Rotation]:
    clock = asyncio.get_running_loop().time
    rotations = {name: Rotation(name, clock) for name in ENTRIES}
    for rotation in rotations.values():
        rotation.update_entries(ENTRIES)
        rotation.connection_made(_Network(rotations))
    return rotations


def test_refused_caller_returns_at_once_while_another_entry_is_in_rotation() -> None:
    async def stop_two() -> None:
        rotations = _rotations()
        tasks = [asyncio.create_task(rotations[name].announce_stop(3.0, 7.0)) for name in "ab"]
        await asyncio.sleep(3.0)
        assert [rotations[name].retry_after_s(SOON_S) for name in "ab"] == [SOON_S, SOON_S]
        for task in tasks:
            task.cancel()

    run_in_virtual_time(stop_two())


def test_refused_caller_returns_when_the_first_entry_is_back_if_all_stop() -> None:
    async def stop_all() -> None:
        rotations = _rotations()
        ends = {"a": 7.0, "b": 8.0, "c": 9.0}
        tasks = [
            asyncio.create_task(rotations[name].announce_stop(end - 4.0, end))
            for name, end in ends.items()
        ]
        await asyncio.sleep(5.5)
        for rotation in rotations.values():
            # Entry c was still in rotation until 5.0 s.
            assert rotation.retry_after_s(SOON_S) == pytest.approx(7.0 + RESTART_S - 5.5)
        for task in tasks:
            task.cancel()

    run_in_virtual_time(stop_all())


def test_entry_counts_as_back_after_its_restart() -> None:
    now = 0.0
    rotation = Rotation("a", lambda: now)
    rotation.update_entries({"a": ENTRIES["a"], "b": ENTRIES["b"]})
    rotation.datagram_received(StoppingNotice("b", 1.0, 5.0).encode(), ENTRIES["b"])
    assert rotation.retry_after_s(SOON_S) == SOON_S
    assert rotation.stopping_share() == 0.5
    now = 1.0
    assert rotation.retry_after_s(SOON_S) == 4.0 + RESTART_S
    assert rotation.stopping_share() == 0.0
    now = 5.0 + RESTART_S
    assert rotation.retry_after_s(SOON_S) == SOON_S


@pytest.mark.parametrize(
    "data", [b'["stopping"', b'["stopping",1,2.0,3.0]', b'["stopping","b",2.0]']
)
def test_malformed_notice_is_ignored(data: bytes) -> None:
    rotation = Rotation("a", lambda: 0.0)
    rotation.update_entries(ENTRIES)
    rotation.datagram_received(data, ENTRIES["b"])
    assert rotation.retry_after_s(SOON_S) == SOON_S


def test_refused_caller_returns_in_time_to_an_entry_that_ended_early() -> None:
    now = 0.0
    rotation = Rotation("a", lambda: now)
    rotation.update_entries({"a": ENTRIES["a"], "b": ENTRIES["b"]})
    for name in "ab":
        rotation.datagram_received(StoppingNotice(name, 3.0, 7.0).encode(), ENTRIES[name])
    now = 4.0
    assert rotation.retry_after_s(SOON_S) == pytest.approx(3.0 + RESTART_S)
    rotation.update_entries({"a": ENTRIES["a"]})
    assert rotation.retry_after_s(SOON_S) == pytest.approx(RESTART_S)
    now = 4.5
    rotation.update_entries({"a": ENTRIES["a"], "b": ENTRIES["b"]})
    assert rotation.retry_after_s(SOON_S) == SOON_S


def test_change_of_the_list_does_not_return_a_stopping_entry_to_the_rotation() -> None:
    now = 0.0
    rotation = Rotation("a", lambda: now)
    rotation.update_entries({"a": ENTRIES["a"], "b": ENTRIES["b"]})
    rotation.datagram_received(StoppingNotice("b", 0.0, 7.0).encode(), ENTRIES["b"])
    rotation.update_entries(ENTRIES)
    rotation.update_entries({"a": ENTRIES["a"], "b": ENTRIES["b"]})
    assert rotation.retry_after_s(SOON_S) == pytest.approx(7.0 + RESTART_S)
