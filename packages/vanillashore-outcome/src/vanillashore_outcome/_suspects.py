"""Requests that may crash the engines that run them: suspects, trials and quarantine."""

from collections import defaultdict, deque
from enum import StrEnum

import attrs

MAX_CONVICTIONS = 3
CONVICTION_WINDOW_S = 600.0
KEEP_S = 86_400.0
MAX_SUSPECTS = 10_000


class IsolationStatus(StrEnum):
    """What is known of a request before it runs."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
    CONTAINED = "contained"


@attrs.frozen
class InFlightRequest:
    """A request in flight on an engine; one ``on_trial`` has crashed an engine before."""

    fingerprint: str
    workspace: str
    on_trial: bool = False


@attrs.frozen
class CrashFinding:
    """What a crash says of the requests that were in flight."""

    suspects: tuple[InFlightRequest, ...]
    convicted: tuple[InFlightRequest, ...]


class SuspectRegistry:
    """Knows suspects and convicted requests of one model and role; time is passed in.

    A request that was on trial when its engine crashed again is convicted if no other was on trial
    there. Whatever else was in flight becomes a suspect. A workspace with several convictions in a
    while is contained.
    """

    def __init__(self) -> None:
        self._suspects: dict[str, float] = {}
        self._convicted: dict[str, float] = {}
        self._convictions: dict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=MAX_CONVICTIONS)
        )

    def isolation_status(self, request: InFlightRequest, now: float) -> IsolationStatus:
        """Return what is known of a request."""
        if self._convicted.get(request.fingerprint, now) > now:
            return IsolationStatus.QUARANTINED
        if self.contained_for_s(request.workspace, now) > 0:
            return IsolationStatus.CONTAINED
        if self._suspects.get(request.fingerprint, now) > now:
            return IsolationStatus.SUSPECT
        return IsolationStatus.CLEAR

    def contained_for_s(self, workspace: str, now: float) -> float:
        """Return how long a workspace stays contained; 0 if it is not."""
        convictions = self._convictions.get(workspace)
        if convictions is None or len(convictions) < MAX_CONVICTIONS:
            return 0.0
        return max(0.0, convictions[0] + CONVICTION_WINDOW_S - now)

    def find(self, in_flight: tuple[InFlightRequest, ...]) -> CrashFinding:
        """Judge a crash by what was in flight."""
        tried = tuple(request for request in in_flight if request.on_trial)
        convicted = tried if len(tried) == 1 else ()
        return CrashFinding(tuple(r for r in in_flight if r not in convicted), convicted)

    def note(self, finding: CrashFinding, now: float) -> None:
        """Take in the finding of a crash, here or at another endpoint."""
        for request in finding.suspects:
            self._suspects[request.fingerprint] = now + KEEP_S
        for request in finding.convicted:
            self.convict(request, now)
        while len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]

    def convict(self, request: InFlightRequest, now: float) -> None:
        """Quarantine a request; each counts once against its workspace."""
        if request.fingerprint not in self._convicted:
            self._convictions[request.workspace].append(now)
        self._convicted[request.fingerprint] = now + KEEP_S
        self._suspects.pop(request.fingerprint, None)

    def clear(self, fingerprint: str) -> None:
        """Drop the suspicion of a request that ran well on trial."""
        self._suspects.pop(fingerprint, None)
