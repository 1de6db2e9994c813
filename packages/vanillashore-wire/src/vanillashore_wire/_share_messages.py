"""Messages between entries that enforce the workspaces' fleet-wide rates.

A partition's rate is divided into shares, each identified by its partition and its index. Most of
these messages are frequent, so they are encoded without field names and with short kinds.
"""

import attrs

from vanillashore_wire._codec import compact, message


@message("ga")
@compact
@attrs.frozen
class GrantRequest:
    """Ask a holder for tokens; ``grant`` is an id that is unique within the requesting process.

    A repeated request with the same ``grant`` keeps its position in the holder's queue.
    """

    grant: int
    workspace: str
    tokens: float
    patience_s: float


@message("g")
@compact
@attrs.frozen
class Grant:
    """The tokens were granted ``waited_s`` seconds after the holder received the request."""

    waited_s: float


@message("gw")
@compact
@attrs.frozen
class GrantWait:
    """The request is still queued; it has to be repeated to stay in the queue."""

    wait_s: float


@message("gr")
@compact
@attrs.frozen
class GrantRefund:
    """Return the unused tokens of a grant, or cancel a request that is still queued."""

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
    """Levels of a share's token buckets, for transfer between processes.

    The bucket of a workspace that is not listed was empty ``idle_s`` seconds ago and has been
    refilling since.
    """

    idle_s: float = 0.0
    levels: tuple[WorkspaceLevel, ...] = ()


@compact
@attrs.frozen
class LoanRequest:
    """Ask a share's owner to renew the loan with the id ``loan``, or for a new loan if it is 0."""

    partition: int
    index: int
    epoch: int
    loan: int


@compact
@attrs.frozen
class LoanAnswer:
    """Answer to a `LoanRequest`: the id of the active loan, or 0 if there is none.

    ``levels`` is set for a new loan only.
    """

    partition: int
    index: int
    loan: int
    levels: ShareLevels | None = None


@compact
@attrs.frozen
class LoanReturn:
    """End a loan early and return its levels to the owner."""

    partition: int
    index: int
    loan: int
    levels: ShareLevels


@message("la")
@compact
@attrs.frozen
class LoanRequests:
    """All loan requests from one borrower to one owner that are due at the same time.

    ``ask`` is an id that is unique within the borrowing process; the answers repeat it.
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
    """Transfers a share and its levels from its owner to the receiver, with its new ``epoch``."""

    partition: int
    index: int
    epoch: int
    levels: ShareLevels


@message("share_probe")
@attrs.frozen
class ShareProbe:
    """Check whether the process on the VM ``vm`` is running; only that process replies `Ack`.

    A process that is shutting down refuses, so that no shares are assigned to it.
    """

    vm: str


@compact
@attrs.frozen
class ShareRow:
    """Owners of one partition's shares, in the order in which they are asked for grants.

    A share's epoch increases with every change of its owner.
    """

    owners: tuple[str, ...]
    epochs: tuple[int, ...]


@message("share_table")
@attrs.frozen
class ShareTable:
    """Owners of all shares.

    ``version`` increases with each change, and ``writer`` identifies the change.
    """

    version: int
    writer: str
    rows: tuple[ShareRow, ...]


@message("share_table_ask")
@attrs.frozen
class ShareTableRequest:
    """Ask a process for its copy of the share table."""
