"""The coordinator's part in the requests of this node: where they run, how they end."""

import structlog

from sequoiaglade_decisions.gateway import RESERVE_SLOTS, Full, Placed

from . import messages
from .messages import InFlightRequest


class RequestsInFlight:
    """Places the requests of this node, and counts them until they end.

    A request is placed here (`place`), or by a scheduler in a large fleet and then only
    begun here (`begin_scheduled`). The coordinator owns it; it reads and updates the
    coordinator's other parts.
    """

    def __init__(
        self,
        settings,
        directory,
        regions,
        loads,
        pacing,
        scheduling,
        limits,
        admission,
        blame,
    ):
        self._settings = settings
        self._directory = directory
        self._regions = regions
        self._loads = loads
        self._pacing = pacing
        self._scheduling = scheduling
        self._limits = limits
        self._admission = admission
        self._blame = blame
        self._log = structlog.get_logger()

    def place(self, message, now):
        """Begin the request of a `PlaceRequest` at an endpoint that is chosen here.

        Return `InFlightRequest`, `Full` or `QuotaExceeded`; for a batch item that gets
        no slot None.
        """
        if message.is_batch:
            return self._place_batch(message, now)
        refusal = self._admission.check(message, now)
        if refusal is not None:
            return refusal
        endpoints = self._directory.usable(message.service, now, message.version)
        endpoints = self._regions.allowed(message.regions, endpoints)
        if not endpoints:
            endpoints = self._directory.serving_on(
                message.service, now, message.version
            )
            endpoints = self._regions.allowed(message.regions, endpoints)
        is_open = self._open(endpoints, message, now)
        choice = self._loads.choose(
            is_open, now, message.spread, message.excluded, message.headroom
        )
        match choice:
            case Full(retry_after, False) if endpoints:
                seconds = self._limits.seconds_until_open(endpoints, now)
                return Full(max(seconds, retry_after), True)
            case Full():
                return choice
            case Placed(endpoint_id, preempts):
                self._admission.note_admitted(message, now)
                return self._begin(endpoint_id, preempts, False, now)

    def _place_batch(self, message, now):
        endpoints = self._directory.usable(message.service, now, message.version)
        endpoints = self._regions.allowed(message.regions, endpoints)
        endpoints = [
            endpoint
            for endpoint in self._open(endpoints, message, now)
            if endpoint.endpoint_id not in message.excluded
        ]
        endpoint_id = self._loads.choose_for_batch(
            endpoints, now, RESERVE_SLOTS, message.spread
        )
        if endpoint_id is None:
            return None
        return self._begin(endpoint_id, False, True, now)

    def _open(self, endpoints, message, now):
        if message.was_denied:
            return self._limits.open_here(endpoints, message.is_batch, now)
        return self._limits.open(endpoints, message.is_batch, now)

    def begin_scheduled(self, message, now):
        """Begin the request of a `BeginRequest` where a scheduler has placed it.

        Return `InFlightRequest`, or None if the endpoint may not be used.
        """
        # A scheduler of an older release ignores the regions of a request.
        if not self.accepts(message.endpoint_id, message.place.regions, now):
            return None
        if message.pace is not None:
            self._pacing.paces.note_told(message.pace, now)
        self._admission.note_admitted(message.place, now)
        is_batch = message.place.is_batch
        placed = self._begin(message.endpoint_id, False, is_batch, now)
        if not (message.has_permit or message.has_cold_permit):
            return placed
        return placed._replace(
            has_permit=message.has_permit, has_cold_permit=message.has_cold_permit
        )

    def accepts(self, endpoint_id, regions, now):
        """Return whether an endpoint accepts requests with these allowed regions."""
        endpoint = self._directory.get(endpoint_id, now)
        if endpoint is None or not endpoint.accepts_requests:
            return False
        return self._regions.allows(regions, endpoint)

    def _begin(self, endpoint_id, preempts, is_batch, now):
        self._loads.begin(endpoint_id, is_batch)
        self._scheduling.note_begin()
        in_flight = sum(self._loads.counts(endpoint_id, now))
        endpoint = self.find_endpoint(endpoint_id, now)
        is_paced = self._pacing.paces.is_paced(endpoint_id)
        return InFlightRequest(endpoint, preempts, in_flight, is_paced=is_paced)

    def find_endpoint(self, endpoint_id, now):
        """Return an endpoint with its limits as they are now, or None."""
        endpoint = self._directory.get(endpoint_id, now)
        if endpoint is None:
            return None
        return self._limits.describe(endpoint, now)

    def end(self, message, now):
        """Count the request of a `RequestEnded` no more, and learn from its outcome."""
        endpoint_id = message.endpoint_id
        self._pacing.note_end(message, now, self._loads, self._scheduling)
        self._loads.end(endpoint_id, message.is_batch)
        run_seconds = 0.0
        if message.sent_at is not None and self._settings.cold_starts is not None:
            run_seconds = now - message.sent_at
        self._scheduling.note_end(endpoint_id, message.outcome, run_seconds=run_seconds)
        match message.outcome:
            case messages.DONE:
                self._loads.health.note_success(endpoint_id)
                if message.sent_at is not None:
                    self._limits.cold.note_done(endpoint_id, message.sent_at, now)
            case messages.NOT_SENT:
                self._note_failure(endpoint_id, now)
                self._limits.cold.note_failure(endpoint_id, now)
            case messages.REFUSED:
                self._loads.health.note_full(endpoint_id, now)
            case messages.BROKEN:
                self._note_failure(endpoint_id, now)
                self._limits.cold.note_failure(endpoint_id, now)
                self._blame.note_crash(message, now)
            case messages.ABANDONED:
                # A connection that this node ended does not show a new start.
                self._note_failure(endpoint_id, now)
                self._blame.note_crash(message, now)

    def _note_failure(self, endpoint_id, now):
        is_limited = self._pacing.paces.is_limited(endpoint_id)
        self._loads.health.note_failure(endpoint_id, now, is_limited)
        self._log.info("endpoint avoided", endpoint_id=endpoint_id)
