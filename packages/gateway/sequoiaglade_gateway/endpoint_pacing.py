"""The coordinator's part in pacing endpoints that have started or recovered."""

import time

import structlog

from sequoiaglade_decisions.gateway import EndpointPaces

from . import messages
from .pace_messages import FirstEventObserved, WorkTimeNamed

# The answer of a batch item, for which callers need no time to the first event: it is
# just in time, so that the limit rises by one in each response time.
BATCH_LATENESS = 1.0


class FleetPacing:
    """Feeds the node's `EndpointPaces` from its own answers, and reports changes.

    The coordinator owns it. `count` counts a decision by event and outcome.
    """

    def __init__(self, is_on, count=None, wall_clock=time.time):
        self.paces = EndpointPaces(is_on)
        self._count = count
        self._wall_clock = wall_clock
        self._log = structlog.get_logger()

    def note_list(self, endpoints, now):
        """Note the complete list of endpoints."""
        self.paces.note_list(endpoints, now, self._wall_clock())
        self.log_changes(now)

    def note_endpoint(self, endpoint, now):
        """Note a changed entry of an endpoint."""
        self.paces.note_endpoint(endpoint, now)
        self.log_changes(now)

    def note_return(self, endpoint_ids, now):
        """Limit endpoints whose evacuation has ended."""
        self.paces.note_return(endpoint_ids, now)
        self.log_changes(now)

    def handle(self, message, now, loads, scheduling):
        """Handle one of the messages of `pace_messages`."""
        match message:
            case FirstEventObserved(endpoint_id, seconds, lateness):
                weight = self.weight(endpoint_id, now, loads)
                self.paces.note_answer(endpoint_id, lateness, seconds, now, weight)
                scheduling.note_answer(endpoint_id, lateness, seconds)
            case WorkTimeNamed(endpoint_id, percent):
                self.paces.note_figure(endpoint_id, percent, now)
                scheduling.note_figure(endpoint_id, percent, now)
        self.log_changes(now)

    def note_end(self, message, now, loads, scheduling):
        """Note the `RequestEnded` of a request of this node."""
        endpoint_id = message.endpoint_id
        if not self.paces.is_paced(endpoint_id):
            return
        match message.outcome:
            case messages.DONE if message.is_batch:
                weight = self.weight(endpoint_id, now, loads)
                self.paces.note_answer(endpoint_id, BATCH_LATENESS, 0.0, now, weight)
                scheduling.note_answer(endpoint_id, BATCH_LATENESS, 0.0)
            case messages.NOT_SENT | messages.BROKEN | messages.ABANDONED:
                self.paces.note_failure(endpoint_id, now)
            case messages.REFUSED:
                self.paces.note_refusal(endpoint_id, now)
        self.log_changes(now)

    def log_changes(self, now):
        """Log and count the limits that began, fell or ended since the last call."""
        for endpoint_id, change, requests, reason in self.paces.take_changes():
            self._log.info(
                "endpoint pace",
                endpoint_id=endpoint_id,
                change=change,
                requests=round(requests, 2),
                reason=reason,
            )
            if self._count is not None:
                self._count("endpoint pace", change)

    def weight(self, endpoint_id, now, loads):
        """Return for how many requests an answer to this node stands.

        In a small fleet each node sees only its own answers. In a large one the
        scheduler sees all.
        """
        own = sum(loads.own().get(endpoint_id, (0, 0)))
        if loads.is_fleet_large or not own:
            return 1.0
        return sum(loads.counts(endpoint_id, now)) / own


def apply_result(result, health, paces, now, is_own):
    """Update health and paces of a scheduler from the `EndpointResult` of a node.

    `is_own` is whether the scheduler's own node reports it, which has applied it to the
    paces already.
    """
    endpoint_id = result.endpoint_id
    match result.outcome:
        case messages.DONE:
            health.note_success(endpoint_id)
        case messages.NOT_SENT | messages.BROKEN:
            # Requests that fail in one crash count as one failure.
            if health.is_available(endpoint_id, now):
                if not is_own:
                    paces.note_failure(endpoint_id, now)
                is_limited = paces.is_limited(endpoint_id)
                health.note_failure(endpoint_id, now, is_limited)
        case messages.REFUSED:
            health.note_full(endpoint_id, now)
            if not is_own:
                paces.note_refusal(endpoint_id, now)
        case messages.SILENT:
            health.note_silence(endpoint_id, now)
            if not is_own:
                paces.note_silence(endpoint_id, now)
    if result.pause_seconds:
        if not is_own:
            ratio = health.interval_ratio(result.pause_seconds)
            paces.note_interval(endpoint_id, ratio, now)
        health.note_pace(endpoint_id, result.pause_seconds)
    if is_own:
        return
    if result.lateness:
        paces.note_answer(endpoint_id, result.lateness, result.answer_seconds, now)
    if result.work_percent:
        age = result.work_age_seconds
        paces.note_figure(endpoint_id, result.work_percent, now, age)
