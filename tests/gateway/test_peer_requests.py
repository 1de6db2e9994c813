"""Requests between entries, and the answers that belong to them."""

import asyncio
from typing import Any

from vanillashore_gateway._peer_requests import PeerRequests


class _Transport(asyncio.DatagramTransport):
    """Collects the numbers of the requests sent."""

    def __init__(self) -> None:
        super().__init__()
        self.numbers: list[int] = []

    def sendto(self, data: bytes, addr: Any = None) -> None:
        self.numbers.append(int(data))


async def _ask_first(answer_number: int | None = None) -> tuple[str | None, int]:
    """Start a process and ask once; return the answer and the request's number."""
    requests: PeerRequests[str] = PeerRequests(lambda: 0.0, 0.02)
    transport = _Transport()
    requests.transport = transport
    requests.update_entries({"home": ("127.0.0.1", 1)})
    asking = asyncio.ensure_future(requests.ask("home", lambda number: b"%d" % number))
    await asyncio.sleep(0)
    number = transport.numbers[0] if answer_number is None else answer_number
    requests.resolve(number, "answer")
    return await asking, transport.numbers[0]


async def test_late_answer_to_an_earlier_start_of_the_process_is_dropped() -> None:
    answer, number = await _ask_first()
    assert answer == "answer"
    assert (await _ask_first(number))[0] is None
