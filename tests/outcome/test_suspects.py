import pytest

from vanillashore_outcome import CrashFinding, InFlightRequest, IsolationStatus, SuspectRegistry

A = InFlightRequest("a", "w")
B = InFlightRequest("b", "v")
A_TRIED = InFlightRequest("a", "w", on_trial=True)
B_TRIED = InFlightRequest("b", "v", on_trial=True)


@pytest.mark.parametrize(
    ("in_flight", "finding"),
    [
        ((A, B), CrashFinding((A, B), ())),
        ((A_TRIED,), CrashFinding((), (A_TRIED,))),
        ((A_TRIED, B), CrashFinding((B,), (A_TRIED,))),
        ((A_TRIED, B_TRIED), CrashFinding((A_TRIED, B_TRIED), ())),
        ((), CrashFinding((), ())),
    ],
)
def test_only_the_one_on_trial_is_convicted(
    in_flight: tuple[InFlightRequest, ...], finding: CrashFinding
) -> None:
    assert SuspectRegistry().find(in_flight) == finding


def test_standing_follows_crash_trial_and_time() -> None:
    book = SuspectRegistry()
    assert book.isolation_status(A, 0.0) is IsolationStatus.CLEAR
    book.note(CrashFinding((A, B), ()), 0.0)
    assert book.isolation_status(A, 1.0) is IsolationStatus.SUSPECT
    book.clear("a")
    assert book.isolation_status(A, 1.0) is IsolationStatus.CLEAR
    book.note(CrashFinding((), (B,)), 2.0)
    assert book.isolation_status(B, 3.0) is IsolationStatus.QUARANTINED
    assert book.isolation_status(B, 100_000.0) is IsolationStatus.CLEAR


def test_workspace_is_contained_after_three_different_convictions_for_a_while() -> None:
    book = SuspectRegistry()
    for number in range(3):
        for _ in range(5):
            book.convict(InFlightRequest(f"p{number}", "w"), 10.0 * number)
        expected = IsolationStatus.CONTAINED if number == 2 else IsolationStatus.CLEAR
        assert book.isolation_status(A, 10.0 * number) is expected
    assert book.isolation_status(B, 20.0) is IsolationStatus.CLEAR
    assert book.contained_for_s("w", 100.0) == 500.0
    assert book.isolation_status(A, 601.0) is IsolationStatus.CLEAR
