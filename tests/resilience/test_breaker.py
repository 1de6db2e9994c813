"""Circuit breakers: when one opens, and how it closes again."""

import pytest

from vanillashore_resilience import Breaker

NAMES = [f"p{i}" for i in range(10)]


def test_consecutive_failures_open_the_breaker_and_one_probe_closes_it() -> None:
    breaker = Breaker()
    for _ in range(3):
        breaker.record_result("p0", False, 0.0)
    assert "p0" not in breaker.usable(NAMES, 0.5)
    assert "p0" in breaker.usable(NAMES, 1.0)
    breaker.record_selected("p0", 1.0)
    assert "p0" not in breaker.usable(NAMES, 1.1)
    breaker.record_result("p0", True, 1.2)
    assert "p0" in breaker.usable(NAMES, 1.2)


def test_a_failed_probe_extends_the_exclusion() -> None:
    breaker = Breaker()
    for now in (0.0, 0.0, 0.0, 1.0):
        breaker.record_result("p0", False, now)
    assert "p0" not in breaker.usable(NAMES, 2.5)
    assert "p0" in breaker.usable(NAMES, 3.0)


@pytest.mark.parametrize(("peer_failures", "out"), [(0, True), (1, False)])
def test_an_outlier_is_excluded_unless_its_peers_share_the_fault(
    peer_failures: int, out: bool
) -> None:
    breaker = Breaker()
    for _ in range(40):
        for name in NAMES:
            failures = 2 if name == "p0" else peer_failures
            for i in range(3):
                breaker.record_result(name, i < 3 - failures, 0.0)
    assert ("p0" not in breaker.usable(NAMES, 0.5)) is out


def test_the_breaker_never_excludes_most_of_a_pool() -> None:
    breaker = Breaker()
    for name in NAMES[:6]:
        for _ in range(3):
            breaker.record_result(name, False, 0.0)
    assert breaker.usable(NAMES, 0.5) == NAMES


def test_failure_share_halves_within_a_few_seconds_without_results() -> None:
    """Guards against a share that falls only with new results, which an avoided endpoint lacks."""
    breaker = Breaker()
    for _ in range(20):
        breaker.record_result("p0", False, 0.0)
    share = breaker.failure_share("p0", 0.0)
    assert share > 0.5
    assert breaker.failure_share("p0", 3.0) <= share / 2
    assert breaker.failure_share("p0", 12.0) == 0.0
