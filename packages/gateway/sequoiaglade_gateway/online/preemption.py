"""Preemption of batch items at endpoints where online requests wait behind them."""

import contextlib
import heapq
import itertools
import random
import threading
import time

import structlog

from sequoiaglade_node.threads import OwnedThread

from ..messages import BatchPeers

# A request without an event for this long is assumed to wait in the endpoint's queue:
# three times the latency of an endpoint with a free slot, and a sixth of the objective.
QUEUED_AFTER_SECONDS = 0.05


class BatchPreemptor(OwnedThread):
    """One thread that frees slots for requests whose responses have not begun.

    A load peak may start within a fraction of a second. The nodes' counts of each
    other's requests are older than that, so some requests are placed at endpoints that
    have become full. A batch item of this node is then stopped there, or one of a peer.
    """

    def __init__(self, parts, ask_to_yield):
        super().__init__("room")
        self._parts = parts
        self._ask_to_yield = ask_to_yield
        self._numbers = itertools.count()
        self._checks = []
        self._endpoint_by_number = {}
        self._changed = threading.Condition()

    @contextlib.contextmanager
    def watching(self, endpoint_id):
        """Preempt batch items at an endpoint, one at a time, while in this context."""
        number = next(self._numbers)
        self._endpoint_by_number[number] = endpoint_id
        with self._changed:
            heapq.heappush(
                self._checks, (time.monotonic() + QUEUED_AFTER_SECONDS, number)
            )
            if len(self._checks) == 1:
                self._changed.notify()
        try:
            yield
        finally:
            self._endpoint_by_number.pop(number, None)

    def _interrupt(self):
        with self._changed:
            self._changed.notify()

    def _run(self):
        while not self._stopped.is_set():
            endpoint_id = self._next_endpoint()
            if endpoint_id is not None:
                self._preempt_at(endpoint_id)

    def _next_endpoint(self):
        with self._changed:
            if not self._checks:
                self._changed.wait()
                return None
            due_at, number = self._checks[0]
            seconds_left = due_at - time.monotonic()
            if seconds_left > 0:
                self._changed.wait(seconds_left)
                return None
            heapq.heappop(self._checks)
            endpoint_id = self._endpoint_by_number.get(number)
            if endpoint_id is not None:
                next_check_at = time.monotonic() + QUEUED_AFTER_SECONDS
                heapq.heappush(self._checks, (next_check_at, number))
        return endpoint_id

    def _preempt_at(self, endpoint_id):
        if self._parts.batch.preempt(endpoint_id):
            return
        addresses = self._parts.coordinator.ask(BatchPeers(endpoint_id))
        if addresses:
            address = random.choice(addresses)
            self._ask_to_yield(address, endpoint_id)
            structlog.get_logger().info(
                "peer asked to yield", endpoint_id=endpoint_id, peer=address
            )
