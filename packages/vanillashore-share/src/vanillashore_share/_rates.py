"""Rates of workspaces as the holders of shares apply them."""

from collections.abc import Iterable

import attrs
import xxhash

from vanillashore_share._timing import RatedWorkspace, ShareTiming

PARTITIONS = 1_024
SHARES = 3
VALIDITY_PER_BURST = 0.25


def partition_of(workspace: str) -> int:
    """Return the partition that a workspace belongs to."""
    return xxhash.xxh64_intdigest(workspace.encode()) % PARTITIONS


def grant_valid_s(workspace: RatedWorkspace, cfg: ShareTiming) -> float:
    """Return how long a grant may be used after its tokens were taken.

    What accrues in this time comes off the capacity, so a burst that lasts only moments at the
    workspace's rate gets a shorter validity.
    """
    burst_s = workspace.burst_tokens / workspace.rate_tokens_per_s
    return min(cfg.grant_valid_s, burst_s * VALIDITY_PER_BURST)


@attrs.frozen
class Rate:
    """What one share gains a second for a workspace, and the most it can hold.

    ``declared_rate`` and ``declared_burst`` are the fleet-wide figures that it follows from.
    """

    tokens_per_s: float
    capacity: float
    declared_rate: float
    declared_burst: float

    def follows_from(self, workspace: RatedWorkspace) -> bool:
        """Whether this is still the rate of ``workspace``."""
        return (
            self.declared_rate == workspace.rate_tokens_per_s
            and self.declared_burst == workspace.burst_tokens
        )


class RateBook:
    """The rate of one share for each workspace, by the configuration in force."""

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
        """Return the known workspaces whose rate would be another with ``workspaces``."""
        declared = {workspace.name: workspace for workspace in workspaces}
        return [
            name
            for name, rate in self._rates.items()
            if name not in declared or not rate.follows_from(declared[name])
        ]

    def replace(self, workspaces: Iterable[RatedWorkspace]) -> None:
        """Put the rates of ``workspaces`` into force; unchanged ones are not worked out again."""
        self._rates = {workspace.name: self._rate_of(workspace) for workspace in workspaces}

    def _rate_of(self, workspace: RatedWorkspace) -> Rate:
        known = self._rates.get(workspace.name)
        if known is not None and known.follows_from(workspace):
            return known
        bound = self._cfg.clock_rate_bound
        valid_s = grant_valid_s(workspace, self._cfg) * (1 + bound)
        accrual = workspace.rate_tokens_per_s * (1 - bound)
        capacity = workspace.burst_tokens - workspace.rate_tokens_per_s * valid_s
        return Rate(
            accrual / SHARES,
            capacity / SHARES,
            workspace.rate_tokens_per_s,
            workspace.burst_tokens,
        )
