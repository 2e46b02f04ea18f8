"""Makes room at endpoints where online requests wait behind batch items."""

import contextlib
import heapq
import itertools
import random
import threading
import time

import structlog

from sequoiaglade_node.threads import OwnedThread

from ..messages import BatchPeers

# A request without an event for this long waits in an endpoint's queue, in seconds:
# three times what an endpoint with a free slot takes, and a sixth of the objective.
WAITING_SECONDS = 0.05


class BatchPreemptor(OwnedThread):
    """One thread that looks after requests that have begun no answer yet.

    Answers the load pattern of a peak that sets in within a fraction of a second:
    what nodes know of each other's requests is older than that, so that some are
    placed at endpoints that are full by then. An item of this node is stopped there,
    or of a peer that has some.
    """

    def __init__(self, parts, ask_to_yield):
        super().__init__("room")
        self._parts = parts
        self._ask_to_yield = ask_to_yield
        self._numbers = itertools.count()
        self._due = []
        self._waiting = {}
        self._changed = threading.Condition()

    @contextlib.contextmanager
    def watching(self, endpoint_id):
        """Make room at an endpoint, again and again until this is left."""
        number = next(self._numbers)
        self._waiting[number] = endpoint_id
        with self._changed:
            heapq.heappush(self._due, (time.monotonic() + WAITING_SECONDS, number))
            if len(self._due) == 1:
                self._changed.notify()
        try:
            yield
        finally:
            self._waiting.pop(number, None)

    def _interrupt(self):
        with self._changed:
            self._changed.notify()

    def _run(self):
        while not self._stopped.is_set():
            endpoint_id = self._next_waiting()
            if endpoint_id is not None:
                self._make_room(endpoint_id)

    def _next_waiting(self):
        with self._changed:
            if not self._due:
                self._changed.wait()
                return None
            due_at, number = self._due[0]
            left = due_at - time.monotonic()
            if left > 0:
                self._changed.wait(left)
                return None
            heapq.heappop(self._due)
            endpoint_id = self._waiting.get(number)
            if endpoint_id is not None:
                again_at = time.monotonic() + WAITING_SECONDS
                heapq.heappush(self._due, (again_at, number))
        return endpoint_id

    def _make_room(self, endpoint_id):
        if self._parts.batch.preempt(endpoint_id):
            return
        addresses = self._parts.coordinator.ask(BatchPeers(endpoint_id))
        if addresses:
            address = random.choice(addresses)
            self._ask_to_yield(address, endpoint_id)
            structlog.get_logger().info(
                "peer asked to yield", endpoint_id=endpoint_id, peer=address
            )
