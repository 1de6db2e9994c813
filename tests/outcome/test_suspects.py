import pytest

from vanillashore_outcome import CrashFinding, InFlightRequest, IsolationStatus, SuspectRegistry

A = InFlightRequest("a", "w")
B = InFlightRequest("b", "v")
A_ON_TRIAL = InFlightRequest("a", "w", on_trial=True)
B_ON_TRIAL = InFlightRequest("b", "v", on_trial=True)


@pytest.mark.parametrize(
    ("in_flight", "finding"),
    [
        ((A, B), CrashFinding((A, B), ())),
        ((A_ON_TRIAL,), CrashFinding((), (A_ON_TRIAL,))),
        ((A_ON_TRIAL, B), CrashFinding((B,), (A_ON_TRIAL,))),
        ((A_ON_TRIAL, B_ON_TRIAL), CrashFinding((A_ON_TRIAL, B_ON_TRIAL), ())),
        ((), CrashFinding((), ())),
    ],
)
def test_only_a_sole_request_on_trial_is_convicted(
    in_flight: tuple[InFlightRequest, ...], finding: CrashFinding
) -> None:
    assert SuspectRegistry().assess_crash(in_flight) == finding


def test_isolation_status_follows_crashes_trials_and_time() -> None:
    registry = SuspectRegistry()
    assert registry.isolation_status(A, 0.0) is IsolationStatus.CLEAR
    registry.record_finding(CrashFinding((A, B), ()), 0.0)
    assert registry.isolation_status(A, 1.0) is IsolationStatus.SUSPECT
    registry.clear("a")
    assert registry.isolation_status(A, 1.0) is IsolationStatus.CLEAR
    registry.record_finding(CrashFinding((), (B,)), 2.0)
    assert registry.isolation_status(B, 3.0) is IsolationStatus.QUARANTINED
    assert registry.isolation_status(B, 100_000.0) is IsolationStatus.CLEAR


def test_workspace_is_contained_for_a_while_after_three_different_convictions() -> None:
    registry = SuspectRegistry()
    for number in range(3):
        for _ in range(5):
            registry.convict(InFlightRequest(f"p{number}", "w"), 10.0 * number)
        expected = IsolationStatus.CONTAINED if number == 2 else IsolationStatus.CLEAR
        assert registry.isolation_status(A, 10.0 * number) is expected
    assert registry.isolation_status(B, 20.0) is IsolationStatus.CLEAR
    assert registry.contained_for_s("w", 100.0) == 500.0
    assert registry.isolation_status(A, 601.0) is IsolationStatus.CLEAR
