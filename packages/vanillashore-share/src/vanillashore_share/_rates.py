"""Rates of workspaces per share, as the holders apply them."""

from collections.abc import Iterable

import attrs
import xxhash

from vanillashore_share._timing import RatedWorkspace, ShareTiming

PARTITION_COUNT = 1_024
SHARES_PER_PARTITION = 3
MAX_VALIDITY_BURST_FRACTION = 0.25


def partition_of(workspace: str) -> int:
    """Return the partition that a workspace belongs to."""
    return xxhash.xxh64_intdigest(workspace.encode()) % PARTITION_COUNT


def grant_valid_s(workspace: RatedWorkspace, cfg: ShareTiming) -> float:
    """Return how long a grant may be used after its tokens were taken.

    The tokens that accrue during the validity are deducted from the buckets' capacity, so the
    validity is at most a fraction of the time in which the workspace's full burst accrues.
    """
    burst_s = workspace.burst_tokens / workspace.rate_tokens_per_s
    return min(cfg.grant_valid_s, burst_s * MAX_VALIDITY_BURST_FRACTION)


@attrs.frozen
class Rate:
    """Accrual rate and capacity of a workspace's bucket in one share.

    Both are derived from the fleet-wide ``declared_rate`` and ``declared_burst``.
    """

    tokens_per_s: float
    capacity: float
    declared_rate: float
    declared_burst: float

    def matches(self, workspace: RatedWorkspace) -> bool:
        """Whether this was derived from the rate and burst of ``workspace``."""
        return (
            self.declared_rate == workspace.rate_tokens_per_s
            and self.declared_burst == workspace.burst_tokens
        )


class RateTable:
    """The rate per share of each workspace in the current configuration."""

    def __init__(self, cfg: ShareTiming) -> None:
        self._cfg = cfg
        self._rates: dict[str, Rate] = {}

    def get(self, workspace: str) -> Rate | None:
        """Return the rate of a workspace, or ``None`` if it is not declared."""
        return self._rates.get(workspace)

    def items(self) -> Iterable[tuple[str, Rate]]:
        """Return each workspace with its rate."""
        return self._rates.items()

    def changed(self, workspaces: Iterable[RatedWorkspace]) -> list[str]:
        """Return the known workspaces whose rate ``workspaces`` changes or removes."""
        declared = {workspace.name: workspace for workspace in workspaces}
        return [
            name
            for name, rate in self._rates.items()
            if name not in declared or not rate.matches(declared[name])
        ]

    def replace(self, workspaces: Iterable[RatedWorkspace]) -> None:
        """Apply the rates of ``workspaces``; unchanged ones are not computed again."""
        self._rates = {workspace.name: self._rate_of(workspace) for workspace in workspaces}

    def _rate_of(self, workspace: RatedWorkspace) -> Rate:
        known = self._rates.get(workspace.name)
        if known is not None and known.matches(workspace):
            return known
        bound = self._cfg.clock_rate_bound
        valid_s = grant_valid_s(workspace, self._cfg) * (1 + bound)
        accrual = workspace.rate_tokens_per_s * (1 - bound)
        capacity = workspace.burst_tokens - workspace.rate_tokens_per_s * valid_s
        return Rate(
            accrual / SHARES_PER_PARTITION,
            capacity / SHARES_PER_PARTITION,
            workspace.rate_tokens_per_s,
            workspace.burst_tokens,
        )
