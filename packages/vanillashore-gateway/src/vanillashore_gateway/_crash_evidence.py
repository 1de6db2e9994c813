"""Finds what the requests that crash a service's endpoints have in common.

A request has traits: its fingerprint, and one for each part of its prompt that others may share. A
request that had brought no event on an endpoint that crashed is a candidate for the cause. An event
of any request clears its traits in all crashes so far, as the cause lets none begin.

Handles a part that many requests share, and which therefore is in every crash: what is found is the
set of all traits that the candidates with one trait have in common and that nothing has cleared.
"""

from collections.abc import Iterable

import attrs
import xxhash

MAX_PARTS = 47
MIN_CRASHES = 3  # While requests without the trait begin.
MIN_CRASHES_ALONE = 5  # Without: what has failed may be the service as a whole.
SEPARATE_S = 0.3  # A loss of power ends all endpoints of a data centre within this time.
SAME_CRASH_S = 1.0  # All reports of one crash arrive in this time.
EVIDENCE_TTL_S = 900.0
MAX_CRASHES = 32
MAX_CANDIDATES = 64  # Of one crash; most have one.


def traits_of(service: str, fingerprint: str, prompt_parts: tuple[str, ...]) -> tuple[str, ...]:
    """Return the traits of a request, its fingerprint's first; none if it shares no parts."""
    shared = dict.fromkeys(prompt_parts[:-1][:MAX_PARTS])
    if not shared:
        return ()
    names = (fingerprint, *(f"{service}/{part}" for part in shared))
    return tuple(xxhash.xxh3_64_hexdigest(name.encode()) for name in names)


@attrs.define
class _Crash:
    """A crash, and the traits of each candidate that no event has cleared since."""

    instance: str
    at: float
    candidates: list[set[str]] = attrs.field(factory=list)


@attrs.frozen
class Finding:
    """Traits that together explain the crashes of some endpoints."""

    traits: frozenset[str]
    instances: tuple[str, ...]


class CrashEvidence:
    """The recent crashes of one service; callers pass in the current time.

    Example::

        evidence.add_crash("i-1", new={"f1", "bad"}, proven={"common"}, now=12.0)
        evidence.clear({"common"}, now=12.2)
        for finding in evidence.findings(now=14.0):
            ...  # refuse requests that have all of `finding.traits`
    """

    def __init__(self) -> None:
        self._crashes: list[_Crash] = []
        self._proven: set[str] = set()
        self._event_at = float("-inf")

    def add_crash(
        self, instance: str, new: Iterable[str], proven: Iterable[str], now: float
    ) -> None:
        """Add a candidate; ``proven`` are those of its traits that have lately brought events."""
        self._expire(now)
        crash = next((c for c in self._crashes if c.instance == instance), None)
        if crash is None or now - crash.at >= SAME_CRASH_S:
            crash = _Crash(instance, now)
            self._crashes.insert(0, crash)
            del self._crashes[MAX_CRASHES:]
        proven = set(proven)
        self._proven |= proven
        traits = {*new, *proven}
        if traits not in crash.candidates and len(crash.candidates) < MAX_CANDIDATES:
            crash.candidates.append(traits)

    def record_event(self, now: float) -> None:
        """Record that a request of the service has begun."""
        self._event_at = now

    def clear(self, traits: Iterable[str], now: float) -> None:
        """Clear traits of a request that has brought an event."""
        self._event_at = now
        for crash in self._crashes:
            for candidate in crash.candidates:
                candidate.difference_update(traits)

    def suspects(self, since: float) -> set[str]:
        """Return the traits of the candidates of crashes from a time on."""
        recent = [crash for crash in self._crashes if crash.at >= since]
        return set().union(*(c for crash in recent for c in crash.candidates))

    def findings(self, now: float) -> list[Finding]:
        """Return sets of traits that explain crashes, and no two the same crash."""
        self._expire(now)
        found = []
        left = self._crashes
        while (traits := self._best(left)) is not None:
            explained = [c for c in left if any(traits <= each for each in c.candidates)]
            found.append(Finding(traits, tuple(sorted(c.instance for c in explained))))
            left = [crash for crash in left if crash not in explained]
        return found

    def _best(self, crashes: list[_Crash]) -> frozenset[str] | None:
        shared: dict[str, set[str]] = {}
        times: dict[str, list[float]] = {}
        for crash in crashes:
            for candidate in crash.candidates:
                for trait in candidate:
                    shared[trait] = shared.get(trait, candidate) & candidate
            for trait in set().union(*crash.candidates):
                times.setdefault(trait, []).append(crash.at)
        # A trait of many sound requests is in as many crashes as the cause, or in more.
        unproven = {trait for trait in times if not shared[trait] <= self._proven}
        for group in (unproven, times.keys() - unproven):
            if group is not unproven:
                times = self._unexplained(crashes, times)
            counts = {trait: _separate(times[trait]) for trait in group if trait in times}
            enough = {
                trait: count
                for trait, count in counts.items()
                if self._is_enough(times[trait], count, trait in unproven)
            }
            if enough:
                best = max(_nearly_most(enough), key=lambda t: (len(shared[t]), enough[t], t))
                return frozenset(shared[best])
        return None

    def _unexplained(
        self, crashes: list[_Crash], times: dict[str, list[float]]
    ) -> dict[str, list[float]]:
        """Return when each trait was in a crash without a recurring trait that is unproven.

        Several causes at once leave each of them too few crashes, and their common parts many.
        """
        recurring = {t for t, each in times.items() if len(each) > 1 and t not in self._proven}
        left: dict[str, list[float]] = {}
        for crash in crashes:
            if not any(candidate & recurring for candidate in crash.candidates):
                for trait in set().union(*crash.candidates):
                    left.setdefault(trait, []).append(crash.at)
        return left

    def _is_enough(self, times: list[float], separate: int, is_unproven: bool) -> bool:
        is_supported = self._event_at > min(times)
        if is_unproven:
            # After a loss of power the common parts are cleared by what begins next.
            is_over = separate > 1 or self._event_at > max(times)
            many = len(times) >= MIN_CRASHES_ALONE and is_over
            return many or (separate >= MIN_CRASHES and is_supported)
        many = separate >= MIN_CRASHES and len(times) >= MIN_CRASHES_ALONE
        return separate >= MIN_CRASHES_ALONE or (many and is_supported)

    def _expire(self, now: float) -> None:
        self._crashes = [c for c in self._crashes if now - c.at < EVIDENCE_TTL_S]
        self._proven &= set().union(*(t for c in self._crashes for t in c.candidates))


def _separate(times: Iterable[float]) -> int:
    """Return the number of crashes; those in quick succession count once."""
    count, last = 0, float("-inf")
    for at in sorted(times):
        if at - last >= SEPARATE_S:
            count, last = count + 1, at
    return count


def _nearly_most(counts: dict[str, int]) -> list[str]:
    """Return the traits in the most crashes; a report of a candidate may have been lost."""
    most = max(counts.values())
    return [trait for trait, n in counts.items() if n >= most - 1 or n > 0.75 * most]
