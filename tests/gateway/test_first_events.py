"""When a generation without an event moves: in time for its target, but not from a sound engine."""

import pytest

from vanillashore_gateway._first_events import RESERVATION_S, first_event_wait_s
from vanillashore_gateway._prefill_estimator import FIRST_EVENT_S


@pytest.mark.parametrize("target_s", [0.913, 2.013])  # Of the routes that allow a second engine.
@pytest.mark.parametrize("elapsed_s", [0.0, 0.15, 0.3])
def test_generation_moves_in_time_for_its_target(target_s: float, elapsed_s: float) -> None:
    """A wait of 1.2 times the target makes each generation at a dark engine late."""
    second_read_s = 0.192  # 3,200 tokens at half of 33.3 tokens/ms.
    left_s = target_s - elapsed_s
    wait_s = first_event_wait_s(left_s, 0.0, second_read_s)
    assert wait_s + RESERVATION_S + second_read_s + FIRST_EVENT_S <= left_s + 1e-9


@pytest.mark.parametrize("left_s", [-1.0, 0.0, 0.4, 2.0])
@pytest.mark.parametrize("read_s", [0.0, 0.192, 0.8])
def test_engine_is_given_twice_its_expected_time(left_s: float, read_s: float) -> None:
    """Moves from engines that are merely busy would use up the retries and the slots."""
    assert first_event_wait_s(left_s, read_s, read_s) >= 2 * (read_s + FIRST_EVENT_S)
