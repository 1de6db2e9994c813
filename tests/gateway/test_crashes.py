"""Requests that crash endpoints: counted over all entries, apart from requests run beside them."""

import asyncio

import attrs
import pytest

from vanillashore_gateway import Endpoint
from vanillashore_gateway._crashes import (
    CrashCleared,
    CrashMonitor,
    CrashReport,
    CrashTracker,
    RefusalNotice,
    SuspectNotice,
    decode_crash,
    fingerprint_of,
)
from vanillashore_gateway._generation import EARLY_RUN_S
from vanillashore_standins.platform_endpoint import EngineOptions, Fault
from vanillashore_standins.platform_rig import PlatformRig

POISON = fingerprint_of("w", b"/quote/1", b"poison")


class Fleet:
    """Entries whose datagrams are delivered at once, except to unreachable entries."""

    def __init__(self, size: int) -> None:
        self.now = 100.0
        self.unreachable: set[str] = set()
        self.entries = {f"e{i}": ("10.0.0.1", i) for i in range(size)}
        self.crashes = {name: CrashMonitor(name, lambda: self.now) for name in self.entries}
        for crashes in self.crashes.values():
            crashes.connection_made(_Transport(self))
            crashes.update_entries(self.entries)

    def crash(self, entry: str, instance: str, fingerprint: str = POISON) -> None:
        self.now += 2.0
        self.crashes[entry].record_crash(fingerprint, instance)

    def refusing_entries(self, fingerprint: str = POISON) -> set[str]:
        return {name for name, c in self.crashes.items() if c.is_refused(fingerprint)}


@attrs.frozen
class _Transport:
    fleet: Fleet

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        name = f"e{address[1]}"
        if name not in self.fleet.unreachable:
            self.fleet.crashes[name].datagram_received(data, address)


@pytest.mark.parametrize("size", [1, 4, 28])
def test_request_is_refused_everywhere_after_three_crashes_at_any_entries(size: int) -> None:
    fleet = Fleet(size)
    for number in range(3):
        assert not fleet.refusing_entries()
        fleet.crash(f"e{number % size}", f"i{number}")
    assert fleet.refusing_entries() == set(fleet.entries)


def test_unreachable_home_is_replaced_by_its_substitute() -> None:
    for home in range(4):
        fleet = Fleet(4)
        fleet.unreachable = {f"e{home}"}
        senders = [name for name in fleet.entries if name not in fleet.unreachable]
        for number, sender in enumerate(senders):
            fleet.crash(sender, f"i{number}")
        assert fleet.refusing_entries() >= set(senders)


def test_one_crash_counts_once_for_any_number_of_running_copies() -> None:
    fleet = Fleet(3)
    fleet.now += 10.0
    for entry in fleet.entries:
        for _ in range(3):
            fleet.crashes[entry].record_crash(POISON, "i0")
    assert not fleet.refusing_entries()
    fleet.crash("e0", "i0")
    fleet.crash("e1", "i0")
    assert fleet.refusing_entries() == set(fleet.entries)


def test_success_clears_a_request_that_only_ran_beside_the_cause() -> None:
    fleet = Fleet(3)
    for number in range(10):
        fleet.crash("e0", f"i{number}")
        fleet.crash("e0", f"j{number}")
        fleet.crashes["e0"].record_success(POISON)
    assert not fleet.refusing_entries()


@pytest.mark.parametrize("size", [2, 4, 28])
def test_success_at_any_entry_clears_a_request_that_many_callers_send(size: int) -> None:
    fleet = Fleet(size)
    for number in range(12):
        fleet.crash(f"e{number % size}", f"i{number}")
        if number % 2:
            fleet.crashes[f"e{(number * 5 + 1) % size}"].record_success(POISON)
    assert not fleet.refusing_entries()


def test_old_crashes_do_not_count() -> None:
    fleet = Fleet(3)
    for number in range(10):
        fleet.now += 200.0
        fleet.crash("e0", f"i{number}")
    assert not fleet.refusing_entries()


def test_refusal_ends_and_memory_is_bounded() -> None:
    tracker = CrashTracker()
    tracker.refuse(POISON, 0.0)
    assert tracker.is_refused(POISON, 599.0)
    assert not tracker.is_refused(POISON, 601.0)
    for number in range(12_000):
        tracker.record(str(number), "i", 0.0)
        tracker.refuse(str(number), 0.0)
    assert not tracker.is_suspect("0")
    assert not tracker.is_refused("0", 1.0)
    assert tracker.is_refused("11999", 1.0)


@pytest.mark.parametrize(
    "message",
    [CrashReport(POISON, "i1"), SuspectNotice(POISON), CrashCleared(POISON), RefusalNotice(POISON)],
)
def test_messages_are_decoded_as_they_were_encoded(message: object) -> None:
    assert message.encode().startswith(CrashMonitor.PREFIX)
    assert decode_crash(message.encode()) == message


@pytest.mark.parametrize("data", [b"", b'["crash"]', b'["crash over", 1]', b'["crash x", "a"]'])
def test_malformed_datagram_is_an_error(data: bytes) -> None:
    with pytest.raises(ValueError, match=r"."):
        decode_crash(data)


def test_fingerprint_differs_by_workspace_path_and_body() -> None:
    rows = [("w", b"/a", b"b"), ("v", b"/a", b"b"), ("w", b"/ab", b""), ("w", b"/a", b"c")]
    assert len({fingerprint_of(*row) for row in rows}) == 4


def test_fingerprint_differs_by_the_parts_of_the_prompt() -> None:
    rows = [(), ("c0", "1"), ("c0", "2"), ("c01",)]
    assert len({fingerprint_of("w", b"/a", b"", parts) for parts in rows}) == 4


@attrs.frozen
class _Down:
    """Replaces the check after a broken connection; the endpoints accept the next request."""

    is_down: bool

    async def __call__(self, endpoint: Endpoint) -> bool:
        return self.is_down


async def _send_repeatedly(rig: PlatformRig, is_down: bool) -> list[int]:
    """Send one request eight times to endpoints that all reset connections; return the statuses."""
    rig.process.gateway.crashes._is_down = _Down(is_down)
    for endpoint in rig.endpoints:
        endpoint.faults.extend([Fault.RESET_AFTER_RUN] * 20)
    statuses = []
    for number in range(8):
        if rig.services:
            answer = await rig.ask("GET", "/stock/1", f"id-{number}", b"poison")
        else:
            answer = await rig.generate("/idea/1", f"id-{number}")
        statuses.append(answer.status)
        await asyncio.gather(*rig.process.gateway.crashes._checks)
    assert (b"crashes_endpoints" in answer.body) is is_down
    return statuses


async def test_request_that_crashes_each_endpoint_stops_reaching_them() -> None:
    async with PlatformRig(services=6) as rig:
        statuses = await _send_repeatedly(rig, is_down=True)
        assert statuses[-1] == 503
        runs = sum(len(rig.arrivals(f"id-{number}")) for number in range(8))
        assert (
            runs <= 3 + 1
        )  # The last request may already be running as the third endpoint crashes.
        for endpoint in rig.services:
            endpoint.faults.clear()
        assert (await rig.ask("GET", "/stock/1", "id-other", b"fine")).status == 200


async def test_stream_that_crashes_each_engine_stops_reaching_them() -> None:
    async with PlatformRig(decodes=6) as rig:
        assert (await _send_repeatedly(rig, is_down=True))[-1] == 503


async def test_streams_that_have_begun_are_not_suspect_of_crashes() -> None:
    async with PlatformRig(decodes=6, engine=EngineOptions(pause_s=2 * EARLY_RUN_S)) as rig:
        rig.process.gateway.crashes._is_down = _Down(True)
        for endpoint in rig.endpoints:
            endpoint.faults.extend([Fault.BREAKS_MID_EVENT] * 20)
        statuses = []
        for number in range(8):
            statuses.append((await rig.generate("/idea/1", f"id-{number}")).status)
            await asyncio.gather(*rig.process.gateway.crashes._checks)
        assert statuses == [200] * 8


async def test_lost_answers_of_running_endpoints_refuse_no_request() -> None:
    async with PlatformRig(services=6) as rig:
        assert 503 not in await _send_repeatedly(rig, is_down=False)


async def test_endpoint_is_down_if_it_refuses_connections() -> None:
    async with PlatformRig(services=1) as rig:
        endpoint = rig.process.gateway.membership.get("s0")
        is_down_check = rig.process.gateway.crashes._is_down
        assert not await is_down_check(endpoint)
        assert await is_down_check(attrs.evolve(endpoint, port=1))


def _restart(fleet: Fleet, name: str) -> None:
    """Replace an entry by a new process, which the others greet as it registers."""
    restarted = CrashMonitor(name, lambda: fleet.now)
    fleet.crashes[name] = restarted
    restarted.connection_made(_Transport(fleet))
    restarted.update_entries(fleet.entries)
    for other, crashes in fleet.crashes.items():
        if other != name:
            crashes.greet(name)


@pytest.mark.parametrize("size", [2, 4, 28])
def test_restarted_entries_refuse_what_crashed_endpoints_before(size: int) -> None:
    fleet = Fleet(size)
    for number in range(3):
        fleet.crash("e0", f"i{number}")
    for name in fleet.entries:
        _restart(fleet, name)
        assert name in fleet.refusing_entries()


def test_refusal_ends_in_time_although_entries_restart_again_and_again() -> None:
    fleet = Fleet(4)
    for number in range(3):
        fleet.crash("e0", f"i{number}")
    for _ in range(7):
        fleet.now += 100.0
        for name in fleet.entries:
            _restart(fleet, name)
    assert not fleet.refusing_entries()


def test_restarted_entry_is_told_of_each_refusal_by_a_few_entries() -> None:
    fleet = Fleet(28)
    for number in range(3):
        fleet.crash("e0", f"i{number}")
    sent = 0
    for other, crashes in fleet.crashes.items():
        transport = _Counter()
        crashes.connection_made(transport)
        if other != "e5":
            crashes.greet("e5")
        sent += transport.count
    assert 1 <= sent <= 4


class _Counter:
    def __init__(self) -> None:
        self.count = 0

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.count += 1


async def _crash_after_events(rig: PlatformRig, tries: int, event_count: int) -> list[int]:
    """Send a request that crashes each engine after its first events; return the statuses."""
    for engine in rig.decodes:
        engine.engine.crash_after = event_count
        engine.crash_parts = {"bad"}
        engine.down_s = 0.2
    statuses = []
    for number in range(tries):
        answer = await rig.generate("/idea/1", f"id-{number}", X_Prompt_Prefix="bad:900,own:100")
        statuses.append(answer.status)
        await asyncio.sleep(0.5)
    return statuses


async def test_request_that_crashes_engines_after_its_first_event_is_refused() -> None:
    async with PlatformRig(decodes=2) as rig:
        await _crash_after_events(rig, 6, 1)
        assert sum(len(engine.crashes) for engine in rig.decodes) == 3
        answer = await rig.generate("/idea/1", "id-last", X_Prompt_Prefix="bad:900,own:100")
        assert b"crashes_endpoints" in answer.body


async def test_stream_that_was_under_way_for_long_is_not_refused_for_crashes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("vanillashore_gateway._generation.EARLY_RUN_S", 0.0)
    async with PlatformRig(decodes=2) as rig:
        statuses = await _crash_after_events(rig, 6, 2)
        assert statuses == [200] * 6
        assert sum(len(engine.crashes) for engine in rig.decodes) == 6
