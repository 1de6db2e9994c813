"""What crashed endpoints have in common, and the blocks that follow from it."""

import pytest

from vanillashore_gateway._crash_evidence import (
    EVIDENCE_TTL_S,
    MAX_CANDIDATES,
    MAX_CRASHES,
    MAX_PARTS,
    CrashEvidence,
    traits_of,
)
from vanillashore_gateway._crashing_parts import MAX_MARKED, CrashingParts
from vanillashore_gateway._part_blocks import BLOCK_TTL_S, MAX_BLOCKS, PartBlocks
from vanillashore_gateway._part_messages import (
    Block,
    BlockQuery,
    PartCrash,
    PartsCleared,
    PartSuspects,
    decode_part,
)


def evidence_of(crashes: dict[float, list[str]], proven: str = "") -> CrashEvidence:
    """Return evidence of crashes at the given times; a candidate is a string of traits."""
    evidence = CrashEvidence()
    for at, candidates in crashes.items():
        for candidate in candidates:
            new = set(candidate) - set(proven)
            evidence.add_crash(f"i{at}", new, set(candidate) & set(proven), at)
    return evidence


def found(evidence: CrashEvidence, now: float = 20.0) -> list[str]:
    return ["".join(sorted(finding.traits)) for finding in evidence.findings(now)]


def test_part_is_found_after_three_crashes_while_other_requests_begin() -> None:
    evidence = evidence_of({10.0: ["cx1"], 11.0: ["cx2"]})
    evidence.record_event(11.5)
    assert found(evidence) == []
    evidence.add_crash("i9", {"c", "x", "3"}, (), 12.0)
    assert found(evidence) == ["cx"]


def test_part_is_found_after_five_crashes_while_nothing_begins() -> None:
    crashes = {10.0 + number: [f"cx{number}"] for number in range(4)}
    assert found(evidence_of(crashes)) == []
    assert found(evidence_of(crashes | {14.0: ["cx4"]})) == ["cx"]


def test_cleared_part_is_not_found() -> None:
    evidence = evidence_of({10.0 + number: [f"cx{number}"] for number in range(5)})
    evidence.clear({"c"}, 15.0)
    assert found(evidence) == ["x"]
    evidence.clear({"x"}, 15.0)
    assert found(evidence) == []


def test_crash_after_a_part_was_cleared_counts_anew() -> None:
    evidence = evidence_of({10.0: ["cx"], 11.0: ["cx"], 12.0: ["cx"]})
    evidence.clear({"c", "x"}, 12.5)
    evidence.add_crash("i9", {"c", "x"}, (), 13.0)
    evidence.add_crash("i9", {"c", "x"}, (), 15.0)
    assert found(evidence) == []


def test_common_part_is_not_found_because_it_is_in_more_crashes() -> None:
    crashes = {10.0 + n: [f"cx{n}", f"c{n + 5}"] for n in range(5)} | {16.0: ["c0"]}
    assert found(evidence_of(crashes)) == ["cx"]


def test_common_part_that_brings_events_is_found_last() -> None:
    crashes = {10.0 + n: ["cx" if n % 2 else "cy"] for n in range(6)}
    evidence = evidence_of(crashes, proven="c")
    evidence.record_event(16.0)
    assert sorted(found(evidence)) == ["cx", "cy"]


def test_common_part_is_not_found_while_several_causes_share_it() -> None:
    crashes = {10.0: ["cx"], 11.0: ["cy"], 12.0: ["cx"], 13.0: ["cy"], 14.0: ["cz"]}
    evidence = evidence_of(crashes, proven="c")
    assert found(evidence) == []
    evidence.record_event(14.5)
    evidence.add_crash("i9", {"x"}, {"c"}, 15.0)
    assert found(evidence) == ["cx"]


def test_burst_of_crashes_is_explained_once_other_requests_have_begun_since() -> None:
    evidence = evidence_of({10.0 + n / 50: [f"cx{n % 9}"] for n in range(12)})
    assert found(evidence) == []
    evidence.clear({"c"}, 11.0)
    assert found(evidence) == ["x"]


def test_loss_of_power_counts_once() -> None:
    evidence = evidence_of({10.0 + n / 50: ["cx"] for n in range(12)})
    evidence.record_event(10.1)
    assert found(evidence) == []


def test_reports_of_one_crash_count_once() -> None:
    evidence = CrashEvidence()
    for number in range(9):
        evidence.add_crash("i1", {"c", "x", str(number)}, (), 10.0 + number / 10)
    evidence.record_event(11.0)
    assert found(evidence) == []


def test_evidence_expires_and_is_bounded() -> None:
    evidence = evidence_of({10.0 + number: ["x"] for number in range(5)})
    assert found(evidence, 14.0 + EVIDENCE_TTL_S) == []
    for number in range(10 * MAX_CRASHES):
        for request in range(2 * MAX_CANDIDATES):
            evidence.add_crash(f"i{number}", {f"{number}-{request}"}, (), 20.0)
    assert len(evidence.suspects(0.0)) == MAX_CRASHES * MAX_CANDIDATES


def test_traits_are_those_that_others_may_share() -> None:
    assert traits_of("llm", "f", ()) == ()
    assert traits_of("llm", "f", ("own",)) == ()
    both = traits_of("llm", "f", ("c", "x", "c", "own"))
    assert len(both) == 3
    assert both[1:] == traits_of("llm", "g", ("c", "x", "another"))[1:]
    assert set(both[1:]).isdisjoint(traits_of("other", "f", ("c", "x", "own"))[1:])
    assert len(traits_of("llm", "f", tuple(str(n) for n in range(400)))) == 1 + MAX_PARTS


def test_block_refuses_requests_with_all_of_its_traits() -> None:
    blocks = PartBlocks()
    blocks.block("llm", frozenset("cx"), 0.0)
    assert blocks.refuses("cx1")
    assert not blocks.refuses("c1")
    blocks.clear("llm", "c", 1.0)
    assert blocks.refuses("x1")
    blocks.clear("llm", "x1", 2.0)
    assert not blocks.refuses("cx1")


def test_trials_become_rarer_and_a_wider_block_takes_them_over() -> None:
    blocks = PartBlocks()
    blocks.block("llm", frozenset("cxt"), 0.0)
    trials = []
    for second in range(2_500):
        if blocks.is_trial_due("cxt1", second):
            blocks.begin_trial("cxt1", second)
            trials.append(second)
        if second == 100:
            blocks.block("llm", frozenset("cx"), second)
    assert trials == [20, 220, 2220]


def test_higher_version_of_a_block_is_kept() -> None:
    blocks, other = PartBlocks(), PartBlocks()
    (first,) = blocks.block("llm", frozenset("cx"), 0.0)
    (ended,) = blocks.clear("llm", "cx", 1.0)
    for notice in (first, ended, first):
        other.adopt(notice, 2.0)
    assert not other.refuses("cx")
    (again,) = blocks.block("llm", frozenset("cx"), 3.0)
    other.adopt(again, 3.0)
    assert other.refuses("cx")


def test_blocks_lapse_and_are_bounded() -> None:
    blocks = PartBlocks()
    for number in range(2 * MAX_BLOCKS):
        blocks.block("llm", frozenset((str(number),)), 0.0)
    assert len(blocks) == MAX_BLOCKS
    assert len(list(blocks.notices(BLOCK_TTL_S - 1))) == MAX_BLOCKS
    assert list(blocks.notices(BLOCK_TTL_S)) == []
    assert not blocks.refuses((str(2 * MAX_BLOCKS - 1),))


def test_memory_is_bounded_against_callers_that_invent_parts() -> None:
    parts = CrashingParts("e0", lambda: 0.0)
    for number in range(MAX_MARKED):
        parts.record_event("llm", traits_of("llm", "f", (f"a{number}", f"b{number}", "own")))
    assert len(parts._proven) == MAX_MARKED


MESSAGES = [
    PartCrash("llm", "i-1", ("f", "x"), ("c",)),
    PartSuspects(("f", "x")),
    PartsCleared("llm", ("c",)),
    Block("b1", 2, "llm", ("c", "x"), 1, 2.5),
    BlockQuery(),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_messages_are_decoded_as_they_were_encoded(message: object) -> None:
    data = message.encode()
    assert data.startswith(CrashingParts.PREFIX)
    assert decode_part(data) == message
    assert decode_part(data[:-1] + b',{"later":1}]') == message


def test_messages_fit_into_a_datagram() -> None:
    traits = traits_of("s" * 64, "f", tuple(str(number) for number in range(400)))
    for message in (
        PartCrash("s" * 64, "i" * 64, traits, ()),
        Block("b" * 16, 99, "s" * 64, traits, 9, 1_234.567),
        PartSuspects(traits),
    ):
        assert len(message.encode()) < 1_400


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b'["part crash"]',
        b'["part later","a"]',
        b'["part cleared","llm",[1]]',
        b'["part suspects",[' + b",".join([b'"x"'] * 49) + b"]]",
        b'["part block","a",1,"llm",["x"],2000,1.0]',
        b'["part block","a",1,"llm",["x"],1,-1.0]',
    ],
)
def test_malformed_datagram_is_an_error(data: bytes) -> None:
    with pytest.raises(ValueError, match=r"."):
        decode_part(data)
