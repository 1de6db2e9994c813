"""Choosing prefill and decode endpoints, reservations and fair queues."""

from vanillashore_placement._affinity import PIECE_TOKENS, leading_pieces, rank_by_affinity
from vanillashore_placement._chooser import Chooser, SeenLoads
from vanillashore_placement._keeper import Granted, Keeper, Outcome, TurnedAway

__all__ = [
    "PIECE_TOKENS",
    "Chooser",
    "Granted",
    "Keeper",
    "Outcome",
    "SeenLoads",
    "TurnedAway",
    "leading_pieces",
    "rank_by_affinity",
]
