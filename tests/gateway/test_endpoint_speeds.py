"""Speeds of endpoints: reports, their age, and what answers teach."""

import pytest

from vanillashore_gateway import Endpoint
from vanillashore_gateway._endpoint_speeds import EndpointSpeeds, StepTimer

ENDPOINTS = [Endpoint(f"e{i}", "s", "10.0.0.1", 80, "dc-0", 8) for i in range(4)]


def _learn(speeds: EndpointSpeeds, times_s: tuple[float, ...]) -> None:
    for _ in range(20):
        for endpoint, seconds in zip(ENDPOINTS, times_s, strict=True):
            speeds.record_time(endpoint, seconds, 0.0)


def test_report_counts_for_a_second_and_then_decays_to_the_learned_speed() -> None:
    """Guards against decisions by a pace that has changed many times since."""
    speeds = EndpointSpeeds()
    speeds.record_pace(ENDPOINTS[0], 2.5, 0.0)
    assert speeds.slowness(ENDPOINTS[0], 1.0) == 2.5
    assert speeds.slow_endpoints(1.0) == 1
    assert speeds.slow_endpoints(10.0) == 0
    assert 1.0 < speeds.slowness(ENDPOINTS[0], 1.5) < 2.5
    assert speeds.slowness(ENDPOINTS[0], 10.0) == pytest.approx(1.0, abs=0.01)
    _learn(speeds, (0.10, 0.05, 0.05, 0.05))
    assert speeds.slowness(ENDPOINTS[0], 0.0) == 2.5
    speeds.forget("e0")
    _learn(speeds, (0.10, 0.05, 0.05, 0.05))
    assert speeds.slowness(ENDPOINTS[0], 0.0) == 2.0
    assert speeds.slowness(ENDPOINTS[0], 60.0) == 1.0


@pytest.mark.parametrize(("pace", "slowness"), [(0.0, 0.1), (1e9, 10.0)])
def test_wrong_paces_are_clamped(pace: float, slowness: float) -> None:
    """Guards against one wrong report that attracts or repels all requests."""
    speeds = EndpointSpeeds()
    speeds.record_pace(ENDPOINTS[0], pace, 0.0)
    assert speeds.slowness(ENDPOINTS[0], 0.0) == slowness


def test_speed_is_learned_without_reports_and_small_differences_count_as_none() -> None:
    """Guards against a change of placement where endpoints are even and report no pace."""
    speeds = EndpointSpeeds()
    _learn(speeds, (0.05, 0.06, 0.05, 0.15))
    assert [speeds.slowness(e, 0.0) for e in ENDPOINTS] == [1.0, 1.0, 1.0, 3.0]
    speeds.forget("e3")
    assert speeds.slowness(ENDPOINTS[3], 0.0) == 1.0


@pytest.mark.parametrize(
    ("events", "write_s", "step_s"), [(20, 0.0, 0.01), (5, 0.0, None), (20, 0.1, None)]
)
def test_step_time_ignores_short_streams_and_slow_readers(
    events: int, write_s: float, step_s: float | None
) -> None:
    """Guards against engines that appear slow because of their clients."""
    timer = StepTimer()
    for number in range(events + 1):
        timer.record_events(1, 5.0 + number * 0.01)
    timer.write_s = write_s
    assert timer.step_s == (step_s and pytest.approx(step_s))


@pytest.mark.parametrize(("stuck", "times_s", "slowness"), [(2.5, 0.05, 1.0), (1.001, 0.15, 3.0)])
def test_stuck_pace_is_corrected_by_answers(stuck: float, times_s: float, slowness: float) -> None:
    """Guards against an endpoint that is avoided or overloaded for good by a wrong report."""
    speeds = EndpointSpeeds()
    for _ in range(20):
        speeds.record_pace(ENDPOINTS[0], stuck, 0.0)
    assert speeds.slowness(ENDPOINTS[0], 0.0) == round(stuck, 1)
    _learn(speeds, (times_s, 0.05, 0.05, 0.05))
    assert speeds.slowness(ENDPOINTS[0], 0.0) == slowness
