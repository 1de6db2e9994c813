import pytest

from vanillashore_outcome import CrashFinding, Running, Standing, SuspectBook

A = Running("a", "w")
B = Running("b", "v")
A_TRIED = Running("a", "w", on_trial=True)
B_TRIED = Running("b", "v", on_trial=True)


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
    in_flight: tuple[Running, ...], finding: CrashFinding
) -> None:
    assert SuspectBook().find(in_flight) == finding


def test_standing_follows_crash_trial_and_time() -> None:
    book = SuspectBook()
    assert book.standing(A, 0.0) is Standing.CLEAR
    book.note(CrashFinding((A, B), ()), 0.0)
    assert book.standing(A, 1.0) is Standing.SUSPECT
    book.clear("a")
    assert book.standing(A, 1.0) is Standing.CLEAR
    book.note(CrashFinding((), (B,)), 2.0)
    assert book.standing(B, 3.0) is Standing.QUARANTINED
    assert book.standing(B, 100_000.0) is Standing.CLEAR


def test_workspace_is_contained_after_three_different_convictions_for_a_while() -> None:
    book = SuspectBook()
    for number in range(3):
        for _ in range(5):
            book.convict(Running(f"p{number}", "w"), 10.0 * number)
        expected = Standing.CONTAINED if number == 2 else Standing.CLEAR
        assert book.standing(A, 10.0 * number) is expected
    assert book.standing(B, 20.0) is Standing.CLEAR
    assert book.contained_for_s("w", 100.0) == 500.0
    assert book.standing(A, 601.0) is Standing.CLEAR
