"""Journal records and counters of the batch worker and the batch service.

Each claim and each end of a segment is recorded. An item that succeeds at its first
attempt is not recorded; for the others, each rule is recorded for at most
`ITEM_DECISIONS_PER_SEGMENT` items per claim, and the record of the segment's end has
the number of omitted decisions. Neither the body of an item nor the response of an
endpoint is recorded.
"""

import threading
import time

from sequoiaglade_decisions.jobs import Dropped, Requeued, WorkState
from sequoiaglade_decisions.outcomes import Refusal, RefusalCode

from .jobs import JobStore

CONCERN = "batch"
ITEM_DECISIONS_PER_SEGMENT = 16
_QUARANTINED = RefusalCode.QUARANTINED.code


class BatchJournal:
    """Records and counts decisions on claims and items; thread-safe."""

    def __init__(self, journal, meters):
        self._journal = journal
        self._meters = meters
        self._lock = threading.Lock()

    def claimed(self, segment, candidate):
        """Record the claim of a `Candidate` and why the segment was claimable."""
        rule, holder = "claimed", None
        if candidate.header is not None:
            is_released = candidate.header.state == WorkState.RELEASED.value
            rule = "claimed_released" if is_released else "taken_over"
            holder = candidate.header.node_id
        inputs = {} if holder is None else {"holder": holder}
        self._meters.count("claims", rule)
        self._journal.record(CONCERN, segment.owner, rule, "held", **inputs)

    def claim_failed(self, is_conflict):
        """Count a claim that conflicted with another, or whose outcome is unknown."""
        self._meters.count("claims", "taken" if is_conflict else "undecided")

    def segment_ended(self, segment, outcome, reason=None):
        """Record that the node no longer holds a segment."""
        self._meters.count("segments", outcome)
        with self._lock:
            counts = segment.count_by_rule.values()
            omitted_count = sum(max(0, c - ITEM_DECISIONS_PER_SEGMENT) for c in counts)
        inputs = {"reason": reason} if reason else {}
        if outcome in (WorkState.COMMITTED.value, WorkState.RELEASED.value):
            header = segment.header
            inputs |= {"completed": header.completed, "failed": header.failed}
        if omitted_count:
            inputs["left_out"] = omitted_count
        self._journal.record(CONCERN, segment.owner, outcome, outcome, **inputs)

    def item_dispatched(self, segment, pending, endpoint_id):
        """Record the dispatch of an item that was attempted before."""
        if pending.attempt_count > 1:
            self._record_item(
                segment, pending, "dispatched_again", "running", endpoint_id
            )

    def attempt_ended(self, segment, pending, endpoint_id, ended):
        """Record an attempt that ended without a final result.

        `ended` is a tuple of the decision, the rule and the reason.
        """
        decision, rule, reason = ended
        match decision:
            case Requeued():
                outcome = "waits"
            case Dropped():
                rule, outcome = "dropped", "cancelled"
                self._meters.count("items", "cancelled")
            case _:
                return
        self._meters.count("attempts", rule)
        self._record_item(segment, pending, rule, outcome, endpoint_id, reason)

    def item_done(self, segment, pending, result):
        """Count the final result of an item and record it if it is an error."""
        is_failed = result.error is not None
        self._meters.count("items", "failed" if is_failed else "completed")
        if is_failed:
            code = result.error["code"]
            rule = "quarantined" if code == _QUARANTINED else "given_up"
            self._record_item(segment, pending, rule, code)

    def segments_cancelled(self, segments):
        """Record the held segments of a job that was cancelled."""
        for segment in segments:
            self._meters.count("items", "cancelled", len(segment.pending))
            self._journal.record(
                CONCERN,
                segment.owner,
                "cancel_heard",
                "stopped",
                waiting=len(segment.pending),
                in_flight=len(segment.in_flight),
            )

    def _record_item(
        self, segment, pending, rule, outcome, endpoint_id=None, reason=None
    ):
        with self._lock:
            segment.count_by_rule[rule] += 1
            if segment.count_by_rule[rule] > ITEM_DECISIONS_PER_SEGMENT:
                return
        inputs = {"attempt": pending.attempt_count}
        if endpoint_id is not None:
            inputs["endpoint_id"] = endpoint_id
        if reason is not None:
            inputs["reason"] = reason
        subject = segment.request_id(pending.number)
        self._journal.record(CONCERN, subject, rule, outcome, **inputs)


class JournaledJobStore(JobStore):
    """A `JobStore` that records the creation, cancellation and end of jobs."""

    def __init__(self, platform, index, journal):
        super().__init__(platform, index)
        self._journal = journal

    def create(self, file, path, window, metadata, idempotency_key):
        """Create the job as `JobStore.create` does."""
        started_at = time.time()
        job = super().create(file, path, window, metadata, idempotency_key)
        if not isinstance(job, Refusal):
            rule = "job_accepted" if job.created_at >= started_at else "job_resent"
            self._record(job, rule, job.state, items=job.item_count)
        return job

    def cancel(self, workspace, job_id):
        """Cancel the job as `JobStore.cancel` does."""
        job = super().cancel(workspace, job_id)
        if not isinstance(job, Refusal):
            self._record(job, "cancel_accepted", job.state)
        return job

    def end(self, record, version, totals):
        """End the job as `JobStore.end` does."""
        failure = super().end(record, version, totals)
        if failure is None:
            is_cancelled = record.cancelling_at is not None
            outcome = "cancelled" if is_cancelled else "completed"
            counts = {"completed": totals.completed, "failed": totals.failed}
            self._record(record, "job_ended", outcome, **counts)
        return failure

    def _record(self, job, rule, outcome, **inputs):
        inputs = {"workspace": job.workspace} | inputs
        self._journal.record(CONCERN, job.job_id, rule, outcome, **inputs)
