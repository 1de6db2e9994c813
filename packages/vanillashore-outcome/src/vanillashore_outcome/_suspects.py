"""Requests that may crash their engines: suspects, trials and quarantine."""

from collections import defaultdict, deque
from enum import StrEnum

import attrs

MAX_CONVICTIONS = 3
CONVICTION_WINDOW_S = 600.0
RECORD_VALID_S = 86_400.0
MAX_SUSPECTS = 10_000


class IsolationStatus(StrEnum):
    """How a request is isolated before it runs.

    A suspect runs on trial, a quarantined request is refused, and so are all requests of a
    contained workspace.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
    CONTAINED = "contained"


@attrs.frozen
class InFlightRequest:
    """A request on an engine; ``on_trial`` if it is run as a suspect of an earlier crash."""

    fingerprint: str
    workspace: str
    on_trial: bool = False


@attrs.frozen
class CrashFinding:
    """The result of a crash: requests that become suspects, and requests that are convicted."""

    suspects: tuple[InFlightRequest, ...]
    convicted: tuple[InFlightRequest, ...]


class SuspectRegistry:
    """Stores suspects and convicted requests of one model and role; time is passed in.

    When an engine crashes, the request on trial there is convicted if it was the only one on trial.
    All others in flight become suspects. A workspace with `MAX_CONVICTIONS` convictions within
    `CONVICTION_WINDOW_S` is contained.
    """

    def __init__(self) -> None:
        self._suspects: dict[str, float] = {}
        self._convicted: dict[str, float] = {}
        self._convictions: dict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=MAX_CONVICTIONS)
        )

    def isolation_status(self, request: InFlightRequest, now: float) -> IsolationStatus:
        """Return the isolation status of a request."""
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

    def assess_crash(self, in_flight: tuple[InFlightRequest, ...]) -> CrashFinding:
        """Return the suspects and convicted requests of a crash."""
        on_trial = tuple(request for request in in_flight if request.on_trial)
        convicted = on_trial if len(on_trial) == 1 else ()
        return CrashFinding(tuple(r for r in in_flight if r not in convicted), convicted)

    def record_finding(self, finding: CrashFinding, now: float) -> None:
        """Store the finding of a crash at this or another endpoint."""
        for request in finding.suspects:
            self._suspects[request.fingerprint] = now + RECORD_VALID_S
        for request in finding.convicted:
            self.convict(request, now)
        while len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]

    def convict(self, request: InFlightRequest, now: float) -> None:
        """Quarantine a request; repeated convictions count once against its workspace."""
        if request.fingerprint not in self._convicted:
            self._convictions[request.workspace].append(now)
        self._convicted[request.fingerprint] = now + RECORD_VALID_S
        self._suspects.pop(request.fingerprint, None)

    def clear(self, fingerprint: str) -> None:
        """Remove a suspect that ran on trial without a crash."""
        self._suspects.pop(fingerprint, None)
