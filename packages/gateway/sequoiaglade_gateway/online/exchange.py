"""All attempts of one online request, until its answer begins or it is given up."""

import contextlib
import time
from typing import NamedTuple

import structlog

from sequoiaglade_decisions.gateway import (
    AttemptCounts,
    EventSplitter,
    Fault,
    Full,
    NextStep,
    Route,
    next_step,
)
from sequoiaglade_endpoints import Attempt
from sequoiaglade_node.web import Response

from ..endpoint_calls import (
    CallFault,
    CompleteResponse,
    EndpointRequest,
    EventStreamResponse,
    open_call,
)
from ..interface import IncomingCall
from ..messages import (
    BROKEN,
    DONE,
    NOT_SENT,
    REFUSED,
    STOPPED,
    EventIntervalObserved,
    PlaceRequest,
    RequestEnded,
)
from .refusals import GatewayRefusal, refusal_answer
from .stream import EventRelay

# A stream that may go on elsewhere is taken for stalled after this long without an
# event, in seconds; the slowest endpoints that the sites describe need a third of it.
STALL_SECONDS = 1.0
# Endpoints' own limits of time and this node's differ by less than this, in seconds.
CLOCK_MARGIN_SECONDS = 0.05


class Work(NamedTuple):
    """An admitted request; `arrived_at` and `end_at` are of the monotonic clock."""

    call: IncomingCall
    body: bytes
    route: Route
    workspace: str | None
    priority: int
    service: str | None
    fingerprint: str
    arrived_at: float
    end_at: float
    version: int


class Begun(NamedTuple):
    """A stream whose first events were read."""

    answer: EventStreamResponse
    splitter: EventSplitter
    chunks: object
    events: list


class Exchange:
    """Runs a request at endpoints; it owns the connection and the place in flight."""

    def __init__(self, parts, work, disconnected):
        self._parts = parts
        self.work = work
        self._disconnected = disconnected
        self._stack = contextlib.ExitStack()
        self._attempt = Attempt()
        self._running = None
        self._excluded = frozenset()
        self._progress = AttemptCounts(0, 0)
        self._placing_seconds = 0.0
        self._log = structlog.get_logger()
        self.last_event_id = work.call.last_event_id
        self.has_left = False
        self.first_event_seconds = None

    def answer(self):
        """Return the `Response` to the request."""
        watching = self._parts.hangups.watching(self._is_over, self._abort)
        self._stack.enter_context(watching)
        outcome = None
        try:
            outcome = self.open()
        finally:
            if not isinstance(outcome, Begun):
                self.close()
        match outcome:
            case Begun():
                self.first_event_seconds = time.monotonic() - self.work.arrived_at
                self._parts.metrics.record_first_event(
                    self.work, self.first_event_seconds
                )
                relay = EventRelay(self, outcome)
                return Response(200, outcome.answer.headers, relay)
            case CompleteResponse(status, headers, body):
                length = ("Content-Length", str(len(body)))
                return Response(status, [*headers, length], [body])
            case GatewayRefusal():
                return refusal_answer(outcome)

    def open(self):
        """Return `Begun`, `WholeAnswer` or a `GatewayRefusal`."""
        while True:
            outcome = self._try_once()
            if not isinstance(outcome, CallFault):
                return outcome
            step = self.after(outcome)
            match step:
                case NextStep.REFUSE:
                    return self._given_up(503, outcome.reason)
                case NextStep.FAIL:
                    return self._given_up(502, outcome.reason)

    def resume(self, fault):
        """Go on with a stream that broke; return `Begun` or None."""
        self.end_attempt(fault)
        if self.after(fault) is not NextStep.RETRY:
            return None
        outcome = self.open()
        if isinstance(outcome, Begun):
            return outcome
        if isinstance(outcome, CompleteResponse):
            self.end_attempt(CallFault(Fault.FAILED, "no stream"))
        return None

    def after(self, fault):
        """Return the `Next` step, and log it."""
        left = self.work.end_at - time.monotonic()
        if self.has_left:
            left = 0.0
        step = next_step(self.work.route, self._progress, fault.fault, left)
        self._log.info(
            "attempt failed",
            request_id=self.work.call.request_id,
            fault=fault.fault.value,
            reason=fault.reason,
            attempts=self._progress.run_count,
            seconds_left=round(left, 3),
            step=step.value,
        )
        return step

    def end_attempt(self, fault=None):
        """Release the endpoint; `fault` is a `CallFault` if the attempt failed."""
        running, self._running = self._running, None
        attempt, self._attempt = self._attempt, Attempt()
        if running is None:
            return
        outcome = _outcome_of(fault, attempt.is_aborted)
        mark = self.work.fingerprint if outcome == BROKEN else ""
        endpoint_id = running.endpoint.endpoint_id
        self._parts.coordinator.tell(RequestEnded(endpoint_id, False, outcome, mark))

    def note_pace(self, seconds):
        """Tell the mean pause between the events of the running attempt."""
        if self._running is not None:
            endpoint_id = self._running.endpoint.endpoint_id
            self._parts.coordinator.tell(EventIntervalObserved(endpoint_id, seconds))

    def close(self, outcome="answered"):
        """Release all that the exchange holds."""
        self.end_attempt()
        self._stack.close()
        self._parts.metrics.count("ended", outcome)

    def _try_once(self):
        work = self.work
        place = PlaceRequest(
            work.service or "", work.call.request_id, self._excluded, work.priority
        )
        asked_at = time.monotonic()
        placed = self._parts.placer.place(place)
        self._placing_seconds = time.monotonic() - asked_at
        if isinstance(placed, Full):
            return self._full(placed)
        self._running = placed
        if placed.preempts:
            self._parts.batch.preempt(placed.endpoint.endpoint_id)
        outcome = self._send(placed.endpoint)
        if isinstance(outcome, CallFault):
            self._excluded = self._excluded | {placed.endpoint.endpoint_id}
            self.end_attempt(outcome)
        elif isinstance(outcome, CompleteResponse):
            self.end_attempt()
        return outcome

    def _send(self, endpoint):
        work = self.work
        left = work.end_at - time.monotonic()
        headers = self._parts.dialect.endpoint_headers(
            work.call, endpoint.endpoint_id, left, work.workspace, self.last_event_id
        )
        target = EndpointRequest(
            endpoint.address,
            work.call.method,
            work.call.target,
            headers,
            work.body,
            work.call.request_id,
        )
        stall = left + CLOCK_MARGIN_SECONDS
        if work.route.is_repeatable and work.route.attempts > 1:
            stall = min(stall, STALL_SECONDS)
        self._log.info(
            "request placed",
            request_id=work.call.request_id,
            workspace=work.workspace,
            endpoint_id=endpoint.endpoint_id,
            in_flight=self._running.in_flight,
            placing_ms=round(self._placing_seconds * 1000),
            waited_ms=round((time.monotonic() - work.arrived_at) * 1000),
            seconds_left=round(left, 3),
            configuration_version=work.version,
        )
        with self._parts.preemptor.watching(endpoint.endpoint_id):
            answer = open_call(target, self._parts.dialect, self._attempt, stall, left)
            return self._check(answer)

    def _check(self, answer):
        progress = self._progress
        match answer:
            case CallFault(Fault.NOT_SENT | Fault.NOT_RUN):
                self._progress = progress._replace(
                    refusal_count=progress.refusal_count + 1
                )
                return answer
            case CallFault():
                self._count_run()
                return answer
            case CompleteResponse(status) if status >= 500 and self._may_run_again():
                self._count_run()
                return CallFault(Fault.FAILED, f"the endpoint answered {status}")
            case CompleteResponse():
                self._count_run()
                return answer
        self._count_run()
        return self._begin(answer)

    def _begin(self, answer):
        splitter = EventSplitter()
        chunks = answer.chunks()
        for chunk in chunks:
            events = splitter.feed(chunk)
            if events:
                return Begun(answer, splitter, chunks, events)
        answer.close()
        return answer.fault or CallFault(Fault.BROKEN, "the stream has no event")

    def _count_run(self):
        count = self._progress.run_count + 1
        self._progress = self._progress._replace(run_count=count)

    def _may_run_again(self):
        route = self.work.route
        return route.is_repeatable and self._progress.run_count + 1 < route.attempts

    def _full(self, full):
        has_run = self._progress.run_count > 0
        reason = "all endpoints are busy" if full.has_endpoints else "no endpoint is up"
        if has_run:
            return self._given_up(502, reason)
        return self._given_up(503, reason, full.retry_after)

    def _given_up(self, status, reason, retry_after=None):
        if status == 502 and time.monotonic() >= self.work.end_at:
            status = 504
        if status == 503 and retry_after is None:
            retry_after = STALL_SECONDS / 4
        self._log.info(
            "request given up",
            request_id=self.work.call.request_id,
            status=status,
            reason=reason,
            retry_after=retry_after,
            configuration_version=self.work.version,
        )
        self._parts.metrics.count("refused", str(status))
        return GatewayRefusal(status, reason, retry_after)

    def _is_over(self):
        if self._disconnected():
            self.has_left = True
            return True
        return time.monotonic() > self.work.end_at + CLOCK_MARGIN_SECONDS

    def _abort(self):
        self._attempt.abort()


def _outcome_of(fault, is_aborted):
    if is_aborted:
        return STOPPED
    match fault:
        case None:
            return DONE
        case CallFault(Fault.NOT_SENT):
            return NOT_SENT
        case CallFault(Fault.NOT_RUN):
            return REFUSED
        case CallFault(Fault.BROKEN):
            return BROKEN
    return DONE
