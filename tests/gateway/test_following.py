"""Following the platform's store across outages, history loss and malformed values."""

import asyncio
import base64
import contextlib
import random
from typing import Any

import orjson
import pytest
from loguru import logger as log

from vanillashore_adapter import HttpStore
from vanillashore_gateway import (
    Change,
    Changes,
    ConfigWritten,
    EndpointRemoved,
    Snapshot,
    StoreUnavailableError,
    now,
)
from vanillashore_gateway._following import BATCH_DELAY_S, Follower
from vanillashore_gateway._gateway import MIN_OUTAGE_S
from vanillashore_standins import wait_until
from vanillashore_standins.platform_rig import KEY, ORDERS, PlatformRig, configuration, route
from vanillashore_standins.slow_link import SlowLink, StoreCall
from vanillashore_standins.virtual_time import run_in_virtual_time

LINK_BYTES_PER_S = 625_000  # 5 Mbit/s, the slowest link of an entry.
APPLY_LIMIT_S = 3.0  # Within which a change must be in force.


async def test_newer_configuration_is_applied_and_older_ones_are_ignored() -> None:
    async with PlatformRig(services=1) as rig:
        rig.store.put("op/config", configuration(5, tenants=[{"name": "other", "api_keys": ["k"]}]))
        await wait_until(lambda: rig.process.gateway.config_version == 5)
        assert (await rig.ask("GET", "/stock/1", "id-1", key=KEY)).status == 401
        rig.store.put("op/config", configuration(4))
        rig.store.put("servers/x", b"\xff not json")
        await wait_until(lambda: rig.store.calls.count("kv-watch") > 3)
        assert rig.process.gateway.config_version == 5
        assert (await rig.ask("GET", "/stock/1", "id-2", key=KEY)).status == 401


async def test_keys_of_others_that_change_all_the_time_do_not_speed_up_the_watch() -> None:
    """Guards against a billed call for each change of a key that a gateway does not use."""
    async with PlatformRig() as rig:
        await wait_until(lambda: rig.store.calls[-1] == "kv-watch")
        await wait_until(lambda: rig.process._follower.revision == rig.store.revision)
        rig.store.calls.clear()
        began = now()
        for number in range(100):
            rig.store.put("vanillashore/origins/x", {"number": number})
            await asyncio.sleep(0.01)
        assert rig.store.calls.count("kv-watch") <= 2 + (now() - began) / BATCH_DELAY_S


async def test_malformed_configuration_leaves_the_old_one_active() -> None:
    async with PlatformRig(services=1) as rig:
        rig.store.put("op/config", {"version": 9, "routes": "none"})
        rig.store.put("op/config", b"garbage")
        await wait_until(lambda: rig.store.calls.count("kv-watch") > 2)
        assert rig.process.gateway.config_version == 1
        assert (await rig.ask("GET", "/stock/1", "id-1")).status == 200


async def test_snapshot_is_read_again_after_history_loss() -> None:
    async with PlatformRig(services=2) as rig:
        await wait_until(lambda: rig.store.calls[-1] == "kv-watch")
        rig.store.faults.status = 503
        rig.store.put("op/config", configuration(7))
        rig.store.remove("servers/s0")
        rig.store.drop_history()
        rig.store.faults.status = 0
        await wait_until(lambda: rig.process.gateway.config_version == 7)


async def test_requests_are_served_during_a_store_outage_and_expired_endpoints_return() -> None:
    async with PlatformRig(services=2) as rig:
        await wait_until(lambda: rig.store.calls[-1] == "kv-watch")
        rig.store.faults.status = 503
        await wait_until(lambda: not rig.process._follower.contact.is_reached)
        rig.store.drop_history()
        for endpoint in rig.services:
            rig.store.remove(f"servers/{endpoint.instance}")
        assert (await rig.ask("POST", "/pay/1", "id-1", b"pay")).status == 200
        await asyncio.sleep(MIN_OUTAGE_S)
        rig.store.faults.status = 0
        await wait_until(lambda: rig.process._follower.contact.is_reached)
        assert (await rig.ask("POST", "/pay/1", "id-2", b"pay")).status == 200
        rig.store.put("servers/s0", rig.services[0].entry())
        await wait_until(lambda: len(rig.process.gateway.membership) == 1)
        assert rig.process.gateway.membership.get("s0") is not None


@pytest.mark.parametrize("is_silent", [False, True])
async def test_endpoint_removed_beside_a_cut_watch_is_dropped_at_once(is_silent: bool) -> None:
    async with PlatformRig(services=2) as rig:
        gateway, follower = rig.process.gateway, rig.process._follower
        for _ in range(3):
            follower._record_failure(StoreUnavailableError("the watch was cut"))
            follower._record_success()
        if is_silent:
            follower._succeeded_at = now() - MIN_OUTAGE_S
            follower._record_failure(StoreUnavailableError("no answer", was_silent=True))
            follower._record_success()
        gateway.apply_change(EndpointRemoved("s0"))
        assert (gateway.membership.get("s0") is not None) == is_silent
        await wait_until(lambda: gateway.membership.get("s0") is None)


async def test_malformed_endpoint_registrations_leave_the_others() -> None:
    async with PlatformRig(services=2) as rig:
        good = rig.services[0].entry()
        for number, bad in enumerate(
            [b"\x00", [1], good | {"state": "asleep"}, good | {"address": 7}, {"service": "orders"}]
        ):
            rig.store.put(f"servers/bad{number}", bad)
        rig.store.put("servers/s1", good | {"address": "nowhere"})
        await wait_until(lambda: rig.process.gateway.membership.get("s1") is None)
        assert len(rig.process.gateway.membership) == 1
        assert (await rig.ask("POST", "/pay/1", "id-1", b"pay")).status == 200


async def test_entry_registers_again_after_its_lease_expires() -> None:
    async with PlatformRig() as rig:
        key = "vanillashore/entries/entry-1"
        await wait_until(lambda: key in rig.store.items)
        first = rig.store.items[key].lease
        rig.store.end_lease(first)
        await wait_until(lambda: key in rig.store.items, wait_s=10.0)
        assert rig.store.items[key].lease != first


async def test_entry_without_a_configuration_refuses_with_503_and_is_not_ready() -> None:
    async with PlatformRig(services=1) as rig:
        rig.process.gateway._table = None
        answer = await rig.ask("GET", "/stock/1", "id-1")
        assert answer.status == 503
        assert b'"ran":"no"' in answer.body
        assert not rig.process.gateway.is_ready


async def test_silent_store_counts_as_unreachable() -> None:
    async with PlatformRig(services=1) as rig:
        await wait_until(lambda: rig.store.calls[-1] == "kv-watch")
        rig.store.faults.is_silent = True
        rig.store.put("op/config", configuration(3))
        await wait_until(lambda: not rig.process._follower.contact.is_reached, wait_s=8.0)
        rig.store.faults.is_silent = False
        await wait_until(lambda: rig.process.gateway.config_version == 3, wait_s=8.0)


async def test_duty_is_acquired_by_one_entry() -> None:
    async with PlatformRig() as rig:
        stores = [rig.new_client() for _ in range(3)]
        leases = [await store.grant_lease(5.0) for store in stores]
        fences = await asyncio.gather(
            *(store.acquire_duty("roles", f"e{i}", leases[i]) for i, store in enumerate(stores))
        )
        assert sum(fence is not None for fence in fences) == 1
        holder = next(i for i, fence in enumerate(fences) if fence is not None)
        rig.store.end_lease(leases[holder])
        other = (holder + 1) % 3
        again = await stores[other].acquire_duty("roles", f"e{other}", leases[other])
        assert again is not None
        assert again > fences[holder]


class _BusyStore:
    """A store that always has another change."""

    def __init__(self) -> None:
        self.calls = 0

    async def snapshot(self) -> Snapshot:
        return Snapshot(1, ())

    async def changes(self, after: int, wait_s: float, max_bytes: int) -> Changes:
        self.calls += 1
        return Changes(after + 1, (EndpointRemoved("x"),))


class _IgnoringListener:
    def apply_snapshot(self, snapshot: Snapshot) -> None: ...

    def apply_change(self, change: Change) -> None: ...

    def record_sync(self) -> None: ...

    def record_store_contact(self, is_reached: bool, lost_s: float = 0.0) -> None: ...


async def test_constant_changes_cost_two_calls_a_second_and_are_seen_within_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Changes must be applied within two seconds, and each call is billed."""
    now = 0.0
    pauses = []

    async def sleep(delay_s: float) -> None:
        nonlocal now
        now += delay_s
        pauses.append(delay_s)
        if now > 10.0:
            raise asyncio.CancelledError

    monkeypatch.setattr("vanillashore_gateway._following.asyncio.sleep", sleep)
    store = _BusyStore()
    follower = Follower(store, _IgnoringListener(), lambda: now, random.Random(1), watch_s=2.0)
    with pytest.raises(asyncio.CancelledError):
        await follower.run()
    assert store.calls <= 20
    assert max(pauses) <= 1.0


class _AwayStore:
    """A store that is out of reach."""

    async def snapshot(self) -> Snapshot:
        raise StoreUnavailableError("no answer")


async def test_outage_is_logged_again_every_few_seconds(monkeypatch: pytest.MonkeyPatch) -> None:
    now = 0.0
    lines = []

    async def sleep(delay_s: float) -> None:
        nonlocal now
        now += delay_s
        if now > 21.0:
            raise asyncio.CancelledError

    monkeypatch.setattr("vanillashore_gateway._following.asyncio.sleep", sleep)
    handler = log.add(lambda line: lines.append(line.record), level="WARNING")
    follower = Follower(
        _AwayStore(), _IgnoringListener(), lambda: now, random.Random(1), watch_s=2.0
    )
    follower.contact.is_reached = True
    with pytest.raises(asyncio.CancelledError):
        await follower.run()
    log.remove(handler)
    assert [line["message"] for line in lines] == [
        "lost contact with the store",
        *["still without contact with the store"] * 3,
    ]
    assert lines[-1]["extra"]["failures"] > 15
    assert lines[-1]["extra"]["reason"] == "no answer"


class _History:
    """A store's configuration key and its changes."""

    def __init__(self) -> None:
        self._rows: list[dict[str, Any]] = []
        self._changed = asyncio.Event()

    def put(self, config: dict[str, Any]) -> None:
        value = base64.b64encode(orjson.dumps(config)).decode()
        row = {"key": "op/config", "value": value, "revision": len(self._rows) + 1}
        self._rows.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, call: StoreCall) -> bytes:
        if call.path == "/-/kv-range":
            return orjson.dumps({"items": self._rows[-1:], "at": len(self._rows)})
        after = int(call.query["after"])
        if after == len(self._rows):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(call.query["wait_ms"]) / 1_000):
                    await self._changed.wait()
        return orjson.dumps({"events": self._rows[after:], "at": len(self._rows)})


class _VersionListener(_IgnoringListener):
    """Keeps the version of the last configuration and the time at which it arrived."""

    def __init__(self) -> None:
        self.version = 0
        self.changed_at = 0.0

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        for change in snapshot.items:
            self.apply_change(change)

    def apply_change(self, change: Change) -> None:
        if isinstance(change, ConfigWritten):
            self.version = change.config.version
            self.changed_at = asyncio.get_running_loop().time()


def _large_configuration(version: int) -> dict[str, Any]:
    return configuration(
        version, routes=[route(f"/{i}/", "idempotent", ORDERS) for i in range(1_400)]
    )


@pytest.mark.parametrize("versions", [1, 2, 4])
def test_large_configurations_arrive_over_a_slow_link_after_an_outage(
    versions: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def follow() -> None:
        history = _History()
        history.put(configuration(1))
        link = SlowLink(history.answer, bytes_per_s=LINK_BYTES_PER_S)
        monkeypatch.setattr("vanillashore_adapter._store.open_connection", link.open_connection)
        loop, listener = asyncio.get_running_loop(), _VersionListener()
        follower = Follower(
            HttpStore(("127.0.0.1", 1), 1.0), listener, loop.time, random.Random(1), watch_s=3.0
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.0)
        assert listener.version == 1
        link.go_down()
        await asyncio.sleep(5.0)
        for version in range(2, versions + 2):
            history.put(_large_configuration(version))
        link.come_up()
        began = loop.time()
        await asyncio.sleep(10.0)
        task.cancel()
        assert listener.version == versions + 1
        assert listener.changed_at - began <= APPLY_LIMIT_S

    run_in_virtual_time(follow())


@pytest.mark.parametrize("value", [b"\xff", b"{}", b"[1]", b'["host"]'])
async def test_malformed_record_of_another_entry_is_ignored(value: bytes) -> None:
    async with PlatformRig(services=1) as rig:
        rig.store.put("vanillashore/entries/other", value)
        rig.store.put("vanillashore/duties/other", b"\xff")
        rig.store.put("op/config", configuration(6))
        await wait_until(lambda: rig.process.gateway.config_version == 6)
        rig.store.drop_history()
        rig.store.put("op/config", configuration(7))
        await wait_until(lambda: rig.process.gateway.config_version == 7)


async def _pause_of(rig: PlatformRig) -> Follower:
    """Return the follower of a gateway while it waits before its next call."""
    follower = rig.process._follower
    rig.store.put("servers/x", b"\xff not json")
    await wait_until(lambda: follower.revision == rig.store.revision)
    rig.store.put("servers/x", b"\xff still not json")
    assert follower.revision < rig.store.revision
    return follower


async def test_catching_up_reads_changes_that_wait_for_the_next_batch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with PlatformRig() as rig:
        monkeypatch.setattr("vanillashore_gateway._following.BATCH_DELAY_S", 60.0)
        follower = await _pause_of(rig)
        assert await follower.catch_up()
        assert follower.revision == rig.store.revision


async def test_entry_does_not_count_as_up_to_date_until_a_restored_store_has_settled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a comparison of revisions from before and after a restore."""
    monkeypatch.setattr("vanillashore_gateway._following.RESTORE_SETTLE_S", 60.0)
    async with PlatformRig() as rig:
        follower = rig.process._follower
        await wait_until(lambda: follower.revision == rig.store.revision)
        rig.store.restore(rig.store.copy())
        assert not await follower.catch_up()
        await wait_until(lambda: follower.revision is not None)
        assert not await follower.catch_up()


@pytest.mark.parametrize("status", [429, 503])
async def test_entry_that_cannot_catch_up_does_not_press_the_store(status: int) -> None:
    async with PlatformRig() as rig:
        follower = await _pause_of(rig)
        rig.store.faults.status = status
        rig.store.calls.clear()
        assert not await follower.catch_up()
        assert len(rig.store.calls) <= 2
