"""All attempts of one request: slots, endpoint responses, retries and release."""

import contextlib
import itertools
import json
import time
import uuid
from typing import Any, NamedTuple

from opentelemetry import propagate, trace

from sequoiaglade_decisions.outcomes import (
    Execution,
    Failure,
    FailureCode,
    Refusal,
    RefusalCode,
)
from sequoiaglade_decisions.poison import fingerprint, prefix_digest
from sequoiaglade_decisions.retries import GiveUp
from sequoiaglade_decisions.routing import RunOutcome, Ticket
from sequoiaglade_endpoints import Attempt, Call

from .events import contains_request_id
from .once import HeldClaim
from .recall import Recall, never
from .slots import Slot, run_outcome
from .work import online_priority, workspace_weight

RESPONSE_LIMIT_BYTES = 67_108_864
RETRY_WINDOW_SECONDS = 60.0
_RETRIED_SERVICE_STATUSES = frozenset((502, 503, 504))
_numbers = itertools.count()
_tracer = trace.get_tracer("sequoiaglade.node")


class ExchangeServices(NamedTuple):
    """Services that exchanges use; shared by all requests of a node."""

    dispatch: Any
    endpoints: Any
    retries: Any
    idempotency: Any
    watcher: Any
    canceller: Any
    journal: Any
    holder: Any
    queue_seconds: float


class CompleteResponse(NamedTuple):
    """An endpoint response whose body has been read completely."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class Exchange:
    """All attempts of one request; a context manager that releases their resources."""

    def __init__(self, services, work, disconnected):
        self._services = services
        self.work = work
        self._disconnected = disconnected
        self._stack = contextlib.ExitStack()
        self._slot = None
        self._answer = None
        self._attempt = Attempt()
        self._recall = Recall()
        self._held = None
        self._endpoint = None
        self._endpoint_id = None
        self._call = None
        self._is_running = False
        self._attempt_count = 0
        self._excluded = frozenset()
        self._may_have_run = False
        self._retry_before = time.monotonic() + RETRY_WINDOW_SECONDS

    def __enter__(self):
        self._services.retries.count_request()
        if not self.work.survives_disconnect:
            watching = self._services.watcher.watching
            self._stack.enter_context(watching(self._disconnected, self._abort))
        return self

    def __exit__(self, *exc_info):
        try:
            self._end_attempt()
            self._settle_claim()
        finally:
            self._stack.close()

    def open(self, resume_from=0):
        """Run the request and return its result.

        The result is a `CompleteResponse`, an `EndpointResponse` whose stream has
        begun, the `StoredResponse` of an earlier request with the same idempotency
        key, or a `Refusal`.
        """
        while True:
            outcome = self._try_once(resume_from)
            if isinstance(outcome, Refusal):
                return self._with_execution(outcome)
            if not isinstance(outcome, Failure):
                return outcome
            refusal = self._prepare_retry(outcome)
            if refusal is not None:
                return refusal

    def resume(self, failure, relayed_tokens, can_resume):
        """Resume a broken stream; return an `EndpointResponse` or a `Refusal`.

        `can_resume` states whether a stream can be resumed after the part relayed
        so far.
        """
        self._note_failure(failure)
        self._retry_before = time.monotonic() + RETRY_WINDOW_SECONDS
        if relayed_tokens and not (can_resume and self._endpoint.resumes):
            self._end_attempt()
            return self._broken_stream_refusal(failure.reason)
        refusal = self._prepare_retry(failure)
        outcome = self.open(relayed_tokens) if refusal is None else refusal
        if isinstance(outcome, CompleteResponse):
            return self._broken_stream_refusal(
                f"the endpoint responded {outcome.status} to a resume"
            )
        return outcome

    def begin_relay(self, can_resume):
        """Return whether a part of the stream may be relayed now.

        It may not after the attempt was recalled; the caller then uses `resume`.
        From now on, `can_resume` returns whether the stream can be resumed after
        the part relayed so far.
        """
        endpoint = self._endpoint
        return self._recall.begin_relay(
            self._attempt, lambda: endpoint.resumes and can_resume()
        )

    def store_response(self, answer):
        """Store the response for requests with the same idempotency key."""
        if self._held is not None:
            self._held.store_response(answer)
            self._held = None

    def _try_once(self, resume_from):
        self._attempt_count += 1
        self._slot = Slot(self._services.dispatch, self._ticket()).__enter__()
        endpoint_id = self._slot.wait(self._disconnected)
        if isinstance(endpoint_id, Refusal):
            return endpoint_id
        self._endpoint_id = endpoint_id
        refused = self._claim()
        if refused is not None:
            return refused
        endpoint = self._services.holder.current.endpoint(endpoint_id)
        if endpoint is None:
            outcome = Failure(FailureCode.UNAVAILABLE, f"{endpoint_id} was removed")
        else:
            self._endpoint = endpoint
            self._record("granted", "running")
            outcome = self._run(resume_from)
        if isinstance(outcome, Failure):
            self._note_failure(outcome)
        return outcome

    def _note_failure(self, failure):
        is_unsent = failure.code is FailureCode.UNAVAILABLE
        if self._recall.has_stopped(self._attempt) and not is_unsent:
            self._slot.outcome = self._cancel_recalled_run()
            return
        self._excluded = self._excluded | {self._endpoint_id}
        if not self._attempt.is_aborted and self._slot is not None:
            answer = self._answer
            state = answer and answer.header("X-Endpoint-State")
            self._slot.outcome = run_outcome(failure, state)

    def _cancel_recalled_run(self):
        """Cancel the recalled run; return its outcome by whether the endpoint is up."""
        if self._can_cancel(self._answer):
            call = self._call
            self._services.endpoints.cancel(call.url, call.request_id, call.attempt_id)
            self._is_running = False
        is_up = self._services.endpoints.is_reachable(self._call.url)
        return RunOutcome.PREEMPTED if is_up else RunOutcome.CRASHED

    def _run(self, resume_from):
        if self.work.route.repeatable:
            self._recall.watch(self._slot, self._attempt)
        had_run = self._may_have_run
        self._may_have_run = self._is_running = True
        outcome = self._send(resume_from)
        if isinstance(outcome, CompleteResponse):
            self._is_running = False
            is_error = outcome.status >= 500
            self._slot.outcome = RunOutcome.FAILED if is_error else RunOutcome.DONE
        if isinstance(outcome, Failure) and outcome.code is FailureCode.UNAVAILABLE:
            self._may_have_run = had_run
            self._is_running = False
        return outcome

    def _ticket(self):
        work = self.work
        snapshot = self._services.holder.current
        return Ticket(
            ticket_id=f"{work.request_id}/{self._attempt_count}/{next(_numbers)}",
            workspace=work.workspace or "",
            target=work.target,
            priority=online_priority(snapshot, work.workspace),
            deadline=time.monotonic() + self._services.queue_seconds,
            weight=workspace_weight(snapshot, work.workspace),
            excluded=self._excluded,
            affinity=prefix_digest(work.workspace or "", work.body),
            fingerprint=fingerprint(work.workspace or "", work.body),
        )

    def _claim(self):
        if self.work.idempotency_key is None:
            return None
        if self._held is None:
            claimed = self._services.idempotency.claim(self.work)
            if not isinstance(claimed, HeldClaim):
                return claimed
            self._held = claimed
        if self._may_have_run or self._held.may_dispatch():
            return None
        reason = "the request was delayed too long before it was sent"
        return Refusal(RefusalCode.OVERLOADED, reason, retry_after=1.0)

    def _send(self, resume_from):
        work = self.work
        with _tracer.start_as_current_span("node to endpoint"):
            carrier = {}
            propagate.inject(carrier)
            headers = tuple(h for h in work.headers if h[0] not in carrier)
            self._call = Call(
                self._endpoint.url,
                work.method,
                work.path,
                (*headers, *carrier.items()),
                work.body,
                work.request_id,
                uuid.uuid4().hex,
                work.route.repeatable,
                resume_from,
            )
            answer = self._services.endpoints.run(self._call, self._attempt)
        if isinstance(answer, Failure):
            return answer
        self._answer = answer
        return self._read_response(answer)

    def _read_response(self, answer):
        state = answer.header("X-Endpoint-State")
        if answer.status == 503 and state:
            return Failure(FailureCode.UNAVAILABLE, f"endpoint is {state}")
        if self.work.route.repeatable and self._is_retried(answer.status):
            reason = f"endpoint answered {answer.status}"
            return Failure(FailureCode.INVALID, reason)
        if answer.is_stream:
            if self.work.route.model is None:
                self._recall.begin_relay(self._attempt, never)
            return answer.await_first_chunk() or answer
        body = answer.read_body(RESPONSE_LIMIT_BYTES)
        if isinstance(body, Failure):
            return body
        if self.work.route.model is not None and not self._is_own_json(answer, body):
            reason = "the response is incomplete or belongs to another request"
            return Failure(FailureCode.INVALID, reason)
        return CompleteResponse(answer.status, answer.headers, body)

    def _is_retried(self, status):
        if self.work.route.model is None:
            return status in _RETRIED_SERVICE_STATUSES
        return status >= 500

    def _is_own_json(self, answer, body):
        if answer.status != 200 or answer.header("Content-Encoding"):
            return True
        try:
            value = json.loads(body)
        except (ValueError, RecursionError):
            return False
        return self.is_own_id(value.get("id") if isinstance(value, dict) else None)

    def is_own_id(self, answer_id):
        """Return whether the id in a response body may be this request's.

        Once an endpoint has put a request id into a response, every later response
        of that endpoint must contain one too.
        """
        if contains_request_id(answer_id, self.work.request_id):
            self.note_echo()
            return True
        return self._endpoint.url not in self._services.endpoints.echoing_urls

    def note_echo(self):
        """Record that the endpoint puts request ids into its responses."""
        self._services.endpoints.echoing_urls.add(self._endpoint.url)

    def _prepare_retry(self, failure):
        was_recalled = self._recall.has_stopped(self._attempt)
        self._end_attempt()
        work = self.work
        if not work.survives_disconnect and self._disconnected():
            return self._with_execution(
                Refusal(RefusalCode.OVERLOADED, "the caller has disconnected")
            )
        if was_recalled:
            self._record("called_back", failure.reason)
            return None
        decision = self._services.retries.decide(
            failure,
            self._attempt_count,
            work.route.repeatable,
            self._may_have_run,
            self._retry_before - time.monotonic(),
        )
        self._record(type(decision).__name__, failure.reason)
        if isinstance(decision, GiveUp):
            return decision.refusal
        time.sleep(decision.delay)
        return None

    def _record(self, rule, outcome):
        self._services.journal.record(
            "online",
            self.work.request_id,
            rule,
            outcome,
            attempt=self._attempt_count,
            endpoint_id=self._endpoint_id,
        )

    def _with_execution(self, refusal):
        if not self._may_have_run:
            return refusal
        return refusal._replace(execution=Execution.UNKNOWN)

    def _abort(self):
        self._attempt.abort()

    def _broken_stream_refusal(self, reason):
        code = RefusalCode.ENDPOINT_FAILED
        if not self.work.route.repeatable:
            code = RefusalCode.OUTCOME_UNKNOWN
        reason = f"the stream broke: {reason}"
        return Refusal(code, reason, execution=Execution.UNKNOWN)

    def _end_attempt(self):
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.close()
            if answer.is_complete and self._slot.outcome is RunOutcome.HUNG_UP:
                self._slot.outcome = RunOutcome.DONE
        if self._is_running and not (answer is not None and answer.is_complete):
            self._cancel(answer)
        self._is_running = False
        self._attempt = Attempt()
        slot, self._slot = self._slot, None
        if slot is not None:
            slot.release()

    def _can_cancel(self, answer):
        # A caller may reuse its request id, so that only an attempt id identifies the
        # run safely.
        knows_attempts = answer is not None and answer.header("X-Attempt-Id")
        return self.work.has_generated_id or knows_attempts

    def _cancel(self, answer):
        if self._can_cancel(answer):
            call = self._call
            cancel = self._services.endpoints.cancel
            submit = self._services.canceller.submit
            submit(cancel, call.url, call.request_id, call.attempt_id)

    def _settle_claim(self):
        held, self._held = self._held, None
        if held is None:
            return
        if self._may_have_run and not self.work.route.repeatable:
            held.mark_unknown()
        else:
            held.delete_record()
