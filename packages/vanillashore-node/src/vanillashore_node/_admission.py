"""Admission control by the rates of workspaces."""

from typing import Protocol

import attrs

from vanillashore_schema import WorkspaceConfig
from vanillashore_wire import RouteClass


@attrs.frozen
class Admitted:
    """Rate tokens that ``holder`` granted to one request."""

    workspace: str
    tokens: float
    holder: str = ""
    grant: int = 0


class Admission(Protocol):
    """Grants rate tokens to requests and accepts refunds of unused ones."""

    async def admit(
        self,
        workspace: WorkspaceConfig,
        tokens: float,
        route_class: RouteClass = RouteClass.INTERACTIVE,
    ) -> Admitted:
        """Grant ``tokens``; raise RefusalError with a retry delay if too few are left."""

    def refund(self, admitted: Admitted, tokens: float) -> None:
        """Credit the tokens that a request did not use."""
