"""A randomized soak test: real entry processes, checked while faults are injected from outside.

Run it by hand with ``make soak SEED=7 MINUTES=2``. Series of stops, and parts of prompts that crash
engines, are played on demand: ``make soak SEED=7 PLAY="--stops --parts"``.
"""

from vanillashore_standins.soak._run import SoakPlan, SoakReport, run_soak

__all__ = ["SoakPlan", "SoakReport", "run_soak"]
