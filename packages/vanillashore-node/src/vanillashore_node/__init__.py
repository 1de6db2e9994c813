"""The vanillashore-node daemon: an entry process, or the sidecar of one endpoint."""

from vanillashore_node._daemon import main
from vanillashore_node._entry import EntryNode
from vanillashore_node._sidecar import SidecarNode

__all__ = ["EntryNode", "SidecarNode", "main"]
