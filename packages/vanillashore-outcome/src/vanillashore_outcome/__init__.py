"""Attempts, claims, stream assembly and poison handling."""

from vanillashore_outcome._assembly import Assembly, AssemblyCounts

__all__ = ["Assembly", "AssemblyCounts"]
