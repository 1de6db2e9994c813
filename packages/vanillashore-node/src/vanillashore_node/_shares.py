"""An entry's share of the fleet-wide rates: holder, share table and admission."""

import random

import attrs
from opentelemetry.metrics import get_meter

from vanillashore_node._core import NodeCore
from vanillashore_node._lifecycle import LifecycleEvent
from vanillashore_node._share_admission import AdmissionStats, ShareAdmission
from vanillashore_node._share_holder import HolderStats, ShareHolderTask
from vanillashore_node._share_metrics import observe_shares
from vanillashore_node._share_ownership import ShareOwnership
from vanillashore_share import HolderStatus

INCARNATION_BITS = 30


@attrs.frozen
class ShareStatus:
    """The section on shares of ``/internal/status``."""

    table_version: int
    holder: HolderStatus
    answered: HolderStats
    asked: AdmissionStats


class Shares:
    """Starts the tasks of an entry's shares; ``admission`` is for the handlers of requests."""

    def __init__(self, core: NodeCore, rng: random.Random) -> None:
        incarnation = rng.getrandbits(INCARNATION_BITS) + 1
        self._holder_task = ShareHolderTask(core, incarnation)
        self._ownership = ShareOwnership(core, self._holder_task, rng)
        row_of = self._ownership.row_of
        self.admission = ShareAdmission(core, self._holder_task, row_of, incarnation)
        core.tasks.start(self._holder_task.run(), "share holder")
        core.tasks.start(self._ownership.follow(), "share table follower")
        core.tasks.start(self._ownership.maintain(), "share table maintenance")
        core.tasks.start(self.admission.run(), "refunds")
        observe_shares(
            get_meter("vanillashore.share"), core.cfg.node.name, self._holder_task.status
        )
        core.readiness.append(lambda: self._ownership.table is not None)
        core.lifecycle.on(LifecycleEvent.DRAINED, self._leave)

    def status(self) -> ShareStatus:
        """Return this entry's shares, loans and token levels, and its counters."""
        table = self._ownership.table
        return ShareStatus(
            table.version if table else 0,
            self._holder_task.status(),
            self._holder_task.stats,
            self.admission.stats,
        )

    async def _leave(self) -> None:
        self.admission.flush()
        await self._ownership.leave()
