"""Entries in trouble whose datagrams name something new each time: what is kept has a bound."""

import itertools
import tracemalloc
from collections.abc import Callable

import orjson
import pytest

from vanillashore_gateway._peers import MAX_DATAGRAM_BYTES, PeerSocket
from vanillashore_standins.platform_rig import MODELS, ORDERS, WORKSPACE, PlatformRig

SENDER = ("127.0.0.1", 9)
COUNT = 12_000  # More than most tables keep.
MAX_WAITING = 200  # The time of an ask grows with the queue.
NAME_BYTES = 150
GROWTH_BYTES = COUNT // 2 * NAME_BYTES  # One new name in each datagram would take more.
LIMIT = [0.5, 1.0, "node", 1]

_numbers = itertools.count(1)


def _name() -> str:
    return f"{next(_numbers):09}".ljust(NAME_BYTES, "x")


def _slot_ask(service: str) -> list[object]:
    ask = [1, 9_000, 100, 1e6, 1e6, 1e6, _name(), _name(), _name(), [], False]
    return ["slot ask", service, next(_numbers), 10_000, ask]


KINDS: dict[str, Callable[[], list[object]]] = {
    "stopping": lambda: ["stopping", _name(), 5.0, 1e6],
    "role change": lambda: ["role change", _name(), 1, "prefill"],
    "slot ask, other services": lambda: _slot_ask(_name()),
    "slot ask": lambda: _slot_ask(MODELS),
    "slot end": lambda: ["slot end", _name(), next(_numbers)],
    "prefill": lambda: ["prefill", next(_numbers), _name(), [9, 0.9, 0.8, 0.2, "dc-a"], [_name()]],
    "prefill, one service": lambda: [
        "prefill",
        next(_numbers),
        MODELS,
        [9, 0.9, 0.8, 0.2, "d"],
        [],
    ],
    "crash": lambda: ["crash", _name(), _name()],
    "crash suspect": lambda: ["crash suspect", _name()],
    "crash refuse": lambda: ["crash refuse", _name(), 1e6],
    "part crash": lambda: ["part crash", _name(), _name(), [_name()], [_name()]],
    "part suspects": lambda: ["part suspects", [_name()]],
    "part block": lambda: ["part block", _name(), 1, _name(), [_name()], 0, 0.0],
    "origin": lambda: ["origin", next(_numbers), _name(), [ORDERS, "v1"], 1e6],
    "retry ask": lambda: ["retry ask", next(_numbers), _name(), 1.0],
    "retry surplus": lambda: ["retry surplus", _name(), 1.0],
    "ask": lambda: ["ask", next(_numbers), _name(), 1, 1],
    "ask, one workspace": lambda: ["ask", next(_numbers), WORKSPACE, 1, 1],
    "listed?": lambda: ["listed?", next(_numbers), _name()],
    "unknown": lambda: [_name(), _name()],
}


@pytest.mark.parametrize("kind", KINDS)
async def test_names_without_end_take_no_more_memory_at_some_point(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that runs out of memory by what another entry names."""
    monkeypatch.setattr("vanillashore_gateway._slot_schedule.MAX_WAITING", MAX_WAITING)
    async with PlatformRig(services=1, prefills=1, decodes=1) as rig:
        sock = PeerSocket(rig.process.gateway.peer_handlers, lambda: None)

        def receive(count: int) -> int:
            for _ in range(count):
                sock.datagram_received(orjson.dumps(KINDS[kind]()), SENDER)
            return tracemalloc.get_traced_memory()[0]

        tracemalloc.start()
        try:
            first = receive(2 * COUNT if kind == "origin" else COUNT)
            assert receive(COUNT // 2) - first < GROWTH_BYTES
        finally:
            tracemalloc.stop()


@pytest.mark.parametrize(("excess", "count"), [(0, 0), (1, 1)])
async def test_datagram_is_accepted_up_to_its_bound(excess: int, count: int) -> None:
    async with PlatformRig() as rig:
        ignored: list[bool] = []
        sock = PeerSocket(rig.process.gateway.peer_handlers, lambda: ignored.append(True))
        data = orjson.dumps(["crash suspect", "f"])
        padding = b" " * (MAX_DATAGRAM_BYTES + excess - len(data))
        sock.datagram_received(data + padding, SENDER)
        assert len(ignored) == count
