"""Which generations a stopping entry accepts."""

import random

import pytest

from vanillashore_gateway import GatewaySettings, RefusalError
from vanillashore_gateway._process import working_time_s
from vanillashore_gateway._rotation import Rotation, StoppingNotice
from vanillashore_gateway._shutdown import REFUSAL_MARGIN_S, Shutdown

SERVICE = "models"
OUT_OF_ROTATION_AT = 3.0
ENDS_AT = 7.0
LAST_REFUSALS_AT = ENDS_AT - REFUSAL_MARGIN_S
FAR = 60.0


class _Entry:
    """An entry named a that stops at time 0, among ``entries``."""

    def __init__(self, entries: int, seconds: list[float]) -> None:
        self.now = 0.0
        names = "abcdefghij"[:entries]
        self.rotation = Rotation("a", lambda: self.now)
        self.rotation.update_entries(dict.fromkeys(names, ("127.0.0.1", 1)))
        self.shutdown = Shutdown(self.rotation, lambda: self.now, random.Random(1))
        for taken_s in seconds:
            self.shutdown.record_answer(SERVICE, taken_s)
        self.shutdown.begin(ENDS_AT, OUT_OF_ROTATION_AT)
        self.stop("a")

    def stop(self, name: str, out_of_rotation_at: float = OUT_OF_ROTATION_AT) -> None:
        notice = StoppingNotice(name, out_of_rotation_at, ENDS_AT)
        self.rotation.datagram_received(notice.encode(), ("127.0.0.1", 1))

    def accepts(
        self,
        now: float,
        received: float | None = None,
        give_up_at: float = FAR,
        wait_s: float = 0.0,
    ) -> bool:
        self.now = now
        received = now if received is None else received
        try:
            self.shutdown.check_generation(SERVICE, received, give_up_at, wait_s)
        except RefusalError as exc:
            refused = exc.refused
        else:
            return True
        assert refused.ran == "no"
        assert refused.retry_after_s > 0
        return False


@pytest.mark.parametrize("answer_s", [0.01, 2.0, 6.5])
def test_out_of_rotation_only_what_surely_ends_is_accepted(answer_s: float) -> None:
    entry = _Entry(entries=3, seconds=[answer_s] * 100)
    assert entry.accepts(3.1, give_up_at=LAST_REFUSALS_AT)
    assert not entry.accepts(3.1, give_up_at=LAST_REFUSALS_AT + 0.01)
    assert not entry.accepts(3.1)


def test_out_of_rotation_calls_are_accepted_if_they_surely_end() -> None:
    entry = _Entry(entries=3, seconds=[])
    entry.shutdown.check_arrival(received=2.9, give_up_at=FAR)
    entry.shutdown.check_arrival(received=3.1, give_up_at=LAST_REFUSALS_AT)
    with pytest.raises(RefusalError):
        entry.shutdown.check_arrival(received=3.1, give_up_at=LAST_REFUSALS_AT + 0.01)


def test_in_rotation_the_risk_of_a_cut_is_weighed_against_a_second_refusal() -> None:
    assert not _Entry(entries=10, seconds=[2.0] * 80 + [6.5] * 20).accepts(1.0)
    assert _Entry(entries=3, seconds=[2.0] * 80 + [6.5] * 20).accepts(1.0)


def test_in_rotation_an_answer_that_is_likely_to_be_cut_is_refused() -> None:
    entry = _Entry(entries=1, seconds=[2.0] * 70 + [6.5] * 30)
    assert entry.accepts(0.1)
    assert not entry.accepts(1.0)


def test_wait_for_a_slot_counts() -> None:
    entry = _Entry(entries=3, seconds=[4.0] * 100)
    assert entry.accepts(1.0)
    assert not entry.accepts(1.0, wait_s=2.5)


def test_generation_received_in_rotation_is_checked_again_by_that_time() -> None:
    entry = _Entry(entries=3, seconds=[2.0] * 90 + [6.5] * 10)
    for other in "bc":
        entry.stop(other, out_of_rotation_at=4.0)
    assert entry.accepts(3.5, received=2.9)
    assert not entry.accepts(3.5, received=3.1)


@pytest.mark.parametrize("answers", [0, 3])
def test_while_few_answers_are_known_usual_ones_are_assumed_in_rotation_only(answers: int) -> None:
    entry = _Entry(entries=3, seconds=[0.1] * answers)
    assert entry.accepts(2.9)
    assert not entry.accepts(2.9, wait_s=0.2)
    assert entry.accepts(3.1, give_up_at=LAST_REFUSALS_AT)
    assert not entry.accepts(3.1, give_up_at=LAST_REFUSALS_AT + 0.1)


@pytest.mark.parametrize("grace_s", [1.0, 3.0, 8.0, 30.0])
def test_answers_are_cut_in_the_last_sixth_of_the_grace_time_only(grace_s: float) -> None:
    assert grace_s * 5 / 6 < working_time_s(grace_s) < grace_s


def test_request_sent_three_seconds_after_a_signal_that_is_handled_late_is_out_of_rotation() -> (
    None
):
    address = ("127.0.0.1", 0)
    cfg = GatewaySettings("a", "dc-a", address, address, address, address)
    sent_after_s, handled_after_s = 3.0, 0.25
    assert sent_after_s > handled_after_s + cfg.rotation_s
