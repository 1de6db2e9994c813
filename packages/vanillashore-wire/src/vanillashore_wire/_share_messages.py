"""Messages between entries that keep the workspaces' fleet-wide rates.

A partition's rate is divided into shares, each named by its partition and its index. All of these
messages travel in numbers on links, so they are encoded without the names of their fields and under
short kinds.
"""

import attrs

from vanillashore_wire._codec import compact, message


@message("ga")
@compact
@attrs.frozen
class GrantRequest:
    """Ask a holder for tokens; ``grant`` is unique for the asking process.

    A repeated ask with the same ``grant`` keeps its place in the holder's queue.
    """

    grant: int
    workspace: str
    tokens: float
    patience_s: float


@message("g")
@compact
@attrs.frozen
class Grant:
    """The tokens were taken ``waited_s`` seconds after the holder got the ask."""

    waited_s: float


@message("gw")
@compact
@attrs.frozen
class GrantWait:
    """The ask still waits: repeat it to go on waiting."""

    wait_s: float


@message("gr")
@compact
@attrs.frozen
class GrantRefund:
    """Give back the unused tokens of a grant, or give up an ask that still waits."""

    grant: int
    tokens: float


@compact
@attrs.frozen
class WorkspaceLevel:
    """Tokens that one share holds for one workspace."""

    workspace: str
    tokens: float


@compact
@attrs.frozen
class ShareLevels:
    """Levels of a share's buckets as they move from one process to another.

    A workspace that is not named has gained tokens from nothing for ``idle_s`` seconds.
    """

    idle_s: float = 0.0
    levels: tuple[WorkspaceLevel, ...] = ()


@compact
@attrs.frozen
class LoanRequest:
    """Ask a share's owner for a loan, or to renew the one with the id ``loan``; 0 is none."""

    partition: int
    index: int
    epoch: int
    loan: int


@compact
@attrs.frozen
class LoanAnswer:
    """Answer to a `LoanRequest`: the loan that now runs, or 0 where there is none.

    ``levels`` comes with a new loan only.
    """

    partition: int
    index: int
    loan: int
    levels: ShareLevels | None = None


@compact
@attrs.frozen
class LoanReturn:
    """End a loan early and bring its levels back to the owner."""

    partition: int
    index: int
    loan: int
    levels: ShareLevels


@message("la")
@compact
@attrs.frozen
class LoanRequests:
    """All asks of one borrower to one owner that are due together.

    ``ask`` is unique for the borrowing process and comes back with the answers.
    """

    ask: int
    incarnation: int
    asks: tuple[LoanRequest, ...]


@message("ln")
@compact
@attrs.frozen
class LoanAnswers:
    """Answers to `LoanRequests`."""

    ask: int
    answers: tuple[LoanAnswer, ...]


@message("lr")
@compact
@attrs.frozen
class LoanReturns:
    """Loans that one borrower returns to one owner."""

    returns: tuple[LoanReturn, ...]


@message("share_handover")
@compact
@attrs.frozen
class ShareHandover:
    """The levels of a share that its owner has given to the receiver, as ``epoch`` of it."""

    partition: int
    index: int
    epoch: int
    levels: ShareLevels


@message("share_probe")
@attrs.frozen
class ShareProbe:
    """Ask whether the process on the VM ``vm`` runs; it alone answers, with an `Ack`.

    A process that is leaving refuses as shutting down, so that it is given no shares.
    """

    vm: str


@compact
@attrs.frozen
class ShareRow:
    """Owners of one partition's shares in the order in which they are asked for grants.

    The epoch of a share rises each time it gets another owner.
    """

    owners: tuple[str, ...]
    epochs: tuple[int, ...]


@message("share_table")
@attrs.frozen
class ShareTable:
    """Who owns which share; ``version`` rises with each change, ``writer`` names the change."""

    version: int
    writer: str
    rows: tuple[ShareRow, ...]


@message("share_table_ask")
@attrs.frozen
class ShareTableRequest:
    """Ask a process for the share table it knows."""
