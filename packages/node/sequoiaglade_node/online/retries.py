"""The node's retry policy, shared by the threads of all requests."""

import threading


class SharedRetryPolicy:
    """Serializes the access of threads to a `RetryPolicy`.

    It uses a lock instead of an actor, because every request is counted in the budget
    and the lock is held for that addition only.
    """

    def __init__(self, policy):
        self._policy = policy
        self._lock = threading.Lock()

    def count_request(self):
        """Count a request."""
        with self._lock:
            self._policy.count_request()

    def decide(self, *arguments):
        """Return the decision of `RetryPolicy.decide` on a failed attempt."""
        with self._lock:
            return self._policy.decide(*arguments)
