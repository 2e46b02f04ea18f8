"""Recalls the running attempt of a request that may have crashed an endpoint."""

import threading


class Recall:
    """Whether the running attempt of one request may be recalled, and was recalled.

    The dispatching actor recalls the attempt while the request's own thread relays the
    response: the lock decides which of the two comes first. A stream that was partly
    relayed is recalled only if it can be resumed, because it would break otherwise.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._stopped = None
        self._can_resume = _always

    def watch(self, slot, attempt):
        """Abort `attempt` when the slot's ticket is recalled."""
        slot.on_recall(lambda: self._stop(attempt))

    def begin_relay(self, attempt, can_resume):
        """Return whether a part of the response may be relayed now.

        From now on the attempt is recalled only while `can_resume` returns true. A
        recalled attempt must not relay anything.
        """
        with self._lock:
            if self.has_stopped(attempt):
                return False
            self._can_resume = can_resume
            return True

    def has_stopped(self, attempt):
        """Return whether `attempt` was recalled."""
        return self._stopped is attempt

    def _stop(self, attempt):
        with self._lock:
            if self._can_resume():
                self._stopped = attempt
                attempt.abort()


def _always():
    return True


def never():
    """Return False, as `can_resume` of a stream that can't be resumed."""
    return False
