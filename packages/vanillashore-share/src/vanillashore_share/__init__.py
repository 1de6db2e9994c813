"""Fleet-wide token buckets: shares, loans and grants.

A workspace belongs to a partition. A partition's rate is divided into three shares, each of which
is a set of token buckets that exactly one process operates at a time.
"""

from vanillashore_share._asking import HolderSelector, usable_until
from vanillashore_share._chooser import (
    HolderVm,
    Move,
    apply_moves,
    departure_moves,
    initial_rows,
    rebalancing_moves,
    replacement_moves,
)
from vanillashore_share._holder import HolderActions, ShareHolder
from vanillashore_share._partition import GrantOutcome
from vanillashore_share._rates import PARTITIONS, SHARES, grant_valid_s, partition_of
from vanillashore_share._status import HolderStatus, WorkspaceStatus, holder_status
from vanillashore_share._timing import RatedWorkspace, ShareTiming

__all__ = [
    "PARTITIONS",
    "SHARES",
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
