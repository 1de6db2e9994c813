"""Admission: whether a workspace's rate allows a request."""

from typing import Protocol

import attrs

from vanillashore_schema import WorkspaceConfig
from vanillashore_wire import RouteClass


@attrs.frozen
class Admitted:
    """Tokens that ``holder`` granted to one request."""

    workspace: str
    tokens: float
    holder: str = ""
    grant: int = 0


class Admission(Protocol):
    """Grants tokens to requests and takes unused ones back."""

    async def admit(
        self,
        workspace: WorkspaceConfig,
        tokens: float,
        route_class: RouteClass = RouteClass.INTERACTIVE,
    ) -> Admitted:
        """Grant ``tokens``; raise RefusalError with the time to come back if there are none."""

    def refund(self, admitted: Admitted, tokens: float) -> None:
        """Take back tokens that a request did not use."""
