"""The vanillashore-node daemon: an entry process, or the side process of one endpoint."""

from vanillashore_node._daemon import main
from vanillashore_node._entry import EntryNode
from vanillashore_node._side import SideNode

__all__ = ["EntryNode", "SideNode", "main"]
