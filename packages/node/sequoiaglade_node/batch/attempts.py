"""Runs one attempt of an item at an endpoint."""

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
from .assemble import PartialAnswer, is_streamable, usage_of

GRANT_SECONDS = 2.0
GRANT_SLACK_SECONDS = 1.0
ANSWER_MAX_BYTES = 16_777_216
ERROR_MAX_CHARACTERS = 500


class ItemAttempt(Attempt):
    """Handle of an attempt that also tells whether it may be aborted and repeated."""

    def __init__(self, may_repeat):
        super().__init__()
        self.may_repeat = may_repeat


class ItemRunner:
    """Gets a slot for an item, calls the endpoint, and decides what follows.

    `feed` tells whether an attempt may start, `cancels` how fresh that knowledge is,
    `mark_started` notes an item that may not be repeated before its dispatch, and
    `journal` is the `BatchJournal`.
    """

    def __init__(
        self, holder, dispatch, endpoints, feed, cancels, mark_started, journal
    ):
        self._holder = holder
        self._dispatch = dispatch
        self._endpoints = endpoints
        self._feed = feed
        self._cancels = cancels
        self._mark_started = mark_started
        self._journal = journal
        self._numbers = itertools.count()

    def run(self, segment, pending):
        """Return `Done`, `Again` or `Dropped`, with the `Usage` of the result."""
        snapshot = self._holder.current
        pending.item = _with_route(pending.item, snapshot)
        refused = _refuse(pending, snapshot, segment.job.workspace)
        if refused is not None:
            return refused, Usage()
        grant = Grant(self._ticket(segment, pending, snapshot))
        outcome = RunOutcome.NOT_GRANTED
        run = _Run(segment, pending, grant)
        self._dispatch.submit(grant)
        try:
            endpoint_id = grant.wait(GRANT_SECONDS + GRANT_SLACK_SECONDS)
            if not isinstance(endpoint_id, str):
                return self._not_granted(pending, endpoint_id), Usage()
            run.endpoint = snapshot.endpoint(endpoint_id)
            run.endpoint_id = endpoint_id
            outcome = self._call(run)
        finally:
            self._dispatch.release(grant.ticket.ticket_id, outcome)
        if run.attempt.is_aborted:
            self._endpoints.cancel(run.endpoint.url, run.request_id, run.attempt_id)
        self._journal.attempt_ended(segment, pending, endpoint_id, run.account)
        return run.decision, run.usage

    def _ticket(self, segment, pending, snapshot):
        workspace = snapshot.document.workspaces[segment.job.workspace]
        is_trial = workspace.tier is Tier.TRIAL
        return Ticket(
            ticket_id=f"{segment.request_id(pending.number)}/{next(self._numbers)}",
            workspace=segment.job.workspace,
            target=pending.item.body["model"],
            priority=Priority.TRIAL_BATCH if is_trial else Priority.PAYING_BATCH,
            deadline=time.monotonic() + GRANT_SECONDS,
            weight=workspace.weight,
            excluded=pending.excluded,
            fingerprint=_fingerprint(segment.job.workspace, pending.item),
            preemptible=pending.item.repeatable,
        )

    def _not_granted(self, pending, refusal):
        pending.excluded = frozenset()
        if isinstance(refusal, Refusal) and refusal.code is RefusalCode.QUARANTINED:
            code = refusal.code
            return Done(
                failed_result(pending.item, code.status, code.code, refusal.reason)
            )
        return Requeued(pending.tries)

    def _call(self, run):
        if not self._may_start(run):
            run.end(AttemptEnd.NOT_STARTED, "it could not be sent now")
            return RunOutcome.NOT_GRANTED
        run.pending.attempts += 1
        self._journal.granted(run.segment, run.pending, run.endpoint_id)
        answer = self._endpoints.run(run.call(), run.attempt)
        if isinstance(answer, Failure):
            return run.fail(answer)
        with answer:
            return run.take(answer)

    def _may_start(self, run):
        if not self._cancels.is_confirmed:
            return False
        if not run.pending.item.repeatable:
            if not self._mark_started(run.segment, run.pending.number):
                return False
            if not self._cancels.is_confirmed:
                return False
        if not self._feed.attach(run.segment, run.pending.number, run.attempt):
            return False
        if run.pending.item.repeatable:
            run.grant.on_preempt(run.attempt.abort)
        return True


class _Run:
    """One attempt between its grant and its decision."""

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
    def account(self):
        """The decision, its rule, and a reason that quotes no endpoint."""
        return self.decision, self._rule, self._reason

    def call(self):
        item = self.pending.item
        body = item.body | {"stream": False}
        resume_from = 0
        if is_streamable(item.body):
            self._partial = self.pending.partial or PartialAnswer(item.path)
            self._partial.restart(keep_text=self.endpoint.resumes)
            self.pending.partial = self._partial
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

    def fail(self, failure):
        if failure.code is FailureCode.UNAVAILABLE:
            self._exclude()
            self.end(AttemptEnd.NOT_STARTED, failure.reason)
            return RunOutcome.UNREACHABLE
        return self._break(failure.reason)

    def take(self, answer):
        state = answer.header("X-Endpoint-State")
        if answer.status == 503 and state:
            self._exclude()
            self.end(AttemptEnd.NOT_STARTED, f"the endpoint is {state}")
            is_leaving = state == "leaving"
            return RunOutcome.LEAVING if is_leaving else RunOutcome.REFUSED
        if answer.status != 200:
            return self._take_error(answer)
        if self._partial is not None and answer.is_stream:
            return self._take_stream(answer)
        return self._take_whole(answer)

    def end(self, end, reason, quotable=None):
        """Decide on the end of an attempt without a whole answer.

        `quotable` is a reason for the journal where `reason` may quote the endpoint.
        """
        may_have_run = end is AttemptEnd.BROKEN
        if self.segment.is_cancelled and (
            self.pending.item.repeatable or not may_have_run
        ):
            end = AttemptEnd.CANCELLED
        elif self.attempt.is_aborted and end is AttemptEnd.BROKEN:
            end = AttemptEnd.YIELDED
        self._rule = self._rule_of(end)
        self._reason = quotable or reason
        self.decision = decide_failure(
            self.pending.item, end, self.pending.tries, reason
        )

    def _take_stream(self, answer):
        for chunk in answer.chunks():
            self._partial.feed(chunk)
        if answer.failure is not None:
            return self._break(answer.failure.reason)
        if not self._partial.is_whole:
            reason = self._partial.error or "the stream has no end marker"
            return self._break(reason, RunOutcome.FAILED, "the stream is not whole")
        return self._finish(self._partial.body(self.request_id))

    def _take_whole(self, answer):
        data = answer.read_body(ANSWER_MAX_BYTES)
        if isinstance(data, Failure):
            return self._break(data.reason)
        try:
            body = json.loads(data)
        except ValueError as error:
            reason = f"the answer is not valid JSON: {error}"
            return self._break(reason, RunOutcome.FAILED)
        if not isinstance(body, dict):
            reason = "the answer is not a JSON object"
            return self._break(reason, RunOutcome.FAILED)
        return self._finish(body)

    def _take_error(self, answer):
        data = answer.read_body(ANSWER_MAX_BYTES)
        if isinstance(data, Failure):
            return self._break(data.reason)
        text = data.decode("utf-8", "replace")[:ERROR_MAX_CHARACTERS]
        reason = f"the endpoint answered {answer.status}: {text}"
        self._exclude()
        self._rule = "retried"
        self._reason = f"the endpoint answered {answer.status}"
        self.decision = decide_status(
            self.pending.item, answer.status, self.pending.tries, reason
        )
        return RunOutcome.FAILED if answer.status >= 500 else RunOutcome.DONE

    def _finish(self, body):
        item = self.pending.item
        self.usage = usage_of(body)
        self.decision = Done(ItemResult(item.custom_id, 200, body, None))
        return RunOutcome.DONE

    def _break(self, reason, outcome=RunOutcome.CRASHED, quotable=None):
        self.end(AttemptEnd.BROKEN, reason, quotable)
        if self.segment.is_cancelled:
            return RunOutcome.HUNG_UP
        if self.attempt.is_aborted:
            return RunOutcome.PREEMPTED
        self._exclude()
        return outcome

    def _rule_of(self, end):
        if end is AttemptEnd.BROKEN:
            return "retried"
        if end is AttemptEnd.YIELDED and not self.grant.preempted.is_set():
            return "aborted"
        return end.value

    def _exclude(self):
        self.pending.excluded = self.pending.excluded | {self.endpoint_id}


def _fingerprint(workspace, item):
    body = json.dumps(item.body, sort_keys=True).encode()
    return fingerprint(workspace, body)


def _with_route(item, snapshot):
    route = snapshot.route_by_model.get(item.body.get("model"))
    if route is None or route.repeatable or not item.repeatable:
        return item
    return item._replace(repeatable=False)


def _refuse(pending, snapshot, workspace):
    """Return the decision on an item that can't run under this configuration."""
    model = pending.item.body.get("model")
    route = snapshot.route_by_model.get(model) if isinstance(model, str) else None
    if route is None:
        return decide_unroutable(
            pending.item, pending.tries, 404, f"there is no model {model!r}"
        )
    allowed = route.workspaces is None or workspace in route.workspaces
    if not allowed or workspace not in snapshot.document.workspaces:
        reason = f"the model {model!r} is not open to the workspace"
        return decide_unroutable(pending.item, pending.tries, 403, reason)
    return None
