"""The memory budget of all listeners of a process."""

import contextlib
import threading
import time

import structlog

from sequoiaglade_decisions.memory import MemoryBudget

# Log lines on refusals and closings per second; the counters have all of them.
LOG_LINES_PER_SECOND = 5
JOB_WAIT_SECONDS = 2.0
JOB_POLL_SECONDS = 0.05
# Part of the budget that one request may have reserved, so that the largest one within
# the limits is served if no other is.
REQUEST_FRACTION = 0.75


class ClientMemory:
    """Thread-safe `MemoryBudget` of a process, whose holders are connections.

    Holders to be closed get a call of their method ``evict``. `count` is called with an
    event and its outcome for each refusal and closing.
    """

    def __init__(self, total, count=lambda event, outcome: None):
        self._lock = threading.Lock()
        self._budget = MemoryBudget(total)
        self._count = count
        self._line_second = 0
        self._line_count = 0
        self.total = total

    def reserve(
        self, holder, size, is_closable=True, is_forced=False, patience_seconds=0.0
    ):
        """Change the bytes that a holder has; return whether they are reserved.

        The holder counts as stalled `patience_seconds` later than others.
        """
        with self._lock:
            reservation = self._budget.reserve(
                holder,
                size,
                time.monotonic(),
                is_closable,
                is_forced,
                patience_seconds,
            )
        for closed in reservation.to_close:
            self.report("closed", "the memory for clients is used up")
            closed.evict()
        return reservation.is_granted

    def release(self, holder):
        """Record that a holder has nothing any more."""
        with self._lock:
            self._budget.release(holder)

    @contextlib.contextmanager
    def working(self, size, beside=0, seconds=JOB_WAIT_SECONDS):
        """Hold `size` bytes, or the greatest allowed part, while work is done.

        `beside` is what the connection of the request holds. Yield whether the bytes
        were reserved within `seconds`.
        """
        holder = _Work()
        size = min(size, max(0, int(self.total * REQUEST_FRACTION) - beside))
        end_at = time.monotonic() + seconds
        while not (is_held := self.reserve(holder, size, is_closable=False)):
            if time.monotonic() >= end_at:
                break
            time.sleep(JOB_POLL_SECONDS)
        try:
            yield is_held
        finally:
            self.release(holder)

    def report(self, outcome, reason, **details):
        """Count a refusal or closing, and log it within a bound of lines."""
        self._count("client memory", outcome)
        second = int(time.monotonic())
        with self._lock:
            if second != self._line_second:
                self._line_second, self._line_count = second, 0
            self._line_count += 1
            is_logged = self._line_count <= LOG_LINES_PER_SECOND
        if is_logged:
            structlog.get_logger().warning(
                "client " + outcome, reason=reason, **details
            )


class _Work:
    """Holder of the memory of work on a request, which is never closed."""
