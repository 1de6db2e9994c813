"""Rows of the burn report."""

import attrs


@attrs.frozen
class BurnCell:
    """One window of a row; a ``burn`` of 1 consumes the error budget exactly."""

    count: int
    bad: int
    burn: float
    p95_ms: float
    target_ms: float


@attrs.frozen
class BurnRow:
    """One latency measure of a route and workspace; ``cells`` is keyed by window name."""

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
        """The longest window with observations."""
        return list(self.cells.values())[-1]
