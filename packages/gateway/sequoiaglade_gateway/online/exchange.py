"""The attempts of an online request, until a response begins or the request fails."""

import contextlib
import time

import structlog

from sequoiaglade_decisions.gateway import (
    AttemptCounts,
    Fault,
    Full,
    NextStep,
    ResponseBounds,
    next_step,
)
from sequoiaglade_node.web import Response

from ..endpoint_calls import (
    CallFault,
    CompleteResponse,
    EventStreamResponse,
    open_call,
)
from ..endpoint_requests import EndpointRequest
from ..evacuations import PlacedAttempt
from ..messages import (
    ABANDONED,
    BROKEN,
    DONE,
    NOT_SENT,
    REFUSED,
    STOPPED,
    EventIntervalObserved,
    PlaceRequest,
    QuotaExceeded,
    RequestEnded,
)
from ..pace_messages import FirstEventObserved
from .first_events import read_first_events
from .giving_up import RETRY_AFTER_SECONDS, give_up, refuse_full, refuse_quota
from .prompt_parts import is_suspect, note_answer, note_endpoint_answer
from .refusals import GatewayRefusal, refusal_response
from .requests import StartedStream
from .silence import CLOCK_MARGIN_SECONDS, AttemptPatience, ReservedPlace
from .stream import EventRelay

# Interval at which a request that has left a silent endpoint looks for a new place.
PLACE_INTERVAL_SECONDS = 0.1
# Callers abandon a stream after two seconds without an event. Where another endpoint
# may be tried, an event that is still incomplete after this time is not awaited.
EVENT_SECONDS = 1.5
# Part of the time left that a complete body may take while another attempt is left.
BODY_TIME_FRACTION = 0.5


class Exchange:
    """Runs a request at endpoints; owns the connection and the count in flight."""

    def __init__(self, parts, request, disconnected):
        self._parts = parts
        self.request = request
        self._disconnected = disconnected
        self._stack = contextlib.ExitStack()
        self._attempt = self._new_attempt()
        self._in_flight = None
        self._excluded = frozenset()
        self._reserved = self._stack.enter_context(ReservedPlace(parts))
        self._has_moved = False
        self._is_admitted = False
        # Whether the response shows that the request crashes no endpoint.
        self._is_answered = False
        self._counts = AttemptCounts(0, 0)
        self._placement_seconds = 0.0
        # When the current attempt was sent, None before the first one.
        self._sent_at = None
        self._log = structlog.get_logger()
        self.last_event_id = request.call.last_event_id
        # The last event before the current attempt.
        self.sent_after_event = self.last_event_id
        # The version that began the stream; None before its first event.
        self._version = None
        self.is_client_disconnected = False
        self.first_event_seconds = None

    def answer(self):
        """Return the `Response` to the request."""
        watching = self._parts.hangups.watching(self._must_abort, self._abort)
        self._stack.enter_context(watching)
        outcome = None
        try:
            outcome = self.open()
        finally:
            if not isinstance(outcome, StartedStream):
                self.close()
        match outcome:
            case StartedStream():
                self.first_event_seconds = time.monotonic() - self.request.arrived_at
                self._parts.metrics.record_first_event(
                    self.request, self.first_event_seconds
                )
                relay = EventRelay(self, outcome)
                return Response(200, outcome.answer.headers, relay)
            case CompleteResponse(status, headers, body):
                length = ("Content-Length", str(len(body)))
                return Response(status, [*headers, length], [body])
            case GatewayRefusal():
                return refusal_response(outcome)

    def open(self):
        """Return a `StartedStream`, `CompleteResponse` or `GatewayRefusal`."""
        if self.last_event_id and self._version is None:
            self._version = self._find_version()
            if self._version is None:
                reason = "no node knows the stream to be taken up"
                return give_up(self._parts, self.request, 503, reason)
        while True:
            outcome = self._try_once()
            if not isinstance(outcome, CallFault):
                return outcome
            step = self.decide_next_step(outcome)
            match step:
                case NextStep.REFUSE:
                    return give_up(
                        self._parts,
                        self.request,
                        503,
                        outcome.reason,
                        lacks_capacity=True,
                    )
                case NextStep.FAIL:
                    return give_up(self._parts, self.request, 502, outcome.reason)

    def resume(self, fault):
        """Resume a broken stream at an endpoint; return a `StartedStream`, or None."""
        self.end_attempt(fault)
        if self.decide_next_step(fault) is not NextStep.RETRY:
            return None
        outcome = self.open()
        if isinstance(outcome, StartedStream):
            return outcome
        if isinstance(outcome, CompleteResponse):
            self.end_attempt(
                CallFault(Fault.FAILED, "the endpoint sent no event stream")
            )
        return None

    def decide_next_step(self, fault):
        """Return the `NextStep` after a `CallFault`, and log it."""
        seconds_left = self.request.end_at - time.monotonic()
        if self.is_client_disconnected:
            seconds_left = 0.0
        step = next_step(self.request.route, self._counts, fault.fault, seconds_left)
        if step is NextStep.RETRY and self._may_crash_next(fault):
            step = NextStep.FAIL
        self._log.info(
            "attempt failed",
            request_id=self.request.call.request_id,
            fault=fault.fault.value,
            reason=fault.reason,
            attempts=self._counts.run_count,
            seconds_left=round(seconds_left, 3),
            step=step.value,
        )
        return step

    def end_attempt(self, fault=None):
        """Release the endpoint; `fault` is the `CallFault` of a failed attempt."""
        in_flight_request, self._in_flight = self._in_flight, None
        attempt = self._attempt
        self._attempt = self._new_attempt()
        if in_flight_request is None:
            return
        outcome = _outcome_of(fault, attempt.is_aborted)
        # An endpoint that is only silent may go on: the request did not crash it.
        is_crash = outcome in (BROKEN, ABANDONED) and fault.fault is Fault.BROKEN
        ended = RequestEnded(
            in_flight_request.endpoint.endpoint_id,
            False,
            outcome,
            sent_at=self._sent_at,
        )
        if is_crash:
            ended = ended._replace(
                fingerprint=self.request.fingerprint,
                service=self.request.service or "",
                parts=() if self._is_answered else self.request.call.prompt_parts,
                has_begun=self.last_event_id > self.sent_after_event,
                has_events=self.last_event_id > 0,
            )
        self._parts.coordinator.tell(ended)

    def _may_crash_next(self, fault):
        if fault.fault is not Fault.BROKEN or self._is_answered:
            return False
        return is_suspect(self._parts, self.request, self.last_event_id > 0)

    def is_time_over(self):
        """Return whether the endpoint may have ended its work at the deadline."""
        return time.monotonic() >= self.request.end_at - CLOCK_MARGIN_SECONDS

    def note_whole_answer(self):
        """Note that the response ended, or that its events have lasted."""
        if not self._is_answered:
            self._is_answered = True
            note_answer(self._parts, self.request, is_complete=True)

    def report_event_interval(self, seconds):
        """Report the mean interval between the events of this attempt, in seconds."""
        if self._in_flight is not None:
            endpoint_id = self._in_flight.endpoint.endpoint_id
            self._parts.coordinator.tell(EventIntervalObserved(endpoint_id, seconds))

    def _report_first_event(self):
        objective = self.request.route.objective
        if self._in_flight is None or not self._in_flight.is_paced or objective <= 0:
            return
        seconds = time.monotonic() - self._sent_at
        observed = FirstEventObserved(
            self._in_flight.endpoint.endpoint_id, seconds, seconds / objective
        )
        self._parts.coordinator.tell(observed)

    def close(self, outcome="answered"):
        """Release the endpoint and all other resources."""
        self.end_attempt()
        self._stack.close()
        self._parts.streams.end(
            self.request.call.request_id, is_complete=outcome == "answered"
        )
        self._parts.metrics.count("ended", outcome)

    def _new_attempt(self):
        request_id = self.request.call.request_id
        return PlacedAttempt(self._parts, request_id, self._regions)

    def _try_once(self):
        began_at = time.monotonic()
        version = self._parts.store_cache.version
        self._has_moved = self._has_moved or self._reserved.is_held
        placed = self._reserved.take(self._regions()) or self._place()
        if isinstance(placed, Full):
            has_run = self._counts.run_count > 0
            regions = self._regions()
            return refuse_full(self._parts, self.request, placed, regions, has_run)
        if isinstance(placed, QuotaExceeded):
            return refuse_quota(self._parts, self.request, placed)
        self._in_flight = placed
        self._is_admitted = True
        if placed.preempts:
            self._parts.batch.preempt(placed.endpoint.endpoint_id)
        self._attempt.note_placed(placed.endpoint, began_at, version)
        outcome = self._send(placed.endpoint, placed.permit_until)
        if isinstance(outcome, CallFault):
            self._excluded = self._excluded | {placed.endpoint.endpoint_id}
            self.end_attempt(outcome)
        elif isinstance(outcome, CompleteResponse):
            self.end_attempt()
        else:
            self._version = placed.endpoint.version
        return outcome

    def _find_version(self):
        request = self.request
        return self._parts.streams.find_version(
            request.call.resumes, request.service or ""
        )

    def _regions(self):
        """Return the regions allowed by the configuration in force, None for none.

        Those of the request's admission count if its route or workspace is gone.
        """
        request = self.request
        configuration = self._parts.store_cache.configuration
        if request.version != configuration.version:
            host, path, name = request.call.host, request.call.path, request.workspace
            is_known = name is None or name in configuration.workspace_by_name
            if is_known and configuration.match(host, path) is not None:
                return configuration.regions_of(host, path, name)
        return request.regions

    def _place(self):
        while True:
            request = self.request
            regions = self._regions()
            if regions is None:
                return Full(RETRY_AFTER_SECONDS, has_endpoints=False)
            place = PlaceRequest(
                request.service or "",
                request.call.request_id,
                self._excluded,
                request.priority,
                version=self._version,
                workspace=None if self._is_admitted else request.workspace,
                regions=regions,
            )
            started_at = time.monotonic()
            placed = self._parts.placer.place(place)
            self._placement_seconds = time.monotonic() - started_at
            if not isinstance(placed, Full) or not self._may_await_place(placed):
                return placed
            time.sleep(PLACE_INTERVAL_SECONDS)
            self._excluded = frozenset()

    def _may_await_place(self, full):
        """Return whether to look for a place again.

        A request that has left a silent endpoint for a place that refused it is not
        worse off than before: it can also go back.
        """
        is_over = time.monotonic() + PLACE_INTERVAL_SECONDS > self.request.end_at
        if is_over or self.is_client_disconnected:
            return False
        return self._has_moved and full.has_endpoints

    def _send(self, endpoint, permit_until):
        request = self.request
        self.sent_after_event = self.last_event_id
        seconds_left = request.end_at - time.monotonic()
        headers = self._parts.dialect.endpoint_headers(
            request.call,
            endpoint.endpoint_id,
            seconds_left,
            request.workspace,
            self.last_event_id,
        )
        endpoint_request = EndpointRequest(
            endpoint,
            request.call.method,
            request.call.target,
            headers,
            request.body,
            request.call.request_id,
            permit_until,
            self._regions(),
            request.route.is_repeatable,
        )
        patience = AttemptPatience(
            self._parts,
            request,
            endpoint.endpoint_id,
            self._counts.run_count + 1,
            self._excluded,
            self._reserved,
            lambda: self._version,
            self._regions,
        )
        self._log.info(
            "request placed",
            request_id=request.call.request_id,
            workspace=request.workspace,
            endpoint_id=endpoint.endpoint_id,
            endpoint_version=endpoint.version,
            endpoint_is_leaving=endpoint.is_leaving,
            request_limit=endpoint.request_limit,
            cold_seconds=round(endpoint.cold_seconds, 3),
            after_event=self.last_event_id,
            resumes=request.call.resumes or None,
            in_flight=self._in_flight.in_flight,
            placing_ms=round(self._placement_seconds * 1000),
            arrival_wait_ms=round(request.arrival_wait_seconds * 1000),
            waited_ms=round((time.monotonic() - request.arrived_at) * 1000),
            seconds_left=round(seconds_left, 3),
            configuration_version=request.version,
        )
        if request.route.is_resumable:
            call = request.call
            self._parts.streams.note(
                call.request_id,
                endpoint.service,
                endpoint.version,
                call.stream_id,
            )
        self._sent_at = sent_at = time.monotonic()
        with self._parts.preemptor.watching(endpoint.endpoint_id):
            answer = open_call(
                endpoint_request,
                self._parts,
                self._attempt,
                patience,
                seconds_left,
                self._response_bounds(seconds_left),
            )
            if _is_signed(answer):
                note_endpoint_answer(self._parts, endpoint, sent_at)
            return self._classify(answer)

    def _classify(self, answer):
        counts = self._counts
        match answer:
            case CallFault(Fault.NO_PATH | Fault.NOT_SENT | Fault.NOT_RUN):
                self._counts = counts._replace(refusal_count=counts.refusal_count + 1)
                return answer
            case CallFault():
                self._count_run()
                return answer
            case CompleteResponse(status) if status >= 500 and self._may_retry():
                self._count_run()
                return CallFault(Fault.FAILED, f"the endpoint answered {status}")
            case CompleteResponse(status):
                self._count_run()
                if 200 <= status < 300:
                    self._report_first_event()
                    note_answer(self._parts, self.request, is_complete=True)
                return answer
        self._count_run()
        started = read_first_events(answer, self.last_event_id)
        if isinstance(started, StartedStream) and started.events:
            self._report_first_event()
            note_answer(self._parts, self.request, is_complete=False)
        return started

    def _response_bounds(self, seconds_left):
        end_at = self.request.end_at + CLOCK_MARGIN_SECONDS
        if self._may_retry():
            body_seconds = seconds_left * BODY_TIME_FRACTION
            return ResponseBounds(EVENT_SECONDS, body_seconds, end_at)
        return ResponseBounds(None, None, end_at)

    def _count_run(self):
        count = self._counts.run_count + 1
        self._counts = self._counts._replace(run_count=count)

    def _may_retry(self):
        route = self.request.route
        return route.is_repeatable and self._counts.run_count + 1 < route.attempts

    def _must_abort(self):
        if self._disconnected():
            self.is_client_disconnected = True
            return True
        return time.monotonic() > self.request.end_at + CLOCK_MARGIN_SECONDS

    def _abort(self):
        self._attempt.abort()


def _is_signed(answer):
    match answer:
        case CompleteResponse():
            return answer.is_signed
    return isinstance(answer, EventStreamResponse)


def _outcome_of(fault, is_aborted):
    if is_aborted:
        return STOPPED
    match fault:
        case None:
            return DONE
        case CallFault(Fault.NO_PATH | Fault.PATH_BROKEN):
            return STOPPED
        case CallFault(Fault.NOT_SENT | Fault.BROKEN | Fault.SILENT, _, True):
            return ABANDONED
        case CallFault(Fault.NOT_SENT):
            return NOT_SENT
        case CallFault(Fault.NOT_RUN):
            return REFUSED
        case CallFault(Fault.BROKEN):
            return BROKEN
    return DONE
