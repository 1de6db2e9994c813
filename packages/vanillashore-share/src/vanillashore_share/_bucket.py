"""A token bucket with a clock that is passed in."""


class TokenBucket:
    """Holds at most ``capacity`` tokens and gains ``rate`` tokens a second.

    Every method takes the time in seconds; time never runs backwards for a bucket.
    """

    def __init__(self, rate: float, capacity: float, now: float) -> None:
        self._rate = rate
        self._capacity = capacity
        self._level = capacity
        self._updated = now

    def level(self, now: float) -> float:
        """Return the tokens that are in the bucket."""
        elapsed = max(0.0, now - self._updated)
        self._updated = max(self._updated, now)
        self._level = min(self._capacity, self._level + elapsed * self._rate)
        return self._level

    def take(self, tokens: float, now: float) -> bool:
        """Take ``tokens`` if they are there."""
        if self.level(now) < tokens:
            return False
        self._level -= tokens
        return True

    def put_back(self, tokens: float, now: float) -> None:
        """Return tokens that were taken and not used; the capacity still bounds the level."""
        self._level = min(self._capacity, self.level(now) + tokens)

    def wait_for(self, tokens: float, now: float) -> float:
        """Return the seconds until ``tokens`` are there; infinite if they never will be."""
        missing = tokens - self.level(now)
        if missing <= 0:
            return 0.0
        if tokens > self._capacity or self._rate <= 0:
            return float("inf")
        return missing / self._rate
