"""Token bucket on the caller's clock."""


class TokenBucket:
    """Bucket of up to `burst` tokens that refills at `rate` tokens per second.

    >>> bucket = TokenBucket(rate=2.0, burst=1.0, now=0.0)
    >>> bucket.take(1.0, now=0.0), bucket.take(1.0, now=0.1), bucket.take(1.0, now=0.5)
    (True, False, True)
    """

    def __init__(self, rate, burst, now):
        self.rate = rate
        self.burst = burst
        self.level = burst
        self._updated_at = now

    def take(self, tokens, now):
        """Remove `tokens` if the level suffices; return whether it did."""
        self.refill(now)
        if self.level + 1e-9 < tokens:
            return False
        self.level -= tokens
        return True

    def refill(self, now):
        """Add the tokens accrued since the last call."""
        elapsed = max(0.0, now - self._updated_at)
        self.level = min(self.burst, self.level + elapsed * self.rate)
        self._updated_at = max(now, self._updated_at)

    def seconds_until(self, tokens):
        """Return the seconds until the level reaches `tokens`."""
        return max(0.0, (tokens - self.level) / self.rate)
