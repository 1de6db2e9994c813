"""Claims on calls that may run at most once: the stored record and the related messages."""

from enum import StrEnum

import attrs

from vanillashore_wire._codec import message
from vanillashore_wire._messages import CallDone


class ClaimState(StrEnum):
    """State of a `Claim`.

    ``OPEN``: no run has started; any run that is not barred may start. ``RUNNING``: a run has
    started. ``FINISHED``: the run ended and its answer is stored. ``UNKNOWN``: a run started, but
    its answer is lost.
    """

    OPEN = "open"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@attrs.frozen
class Claim:
    """Record in the platform's store of one call that may run at most once.

    ``run_id`` identifies the caller's request that runs the call, ``token`` the writer of the
    record, ``owner`` the VM that runs the call. Runs in ``barred`` were abandoned and must never
    start.
    """

    state: ClaimState
    fingerprint: str
    run_id: str = ""
    token: str = ""
    owner: str = ""
    barred: tuple[str, ...] = ()
    answer: CallDone | None = None


@message("claim_ask")
@attrs.frozen
class ClaimStatusRequest:
    """Ask a claim's owner whether its run is still active after up to ``wait_s`` seconds."""

    token: str
    wait_s: float = 0.0


@message("claim_status")
@attrs.frozen
class ClaimStatus:
    """Answer to a `ClaimStatusRequest`."""

    running: bool


@attrs.frozen
class NoticedRequest:
    """A request that was in flight when an engine crashed; also part of the stored quarantine."""

    fingerprint: str
    workspace: str


@message("crash_notice")
@attrs.frozen
class CrashNotice:
    """Lists the requests connected with an engine crash, for sidecars of the same model and role.

    ``suspects`` may have caused the crash; ``convicted`` have been found to cause crashes.
    """

    suspects: tuple[NoticedRequest, ...]
    convicted: tuple[NoticedRequest, ...]
