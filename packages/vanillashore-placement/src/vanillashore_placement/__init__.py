"""Choosing prefill and decode endpoints, reservations and fair queues."""

from vanillashore_placement._affinity import (
    PIECE_TOKENS,
    first_below_bound,
    leading_pieces,
    rank_by_affinity,
)
from vanillashore_placement._chooser import EndpointSelector
from vanillashore_placement._class_queue import ClassQueue
from vanillashore_placement._estimates import GrantAhead, QueuePace
from vanillashore_placement._fair_queue import FairQueue, Waiting
from vanillashore_placement._holds import Hold, HoldState, HoldTable
from vanillashore_placement._loads import EndpointLoads
from vanillashore_placement._scheduler import (
    Granted,
    HoldExpired,
    Outcome,
    Rejected,
    ReservationScheduler,
    SchedulerSettings,
)
from vanillashore_placement._transfers import TransferPacer

__all__ = [
    "PIECE_TOKENS",
    "ClassQueue",
    "EndpointLoads",
    "EndpointSelector",
    "FairQueue",
    "GrantAhead",
    "Granted",
    "Hold",
    "HoldExpired",
    "HoldState",
    "HoldTable",
    "Outcome",
    "QueuePace",
    "Rejected",
    "ReservationScheduler",
    "SchedulerSettings",
    "TransferPacer",
    "Waiting",
    "first_below_bound",
    "leading_pieces",
    "rank_by_affinity",
]
