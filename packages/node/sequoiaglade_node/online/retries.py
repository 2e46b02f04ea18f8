"""The node's retry policy, shared by the threads of all requests."""

import threading


class SharedRetryPolicy:
    """Lets one thread at a time into a `RetryPolicy`.

    A lock and no actor: each request counts into the budget, and the lock is held for
    that addition only.
    """

    def __init__(self, policy):
        self._policy = policy
        self._lock = threading.Lock()

    def begin(self):
        """Count a request."""
        with self._lock:
            self._policy.count_request()

    def decide(self, *arguments):
        """Return what follows on a failed attempt, as `RetryPolicy.decide`."""
        with self._lock:
            return self._policy.decide(*arguments)
