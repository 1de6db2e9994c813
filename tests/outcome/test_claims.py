"""Claims under random interleavings of lost, unanswered and late writes, crashes and duplicates."""

from collections.abc import Callable

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from vanillashore_outcome import Bar, ClaimUpdate, ClaimVerdict, End, Start, claim_name
from vanillashore_wire import CallDone, CallOrder, Claim, ClaimState, RouteClass

RUNS = ("run-a", "run-b")
FATES = ("answered", "lost after", "lost before", "late", "dies")


@attrs.define
class _Store:
    """One record changed by compare-and-swap, with writes that arrive late."""

    claim: Claim | None = None
    version: int = 0
    late: list[tuple[int, Claim]] = attrs.field(factory=list)

    def swap(self, version: int, claim: Claim) -> None:
        if version == self.version:
            self.claim = claim
            self.version += 1


@attrs.define
class _Scenario:
    store: _Store = attrs.field(factory=_Store)
    ran: list[str] = attrs.field(factory=list)
    barred: set[str] = attrs.field(factory=set)
    answers: list[str] = attrs.field(factory=list)


class _SideProcess:
    """A sidecar that was ordered to run ``run_id``."""

    def __init__(self, scenario: _Scenario, number: int, run_id: str) -> None:
        self._scenario = scenario
        self.start = Start("call", run_id, f"token-{number}", f"vm-{number}")
        self.process = ClaimUpdate(self.start)
        self._has_run = False

    def handle_verdict(self) -> None:
        verdict = self.process.verdict
        if verdict is ClaimVerdict.FINISHED:
            self._scenario.answers.append(self.process.current.answer.endpoint)
        if verdict is not ClaimVerdict.WON or self._has_run:
            return
        self._has_run = True
        self._scenario.ran.append(self.start.run_id)
        end = End(self.start, CallDone(200, (), "", self.start.owner))
        self.process = ClaimUpdate(end, self.process.current, self.process.version)


class _Entry:
    """An entry that tries to bar ``run_id`` so that it can report that the call did not run."""

    def __init__(self, scenario: _Scenario, run_id: str) -> None:
        self._scenario = scenario
        self._run_id = run_id
        self.process = ClaimUpdate(Bar("call", run_id))

    def handle_verdict(self) -> None:
        if self.process.verdict is ClaimVerdict.BARRED:
            assert not self._scenario.ran, "barred a run of a call that ran"
            self._scenario.barred.add(self._run_id)


def _step(scenario: _Scenario, actor: _SideProcess | _Entry, fate: str) -> bool:
    """Let an actor take one step; return whether it stays alive."""
    process = actor.process
    if process.write is None:
        return True
    if fate == "dies":
        return False
    if fate == "late":
        scenario.store.late.append((process.version, process.write))
    elif fate != "lost before":
        scenario.store.swap(process.version, process.write)
        if fate == "answered":
            process.apply_stored(scenario.store.claim, scenario.store.version)
            if process.verdict is not None:
                actor.handle_verdict()
    return True


def _check_steps(
    steps: list[tuple[int, str]], make: Callable[[_Scenario], list[_SideProcess | _Entry]]
) -> None:
    scenario = _Scenario()
    actors = dict(enumerate(make(scenario)))
    for index, fate in steps:
        if index >= len(actors) + 1 and scenario.store.late:
            scenario.store.swap(*scenario.store.late.pop(0))
        elif index in actors and not _step(scenario, actors[index], fate):
            actors[index].process.write = None
    assert len(scenario.ran) <= 1
    assert not scenario.barred & set(scenario.ran)
    assert len(set(scenario.answers)) <= 1


STEPS = st.lists(st.tuples(st.integers(0, 7), st.sampled_from(FATES)), max_size=40)


@settings(derandomize=True, max_examples=1_000, deadline=None)
@given(STEPS)
def test_a_call_runs_at_most_once_and_never_after_it_was_barred(
    steps: list[tuple[int, str]],
) -> None:
    _check_steps(
        steps,
        lambda scenario: [
            _SideProcess(scenario, 1, RUNS[0]),
            _SideProcess(scenario, 2, RUNS[0]),
            _SideProcess(scenario, 3, RUNS[1]),
            _SideProcess(scenario, 4, RUNS[1]),
            _Entry(scenario, RUNS[0]),
            _Entry(scenario, RUNS[1]),
        ],
    )


def _claim_record(state: ClaimState, **fields: object) -> Claim:
    return attrs.evolve(Claim(state, "call", "run-a", "token-a", "vm-a"), **fields)


ANSWER = CallDone(200, (), "", "vm-a")


@pytest.mark.parametrize(
    ("current", "verdict"),
    [
        (_claim_record(ClaimState.RUNNING), ClaimVerdict.RUNNING),
        (_claim_record(ClaimState.RUNNING, token="token-b"), ClaimVerdict.WON),
        (_claim_record(ClaimState.FINISHED, answer=ANSWER), ClaimVerdict.FINISHED),
        (_claim_record(ClaimState.UNKNOWN), ClaimVerdict.UNKNOWN),
        (_claim_record(ClaimState.OPEN, barred=("run-b",)), ClaimVerdict.BARRED),
        (_claim_record(ClaimState.FINISHED, fingerprint="other"), ClaimVerdict.MISMATCH),
        (_claim_record(ClaimState.OPEN, fingerprint="other"), ClaimVerdict.MISMATCH),
    ],
)
def test_start_reports_the_state_of_the_record(current: Claim, verdict: ClaimVerdict) -> None:
    start = Start("call", "run-b", "token-b", "vm-b")
    process = ClaimUpdate(start)
    process.apply_stored(current, 5)
    assert process.verdict is verdict


def test_open_claim_may_run_again_and_keeps_its_barred_runs() -> None:
    process = ClaimUpdate(Start("call", "run-b", "token-b", "vm-b"))
    process.apply_stored(_claim_record(ClaimState.OPEN, barred=("run-a",)), 5)
    assert process.write.state is ClaimState.RUNNING
    assert process.write.barred == ("run-a",)


def test_end_does_not_change_the_record_of_another_run() -> None:
    end = End(Start("call", "run-b", "token-b", "vm-b"), ANSWER)
    assert end(_claim_record(ClaimState.RUNNING)) is ClaimVerdict.SUPERSEDED


def test_full_list_of_barred_runs_is_not_truncated() -> None:
    barred = tuple(f"run-{i}" for i in range(64))
    assert Bar("call", "run-x")(_claim_record(ClaimState.OPEN, barred=barred)) is ClaimVerdict.FULL


def _order(key: str, run_id: str, workspace: str = "w") -> CallOrder:
    klass = RouteClass.INTERACTIVE
    return CallOrder(
        "r", 1, workspace, "s", "POST", "/pay", (), "", False, key, klass, 1.0, 1, run_id
    )


def test_claim_name_depends_on_workspace_and_key_or_else_on_the_run() -> None:
    assert claim_name(_order("k", "1")) == claim_name(_order("k", "2"))
    assert claim_name(_order("k", "1")) != claim_name(_order("k", "1", "other"))
    assert claim_name(_order("", "1")) != claim_name(_order("", "2"))
