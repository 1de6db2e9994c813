"""The vanillashore operators' tool."""

from vanillashore_cli._main import main

__all__ = ["main"]
