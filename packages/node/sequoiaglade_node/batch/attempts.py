"""Runs single attempts of batch items on endpoints."""

import itertools
import json
import time
import uuid

from sequoiaglade_decisions.configuration import Tier
from sequoiaglade_decisions.jobs import (
    AttemptEnd,
    Done,
    ItemResult,
    Requeued,
    Usage,
    decide_failure,
    decide_status,
    decide_unroutable,
    failed_result,
)
from sequoiaglade_decisions.outcomes import Failure, FailureCode, Refusal, RefusalCode
from sequoiaglade_decisions.poison import fingerprint
from sequoiaglade_decisions.routing import Priority, RunOutcome, Ticket
from sequoiaglade_endpoints import Attempt, Call

from ..actors import Grant
from .responses import PartialResponse, is_streamable, usage_of

GRANT_TIMEOUT_SECONDS = 2.0
GRANT_SLACK_SECONDS = 1.0
# Interval in which a waiting item looks for others that go before it.
WAIT_STEP_SECONDS = 0.25
RESPONSE_MAX_BYTES = 16_777_216
ERROR_MAX_CHARACTERS = 500


class ItemAttempt(Attempt):
    """Handle of an attempt that knows whether it may be aborted and repeated."""

    def __init__(self, may_repeat):
        super().__init__()
        self.may_repeat = may_repeat


class ItemRunner:
    """Gets a slot for an item, calls the endpoint, and decides how to continue.

    `queue` is the `ItemQueue`, which decides whether an attempt may start, `cancels`
    the `CancelWatcher`, and `journal` the `BatchJournal`. `mark_started` records that
    an unrepeatable item may have been dispatched, before it is.
    """

    def __init__(
        self, holder, dispatch, endpoints, queue, cancels, mark_started, journal
    ):
        self._holder = holder
        self._dispatch = dispatch
        self._endpoints = endpoints
        self._queue = queue
        self._cancels = cancels
        self._mark_started = mark_started
        self._journal = journal
        self._ticket_numbers = itertools.count()

    def run(self, segment, pending):
        """Return `Done`, `Requeued` or `Dropped`, and the `Usage` of the result."""
        snapshot = self._holder.current
        pending.item = _apply_route_repeatability(pending.item, snapshot)
        refused = _check_route(pending, snapshot, segment.job.workspace)
        if refused is not None:
            return refused, Usage()
        grant = Grant(self._ticket(segment, pending, snapshot))
        outcome = RunOutcome.NOT_GRANTED
        run = _AttemptRun(segment, pending, grant)
        self._dispatch.submit(grant)
        try:
            endpoint_id = self._wait(segment, grant)
            if not isinstance(endpoint_id, str):
                return self._decide_not_granted(pending, endpoint_id), Usage()
            run.endpoint = snapshot.endpoint(endpoint_id)
            run.endpoint_id = endpoint_id
            outcome = self._call(run)
        finally:
            self._dispatch.release(grant.ticket.ticket_id, outcome)
        if run.attempt.is_aborted:
            self._endpoints.cancel(run.endpoint.url, run.request_id, run.attempt_id)
        self._journal.attempt_ended(segment, pending, endpoint_id, run.journal_entry)
        return run.decision, run.usage

    def _wait(self, segment, grant):
        """Return the dispatcher's decision, or None if it is no longer waited for.

        A thread whose ticket waits runs no other item, so that trial tickets that wait
        for paying ones of peers could take the threads of this node's paying items.
        """
        deadline = grant.ticket.deadline + GRANT_SLACK_SECONDS
        while time.monotonic() < deadline:
            decision = grant.wait(WAIT_STEP_SECONDS)
            if decision is not None:
                return decision
            if self._queue.has_item_before(segment):
                return None
        return None

    def _ticket(self, segment, pending, snapshot):
        workspace = snapshot.document.workspaces[segment.job.workspace]
        is_trial = workspace.tier is Tier.TRIAL
        return Ticket(
            ticket_id=f"{segment.request_id(pending.number)}/{next(self._ticket_numbers)}",
            workspace=segment.job.workspace,
            target=pending.item.body["model"],
            priority=Priority.TRIAL_BATCH if is_trial else Priority.PAYING_BATCH,
            deadline=time.monotonic() + GRANT_TIMEOUT_SECONDS,
            weight=workspace.weight,
            excluded=pending.excluded_endpoint_ids,
            fingerprint=_fingerprint(segment.job.workspace, pending.item),
            preemptible=pending.item.repeatable,
        )

    def _decide_not_granted(self, pending, refusal):
        pending.excluded_endpoint_ids = frozenset()
        if isinstance(refusal, Refusal) and refusal.code is RefusalCode.QUARANTINED:
            code = refusal.code
            return Done(
                failed_result(pending.item, code.status, code.code, refusal.reason)
            )
        return Requeued(pending.tries)

    def _call(self, run):
        if not self._may_start(run):
            run.decide_end(AttemptEnd.NOT_STARTED, "the attempt could not be started")
            return RunOutcome.NOT_GRANTED
        run.pending.attempt_count += 1
        self._journal.item_dispatched(run.segment, run.pending, run.endpoint_id)
        response = self._endpoints.run(run.call(), run.attempt)
        if isinstance(response, Failure):
            return run.handle_failure(response)
        with response:
            return run.handle_response(response)

    def _may_start(self, run):
        if not self._cancels.is_up_to_date:
            return False
        if not run.pending.item.repeatable:
            if not self._mark_started(run.segment, run.pending.number):
                return False
            if not self._cancels.is_up_to_date:
                return False
        if not self._queue.register_attempt(
            run.segment, run.pending.number, run.attempt
        ):
            return False
        if run.pending.item.repeatable:
            run.grant.on_preempt(run.attempt.abort)
        return True


class _AttemptRun:
    """One attempt, from its grant to the decision on the item."""

    def __init__(self, segment, pending, grant):
        self.segment = segment
        self.pending = pending
        self.grant = grant
        self.attempt = ItemAttempt(pending.item.repeatable)
        self.attempt_id = uuid.uuid4().hex
        self.request_id = segment.request_id(pending.number)
        self.endpoint = None
        self.endpoint_id = None
        self.decision = Requeued(pending.tries)
        self.usage = Usage()
        self._partial = None
        self._rule = None
        self._reason = None

    @property
    def journal_entry(self):
        """The decision, its rule, and a reason without text from the endpoint."""
        return self.decision, self._rule, self._reason

    def call(self):
        item = self.pending.item
        body = item.body | {"stream": False}
        resume_from = 0
        if is_streamable(item.body):
            self._partial = self.pending.partial_response or PartialResponse(item.path)
            self._partial.restart(keep_text=self.endpoint.resumes)
            self.pending.partial_response = self._partial
            resume_from = self._partial.token_count
            body |= {"stream": True, "stream_options": {"include_usage": True}}
        return Call(
            self.endpoint.url,
            "POST",
            item.path,
            (("Content-Type", "application/json"),),
            json.dumps(body).encode(),
            self.request_id,
            self.attempt_id,
            is_repeatable=item.repeatable,
            resume_from=resume_from,
        )

    def handle_failure(self, failure):
        if failure.code is FailureCode.UNAVAILABLE:
            self._exclude_endpoint()
            self.decide_end(AttemptEnd.NOT_STARTED, failure.reason)
            return RunOutcome.UNREACHABLE
        return self._decide_broken(failure.reason)

    def handle_response(self, response):
        state = response.header("X-Endpoint-State")
        if response.status == 503 and state:
            self._exclude_endpoint()
            self.decide_end(AttemptEnd.NOT_STARTED, f"the endpoint is {state}")
            is_leaving = state == "leaving"
            return RunOutcome.LEAVING if is_leaving else RunOutcome.REFUSED
        if response.status != 200:
            return self._handle_error(response)
        if self._partial is not None and response.is_stream:
            return self._handle_stream(response)
        return self._handle_complete(response)

    def decide_end(self, end, reason, journal_reason=None):
        """Decide on an attempt that ended without a complete response.

        `journal_reason` replaces `reason` in the journal if `reason` may contain text
        from the endpoint.
        """
        may_have_run = end is AttemptEnd.BROKEN
        if self.segment.is_cancelled and (
            self.pending.item.repeatable or not may_have_run
        ):
            end = AttemptEnd.CANCELLED
        elif self.attempt.is_aborted and end is AttemptEnd.BROKEN:
            end = AttemptEnd.YIELDED
        self._rule = self._rule_of(end)
        self._reason = journal_reason or reason
        self.decision = decide_failure(
            self.pending.item, end, self.pending.tries, reason
        )

    def _handle_stream(self, response):
        for chunk in response.chunks():
            self._partial.feed(chunk)
        if response.failure is not None:
            return self._decide_broken(response.failure.reason)
        if not self._partial.is_complete:
            reason = self._partial.error or "the stream has no end marker"
            return self._decide_broken(
                reason, RunOutcome.FAILED, "the stream is incomplete"
            )
        return self._finish(self._partial.body(self.request_id))

    def _handle_complete(self, response):
        data = response.read_body(RESPONSE_MAX_BYTES)
        if isinstance(data, Failure):
            return self._decide_broken(data.reason)
        try:
            body = json.loads(data)
        except (RecursionError, ValueError) as error:
            reason = f"the response is not valid JSON: {error}"
            return self._decide_broken(reason, RunOutcome.FAILED)
        if not isinstance(body, dict):
            reason = "the response is not a JSON object"
            return self._decide_broken(reason, RunOutcome.FAILED)
        return self._finish(body)

    def _handle_error(self, response):
        data = response.read_body(RESPONSE_MAX_BYTES)
        if isinstance(data, Failure):
            return self._decide_broken(data.reason)
        text = data.decode("utf-8", "replace")[:ERROR_MAX_CHARACTERS]
        reason = f"the endpoint answered {response.status}: {text}"
        self._exclude_endpoint()
        self._rule = "retried"
        self._reason = f"the endpoint answered {response.status}"
        self.decision = decide_status(
            self.pending.item, response.status, self.pending.tries, reason
        )
        return RunOutcome.FAILED if response.status >= 500 else RunOutcome.DONE

    def _finish(self, body):
        item = self.pending.item
        self.usage = usage_of(body)
        self.decision = Done(ItemResult(item.custom_id, 200, body, None))
        return RunOutcome.DONE

    def _decide_broken(self, reason, outcome=RunOutcome.CRASHED, journal_reason=None):
        self.decide_end(AttemptEnd.BROKEN, reason, journal_reason)
        if self.segment.is_cancelled:
            return RunOutcome.HUNG_UP
        if self.attempt.is_aborted:
            return RunOutcome.PREEMPTED
        self._exclude_endpoint()
        return outcome

    def _rule_of(self, end):
        if end is AttemptEnd.BROKEN:
            return "retried"
        if end is AttemptEnd.YIELDED and not self.grant.preempted.is_set():
            return "aborted"
        return end.value

    def _exclude_endpoint(self):
        self.pending.excluded_endpoint_ids = self.pending.excluded_endpoint_ids | {
            self.endpoint_id
        }


def _fingerprint(workspace, item):
    body = json.dumps(item.body, sort_keys=True).encode()
    return fingerprint(workspace, body)


def _apply_route_repeatability(item, snapshot):
    route = snapshot.route_by_model.get(item.body.get("model"))
    if route is None or route.repeatable or not item.repeatable:
        return item
    return item._replace(repeatable=False)


def _check_route(pending, snapshot, workspace):
    """Return the decision on an item that the configuration does not allow.

    Return None if its model and workspace are allowed.
    """
    model = pending.item.body.get("model")
    route = snapshot.route_by_model.get(model) if isinstance(model, str) else None
    if route is None:
        return decide_unroutable(
            pending.item, pending.tries, 404, f"model {model!r} does not exist"
        )
    allowed = route.workspaces is None or workspace in route.workspaces
    if not allowed or workspace not in snapshot.document.workspaces:
        reason = f"model {model!r} is not available to the workspace"
        return decide_unroutable(pending.item, pending.tries, 403, reason)
    return None
