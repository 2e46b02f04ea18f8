"""State of one stand-in endpoint: slots, load, faults and records of its runs."""

import threading
import time
from typing import NamedTuple


class EndpointFaults(NamedTuple):
    """Faults that are injected into the endpoint.

    ``crash_marker``: a request whose body contains it crashes the endpoint.
    ``refuse``: every request gets status 503 before its run starts.
    ``break_after``: number of tokens after which streams are reset (-1: never).
    ``truncate``: responses end early, without their end marker.
    ``cross``: responses carry the id of another request.
    ``delay``: seconds before each response starts.
    ``hold``: responses start only after this fault has ended.
    ``leaving``: requests are refused with ``X-Endpoint-State: leaving``.
    ``restart_seconds``: downtime after a crash.
    ``late``: responses carry the id of the previous request.
    ``double``: complete responses are sent twice.
    ``short_length``: complete responses declare half their length.
    ``cut_event``: a stream that is reset ends in the middle of an event.
    ``size_digits``: sizes of chunks are padded with zeros to this number of digits.
    ``cut_size``: a stream that breaks is closed within the zeros of such a size.
    ``stall_after``: number of tokens after which streams stop sending (-1: never).
    ``stray_after``: number of tokens after which a stream contains an event of another
    request (-1: never). The id of that event is the request's id with one character
    appended.
    ``fail_status``: status with which every run fails (0: none).
    """

    crash_marker: str = ""
    refuse: bool = False
    break_after: int = -1
    truncate: bool = False
    cross: bool = False
    delay: float = 0.0
    hold: bool = False
    leaving: bool = False
    restart_seconds: float = 1.0
    late: bool = False
    double: bool = False
    short_length: bool = False
    cut_event: bool = False
    size_digits: int = 0
    cut_size: bool = False
    stall_after: int = -1
    stray_after: int = -1
    fail_status: int = 0


class Run(NamedTuple):
    """One run that the endpoint started.

    `started_at` is in seconds since the epoch; `resumed_from` is the number of tokens
    that an earlier run of the request had sent.
    """

    request_id: str
    started_at: float
    state: str
    path: str
    credential_headers: list
    resumed_from: int = 0


class Engine:
    """State of one stand-in endpoint, which batches continuously over its slots."""

    def __init__(self, name, slots, token_seconds, report_lag):
        self.name = name
        self.slots = slots
        self.token_seconds = token_seconds
        self.faults = EndpointFaults()
        self.runs = []
        self.crashes = 0
        self.highest_fencing_token = 0
        self.orders = []
        self.lock = threading.Lock()
        self.free = threading.Semaphore(slots)
        self._report_lag = report_lag
        self._loads = [(0.0, 0, 0)]
        self._running = 0
        self._queued = 0
        self._crashed_until = 0.0
        self._generation = 0
        self._cancelled = set()

    def set_faults(self, values):
        """Replace the current faults."""
        self.faults = EndpointFaults(**values)

    @property
    def is_crashed(self):
        """Whether the endpoint is down after a crash."""
        return time.monotonic() < self._crashed_until

    @property
    def generation(self):
        """Number that each crash increases; runs of older generations are lost."""
        return self._generation

    def crash(self):
        """Lose all runs in flight and stay down for `restart_seconds`."""
        with self.lock:
            self.crashes += 1
            self._generation += 1
            self._crashed_until = time.monotonic() + self.faults.restart_seconds

    def start(self, request_id, path, credential_headers, resumed_from=0):
        """Record a run; return its index in `runs`."""
        with self.lock:
            run = Run(
                request_id,
                time.time(),
                "running",
                path,
                credential_headers,
                resumed_from,
            )
            self.runs.append(run)
            return len(self.runs) - 1

    def finish(self, index, state):
        """Record the final state of a run."""
        with self.lock:
            self.runs[index] = self.runs[index]._replace(state=state)

    def cancel(self, request_id, attempt_id=""):
        """Cancel one attempt of a request, or all of them without an `attempt_id`."""
        with self.lock:
            self._cancelled.add((request_id, attempt_id))

    def is_cancelled(self, request_id, attempt_id=""):
        """Return whether the attempt was cancelled."""
        ids = {(request_id, attempt_id), (request_id, "")}
        return not self._cancelled.isdisjoint(ids)

    def previous_id(self, request_id):
        """Return the id of the latest run of another request."""
        with self.lock:
            ids = [r.request_id for r in self.runs if r.request_id != request_id]
        return ids[-1] if ids else "none"

    def count(self, running=0, queued=0):
        """Add to the counts of running and queued requests."""
        with self.lock:
            self._running += running
            self._queued += queued
            self._loads.append((time.monotonic(), self._running, self._queued))
            del self._loads[:-10_000]

    def load(self):
        """Return the load as it was `report_lag` seconds ago."""
        horizon = time.monotonic() - self._report_lag
        with self.lock:
            index = len(self._loads) - 1
            while index > 0 and self._loads[index][0] > horizon:
                index -= 1
            _, running, queued = self._loads[index]
        return {
            "slots": self.slots,
            "running": running,
            "queued": queued,
            "leaving": self.faults.leaving,
        }

    def accept_order(self, fencing, order, checks_fencing):
        """Record an order; return False if its fencing token is outdated."""
        with self.lock:
            if checks_fencing and fencing < self.highest_fencing_token:
                return False
            self.highest_fencing_token = max(fencing, self.highest_fencing_token)
            self.orders.append({"fencing": fencing, "order": order})
            return True
