"""The demo: a small fleet of separate processes, and requests sent through it."""

from vanillashore_standins.demo._files import MODEL, FleetShape
from vanillashore_standins.demo._fleet import DemoFleet, DemoNode

__all__ = ["MODEL", "DemoFleet", "DemoNode", "FleetShape"]
