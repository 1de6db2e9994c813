"""Fleet-wide token buckets: shares, loans and grants.

Each workspace belongs to a partition. A partition's rate is split evenly into three shares. A share
holds one token bucket per workspace, and only one process at a time takes tokens from it.
"""

from vanillashore_share._holder import HolderActions, ShareHolder
from vanillashore_share._holder_selector import HolderSelector, usable_until
from vanillashore_share._ownership import (
    HolderVm,
    Move,
    apply_moves,
    departure_moves,
    initial_rows,
    rebalancing_moves,
    replacement_moves,
)
from vanillashore_share._partition import GrantOutcome
from vanillashore_share._rates import (
    PARTITION_COUNT,
    SHARES_PER_PARTITION,
    grant_valid_s,
    partition_of,
)
from vanillashore_share._status import HolderStatus, WorkspaceStatus, holder_status
from vanillashore_share._timing import RatedWorkspace, ShareTiming

__all__ = [
    "PARTITION_COUNT",
    "SHARES_PER_PARTITION",
    "GrantOutcome",
    "HolderActions",
    "HolderSelector",
    "HolderStatus",
    "HolderVm",
    "Move",
    "RatedWorkspace",
    "ShareHolder",
    "ShareTiming",
    "WorkspaceStatus",
    "apply_moves",
    "departure_moves",
    "grant_valid_s",
    "holder_status",
    "initial_rows",
    "partition_of",
    "rebalancing_moves",
    "replacement_moves",
    "usable_until",
]
