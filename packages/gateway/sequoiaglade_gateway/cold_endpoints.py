"""The coordinator's knowledge of cold endpoints, and what responses say of them."""

import time

import structlog

from sequoiaglade_decisions.gateway import (
    ColdEndpoints,
    ColdState,
    Evidence,
)

from .access_messages import ColdResponse

# What is known of endpoints that are not listed any more is looked through this often.
PRUNE_SECONDS = 10.0


def note_cold_response(parts, request, head, sent_at):
    """Tell the coordinator of a response that shows whether an endpoint is cold.

    A response without the time shows that an endpoint that is presumed to have started
    again answers.
    """
    endpoint = request.endpoint
    if head.endpoint_id not in (None, endpoint.endpoint_id):
        return
    if head.cold_seconds is None and not endpoint.cold_seconds:
        return
    seconds = head.cold_seconds
    parts.coordinator.tell(ColdResponse(endpoint.endpoint_id, seconds, sent_at))


def is_permit_expired(request):
    """Return whether a request to a cold endpoint must not be sent any more.

    The bound holds for requests in one second, so that permits are used soon.
    """
    until = request.permit_until
    return until is not None and time.monotonic() > until


class FleetColdEndpoints:
    """The coordinator's `ColdEndpoints`; nothing is cold without `cold_starts`.

    It logs when endpoints become cold and when they are warm again.
    """

    def __init__(self, cold_starts):
        self._cold_starts = cold_starts
        overshoot, slack = 1.0, 0.0
        if cold_starts is not None:
            overshoot, slack = cold_starts.overshoot, cold_starts.slack
        self._cold = ColdEndpoints(overshoot, slack)
        self._logged_ids = set()
        self._prune_at = 0.0
        self._log = structlog.get_logger()

    @property
    def has_any(self):
        """Whether any endpoint may be cold, or its end is not logged yet."""
        if self._cold_starts is None:
            return False
        return self._cold.has_suspects or bool(self._logged_ids)

    def configure(self, service_by_name):
        """Follow the services of a configuration."""
        self._cold.configure(service_by_name)

    def find(self, endpoint, now):
        """Return the `ColdState` of an `Endpoint`, or None if it is warm."""
        if self._cold_starts is None:
            return None
        state = self._cold.find(endpoint, now)
        self._log_change(endpoint.endpoint_id, state)
        return state

    def note_entries(self, endpoints, now):
        """Record the entries of endpoints as they arrive."""
        for endpoint in endpoints:
            self._cold.note_entry(endpoint, now)
            self.find(endpoint, now)

    def note_failure(self, endpoint_id, now):
        """Record that an endpoint refused or broke a connection."""
        if self._cold_starts is None:
            return
        self._cold.note_failure(endpoint_id, now)

    def note_response(self, endpoint, seconds, sent_at, now):
        """Record a response, as `ColdEndpoints.note_response` does."""
        self._cold.note_response(endpoint, seconds, sent_at, now)
        self.find(endpoint, now)

    def note_reported_answer(self, endpoint, now):
        """Record that a node reported an answer."""
        if self._cold_starts is None:
            return
        self._cold.note_reported_answer(endpoint, now)

    def note_own_answer(self, endpoint_id, sent_at, now):
        """Record that an endpoint answered a request of this node on its own way."""
        if self._cold_starts is None:
            return
        self._cold.note_own_answer(endpoint_id, sent_at, now)

    def note_done(self, endpoint_id, sent_at, now):
        """Record that a request ended well that was sent at a time."""
        if self._cold_starts is None:
            return
        self._cold.note_done(endpoint_id, sent_at, now)

    def find_told(self, endpoint, born, notice, now):
        """Return the `ColdState` of an endpoint that a peer considers cold.

        It is None if a later start is known here, and not to be cold. The peer's rate
        is used while this node's configuration has none.
        """
        is_current = self._cold.note_told(
            endpoint, born, notice.seconds, now, notice.is_unconfirmed
        )
        state = self.find(endpoint, now)
        if state is not None or not is_current:
            return state
        bound = self._cold.bound(notice.rate)
        return ColdState(bound, notice.seconds, Evidence.PEER)

    def is_reportable(self, endpoint, now):
        """Return whether peers are to be told that an endpoint is cold.

        >>> from sequoiaglade_decisions.gateway import Endpoint, Service
        >>> cold = FleetColdEndpoints(cold_starts=None)
        >>> cold.configure({"s": Service("s", cold_seconds=3.0, cold_rate=8.5)})
        >>> endpoint = Endpoint("e-1", "s", "", "d", 8, cold_seconds=3.0)
        >>> cold.note_entries([endpoint], now=0.0)
        >>> cold.is_reportable(endpoint, now=1.0)
        False
        """
        if self._cold_starts is None:
            return False
        return self._cold.is_reportable(endpoint, now)

    def receive(self, report, endpoint, now):
        """Record a peer's `ColdReport` of an endpoint."""
        if self._cold_starts is None:
            return
        self._cold.receive(report, endpoint, now)
        self.find(endpoint, now)

    def find_all(self, endpoints, now):
        """Return those of the listed endpoints that are cold, as a list.

        Log those that are warm again, and forget others than the listed after a while.
        """
        if now >= self._prune_at:
            self._prune_at = now + PRUNE_SECONDS
            self._cold.keep_only({e.endpoint_id for e in endpoints}, now)
        if not self.has_any:
            return []
        self._logged_ids &= {e.endpoint_id for e in endpoints}
        return [e for e in endpoints if self.find(e, now) is not None]

    def status(self, endpoints, now):
        """Return the seconds left and the evidence of cold endpoints, by id."""
        states = {e.endpoint_id: self.find(e, now) for e in endpoints}
        return {
            endpoint_id: {
                "seconds_left": round(state.seconds, 3),
                "evidence": state.evidence.value,
                "rate": state.bound.rate,
            }
            for endpoint_id, state in states.items()
            if state is not None
        }

    def _log_change(self, endpoint_id, state):
        is_cold = state is not None
        if is_cold == (endpoint_id in self._logged_ids):
            return
        if not is_cold:
            self._logged_ids.remove(endpoint_id)
            self._log.info("endpoint warm", endpoint_id=endpoint_id)
            return
        self._logged_ids.add(endpoint_id)
        self._log.info(
            "endpoint cold",
            endpoint_id=endpoint_id,
            evidence=state.evidence.value,
            seconds=round(state.seconds, 3),
            rate=state.bound.rate,
        )
