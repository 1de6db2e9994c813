"""Fleet-wide token buckets: shares, loans and grants."""

from vanillashore_share._bucket import TokenBucket

__all__ = ["TokenBucket"]
