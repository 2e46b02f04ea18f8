"""The load and health of one endpoint as this node sees them."""

import math

from .health import Health

OWN_PEAK_WINDOW_SECONDS = 1.0
REPORT_LIFETIME_SECONDS = 10.0
OVERCOMMIT_REQUESTS = 1


class EndpointState:
    """Slots, requests in flight and health of one endpoint.

    Two sources describe the requests of other nodes: their gossip, and the endpoint's
    lagged report less this node's own requests. Both count the same requests, so the
    larger figure is used, never the sum. Both are also outdated: `estimated_others` is
    the pool's estimate of the current number.
    """

    __slots__ = (
        "endpoint_id",
        "target",
        "domain",
        "slots",
        "health",
        "leaving_sources",
        "own_online",
        "own_batch",
        "peer_count",
        "peer_batch",
        "reported_others",
        "reported_at",
        "estimated_others",
        "busy_until",
        "held_until",
        "reserved_for",
        "is_available",
        "counted_free",
        "counted_own_free",
        "available_index",
        "_own_peaks",
        "_window",
    )

    def __init__(self, endpoint_id):
        self.endpoint_id = endpoint_id
        self.target = ""
        self.domain = ""
        self.slots = 0
        self.health = Health()
        self.leaving_sources = set()
        self.own_online = 0
        self.own_batch = 0
        self.peer_count = 0
        self.peer_batch = 0
        self.reported_others = 0
        self.reported_at = float("-inf")
        self.estimated_others = 0.0
        self.busy_until = 0.0
        self.held_until = 0.0
        self.reserved_for = None
        self.is_available = False
        self.counted_free = 0
        self.counted_own_free = 0
        self.available_index = -1
        self._own_peaks = [0, 0]
        self._window = 0

    @property
    def own_in_flight(self):
        """The number of this node's requests and batch items in flight."""
        return self.own_online + self.own_batch

    @property
    def last_known_others(self):
        """The number of other nodes' requests in flight by the latest information."""
        return max(self.peer_count, self.reported_others)

    @property
    def is_usable(self):
        """Whether the endpoint may get requests once it has a free slot."""
        return not self.leaving_sources and self.health.cap != 0

    def limit(self):
        """Return the maximum number of requests in flight."""
        cap = self.health.cap
        return self.slots if cap is None else min(cap, self.slots)

    def accepts_work(self, now):
        """Return whether the endpoint may get requests if it has free slots."""
        if self.leaving_sources or self.reserved_for is not None:
            return False
        return now >= self.held_until and now >= self.busy_until

    def free_slots(self, now):
        """Return the estimated free slots at `now`, at least 0."""
        if not self.accepts_work(now):
            return 0
        by_slots = math.ceil(self.slots - self.own_in_flight - self.estimated_others)
        return max(0, min(by_slots, self.limit() - self.own_in_flight))

    def own_free_slots(self, now):
        """Return the slots that this node's own requests leave free."""
        return self.limit() - self.own_in_flight if self.accepts_work(now) else 0

    def may_overcommit(self, now):
        """Return whether an online request may queue at the endpoint for a slot.

        The number of other nodes' requests is an estimate. While it is not 0, one
        request beyond the free slots keeps the endpoint busy if the estimate is too
        high.
        """
        if not self.accepts_work(now) or not self.estimated_others:
            return False
        room = (
            self.slots
            + OVERCOMMIT_REQUESTS
            - self.own_in_flight
            - self.estimated_others
        )
        return room > 0 and self.own_in_flight < self.limit()

    def load(self):
        """Return the fraction of slots in use with one more request."""
        return (self.own_in_flight + self.estimated_others + 1) / max(1, self.slots)

    def add_in_flight(self, is_batch, change, now):
        """Add `change` to the number of this node's requests in flight."""
        if is_batch:
            self.own_batch += change
        else:
            self.own_online += change
        self._advance_window(now)
        self._own_peaks[1] = max(self._own_peaks[1], self.own_in_flight)

    def apply_report(self, total, now):
        """Apply a lagged report of all nodes' requests in flight.

        The peak of this node's own requests in the last two windows is subtracted,
        since it is not known at which moment the report was made.
        """
        self._advance_window(now)
        self.reported_others = max(0, total - max(*self._own_peaks, self.own_in_flight))
        self.reported_at = now

    def forget_old_report(self, now):
        """Drop a report older than `REPORT_LIFETIME_SECONDS`; return whether it did."""
        is_old = now - self.reported_at > REPORT_LIFETIME_SECONDS
        if not is_old or not self.reported_others:
            return False
        self.reported_others = 0
        return True

    def has_expiry(self, now):
        """Return whether a hold, pause, ejection or report has yet to expire."""
        is_paused = self.held_until > now or self.busy_until > now
        return is_paused or self.health.cap == 0 or self.reported_others > 0

    def _advance_window(self, now):
        window = int(now / OWN_PEAK_WINDOW_SECONDS)
        if window != self._window:
            is_next = window == self._window + 1
            self._own_peaks = [
                self._own_peaks[1] if is_next else self.own_in_flight,
                self.own_in_flight,
            ]
            self._window = window
