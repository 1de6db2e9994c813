"""Choice of endpoints by room, failures and distance."""

import random
from collections import Counter

import pytest

from vanillashore_gateway import Endpoint, Load
from vanillashore_gateway._balancing import Balancer

ENDPOINTS = [Endpoint(f"e{i}", "s", "10.0.0.1", 80, f"dc-{i}", 8) for i in range(3)]
SHARE = 1 / 8


def _balancer() -> Balancer:
    return Balancer("dc-0", random.Random(1))


def test_work_spreads_over_equal_endpoints() -> None:
    balancer = _balancer()
    for _ in range(24):
        balancer.begin(balancer.choose(ENDPOINTS, (), 0.0, SHARE), SHARE)
    assert {round(balancer.pressure(e, 0.0, SHARE), 3) for e in ENDPOINTS} == {1.0}


def test_nearest_endpoint_is_first_among_idle_ones() -> None:
    chosen = Counter(_balancer().choose(ENDPOINTS, (), 0.0, SHARE).instance for _ in range(20))
    assert chosen == {"e0": 20}


def test_near_endpoint_is_preferred_while_it_has_room() -> None:
    balancer = _balancer()
    chosen = []
    for _ in range(2):
        endpoint = balancer.choose(ENDPOINTS, (), 0.0, SHARE)
        balancer.begin(endpoint, SHARE)
        chosen.append(endpoint.instance)
    assert chosen == ["e0", "e0"]


def test_reported_load_counts_until_it_is_outdated() -> None:
    balancer = _balancer()
    balancer.record_load(ENDPOINTS[0], Load(6, 0, 8), 0.0)
    assert balancer.choose(ENDPOINTS, (), 0.5, SHARE).instance != "e0"
    assert balancer.choose(ENDPOINTS, (), 2.0, SHARE).instance == "e0"


def test_full_endpoint_is_avoided_for_a_moment() -> None:
    balancer = _balancer()
    balancer.record_full(ENDPOINTS[0], 0.0)
    assert balancer.choose(ENDPOINTS, (), 0.05, SHARE).instance != "e0"
    assert balancer.choose(ENDPOINTS, (), 1.0, SHARE).instance == "e0"


def test_endpoint_that_fails_often_gets_fewer_requests() -> None:
    balancer = _balancer()
    rng = random.Random(2)
    chosen: Counter[str] = Counter()
    for step in range(600):
        endpoint = balancer.choose(ENDPOINTS, (), step * 0.02, SHARE)
        chosen[endpoint.instance] += 1
        failed = endpoint.instance == "e0" and rng.random() < 0.4
        balancer.record_result(endpoint, not failed, step * 0.02)
    assert chosen["e0"] < 120


def test_unreachable_endpoint_is_excluded_at_once_unless_all_are() -> None:
    balancer = _balancer()
    balancer.record_unreachable(ENDPOINTS[0], 0.0)
    assert all(balancer.choose(ENDPOINTS, (), 0.1, SHARE).instance != "e0" for _ in range(20))
    balancer.record_unreachable(ENDPOINTS[1], 0.0)
    balancer.record_unreachable(ENDPOINTS[2], 0.0)
    assert balancer.choose(ENDPOINTS, (), 0.1, SHARE) is not None


@pytest.mark.parametrize("requests_per_s", [2, 400])
def test_endpoint_that_failed_for_12_s_gets_its_share_back(requests_per_s: int) -> None:
    """Guards against a failure share or an exclusion that outlives the fault by far.

    Of three endpoints in one data centre, one fails each request from 4 s to 16 s. Within 5 s of
    its recovery it must get two thirds of its even share, at light and at heavy load. While it
    fails it gets a quarter of its even share, or one request every 2 s, as probes.
    """
    endpoints = [Endpoint(f"e{i}", "s", "10.0.0.1", 80, "dc-0", 8) for i in range(3)]
    balancer = _balancer()
    running: list[tuple[float, Endpoint]] = []
    chosen: Counter[str] = Counter()
    during = 0
    for step in range(41 * requests_per_s):
        now = step / requests_per_s
        while running and running[0][0] <= now:
            ended_at, endpoint = running.pop(0)
            balancer.end(endpoint, SHARE)
            is_down = endpoint.instance == "e0" and 4.0 <= ended_at < 16.0
            balancer.record_result(endpoint, not is_down, ended_at)
        endpoint = balancer.choose(endpoints, (), now, SHARE)
        balancer.begin(endpoint, SHARE)
        running.append((now + 0.04, endpoint))
        if now >= 21.0:
            chosen[endpoint.instance] += 1
        elif 8.0 <= now < 16.0 and endpoint.instance == "e0":
            during += 1
    assert chosen["e0"] >= 2 / 3 * chosen.total() / 3
    assert during <= max(8 / 2, 8 * requests_per_s / 3 / 4)
