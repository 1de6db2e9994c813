"""Limits on the spread of failures: circuit breakers for endpoints, and retry budgets."""

from vanillashore_resilience._breaker import Breaker
from vanillashore_resilience._budget import RetryBudget

__all__ = ["Breaker", "RetryBudget"]
