"""What an entry reports for the burn report."""

from enum import StrEnum

import attrs


class BurnMeasure(StrEnum):
    """A latency that has a target."""

    FIRST_TOKEN = "first_token"
    TOKEN_GAP = "token_gap"
    ANSWER = "answer"


@attrs.frozen
class BurnSeries:
    """One latency of one route and workspace within one window.

    ``good`` met the target, ``bad`` missed it or failed; ``histogram`` is an encoded HdrHistogram
    of the milliseconds of those that were answered.
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
    """Answer to ``GET /internal/burn``: everything that one entry observed."""

    node: str
    series: tuple[BurnSeries, ...]
