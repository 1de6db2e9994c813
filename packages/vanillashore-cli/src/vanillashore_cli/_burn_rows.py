"""Rows of the burn report."""

import attrs


@attrs.frozen
class BurnCell:
    """One window of a row; ``burn`` 1 uses up the error budget exactly."""

    count: int
    bad: int
    burn: float
    p95_ms: float
    target_ms: float


@attrs.frozen
class BurnRow:
    """One latency of one route and workspace, by the names of windows."""

    route: str
    workspace: str
    measure: str
    cells: dict[str, BurnCell]

    @property
    def worst(self) -> float:
        """The highest burn of any window."""
        return max(cell.burn for cell in self.cells.values())

    @property
    def longest(self) -> BurnCell:
        """The longest window that has observations."""
        return list(self.cells.values())[-1]
