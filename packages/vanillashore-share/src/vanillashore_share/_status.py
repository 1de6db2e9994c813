"""What a holder tells operators about its shares."""

import attrs

from vanillashore_share._holder import ShareHolder
from vanillashore_share._rates import SHARES, partition_of


@attrs.frozen
class WorkspaceStatus:
    """A workspace of a partition that is held here.

    ``shares`` is how many of the partition's shares can be used here now; ``level`` and
    ``capacity`` count those of the whole fleet only if it is all of them.
    """

    workspace: str
    shares: int
    level: float
    capacity: float
    waiting: int


@attrs.frozen
class HolderStatus:
    """The shares of a process; ``refused_short`` counts refusals while shares were out of reach.

    Such a refusal may be wrong: with all shares at hand the tokens might have been there.
    """

    owned: int
    lent: int
    borrowed: int
    fenced: bool
    refused_short: int
    grants_unsettled: int
    workspaces: tuple[WorkspaceStatus, ...]


def holder_status(holder: ShareHolder, now: float) -> HolderStatus:
    """Describe a holder."""
    partitions = holder.partitions.values()
    owned = [share for held in partitions for share in held.owned.values()]
    borrowed = [share for held in partitions for share in held.borrowed.values()]
    return HolderStatus(
        len(owned),
        sum(bool(share.borrower(now)) for share in owned),
        sum(share.buckets(now) is not None for share in borrowed),
        holder.is_fenced,
        sum(held.refused_short for held in partitions),
        len(holder.ledger),
        tuple(_workspaces(holder, now)),
    )


def _workspaces(holder: ShareHolder, now: float) -> list[WorkspaceStatus]:
    found = []
    for name, rate in holder.book.items():
        held = holder.partitions.get(partition_of(name))
        if held is None:
            continue
        shares = len(held.usable(now))
        level = round(held.level(name, now), 1)
        waiting = held.waiting.count(name)
        found.append(
            WorkspaceStatus(name, shares, level, round(rate.capacity * SHARES, 1), waiting)
        )
    return found
