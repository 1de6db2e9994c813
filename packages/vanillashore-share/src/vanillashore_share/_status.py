"""Status of a holder's shares, for operators."""

import attrs

from vanillashore_share._holder import ShareHolder
from vanillashore_share._rates import SHARES_PER_PARTITION, partition_of


@attrs.frozen
class WorkspaceStatus:
    """A workspace of a partition that this process holds.

    ``shares`` is how many of the partition's shares this process can use now, and ``level`` the
    tokens in them; ``capacity`` is that of all shares.
    """

    workspace: str
    shares: int
    level: float
    capacity: float
    waiting: int


@attrs.frozen
class HolderStatus:
    """Shares of a process; ``refused_short`` counts refusals while it could not use all shares.

    Such a refusal may be wrong: the missing shares might have held enough tokens.
    """

    owned: int
    lent: int
    borrowed: int
    fenced: bool
    refused_short: int
    grants_unsettled: int
    workspaces: tuple[WorkspaceStatus, ...]


def holder_status(holder: ShareHolder, now: float) -> HolderStatus:
    """Return the status of a holder."""
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
    for name, rate in holder.rates.items():
        held = holder.partitions.get(partition_of(name))
        if held is None:
            continue
        shares = len(held.usable(now))
        level = round(held.level(name, now), 1)
        waiting = held.queue.count(name)
        found.append(
            WorkspaceStatus(
                name, shares, level, round(rate.capacity * SHARES_PER_PARTITION, 1), waiting
            )
        )
    return found
