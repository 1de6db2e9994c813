"""Cold endpoints: what all entries together send to them, and when they count as cold."""

import asyncio
import random
from typing import Any

import attrs
import pytest

from vanillashore_gateway import (
    ColdBounds,
    Endpoint,
    Service,
    _calls,
    _slot_finder,
)
from vanillashore_gateway._balancing import Balancer
from vanillashore_gateway._cold_rates import ColdRates
from vanillashore_gateway._limit_requests import PermitRequest, decode_limit
from vanillashore_gateway._prefill_estimator import PrefillEstimator
from vanillashore_gateway._request_limits import NO_LIMIT
from vanillashore_standins import wait_until
from vanillashore_standins.limit_check import COLD_WINDOW_S, allowed_cold_requests, most_requests
from vanillashore_standins.limited_fleet import ENDPOINT, FAULTS, Fleet
from vanillashore_standins.platform_endpoint import EndpointStandIn
from vanillashore_standins.platform_rig import MODELS, ORDERS, PlatformRig, configuration
from vanillashore_standins.virtual_time import run_in_virtual_time


def _services(cold_per_s: float, **changes: Any) -> list[Service]:
    return [Service(name, cold_per_s=cold_per_s, **changes) for name in ("orders", MODELS)]


class ColdFleet(Fleet):
    """Entries that send to a cold endpoint, which names no limit."""

    def __init__(self, size: int, cold_per_s: float) -> None:
        self.cold_per_s = cold_per_s
        super().__init__(size, None)

    def start(self, name: str) -> None:
        super().start(name)
        cold = self.entries[name].limits.cold
        cold.update_services(_services(self.cold_per_s))
        cold.record_listed(attrs.evolve(ENDPOINT, cold_s=60.0))


@pytest.mark.parametrize("size", [1, 3, 28])
@pytest.mark.parametrize("cold_per_s", [0.5, 4.0, 12.0])
@pytest.mark.parametrize("fault", FAULTS)
def test_all_entries_together_keep_a_cold_rate_under_faults(
    size: int, cold_per_s: float, fault: Any
) -> None:
    """Guards against an overload of a cold endpoint, which crashes it."""

    async def main() -> None:
        fleet = ColdFleet(size, cold_per_s)
        load = asyncio.ensure_future(fleet.load(16.0, per_s=80.0))
        await asyncio.sleep(4.0)
        await fault(fleet)
        await load
        most = most_requests(fleet.arrivals, COLD_WINDOW_S)
        assert most <= allowed_cold_requests(cold_per_s)

    run_in_virtual_time(main())


def test_cold_rate_is_used_and_ends_with_the_cold_period() -> None:
    """Guards against a rate that starves a cold endpoint, or that outlives its period."""

    async def main() -> None:
        fleet = ColdFleet(3, 4.0)
        await fleet.load(20.0, max_wait_s=0.2)
        assert len(fleet.arrivals) >= 0.8 * 4.0 * 20.0
        await asyncio.sleep(60.0)
        assert [await fleet.send("e1") for _ in range(20)] == [None] * 20

    run_in_virtual_time(main())


def test_home_that_has_not_read_the_record_learns_the_rate_from_an_entry_that_has() -> None:
    """Guards against permits at full rate from a home that is late."""

    async def main() -> None:
        fleet = ColdFleet(3, 4.0)
        for entry in fleet.entries.values():
            entry.limits.cold.forget(ENDPOINT.instance)
        asker = next(name for name in fleet.entries if name != fleet.home)
        asker_cold = fleet.entries[asker].limits.cold
        asker_cold.record_written(attrs.evolve(ENDPOINT, cold_s=30.0))
        waits = [await fleet.send(asker) for _ in range(8)]
        assert most_requests(fleet.arrivals, COLD_WINDOW_S) <= allowed_cold_requests(4.0)
        assert waits[-1] is not None

    run_in_virtual_time(main())


def _cold(now: list[float], cold_per_s: float = 2.0, **bounds: float) -> ColdRates:
    cold = ColdRates(lambda: now[0], ColdBounds(**bounds))
    cold.update_services(_services(cold_per_s, cold_start_s=8.0))
    return cold


def _with(cold_s: float | None) -> Endpoint:
    return attrs.evolve(ENDPOINT, cold_s=cold_s)


def test_services_without_a_cold_rate_have_no_cold_endpoints() -> None:
    cold = _cold([0.0], cold_per_s=0.0)
    cold.record_written(_with(8.0))
    cold.record_answer(ENDPOINT, 8.0)
    assert cold.rate_per_s(ENDPOINT.start) is None
    assert cold.cold_endpoints == 0


def test_record_that_is_written_replaces_the_period_and_an_answer_only_extends_it() -> None:
    now = [0.0]
    cold = _cold(now)
    cold.record_written(_with(8.0))
    cold.record_written(_with(0.0))
    assert cold.rate_per_s(ENDPOINT.start) is None
    cold.record_answer(ENDPOINT, 5.0)
    cold.record_written(_with(0.0))
    cold.record_answer(ENDPOINT, 1.0)
    now[0] = 4.9
    assert cold.rate_per_s(ENDPOINT.start) == 2.0
    now[0] = 5.1
    assert cold.rate_per_s(ENDPOINT.start) is None


def test_snapshot_neither_shortens_a_period_nor_renews_it() -> None:
    """Guards against a restored store that forgets a cold endpoint, or makes it cold again."""
    now = [0.0]
    cold = _cold(now)
    cold.record_written(_with(8.0))
    cold.record_listed(_with(0.0))
    assert cold.rate_per_s(ENDPOINT.start) == 2.0
    now[0] = 9.0
    cold.record_listed(_with(0.0))
    assert cold.rate_per_s(ENDPOINT.start) is None


def test_period_from_a_snapshot_is_not_told_to_others() -> None:
    """Guards against an entry that starts and makes all endpoints cold again for all entries."""
    cold = _cold([0.0])
    cold.record_listed(_with(8.0))
    assert cold.rate_per_s(ENDPOINT.start) == 2.0
    assert cold.told(ENDPOINT.start)[0] == 0.0
    cold.record_written(_with(8.0))
    assert cold.told(ENDPOINT.start) == (8.0, 2.0)


def test_new_start_whose_record_tells_nothing_is_cold_for_the_services_time() -> None:
    now = [0.0]
    cold = _cold(now)
    cold.record_written(_with(None))
    now[0] = 7.9
    assert cold.rate_per_s(ENDPOINT.start) == 2.0
    now[0] = 8.1
    assert cold.rate_per_s(ENDPOINT.start) is None
    cold.record_written(_with(None))
    assert cold.rate_per_s(ENDPOINT.start) is None


@pytest.mark.parametrize(("overage", "rate"), [(1.5, 2.0), (3.0, 2.0), (0.75, 1.0)])
def test_lower_overage_lowers_the_rate(overage: float, rate: float) -> None:
    cold = _cold([0.0], overage=overage)
    cold.record_written(_with(8.0))
    assert cold.rate_per_s(ENDPOINT.start) == rate


@pytest.mark.parametrize("rest", [[], [8.0, 2.0], [8.0, 2.0, "later"]])
def test_cold_period_in_a_request_for_a_permit(rest: list[Any]) -> None:
    request = PermitRequest(9, ENDPOINT.start, NO_LIMIT, 0.25, *rest[:2])
    assert decode_limit(request.encode()) == request


def test_cold_endpoint_counts_as_slower() -> None:
    """Guards against a cold endpoint that is preferred because it is idle."""
    rng = random.Random(1)
    warm = attrs.evolve(ENDPOINT, instance="i-2")
    balancer = Balancer("dc-a", rng)
    balancer.is_cold = lambda endpoint: endpoint is ENDPOINT
    chosen = {balancer.choose([ENDPOINT, warm], (), 0.0, 0.1).instance for _ in range(9)}
    assert chosen == {"i-2"}
    estimator = PrefillEstimator(rng)
    estimator.is_cold = lambda endpoint: endpoint is ENDPOINT
    cold_s = estimator.expected_s(ENDPOINT, 3_000, 0.0)
    assert cold_s > 1.5 * estimator.expected_s(warm, 3_000, 0.0)


COLD_PER_S = 4.0


def _configuration(version: int = 1) -> dict[str, Any]:
    body = configuration(version)
    for service in body["services"]:
        service |= {"cold_start_s": 30.0, "cold_per_s": COLD_PER_S}
    return body


async def _chill(rig: PlatformRig, *endpoints: EndpointStandIn, cold_ms: int = 30_000) -> None:
    rig.store.put("op/config", _configuration(2))
    for endpoint in endpoints:
        endpoint.cold_ms = cold_ms
        rig.store.put(f"servers/{endpoint.instance}", endpoint.entry())
    gateways = [process.gateway for process in rig.processes]
    await wait_until(lambda: all(g.config_version == 2 for g in gateways))
    count = len(endpoints) if cold_ms else 0
    await wait_until(lambda: all(g.limits.cold.cold_endpoints == count for g in gateways))


def _most(endpoint: EndpointStandIn, since: float) -> int:
    times = [arrival.at for arrival in endpoint.arrivals if arrival.at >= since]
    return most_requests(times, COLD_WINDOW_S)


@pytest.mark.parametrize(
    ("path", "kind"),
    [
        ("/stock/1", "services"),
        ("/pay/1", "services"),
        ("/quote/1", "decodes"),
        ("/idea/1", "prefills"),
    ],
)
async def test_cold_endpoint_gets_no_more_than_its_rate_from_several_entries(
    path: str, kind: str
) -> None:
    """Judged by what the endpoint has seen in any second."""
    async with PlatformRig(services=1, prefills=1, decodes=1, entries=3) as rig:
        (cold,) = getattr(rig, kind)
        await _chill(rig, cold)
        since = asyncio.get_running_loop().time()

        async def ask(number: int) -> int:
            await asyncio.sleep(number * 0.02)
            if kind == "services":
                method = "GET" if path.startswith("/stock") else "POST"
                return (await rig.ask(method, path, f"id-{number}", entry=number % 3)).status
            return (await rig.generate(path, f"id-{number}", entry=number % 3)).status

        statuses = await asyncio.gather(*(ask(number) for number in range(120)))
        assert 1 <= _most(cold, since) <= allowed_cold_requests(COLD_PER_S)
        assert set(statuses) <= {200, 503}
        assert 200 in statuses


@pytest.fixture
def patience(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let requests wait for 18 s, so that one that is not refused at once gets 504 after 4 s."""
    monkeypatch.setattr(_calls, "MAX_QUEUE_SHARE", 20.0)
    monkeypatch.setattr(_slot_finder, "MAX_WAIT_TARGETS", 20.0)
    monkeypatch.setattr(_slot_finder, "MAX_WAIT_TIMEOUT_SHARE", 10.0)


async def test_excess_requests_are_refused_with_the_time_at_which_they_fit() -> None:
    """Guards against requests that wait in vain when all endpoints are cold."""
    async with PlatformRig(services=2) as rig:
        await _chill(rig, *rig.services)
        asking = [rig.ask("GET", "/stock/1", f"id-{n}") for n in range(60)]
        answers = await asyncio.gather(*asking)
        refused = [answer for answer in answers if answer.status == 503]
        assert refused
        assert all(b'"ran":"no"' in answer.body for answer in refused)
        assert all(float(answer.headers["retry-after"]) > 0.0 for answer in refused)


async def test_slot_reserved_before_an_engine_turned_cold_is_used_within_its_rate() -> None:
    """Guards against generations that had their permits before, and arrive together."""
    async with PlatformRig(prefills=1, decodes=1) as rig:
        prefill, decode = rig.prefills[0], rig.decodes[0]
        rig.store.put("op/config", _configuration(2))
        prefill.may_answer.clear()
        asking = [asyncio.ensure_future(rig.generate("/idea/1", f"id-{n}")) for n in range(5)]
        await wait_until(lambda: len(prefill.arrivals) == 5)
        await _chill(rig, decode)
        since = asyncio.get_running_loop().time()
        prefill.may_answer.set()
        await asyncio.gather(*asking)
        times = [arrival.at for arrival in decode.arrivals]
        # The home permits two at once; the others would exceed the bound together with them.
        assert most_requests([at for at in times if at < since + 0.2], COLD_WINDOW_S) <= 3


async def test_evacuated_endpoint_that_turned_cold_is_used_within_its_rate_when_it_is_back() -> (
    None
):
    async with PlatformRig(services=1, entries=2) as rig:
        await rig.evacuate("dc-a")
        await _chill(rig, *rig.services)
        await rig.evacuate()
        asking = [rig.ask("GET", "/stock/1", f"id-{n}", entry=n % 2) for n in range(60)]
        await asyncio.gather(*asking)
        assert 1 <= _most(rig.services[0], 0.0) <= allowed_cold_requests(COLD_PER_S)


async def test_entry_that_starts_knows_the_cold_endpoints_and_so_does_one_after_a_restore() -> None:
    async with PlatformRig(services=1) as rig:
        warm = rig.store.copy()
        await _chill(rig, *rig.services)
        await rig.start_entry("entry-2")
        assert [p.gateway.limits.cold.cold_endpoints for p in rig.processes] == [1, 1]
        rig.store.restore(warm)
        await wait_until(lambda: rig.process.gateway._snapshots_to_settle == 1)
        assert rig.process.gateway.limits.cold.cold_endpoints == 1


async def test_endpoint_that_states_in_an_answer_that_it_is_cold_counts_as_cold() -> None:
    async with PlatformRig(services=1) as rig:
        await _chill(rig)
        rig.services[0].states_cold_ms = 30_000
        assert (await rig.ask("GET", "/stock/1", "id-0")).status == 200
        since = asyncio.get_running_loop().time()
        await asyncio.gather(*(rig.ask("GET", "/stock/1", f"id-{n}") for n in range(1, 40)))
        assert 1 <= _most(rig.services[0], since) <= allowed_cold_requests(COLD_PER_S)


async def test_turning_cold_is_logged_and_counted(log_lines: list[dict[str, Any]]) -> None:
    async with PlatformRig(services=1) as rig:
        await _chill(rig, *rig.services)
        metrics = rig.process.gateway.metrics.render().decode()
        await _chill(rig, *rig.services, cold_ms=0)
    lines = [x for x in log_lines if x["message"] == "an endpoint has turned cold or warm"]
    assert [(x["endpoint"], x["is_cold"], x["per_s"]) for x in lines] == [
        ("s0", True, COLD_PER_S),
        ("s0", False, None),
    ]
    assert "vanillashore_endpoints_cold" in metrics
    assert ORDERS in {x["service"] for x in lines}
