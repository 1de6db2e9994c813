"""Claims of calls that may run at most once: the record in the store and the messages about it."""

from enum import StrEnum

import attrs

from vanillashore_wire._codec import message
from vanillashore_wire._messages import CallDone


class ClaimState(StrEnum):
    """State of a `Claim`.

    ``OPEN``: nothing ran yet, and a run that is not barred may start. ``RUNNING``: one run was
    started. ``FINISHED``: it has its answer. ``UNKNOWN``: it was started, and its answer is lost.
    """

    OPEN = "open"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@attrs.frozen
class Claim:
    """What the platform's store holds about one call that may run at most once.

    ``run_id`` names the caller's request that runs the call, ``token`` the writer of the record,
    ``owner`` the VM that runs it. A run in ``barred`` was given up on and must never start.
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
    """Ask the owner of a claim whether its run goes on; it may take up to ``wait_s`` to end."""

    token: str
    wait_s: float = 0.0


@message("claim_status")
@attrs.frozen
class ClaimStatus:
    """Answer to a `ClaimStatusRequest`."""

    running: bool


@attrs.frozen
class NoticedRequest:
    """A request that was in flight when an engine crashed."""

    fingerprint: str
    workspace: str


@message("crash_notice")
@attrs.frozen
class CrashNotice:
    """Tells the sidecars of the same model and role what a crash said of requests."""

    suspects: tuple[NoticedRequest, ...]
    convicted: tuple[NoticedRequest, ...]
