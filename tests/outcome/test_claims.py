"""Claims under all interleavings of small cases: lost, silent and late writes, deaths, copies."""

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
    """One record under compare-and-swap, with writes that arrive late."""

    claim: Claim | None = None
    version: int = 0
    late: list[tuple[int, Claim]] = attrs.field(factory=list)

    def swap(self, version: int, claim: Claim) -> None:
        if version == self.version:
            self.claim = claim
            self.version += 1


@attrs.define
class _World:
    store: _Store = attrs.field(factory=_Store)
    ran: list[str] = attrs.field(factory=list)
    barred: set[str] = attrs.field(factory=set)
    answers: list[str] = attrs.field(factory=list)


class _Side:
    """A side process that was ordered to run ``run_id``."""

    def __init__(self, world: _World, number: int, run_id: str) -> None:
        self._world = world
        self.start = Start("call", run_id, f"token-{number}", f"vm-{number}")
        self.process = ClaimUpdate(self.start)
        self._has_run = False

    def settled(self) -> None:
        verdict = self.process.verdict
        if verdict is ClaimVerdict.FINISHED:
            self._world.answers.append(self.process.current.answer.endpoint)
        if verdict is not ClaimVerdict.WON or self._has_run:
            return
        self._has_run = True
        self._world.ran.append(self.start.run_id)
        end = End(self.start, CallDone(200, (), "", self.start.owner))
        self.process = ClaimUpdate(end, self.process.current, self.process.version)


class _Entry:
    """An entry that wants to say that ``run_id`` did not run."""

    def __init__(self, world: _World, run_id: str) -> None:
        self._world = world
        self._run_id = run_id
        self.process = ClaimUpdate(Bar("call", run_id))

    def settled(self) -> None:
        if self.process.verdict is ClaimVerdict.BARRED:
            assert not self._world.ran, "said not run of a call that ran"
            self._world.barred.add(self._run_id)


def _act(world: _World, actor: _Side | _Entry, fate: str) -> bool:
    """Let an actor take one step; return whether it lives on."""
    process = actor.process
    if process.write is None:
        return True
    if fate == "dies":
        return False
    if fate == "late":
        world.store.late.append((process.version, process.write))
    elif fate != "lost before":
        world.store.swap(process.version, process.write)
        if fate == "answered":
            process.take(world.store.claim, world.store.version)
            if process.verdict is not None:
                actor.settled()
    return True


def _check(steps: list[tuple[int, str]], make: Callable[[_World], list[_Side | _Entry]]) -> None:
    world = _World()
    actors = dict(enumerate(make(world)))
    for index, fate in steps:
        if index >= len(actors) + 1 and world.store.late:
            world.store.swap(*world.store.late.pop(0))
        elif index in actors and not _act(world, actors[index], fate):
            actors[index].process.write = None
    assert len(world.ran) <= 1
    assert not world.barred & set(world.ran)
    assert len(set(world.answers)) <= 1


STEPS = st.lists(st.tuples(st.integers(0, 7), st.sampled_from(FATES)), max_size=40)


@settings(derandomize=True, max_examples=1_000, deadline=None)
@given(STEPS)
def test_a_call_runs_at_most_once_and_never_after_it_was_barred(
    steps: list[tuple[int, str]],
) -> None:
    _check(
        steps,
        lambda world: [
            _Side(world, 1, RUNS[0]),
            _Side(world, 2, RUNS[0]),
            _Side(world, 3, RUNS[1]),
            _Side(world, 4, RUNS[1]),
            _Entry(world, RUNS[0]),
            _Entry(world, RUNS[1]),
        ],
    )


def _claim(state: ClaimState, **fields: object) -> Claim:
    return attrs.evolve(Claim(state, "call", "run-a", "token-a", "vm-a"), **fields)


ANSWER = CallDone(200, (), "", "vm-a")


@pytest.mark.parametrize(
    ("current", "verdict"),
    [
        (_claim(ClaimState.RUNNING), ClaimVerdict.RUNNING),
        (_claim(ClaimState.RUNNING, token="token-b"), ClaimVerdict.WON),
        (_claim(ClaimState.FINISHED, answer=ANSWER), ClaimVerdict.FINISHED),
        (_claim(ClaimState.UNKNOWN), ClaimVerdict.UNKNOWN),
        (_claim(ClaimState.OPEN, barred=("run-b",)), ClaimVerdict.BARRED),
        (_claim(ClaimState.FINISHED, fingerprint="other"), ClaimVerdict.MISMATCH),
        (_claim(ClaimState.OPEN, fingerprint="other"), ClaimVerdict.MISMATCH),
    ],
)
def test_start_reports_what_it_found(current: Claim, verdict: ClaimVerdict) -> None:
    start = Start("call", "run-b", "token-b", "vm-b")
    process = ClaimUpdate(start)
    process.take(current, 5)
    assert process.verdict is verdict


def test_open_claim_may_run_again_and_keeps_what_is_barred() -> None:
    process = ClaimUpdate(Start("call", "run-b", "token-b", "vm-b"))
    process.take(_claim(ClaimState.OPEN, barred=("run-a",)), 5)
    assert process.write.state is ClaimState.RUNNING
    assert process.write.barred == ("run-a",)


def test_end_leaves_the_record_of_another_run_alone() -> None:
    end = End(Start("call", "run-b", "token-b", "vm-b"), ANSWER)
    assert end(_claim(ClaimState.RUNNING)) is ClaimVerdict.SUPERSEDED


def test_full_list_of_barred_runs_is_not_cut() -> None:
    barred = tuple(f"run-{i}" for i in range(64))
    assert Bar("call", "run-x")(_claim(ClaimState.OPEN, barred=barred)) is ClaimVerdict.FULL


def _order(key: str, run_id: str, workspace: str = "w") -> CallOrder:
    klass = RouteClass.INTERACTIVE
    return CallOrder(
        "r", 1, workspace, "s", "POST", "/pay", (), "", False, key, klass, 1.0, 1, run_id
    )


def test_name_follows_the_key_within_a_workspace_and_else_the_run() -> None:
    assert claim_name(_order("k", "1")) == claim_name(_order("k", "2"))
    assert claim_name(_order("k", "1")) != claim_name(_order("k", "1", "other"))
    assert claim_name(_order("", "1")) != claim_name(_order("", "2"))
