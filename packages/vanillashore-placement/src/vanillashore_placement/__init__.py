"""Selection of prefill and decode endpoints, reservations and fair queues."""

from vanillashore_placement._affinity import (
    PIECE_TOKENS,
    first_below_bound,
    leading_pieces,
    rank_by_affinity,
)
from vanillashore_placement._class_queue import ClassQueue
from vanillashore_placement._endpoint_selector import EndpointSelector
from vanillashore_placement._estimates import OvercommitLimit, QueueDrainEstimator
from vanillashore_placement._fair_queue import FairQueue, QueuedRequest
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
    "Granted",
    "Hold",
    "HoldExpired",
    "HoldState",
    "HoldTable",
    "Outcome",
    "OvercommitLimit",
    "QueueDrainEstimator",
    "QueuedRequest",
    "Rejected",
    "ReservationScheduler",
    "SchedulerSettings",
    "TransferPacer",
    "first_below_bound",
    "leading_pieces",
    "rank_by_affinity",
]
