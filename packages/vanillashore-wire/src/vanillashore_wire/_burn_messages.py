"""Latency statistics that entries report for the burn report."""

from enum import StrEnum

import attrs


class BurnMeasure(StrEnum):
    """A latency that has a target."""

    FIRST_TOKEN = "first_token"
    TOKEN_GAP = "token_gap"
    ANSWER = "answer"


@attrs.frozen
class BurnSeries:
    """Statistics of one latency of one route and workspace within one time window.

    ``good`` counts requests that met the target, ``bad`` those that missed it or failed.
    ``histogram`` is an encoded HdrHistogram of the latencies in milliseconds of answered requests.
    """

    window_s: int
    route: str
    workspace: str
    measure: BurnMeasure
    target_ms: float
    good: int
    bad: int
    histogram: str


@attrs.frozen
class BurnPage:
    """Response to ``GET /internal/burn``: all series of one entry."""

    node: str
    series: tuple[BurnSeries, ...]
