"""Token bucket that limits retries to a share of the requests."""

from ..outcomes import check_invariant

RETRY_SHARE = 0.1
RETRY_BURST = 64.0


class RetryBudget:
    """Budget of retries: each request adds `share` of one, up to `burst`.

    >>> budget = RetryBudget(share=0.5, burst=1.0)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.deposit()
    >>> budget.deposit()
    >>> budget.take()
    True
    """

    def __init__(self, share=RETRY_SHARE, burst=RETRY_BURST):
        self._share = share
        self._burst = burst
        self._tokens = burst

    def deposit(self):
        """Add the share of one request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self):
        """Consume one retry; return whether one was left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        check_invariant(0.0 <= self._tokens <= self._burst, "retries stay in budget")
        return True
